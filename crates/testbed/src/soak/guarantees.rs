//! Guarantees of the platform, checked against the observations of callers and endpoints.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time after a fault until VMs have to apply changes within [`MAX_APPLY_DELAY`] again. Time
/// bounds are checked only after both times.
const FAULT_RECOVERY_TIME: Duration = Duration::from_millis(4000);

/// Largest delay until VMs apply a change of the store's contents.
const MAX_APPLY_DELAY: Duration = Duration::from_millis(3000);

/// Tolerance for scheduling delays of the machine that runs the test.
const SCHEDULING_SLACK: Duration = Duration::from_millis(500);

/// Time after a VM's start during which it may know fewer endpoints than the other VMs.
const VM_START_GRACE: Duration = Duration::from_secs(5);

/// Smallest share of the flows of the last 2 seconds of a run that has to be served.
const MIN_SERVED_SHARE: f64 = 0.25;

/// Name of the service of each route in a configuration, by the route's destination address.
pub type Routes = HashMap<SocketAddrV4, String>;

#[derive(Debug, Default)]
struct State {
    violations: Vec<String>,
    last_fault_at: Option<Instant>,
    last_vm_start_at: Option<Instant>,
    fault_events: u64,
    /// Configurations written to the store, each with its time, oldest first.
    configurations: Vec<(Instant, Routes)>,
    /// Times at which endpoints became draining or lost their entry while the store
    /// responded normally, by endpoint id.
    withdrawn_at: HashMap<u64, Instant>,
    /// Times at which the evacuation of data centres was ordered.
    evacuated_at: HashMap<&'static str, Instant>,
    /// Times at which the last evacuation of data centres ended.
    evacuation_ended_at: HashMap<&'static str, Instant>,
    executed_requests: HashSet<u64>,
    /// Time at which each flow ended, and whether it was served.
    flow_results: Vec<(Instant, bool)>,
    served_flows: u64,
    failed_flows: u64,
    resets: u64,
}

/// Records observations of a run and the violations found in them.
#[derive(Debug, Default)]
pub struct GuaranteeChecker {
    state: Mutex<State>,
}

impl GuaranteeChecker {
    /// Prints and records a violation.
    pub fn report_violation(&self, violation: String) {
        let mut state = self.state.lock().unwrap();
        println!("violation: {violation}");
        state.violations.push(violation);
    }

    /// Records that a fault begins, continues or ends at this time.
    pub fn record_fault(&self) {
        let mut state = self.state.lock().unwrap();
        state.last_fault_at = Some(Instant::now());
        state.fault_events += 1;
    }

    /// Records that a VM's process starts at this time.
    pub fn record_vm_start(&self) {
        self.state.lock().unwrap().last_vm_start_at = Some(Instant::now());
    }

    /// Checks a VM's refusal of an opening packet. `is_service_available` is true if the
    /// route is configured and its service has running endpoints whose entries exist or
    /// have only just expired.
    pub fn check_refusal(&self, destination: SocketAddrV4, is_service_available: bool) {
        let last_vm_start_at = self.state.lock().unwrap().last_vm_start_at;
        let is_settled = last_vm_start_at.is_none_or(|start| start.elapsed() > VM_START_GRACE);
        if is_service_available && is_settled {
            self.report_violation(format!(
                "flow to {destination} was refused although its endpoints are available"
            ));
        }
    }

    /// Records a configuration that was written to the store.
    pub fn record_configuration(&self, routes: Routes) {
        let mut state = self.state.lock().unwrap();
        state.configurations.push((Instant::now(), routes));
    }

    /// Returns the number of configurations written so far.
    pub fn configuration_count(&self) -> usize {
        self.state.lock().unwrap().configurations.len()
    }

    /// Records that an endpoint became draining or lost its entry; the first time counts.
    pub fn record_withdrawal(&self, endpoint_id: u64) {
        let mut state = self.state.lock().unwrap();
        state
            .withdrawn_at
            .entry(endpoint_id)
            .or_insert_with(Instant::now);
    }

    /// Records that an endpoint is registered and not draining, which revokes a withdrawal.
    pub fn record_registration(&self, endpoint_id: u64) {
        self.state.lock().unwrap().withdrawn_at.remove(&endpoint_id);
    }

    /// Checks an opening packet that an endpoint accepted: a configuration has to route
    /// `destination` to `service`. Unless a fault was recent, neither the endpoint's withdrawal
    /// nor a change of the route may be older than VMs need to apply it.
    pub fn check_opening(&self, destination: SocketAddrV4, service: &str, endpoint_id: u64) {
        let now = Instant::now();
        let violations =
            self.state
                .lock()
                .unwrap()
                .opening_violations(destination, service, endpoint_id, now);
        for violation in violations {
            self.report_violation(violation);
        }
    }

    /// Records that the evacuation of a data centre was ordered or ended.
    pub fn record_evacuation(&self, data_centre: &'static str, is_evacuated: bool) {
        let mut state = self.state.lock().unwrap();
        if is_evacuated {
            state.evacuated_at.insert(data_centre, Instant::now());
        } else {
            state.evacuated_at.remove(data_centre);
            let ended_at = Instant::now();
            state.evacuation_ended_at.insert(data_centre, ended_at);
        }
    }

