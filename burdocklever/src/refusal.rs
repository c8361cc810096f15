//! Decides for each new flow whether it is refused for lack of room, by
//! [`crate::shortage`] and the routing table. No I/O.

use std::collections::BTreeMap;

use crate::code::Code;
use crate::msg::FlowKey;
use crate::rendezvous;
use crate::routing_table::{Route, RoutingTable, Target};
use crate::segment::{Segment, Verdict};
use crate::shortage::{self, CallerHistory, RefusedFlows, Room, Shortage, ShortageSettings};
use crate::switch::Switch;
use crate::target_load::SharedLoad;
use crate::time::{Ms, Time};

/// Time after the last refusal for which a service counts as short of room.
const LATE_TIME: Ms = Ms(1000);

/// A refused flow, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Refusal {
    /// Requests in progress at the service, in percent of its slots.
    pub occupancy: u32,
    /// Percentage of the flows of this priority that is refused.
    pub share: u32,
    /// Age of the figures.
    pub age: Ms,
    /// Priority of the flow; 0 is the highest.
    pub priority: u32,
    /// Time that the selected target takes to respond, if that was the cause.
    pub expected: Option<Ms>,
}

/// State of a service with regard to refusing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RefusalState {
    /// Nothing is refused, whatever the load, for this reason.
    Off(&'static str),
    /// There is room.
    Room,
    /// Flows are refused.
    Short,
}

/// A service and its room, for log and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRoom {
    /// Name of the service.
    pub service: Box<str>,
    /// State of the service.
    pub state: RefusalState,
    /// Requests in progress, in percent of the slots; none without current figures.
    pub occupancy: Option<u32>,
    /// Age of the figures.
    pub age: Ms,
}

/// Refusals of one VM.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    pub(crate) settings: ShortageSettings,
    /// Services by their index in the routing table.
    services: Vec<Service>,
    /// Number of changes to the routes that `services` follow.
    route_changes: u64,
    refused: RefusedFlows<Refusal>,
    /// Number of refused flows by priority.
    pub(crate) counts: BTreeMap<u32, u64>,
    last: Option<Refusal>,
}

#[derive(Debug, Default)]
struct Service {
    shortage: Shortage,
    /// Priorities of the routes that lead to the service, the lowest first.
    priorities: Vec<u32>,
    /// Shortest goal of these routes.
    goal: Ms,
    /// Last refusal of a flow whose response would have been late.
    late: Option<Time>,
    /// Flows by priority; empty while there is room.
    history: BTreeMap<u32, CallerHistory>,
    /// Whether there are figures of any target.
    known: bool,
}

impl Refusals {
    /// Takes the refusal of the last packet.
    pub(crate) fn take(&mut self) -> Option<Refusal> {
        self.last.take()
    }

    /// Updates the room of all services with new shared load.
    pub(crate) fn update(&mut self, now: Time, table: &RoutingTable, load: &SharedLoad) {
        self.follow_routes(table);
        for (index, service) in self.services.iter_mut().enumerate() {
            let targets = table.services[index].targets.iter();
            let reachable = targets
                .map(|i| &table.targets[*i])
                .filter(|t| table.accepts_flows(t, now) && !t.health.is_suspect(now));
            let room = Room::sum(reachable.map(|t: &Target| {
                let figures = load.targets.get(&t.token).copied();
                let figures = figures.map(|mut l| {
                    l.age = l.age + now.since(load.at);
                    l
                });
                (t.slots, figures)
            }));
            service.known = room.has_figures();
            service.shortage.update(now, room, service.goal);
            if !service.shortage.is_short(now) {
                service.history.clear();
            }
        }
    }

    /// Takes over goals and priorities of the routes if any of them changed.
    fn follow_routes(&mut self, table: &RoutingTable) {
        let services = table.services.len();
        if self.route_changes == table.route_changes && self.services.len() == services {
            return;
        }
        self.route_changes = table.route_changes;
        self.services.resize_with(services, Service::default);
        for service in &mut self.services {
            service.goal = Ms(u64::MAX);
            service.priorities.clear();
        }
        for route in table.routes.values().filter(|r| !r.removed) {
            for (index, _) in route.shares.iter().filter(|(_, weight)| *weight > 0) {
                let service = &mut self.services[*index];
                service.goal = service.goal.min(route.goal);
                service.priorities.push(route.priority);
            }
        }
        for service in &mut self.services {
            service.priorities.sort_unstable_by(|a, b| b.cmp(a));
            service.priorities.dedup();
        }
    }

