//! The promises of the platform's pages, checked from what callers and endpoints see.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time after a fault in which bounds on time do not hold.
const CALM_AFTER: Duration = Duration::from_millis(4000);

/// Time after which a change has to be in force.
const APPLY_BOUND: Duration = Duration::from_millis(3000);

/// Room for delays of the test's own machine.
const SLACK: Duration = Duration::from_millis(500);

/// Time after the start of a VM in which it may know fewer endpoints than the others.
const START_GRACE: Duration = Duration::from_secs(5);

/// Share of flows that has to be served at the end.
const BACK_SHARE: f64 = 0.25;

/// One configuration: the service of each route.
pub type Routes = HashMap<SocketAddrV4, String>;

#[derive(Debug, Default)]
struct State {
    broken: Vec<String>,
    last_fault: Option<Instant>,
    last_start: Option<Instant>,
    faults: u64,
    configurations: Vec<(Instant, Routes)>,
    /// Endpoints that were reported as leaving or gone while nothing was disturbed.
    left: HashMap<u64, Instant>,
    ran: HashSet<u64>,
    tries: Vec<(Instant, bool)>,
    served: u64,
    failed: u64,
    resets: u64,
}

/// What was seen and what it broke.
#[derive(Debug, Default)]
pub struct Promises {
    state: Mutex<State>,
}

impl Promises {
    /// Notes a broken promise.
    pub fn break_promise(&self, what: String) {
        let mut state = self.state.lock().unwrap();
        println!("broken: {what}");
        state.broken.push(what);
    }

    /// Notes a fault that begins, goes on or ends now.
    pub fn note_fault(&self) {
        let mut state = self.state.lock().unwrap();
        state.last_fault = Some(Instant::now());
        state.faults += 1;
    }

    /// Notes the start of a VM.
    pub fn note_start(&self) {
        self.state.lock().unwrap().last_start = Some(Instant::now());
    }

    /// Checks the refusal of an opening packet; `can_serve` when the route holds and
    /// endpoints of its service live that are listed, or have lapsed just now.
    pub fn check_refusal(&self, destination: SocketAddrV4, can_serve: bool) {
        let last_start = self.state.lock().unwrap().last_start;
        let is_settled = last_start.is_none_or(|start| start.elapsed() > START_GRACE);
        if can_serve && is_settled {
            self.break_promise(format!("{destination} was refused, but its endpoints live"));
        }
    }

    /// Notes a configuration that the store acknowledged.
    pub fn note_configuration(&self, routes: Routes) {
        let mut state = self.state.lock().unwrap();
        state.configurations.push((Instant::now(), routes));
    }

    /// Returns the number of configurations so far.
    pub fn configurations(&self) -> usize {
        self.state.lock().unwrap().configurations.len()
    }

    /// Notes that the store acknowledged an endpoint's leaving.
    pub fn note_left(&self, endpoint: u64) {
        let mut state = self.state.lock().unwrap();
        state.left.entry(endpoint).or_insert_with(Instant::now);
    }

    /// Notes that an endpoint is in service again.
    pub fn note_back(&self, endpoint: u64) {
        self.state.lock().unwrap().left.remove(&endpoint);
    }

    /// Checks an opening packet that an endpoint took.
    pub fn check_opening(&self, destination: SocketAddrV4, service: &str, endpoint: u64) {
        let now = Instant::now();
        let broken = self
            .state
            .lock()
            .unwrap()
            .opening(destination, service, endpoint, now);
        for what in broken {
            self.break_promise(what);
        }
    }

    /// Checks that a request that must not be repeated runs for the first time.
    pub fn check_runs_once(&self, request: u64) {
        let is_first = self.state.lock().unwrap().ran.insert(request);
        if !is_first {
            self.break_promise(format!("request {request:x} ran twice"));
        }
    }

    /// Notes how a caller's try ended.
    pub fn note_try(&self, is_served: bool) {
        let mut state = self.state.lock().unwrap();
        if is_served {
            state.served += 1;
        } else {
            state.failed += 1;
        }
        state.tries.push((Instant::now(), is_served));
    }

    /// Notes a reset of a VM that a caller got.
    pub fn note_reset(&self) {
        self.state.lock().unwrap().resets += 1;
    }

    /// Checks that callers are served in the last seconds.
    pub fn check_service_is_back(&self) {
        let (served, all) = {
            let state = self.state.lock().unwrap();
            let since = Instant::now() - Duration::from_secs(2);
            let recent = || state.tries.iter().filter(|(at, _)| *at >= since);
            (
                recent().filter(|(_, is_served)| *is_served).count(),
                recent().count(),
            )
        };
        if all == 0 || (served as f64) < BACK_SHARE * all as f64 {
            self.break_promise(format!(
                "after the last fault {served} of {all} tries are served"
            ));
        }
    }

    /// Returns the broken promises.
    pub fn broken(&self) -> Vec<String> {
        self.state.lock().unwrap().broken.clone()
    }

    /// Returns one line on the run.
    pub fn summary(&self, seed: u64) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "seed={seed} served={} failed={} resets={} faults={} configurations={} broken={}",
            state.served,
            state.failed,
            state.resets,
            state.faults,
            state.configurations.len(),
            state.broken.len(),
        )
    }
}

impl State {
    fn opening(
        &self,
        destination: SocketAddrV4,
        service: &str,
        endpoint: u64,
        now: Instant,
    ) -> Vec<String> {
        let mut broken = Vec::new();
        let allows = |routes: &Routes| routes.get(&destination).is_some_and(|it| it == service);
        if !self.configurations.iter().any(|(_, routes)| allows(routes)) {
            broken.push(format!(
                "{destination} reached {service}, which it never led to"
            ));
        }
        let is_calm = self
            .last_fault
            .is_none_or(|fault| now - fault > CALM_AFTER + APPLY_BOUND);
        if !is_calm {
            return broken;
        }
        let bound = now - (APPLY_BOUND + SLACK);
        if let Some(left) = self.left.get(&endpoint)
            && *left < bound
        {
            broken.push(format!(
                "{endpoint:x} got a flow {:?} after it left",
                now - *left
            ));
        }
        // The configurations in force at some time since the bound.
        let last_before = self.configurations.iter().rposition(|(at, _)| *at < bound);
        let in_force = &self.configurations[last_before.unwrap_or(0)..];
        if !in_force.iter().any(|(_, routes)| allows(routes)) {
            broken.push(format!(
                "{destination} reached {service} by an outdated configuration"
            ));
        }
        broken
    }
}
