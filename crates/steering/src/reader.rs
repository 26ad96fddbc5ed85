//! Keeps the catalog current by reading the store.
//!
//! One VM of one data centre reads the store; the other VMs get the changes from it through the
//! mesh. A VM whose catalog gets too old starts reading itself. The age at which it does so grows
//! with its rank among the readers of its data centre. A reader that crashed, hangs, or lost its
//! path to the store or to the other VMs is thus replaced without a leader election.

use metrics::{counter, histogram};
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::catalog::{Evacuations, LAPSED_ENTRY_HOLD, Revision};
use crate::catalog_source::{CatalogSource, CatalogUpdate};
use crate::mesh::PeerLink;
use crate::prelude::*;
use crate::settings::Settings;

/// Longest wait of one watch for changes. A hanging watch is detected only after this time, which
/// therefore bounds the age of the data centre's catalogs.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1000);

/// Age of the catalog at which the VM of rank 0 in another data centre takes over reading: the
/// duration of a watch, of its response and of the delay before the next watch.
const TAKEOVER_AGE: Duration = Duration::from_millis(1600);

/// Increase of the takeover age per rank.
const TAKEOVER_AGE_PER_RANK: Duration = Duration::from_millis(200);

/// Rank up to which the takeover age and, except at the first start of the system, the startup
/// delay grow; also the number of VMs of a data centre with the shortest maximum backoff.
const RANK_LIMIT: u32 = 8;

/// Time for which a VM that took over keeps reading.
const TAKEOVER_PERIOD: Duration = Duration::from_secs(4);

/// Interval at which a VM with a catalog checks whether it has to read.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a VM without a catalog checks whether it has to read.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Backoff after the first failed read; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff of the first [`RANK_LIMIT`] VMs of a data centre.
const BASE_MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Maximum backoff at any rank: about [`max_backoff`] of the last of 400 VMs.
const OVERALL_MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Delay between two watches, so that changes in quick succession are returned in one response.
const WATCH_DELAY: Duration = Duration::from_millis(120);

/// Time for which a starting VM waits for the catalog of another VM before it reads the store: only
/// a few round trips, since callers are waiting.
const STARTUP_DELAY: Duration = Duration::from_millis(30);

/// Startup delay of a VM above rank 0 when another VM is alive, which then has the catalog or is
/// reading it.
const STARTUP_DELAY_WITH_PEERS: Duration = Duration::from_millis(60);

/// Startup delay when the whole system starts for the first time, so that no VM has the catalog.
const FIRST_START_DELAY: Duration = Duration::from_millis(400);

/// Increase of the startup delay per rank.
const STARTUP_DELAY_PER_RANK: Duration = Duration::from_millis(25);

/// Rank up to which the startup delay grows at the first start of the system: the first VMs have
/// read the store by then, and the others must not wait for much longer than they need to.
const FIRST_START_RANK_LIMIT: u32 = 40;

/// Age of the catalog above which a successful read counts as the end of a store outage if this VM's
/// previous read failed.
const OUTAGE_AGE: Duration = Duration::from_millis(1800);

/// Age of the catalog above which a successful read counts as the end of a store outage even if
/// this VM has not tried to read: any rank takes over before, so younger catalogs only show that
/// another reader hung or was frozen.
const UNSEEN_OUTAGE_AGE: Duration = Duration::from_millis(3400);

/// Returns the maximum backoff after failed reads of a VM of this rank.
///
/// It grows with the rank, so that the request rate of a data centre that is cut off from the
/// store hardly grows with the number of its VMs. The VMs of the lowest ranks retry often enough
/// to detect the end of the outage soon.
pub fn max_backoff(rank: u32) -> Duration {
    BASE_MAX_BACKOFF * (1 + rank / RANK_LIMIT)
}

/// Returns the time for which a starting VM of this rank waits for the catalog of another VM before
/// it reads the store.
pub fn startup_delay(rank: u32, is_first_start: bool, has_live_peer: bool) -> Duration {
    if is_first_start {
        FIRST_START_DELAY + STARTUP_DELAY_PER_RANK * rank.min(FIRST_START_RANK_LIMIT)
    } else if has_live_peer && rank > 0 {
        STARTUP_DELAY_WITH_PEERS + STARTUP_DELAY_PER_RANK * rank.min(RANK_LIMIT)
    } else {
        STARTUP_DELAY
    }
}

