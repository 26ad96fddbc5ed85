//! Clocks: wall clock, monotonic time and boot time.

use std::ops::Add;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Returns the wall-clock time, milliseconds since the Unix epoch; 0 if it is before the epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Returns monotonic time, milliseconds since the first call in this process.
pub fn monotonic_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Point in time of the boot-time clock, in microseconds.
///
/// This clock also advances while the machine is suspended, and setting the wall clock does not
/// change it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// Returns the current time.
    ///
    /// # Panics
    ///
    /// Panics if the system has no boot-time clock; Linux always has one.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has a boot-time clock");
        Self(Duration::from(time).as_micros() as u64)
    }

    /// Returns the point in time `ms` milliseconds after the clock's origin.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms * 1000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is after this point.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point in time `span` before this one, but not before the clock's origin.
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(saturating_micros(span)))
    }
}

fn saturating_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(saturating_micros(span)))
    }
}