    /// Why a service refuses nothing, if that does not depend on its load.
    fn reason_off(&self, service: &Service) -> Option<&'static str> {
        match self.settings.refuse {
            Switch::Off => Some("`[shortage] refuse` is `off`"),
            Switch::Auto if service.priorities.len() < 2 => {
                Some("its routes do not differ in priority")
            }
            Switch::Auto | Switch::On => None,
        }
    }

    /// Decides on the first copy of a flow's opening packet that reaches this VM, or on
    /// a copy of a refused one. Other copies are let in: a VM may have let in the first.
    pub(crate) fn decide(
        &mut self,
        now: Time,
        table: &RoutingTable,
        segment: &Segment,
        key: FlowKey,
    ) -> Option<Verdict> {
        let refused = Some(Verdict::Reset(Code::LowPriority));
        if let Some(refusal) = self.refused.get(now, key) {
            self.last = Some(*refusal);
            return refused;
        }
        let route = table.routes.get(&segment.service)?;
        if segment.ack > 0 || !self.is_any_short(now, route) {
            return None;
        }
        let (index, elsewhere) = self.preferred(now, route, key)?;
        let floor = self.settings.floor;
        if self.reason_off(&self.services[index]).is_some() {
            return None;
        }
        let service = &mut self.services[index];
        let lower = |p: &&u32| **p > route.priority;
        let level = service.priorities.iter().filter(lower).count() as u32;
        let slots = f64::from(service.shortage.room().slots);
        // What other services of the route can take is not missing here.
        let share =
            service.shortage.share(now, level, floor) * slots / (slots + elsewhere).max(1.0);
        let history = service.history.entry(route.priority).or_default();
        if !history.refuses(now, key, segment.caller.ip(), share) {
            return None;
        }
        let refusal = Refusal {
            occupancy: percent(service.shortage.room().occupancy()),
            share: percent(share),
            age: service.shortage.age(now),
            priority: route.priority,
            expected: None,
        };
        self.record(now, key, refusal);
        refused
    }

    /// Decides on the first copy of an opening packet that this VM places by its own figures:
    /// one of the lowest priority is refused if its target, which is the best one, takes
    /// `expected` to respond and that leaves it too little of its goal.
    pub(crate) fn decide_late(
        &mut self,
        now: Time,
        table: &RoutingTable,
        segment: &Segment,
        service: usize,
        expected: Option<Ms>,
    ) -> Option<Verdict> {
        let route = table.routes.get(&segment.service)?;
        let expected = expected.filter(|e| shortage::is_late(*e, route.goal))?;
        self.follow_routes(table);
        let key = segment.key();
        let floor = self.settings.floor;
        let state = &self.services[service];
        let is_lowest = state.priorities.first() == Some(&route.priority);
        let is_refused = segment.ack == 0 && is_lowest && !shortage::is_in_floor(key, floor);
        if !is_refused || self.reason_off(state).is_some() {
            return None;
        }
        let refusal = Refusal {
            share: 100 - floor.percent(),
            priority: route.priority,
            expected: Some(expected),
            ..Refusal::default()
        };
        self.services[service].late = Some(now);
        self.record(now, key, refusal);
        Some(Verdict::Reset(Code::LowPriority))
    }

    fn record(&mut self, now: Time, key: FlowKey, refusal: Refusal) {
        self.refused.insert(now, key, refusal);
        *self.counts.entry(refusal.priority).or_default() += 1;
        self.last = Some(refusal);
    }

    fn is_any_short(&self, now: Time, route: &Route) -> bool {
        let is_short = |s: &Service| s.shortage.is_short(now);
        let mut indices = route.shares.iter().map(|(index, _)| index);
        indices.any(|i| self.services.get(*i).is_some_and(is_short))
    }

    /// The service that a flow goes to while it has room, and the free slots of the
    /// other services of its route.
    fn preferred(&self, now: Time, route: &Route, key: FlowKey) -> Option<(usize, f64)> {
        let ranked = rendezvous::rank_weighted(key.0, &route.weighted());
        let (first, others) = ranked.split_first()?;
        let known = others.iter().filter_map(|i| self.services.get(*i));
        let free = known.map(|s| s.shortage.free_slots(now)).sum();
        (*first < self.services.len()).then_some((*first, free))
    }

    /// The services and their room.
    pub(crate) fn rooms(&self, now: Time, table: &RoutingTable) -> Vec<ServiceRoom> {
        let is_late = |s: &Service| s.late.is_some_and(|at| now.since(at) < LATE_TIME);
        let room = |(service, entry): (&Service, &crate::routing_table::Service)| {
            let shortage = &service.shortage;
            let stale = shortage.is_stale(now) || !service.known;
            let state = match self.reason_off(service) {
                Some(reason) => RefusalState::Off(reason),
                None if is_late(service) || shortage.is_short(now) => RefusalState::Short,
                None => RefusalState::Room,
            };
            ServiceRoom {
                service: entry.id.as_str().into(),
                state,
                occupancy: (!stale).then(|| percent(shortage.room().occupancy())),
                age: shortage.age(now),
            }
        };
        self.services
            .iter()
            .zip(&table.services)
            .map(room)
            .collect()
    }
}

fn percent(part: f64) -> u32 {
    (part * 100.0).round() as u32
}