/// Task that reads the catalog source on behalf of one VM.
pub struct Reader {
    catalog_source: Box<dyn CatalogSource>,
    catalog: Arc<Mutex<Catalog>>,
    link: Arc<PeerLink>,
    started_at: Moment,
    is_first_start: bool,
    /// End of the last store outage; `None` before the first one.
    outage_ended_at: Option<Moment>,
    takeover_until: Moment,
    /// True while this VM is a reader, also during the backoff after a failed read.
    is_reading: bool,
    /// Time of the last successful read.
    answered_at: Moment,
    /// Time of the last failed read.
    failed_at: Moment,
    /// Backoff after the last failed read; zero after a successful one.
    backoff: Duration,
}

impl Reader {
    /// Returns a reader whose startup delay begins now.
    pub fn new(
        settings: &Settings,
        catalog_source: Box<dyn CatalogSource>,
        catalog: Arc<Mutex<Catalog>>,
        link: Arc<PeerLink>,
    ) -> Self {
        Self {
            catalog_source,
            catalog,
            link,
            started_at: Moment::now(),
            is_first_start: settings.is_first_start,
            outage_ended_at: None,
            takeover_until: Moment::default(),
            is_reading: false,
            answered_at: Moment::default(),
            failed_at: Moment::default(),
            backoff: Duration::ZERO,
        }
    }