    /// Returns whether the evacuation of a data centre is ordered.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.evacuated_at.contains_key(data_centre)
    }

    /// Returns whether the evacuation of a data centre ended within `window`, or before a fault that
    /// was so recent that VMs may have learned of the end within `window`.
    pub fn evacuation_ended_within(&self, data_centre: &str, window: Duration) -> bool {
        let state = self.state.lock().unwrap();
        let ended_at = state.evacuation_ended_at.get(data_centre);
        let learned_at = ended_at.map(|ended_at| match state.last_fault_at {
            Some(fault) if fault + FAULT_RECOVERY_TIME > *ended_at => fault.max(*ended_at),
            _ => *ended_at,
        });
        learned_at.is_some_and(|at| at.elapsed() <= window)
    }

    /// Checks that an endpoint accepted a flow while its data centre was not evacuated, unless the
    /// order is younger than VMs need to apply it, a fault was recent, or the service has no
    /// endpoint elsewhere.
    pub fn check_evacuation(
        &self,
        data_centre: &str,
        endpoint_id: u64,
        has_endpoint_elsewhere: bool,
    ) {
        let ordered_for = {
            let state = self.state.lock().unwrap();
            let is_settled = state.is_settled(Instant::now());
            let ordered_at = state.evacuated_at.get(data_centre);
            ordered_at.filter(|_| is_settled).map(Instant::elapsed)
        };
        if let Some(ordered_for) = ordered_for
            && ordered_for > MAX_APPLY_DELAY + SCHEDULING_SLACK
            && has_endpoint_elsewhere
        {
            self.report_violation(format!(
                "endpoint {endpoint_id:x} received a flow {ordered_for:?} after the order to evacuate {data_centre}"
            ));
        }
    }

    /// Checks the number of flows that an endpoint accepted in a second of its warm-up.
    pub fn check_warmup(&self, endpoint_id: u64, openings: usize, limit: usize) {
        if openings > limit {
            self.report_violation(format!(
                "endpoint {endpoint_id:x} received {openings} flows in a second of its warm-up, expected at most {limit}"
            ));
        }
    }

    /// Checks that a non-idempotent request is executed for the first time.
    pub fn check_executed_once(&self, request: u64) {
        let is_first = self.state.lock().unwrap().executed_requests.insert(request);
        if !is_first {
            self.report_violation(format!("request {request:x} was executed twice"));
        }
    }

    /// Records whether all requests of a caller's flow were answered.
    pub fn record_flow(&self, is_served: bool) {
        let mut state = self.state.lock().unwrap();
        if is_served {
            state.served_flows += 1;
        } else {
            state.failed_flows += 1;
        }
        state.flow_results.push((Instant::now(), is_served));
    }

    /// Records that a caller received a reset from a VM.
    pub fn record_reset(&self) {
        self.state.lock().unwrap().resets += 1;
    }

    /// Checks that enough flows were served in the last 2 seconds.
    pub fn check_service_recovered(&self) {
        let (served_flows, all) = {
            let state = self.state.lock().unwrap();
            let since = Instant::now() - Duration::from_secs(2);
            let recent = || state.flow_results.iter().filter(|(at, _)| *at >= since);
            (
                recent().filter(|(_, is_served)| *is_served).count(),
                recent().count(),
            )
        };
        if all == 0 || (served_flows as f64) < MIN_SERVED_SHARE * all as f64 {
            self.report_violation(format!(
                "after the last fault {served_flows} of {all} flows were served"
            ));
        }
    }

    /// Returns a description of each violation.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().unwrap().violations.clone()
    }

    /// Returns the counts of the run as one line of key=value pairs.
    pub fn summary(&self, seed: u64) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "seed={seed} served={} failed={} resets={} faults={} configurations={} violations={}",
            state.served_flows,
            state.failed_flows,
            state.resets,
            state.fault_events,
            state.configurations.len(),
            state.violations.len(),
        )
    }
}

impl State {
    /// Returns whether no fault was so recent that time bounds do not hold.
    fn is_settled(&self, now: Instant) -> bool {
        self.last_fault_at
            .is_none_or(|fault| now - fault > FAULT_RECOVERY_TIME + MAX_APPLY_DELAY)
    }

    fn opening_violations(
        &self,
        destination: SocketAddrV4,
        service: &str,
        endpoint_id: u64,
        now: Instant,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        let allows = |routes: &Routes| routes.get(&destination).is_some_and(|it| it == service);
        if !self.configurations.iter().any(|(_, routes)| allows(routes)) {
            violations.push(format!(
                "{destination} reached {service}, which no configuration routes it to"
            ));
        }
        if !self.is_settled(now) {
            return violations;
        }
        // VMs must have applied all changes that were made before this time.
        let bound = now - (MAX_APPLY_DELAY + SCHEDULING_SLACK);
        if let Some(withdrawn_at) = self.withdrawn_at.get(&endpoint_id)
            && *withdrawn_at < bound
        {
            violations.push(format!(
                "endpoint {endpoint_id:x} received a flow {:?} after its withdrawal",
                now - *withdrawn_at
            ));
        }
        // The configurations that were in force at any time since then.
        let last_before = self.configurations.iter().rposition(|(at, _)| *at < bound);
        let in_force = &self.configurations[last_before.unwrap_or(0)..];
        if !in_force.iter().any(|(_, routes)| allows(routes)) {
            violations.push(format!(
                "{destination} reached {service} by an outdated configuration"
            ));
        }
        violations
    }
}
