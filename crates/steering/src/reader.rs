//! Keeps the catalog current from the catalog source.
//!
//! One VM of one data centre reads; the others learn from it. A VM whose catalog grows old
//! reads itself, the later the further back it stands in the order of readers of its data
//! centre, so a reader that died, froze, lost its path or was cut off is replaced without
//! an agreement.

use metrics::{counter, histogram};
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::catalog_source::{CatalogSource, CatalogUpdate};
use crate::mesh::Link;
use crate::prelude::*;
use crate::settings::Settings;

/// Longest wait of one watch. A watch that hangs is found out after it, so that it bounds
/// the age of what the data centre knows.
const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Age of the catalog at which the first VM of another data centre steps in: a watch, its
/// answer and the pause to the next.
const STALE_AFTER: Duration = Duration::from_millis(1600);

/// Further age for each place in the order of readers.
const STALE_STEP: Duration = Duration::from_millis(200);

/// Places after which the age no longer grows.
const MAX_STEPS: u32 = 8;

/// Time for which a VM that stepped in goes on reading.
const STAND_IN: Duration = Duration::from_secs(4);

/// How often a VM looks whether it has to read.
const ROLE_INTERVAL: Duration = Duration::from_millis(50);

/// The same while there is no catalog.
const START_INTERVAL: Duration = Duration::from_millis(5);

/// Pause after a failed reading; doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after failed readings, for the first [`MAX_STEPS`] VMs of a data centre.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// Longest pause after failed readings, for any VM: about that of the last of 400 VMs.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// Pause between two watches, so that changes in quick succession come in one answer.
const WATCH_PAUSE: Duration = Duration::from_millis(120);

/// Time for which a starting VM waits for neighbours to bring the catalog: a few round
/// trips, as callers wait too.
const START_PATIENCE: Duration = Duration::from_millis(30);

/// The same when a neighbour has answered: it has the catalog or reads it.
const COMPANY_PATIENCE: Duration = Duration::from_millis(60);

/// The same when the whole system starts and no neighbour can have it.
const FIRST_START_PATIENCE: Duration = Duration::from_millis(400);

/// Further patience for each place in the order of readers.
const PATIENCE_STEP: Duration = Duration::from_millis(25);

/// Age of the catalog at a successful reading above which the store counts as returned.
const AWAY_AFTER: Duration = Duration::from_millis(1800);

/// Time after the store's return in which entries that lapsed are put back.
const LAPSE_HOLD: Duration = Duration::from_millis(2200);

/// Returns the longest pause after failed readings of a VM at this place in the order.
///
/// It grows with the place, so that the calls of a data centre that is cut off from the
/// store hardly grow with its VMs; the first ones find the store's return soon enough.
pub fn max_pause(rank: u32) -> Duration {
    MAX_PAUSE * (1 + rank / MAX_STEPS)
}

/// Reads the catalog source for one VM.
pub struct Reader {
    catalog_source: Box<dyn CatalogSource>,
    catalog: Arc<Mutex<Catalog>>,
    link: Arc<Link>,
    started_at: Moment,
    is_first_start: bool,
    returned_at: Option<Moment>,
    stands_in_until: Moment,
    failed_at: Moment,
    /// Pause after the last failed reading; zero after a good one.
    pause: Duration,
}

impl Reader {
    /// Returns a reader that starts now.
    pub fn new(
        settings: &Settings,
        catalog_source: Box<dyn CatalogSource>,
        catalog: Arc<Mutex<Catalog>>,
        link: Arc<Link>,
    ) -> Self {
        Self {
            catalog_source,
            catalog,
            link,
            started_at: Moment::now(),
            is_first_start: settings.is_first_start,
            returned_at: None,
            stands_in_until: Moment::default(),
            failed_at: Moment::default(),
            pause: Duration::ZERO,
        }
    }

