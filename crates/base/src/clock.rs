//! Wall clock and monotonic time in milliseconds.

use std::ops::Add;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Returns milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Returns milliseconds since the first call in this process; never goes back.
pub fn monotonic_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// A point in time that goes on while the machine is suspended and that no change of the
/// time of day moves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// Returns the current moment.
    ///
    /// # Panics
    ///
    /// Panics when the system has no boot-time clock, which Linux always has.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has a boot-time clock");
        Self(Duration::from(time).as_micros() as u64)
    }

    /// Returns the moment this long after the clock's origin.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms * 1000)
    }

    /// Returns the time since `earlier`, zero when that is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment `span` before this one, at the earliest the clock's origin.
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }
}