    /// Reads whenever this VM has to, until the process ends.
    pub async fn run(mut self) {
        loop {
            if !self.has_to_read(Moment::now()) {
                let is_loaded = self.catalog.lock().unwrap().is_loaded();
                sleep(if is_loaded {
                    ROLE_CHECK_INTERVAL
                } else {
                    STARTUP_CHECK_INTERVAL
                })
                .await;
                continue;
            }
            match self.read().await {
                Ok(()) => {
                    self.answered_at = Moment::now();
                    if self.backoff > Duration::ZERO {
                        info!("event=store_regained");
                    }
                    self.backoff = Duration::ZERO;
                    sleep(WATCH_DELAY).await;
                }
                Err(error) => {
                    counter!("ragwortbeam_store_failures_total").increment(1);
                    let age = self.catalog.lock().unwrap().age(Moment::now());
                    warn!(
                        "event=store_read_failed error=\"{error}\" catalog_age_ms={}",
                        age.as_millis()
                    );
                    self.failed_at = Moment::now();
                    self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, OVERALL_MAX_BACKOFF);
                }
            }
        }
    }

    /// Returns whether this VM has to read the store now; starts a takeover when the catalog is too
    /// old.
    fn has_to_read(&mut self, now: Moment) -> bool {
        let (rank, has_live_peer, is_first_reader) = {
            let members = self.link.members.lock().unwrap();
            let rank = members.rank(now) as u32;
            let is_first_reader = rank == 0 && members.is_in_primary_data_centre(now);
            (rank, members.has_live_peer(now), is_first_reader)
        };
        // Evaluated at each check, as the rank may change during the backoff.
        if now < self.failed_at + self.backoff.min(max_backoff(rank)) {
            return false;
        }
        let (is_loaded, age) = {
            let catalog = self.catalog.lock().unwrap();
            (catalog.is_loaded(), catalog.age(now))
        };
        if !is_loaded {
            let delay = startup_delay(rank, self.is_first_start, has_live_peer);
            return now.since(self.started_at) >= delay;
        }
        let is_stale = age > TAKEOVER_AGE + TAKEOVER_AGE_PER_RANK * rank.min(RANK_LIMIT);
        if is_stale && !is_first_reader && now >= self.takeover_until {
            self.takeover_until = now + TAKEOVER_PERIOD;
        }
        let is_reader = is_first_reader || now < self.takeover_until;
        if is_reader != self.is_reading {
            self.is_reading = is_reader;
            // Failures of an earlier turn say nothing about the store now.
            self.backoff = Duration::ZERO;
            let event = if is_reader {
                "reader_steps_in"
            } else {
                "reader_steps_back"
            };
            info!(
                "event={event} rank={rank} is_first_reader={is_first_reader} catalog_age_ms={}",
                age.as_millis()
            );
        }
        is_reader
    }

    /// Returns the wait of a watch that is sent now.
    ///
    /// It is zero for the first watch of a turn as a reader and for the one after a watch without a
    /// response: only a response shows that the connection works, and the catalogs are already old.
    /// Further failures are a store outage, in which the calls would add up.
    fn watch_wait(&self, now: Moment) -> Duration {
        let is_in_series = now.since(self.answered_at) <= WATCH_TIMEOUT;
        if is_in_series || self.backoff > MIN_BACKOFF {
            WATCH_TIMEOUT
        } else {
            Duration::ZERO
        }
    }

    async fn read(&mut self) -> Result<()> {
        let (revision, has_all) = {
            let catalog = self.catalog.lock().unwrap();
            // A VM whose version has no evacuation orders passes on catalogs without them.
            let has_evacuations = catalog.evacuations().complete_to() >= catalog.revision();
            (catalog.revision(), catalog.is_loaded() && has_evacuations)
        };
        if has_all {
            let sent_at = Moment::now();
            let wait = self.watch_wait(sent_at);
            counter!("ragwortbeam_store_reads_total", "kind" => "changes").increment(1);
            let changes = self.catalog_source.watch(revision, wait).await?;
            if let Some(changes) = changes {
                self.apply(changes, None, sent_at + wait);
                return Ok(());
            }
            info!(
                "event=store_history_gone revision={} era={}",
                revision.number, revision.era
            );
        }
        let sent_at = Moment::now();
        counter!("ragwortbeam_store_reads_total", "kind" => "all").increment(1);
        let update = self.catalog_source.read_all().await?;
        histogram!("ragwortbeam_store_read_seconds").record(Moment::now().since(sent_at));
        info!(
            "event=store_read_whole revision={} era={} version={} catalog_revision={} catalog_era={}",
            update.revision.number,
            update.revision.era,
            update.configuration.as_ref().map_or(0, |it| it.version),
            revision.number,
            revision.era,
        );
        let present_ids = update
            .entry_updates
            .iter()
            .map(|entry_update| entry_update.endpoint)
            .collect();
        // Its revision is that of the first page, which may have come at any time since.
        self.apply(update, Some(present_ids), sent_at);
        Ok(())
    }

    /// Applies an update to the catalog and notifies other VMs. `present_ids` lists the endpoints
    /// of a full read; `None` when the update has only changes. `wait_ends_at` is the time at which
    /// the wait of the read ended; a later response only proves that its contents were current then.
    fn apply(
        &mut self,
        update: CatalogUpdate,
        present_ids: Option<Vec<u64>>,
        wait_ends_at: Moment,
    ) {
        let now = Moment::now();
        let known_at = now.min(wait_ends_at);
        let old_revision = {
            let mut catalog = self.catalog.lock().unwrap();
            let Revision { era, number } = catalog.revision();
            if update.revision.era < era {
                counter!("ragwortbeam_catalog_updates_ignored_total", "kind" => "revision")
                    .increment(1);
                info!(
                    "event=store_answer_outdated revision={} era={} catalog_revision={number} catalog_era={era}",
                    update.revision.number, update.revision.era
                );
                return;
            }
            let is_restored = catalog.is_loaded() && update.revision.era > era;
            if is_restored {
                info!(
                    "event=store_restored revision={} era={} catalog_revision={number} catalog_era={era}",
                    update.revision.number, update.revision.era
                );
                // Endpoints renew what the copy lacks, as after an outage.
                self.outage_ended_at = Some(now);
            }
            let outage_age = if self.backoff > Duration::ZERO {
                OUTAGE_AGE
            } else {
                UNSEEN_OUTAGE_AGE
            };
            if catalog.is_loaded() && catalog.age(now) > outage_age {
                info!(
                    "event=store_returned catalog_age_ms={}",
                    catalog.age(now).as_millis()
                );
                self.outage_ended_at = Some(now);
            }
            let hold = self
                .outage_ended_at
                .map_or(Duration::ZERO, |outage_ended_at| {
                    (outage_ended_at + LAPSED_ENTRY_HOLD).since(now)
                });
            let old_revision = catalog.revision();
            if let Some(configuration) = update.configuration {
                catalog.apply_configuration(configuration);
            }
            if present_ids.is_some() {
                let ordered = update.evacuation_updates.into_iter();
                let ordered = ordered.map(|order| (order.data_centre, order.revision));
                catalog.replace_evacuations(Evacuations::new(update.revision, ordered), now);
            } else {
                catalog.apply_evacuations(update.evacuation_updates, update.revision, now);
            }
            for entry_update in update.entry_updates {
                if is_restored {
                    catalog.apply_restored(entry_update, now, hold);
                } else {
                    catalog.apply_update(entry_update, now, hold);
                }
            }
            if let Some(present_ids) = present_ids {
                catalog.remove_missing(&present_ids, update.revision, now, hold);
            }
            catalog.advance(update.revision, known_at);
            old_revision
        };
        let new_revision = self.catalog.lock().unwrap().revision();
        if new_revision > old_revision {
            self.link.push_changes(old_revision);
        } else {
            self.link.announce_current_catalog();
        }
    }
}