    /// Runs for the life of the process.
    pub async fn run(mut self) {
        loop {
            if !self.is_due(Moment::now()) {
                let is_loaded = self.catalog.lock().unwrap().is_loaded();
                sleep(if is_loaded {
                    ROLE_INTERVAL
                } else {
                    START_INTERVAL
                })
                .await;
                continue;
            }
            match self.read().await {
                Ok(()) => {
                    if self.pause > Duration::ZERO {
                        info!("event=store_regained");
                    }
                    self.pause = Duration::ZERO;
                    sleep(WATCH_PAUSE).await;
                }
                Err(error) => {
                    counter!("ragwortbeam_store_failures_total").increment(1);
                    let age = self.catalog.lock().unwrap().age(Moment::now());
                    warn!(
                        "event=store_read_failed error=\"{error}\" catalog_age_ms={}",
                        age.as_millis()
                    );
                    self.failed_at = Moment::now();
                    self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
                }
            }
        }
    }

    /// Returns whether this VM has to read now.
    fn is_due(&mut self, now: Moment) -> bool {
        let (rank, has_company, is_first) = {
            let members = self.link.members.lock().unwrap();
            let rank = members.rank(now) as u32;
            let is_first = rank == 0 && members.is_in_first_data_centre(now);
            (rank, members.has_company(now), is_first)
        };
        // Looked at each time, as the place may change during the pause.
        if now < self.failed_at + self.pause.min(max_pause(rank)) {
            return false;
        }
        let catalog = self.catalog.lock().unwrap();
        if !catalog.is_loaded() {
            let patience = if self.is_first_start {
                FIRST_START_PATIENCE + PATIENCE_STEP * rank
            } else if has_company && rank > 0 {
                COMPANY_PATIENCE + PATIENCE_STEP * rank.min(MAX_STEPS)
            } else {
                START_PATIENCE
            };
            return now.since(self.started_at) >= patience;
        }
        if is_first || now < self.stands_in_until {
            return true;
        }
        let is_stale = catalog.age(now) > STALE_AFTER + STALE_STEP * rank.min(MAX_STEPS);
        if is_stale {
            info!(
                "event=reader_steps_in rank={rank} catalog_age_ms={}",
                catalog.age(now).as_millis()
            );
            self.stands_in_until = now + STAND_IN;
        }
        is_stale
    }

    async fn read(&mut self) -> Result<()> {
        let (revision, is_loaded) = {
            let catalog = self.catalog.lock().unwrap();
            (catalog.revision(), catalog.is_loaded())
        };
        if is_loaded {
            let sent_at = Moment::now();
            counter!("ragwortbeam_store_reads_total", "kind" => "changes").increment(1);
            let changes = self.catalog_source.watch(revision, WATCH_WAIT).await?;
            if let Some(changes) = changes {
                self.take(changes, None, sent_at);
                return Ok(());
            }
            info!("event=store_history_gone revision={revision}");
        }
        let sent_at = Moment::now();
        counter!("ragwortbeam_store_reads_total", "kind" => "all").increment(1);
        let update = self.catalog_source.read_all().await?;
        histogram!("ragwortbeam_store_read_seconds").record(Moment::now().since(sent_at));
        let present = update.items.iter().map(|item| item.endpoint).collect();
        self.take(update, Some(present), sent_at);
        Ok(())
    }

    /// Takes what the catalog source answered; `present` holds all endpoints when it was
    /// everything.
    fn take(&mut self, update: CatalogUpdate, present: Option<Vec<u64>>, sent_at: Moment) {
        let now = Moment::now();
        // A late answer proves no more than that it was true when its wait ended.
        let known_at = now.min(sent_at + WATCH_WAIT);
        let before = {
            let mut catalog = self.catalog.lock().unwrap();
            if catalog.is_loaded() && catalog.age(now) > AWAY_AFTER {
                info!(
                    "event=store_returned catalog_age_ms={}",
                    catalog.age(now).as_millis()
                );
                self.returned_at = Some(now);
            }
            let hold = self.returned_at.map_or(Duration::ZERO, |returned_at| {
                (returned_at + LAPSE_HOLD).since(now)
            });
            let before = catalog.revision();
            if let Some(configuration) = update.configuration {
                catalog.take_configuration(configuration);
            }
            for item in update.items {
                catalog.take_item(item, now, hold);
            }
            if let Some(present) = present {
                catalog.remove_missing(&present, update.revision, now, hold);
            }
            catalog.advance(update.revision, known_at);
            before
        };
        let after = self.catalog.lock().unwrap().revision();
        if after > before {
            self.link.spread(before);
        } else {
            self.link.confirm();
        }
    }
}
