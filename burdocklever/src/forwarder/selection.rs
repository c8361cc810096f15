//! Selection of a new flow's target, and the load figures that it depends on.

use super::Forwarder;
use crate::msg::FlowKey;
use crate::placement::{self, Candidate};
use crate::reachability;
use crate::rendezvous;
use crate::routing_table::{Domain, Target};
use crate::segment::{Segment, Stage};
use crate::shared_placement::{self, Placed, SharedFigures};
use crate::target_load::{SharedLoad, TargetLoad};
use crate::time::{Ms, Time};
use crate::token::Token;

/// Time within which a flow's packet counts the flow as active.
const ACTIVE_FLOW_TIME: Ms = Ms(5000);
/// Number of responses whose mean tells how long the next one takes.
const MIN_RESPONSES: u32 = 8;
/// Time without a packet after which a flow's opening packet counts as unanswered.
/// Callers retransmit one after 200 ms.
const OPEN_TIMEOUT: Ms = Ms(250);

impl Forwarder {
    /// This VM's own figures of all targets with any activity, by token. To be
    /// called about once a second.
    pub fn own_load(&mut self, now: Time) -> Vec<(Token, TargetLoad)> {
        self.now = self.now.max(now);
        let now = self.now;
        let until = Time(now.0.saturating_sub(OPEN_TIMEOUT.0));
        let mut flows = vec![0u32; self.table.targets.len()];
        for flow in self.flows.values() {
            flows[flow.target] += u32::from(now.since(flow.last_packet) < ACTIVE_FLOW_TIME);
            let due = self.opens_counted < flow.last_packet && flow.last_packet <= until;
            if due && flow.stage == Stage::Open {
                self.table.targets[flow.target].own.record_unanswered(now);
            }
        }
        self.opens_counted = until;
        let figures = |(target, flows): (&Target, u32)| {
            let load = target.own.figures(now, flows);
            (load != TargetLoad::default()).then_some((target.token, load))
        };
        let targets = self.table.targets.iter().zip(flows);
        let mut loads: Vec<(Token, TargetLoad)> = targets.filter_map(figures).collect();
        loads.sort_unstable_by_key(|(token, _)| *token);
        loads
    }

    /// Sets the load of the targets as all VMs together see it. Until it is too
    /// old, new flows are placed by it.
    pub fn set_shared_load(&mut self, now: Time, load: SharedLoad) {
        self.now = self.now.max(now);
        self.refusals.update(self.now, &self.table, &load);
        let made = self.now.min(load.at);
        let targets = &mut self.table.targets;
        for service in &mut self.table.services {
            let known = service.targets.iter().filter_map(|i| {
                let target = &targets[*i];
                Some((load.targets.get(&target.token)?, target.slots))
            });
            service.summary = shared_placement::summarize(known);
            for i in &service.targets {
                let target = &mut targets[*i];
                let figures = load.targets.get(&target.token);
                let previous = target.shared;
                target.shared =
                    shared_placement::prepare(made, figures, previous, &service.summary);
            }
        }
    }

    /// Whether each failure domain cannot be reached and is to get no probe now.
    pub(super) fn unreachable_domains(&self) -> Vec<bool> {
        let is_unreachable = |(index, domain): (usize, &Domain)| {
            let listed = |t: &&Target| t.domain == index && t.removed_at.is_none();
            let targets = self.table.targets.iter().filter(listed);
            self.shares_load()
                && !domain.local
                && reachability::is_unreachable(self.now, targets.map(|t| &t.health))
        };
        let domains = self.table.domains.iter().enumerate();
        domains.map(is_unreachable).collect()
    }

    /// Selects a target for a flow. Those in `tried` are avoided, as suspect ones are, and
    /// those in `unreachable` failure domains are left out.
    pub(super) fn select_target(
        &self,
        segment: &Segment,
        key: FlowKey,
        tried: &[usize],
        unreachable: &[bool],
    ) -> Option<Placed> {
        let route = self.table.routes.get(&segment.service)?;
        let is_reachable = |c: &Candidate| !unreachable[self.table.targets[c.target].domain];
        let select = |service| {
            let mut candidates = self.candidates(service, key, tried);
            candidates.retain(is_reachable);
            self.select_in_service(service, candidates, route.goal)
        };
        let services = rendezvous::rank_weighted(key.0, &route.weighted());
        let mut choices = services.into_iter().filter_map(select);
        let first = choices.next()?;
        Some(shared_placement::select_service(
            first,
            choices,
            self.shares_load(),
        ))
    }

    /// Selects a target of a service: by shared figures if enough are fresh, otherwise
    /// by this VM's own ones.
    fn select_in_service(
        &self,
        service: usize,
        candidates: Vec<Candidate>,
        goal: Ms,
    ) -> Option<Placed> {
        let has_figures = |c: &&Candidate| self.fresh_figures(c.target).is_some();
        let known = candidates.iter().filter(has_figures).count();
        if shared_placement::is_enough(known, candidates.len()) {
            let shared = |c: &Candidate| self.shared_candidate(c);
            let shared: Vec<shared_placement::Candidate> = candidates.iter().map(shared).collect();
            let summary = &self.table.services[service].summary;
            return shared_placement::select(self.now, &shared, summary, goal);
        }
        let choice = placement::select(&candidates, goal)?;
        let selected = candidates.iter().find(|c| c.target == choice.target)?;
        Some(Placed {
            choice,
            suspect: selected.suspect,
            busy: choice.full,
            response_time: selected.response_time,
            age: None,
        })
    }

    /// Time that a target takes to respond now, by this VM's own figures: by its last responses
    /// if there were enough in the last two seconds, otherwise by those of all targets of its
    /// service in its failure domain. None if there were too few of these as well.
    pub(super) fn expected_time(&self, target: usize) -> Option<Ms> {
        let selected = &self.table.targets[target];
        if selected.own.recent_responses(self.now).0 >= MIN_RESPONSES {
            return Some(selected.health.mean_response_time());
        }
        let service = self.table.services[selected.service].targets.iter();
        let peers = service.map(|i| &self.table.targets[*i]);
        let recent = peers
            .filter(|t| t.domain == selected.domain)
            .map(|t| t.own.recent_responses(self.now));
        let sum =
            |(n, total), (count, mean): (u32, Ms)| (n + count, total + mean.0 * u64::from(count));
        let (count, total) = recent.fold((0, 0), sum);
        (count >= MIN_RESPONSES).then(|| Ms(total / u64::from(count)))
    }

    /// The shared figures of a target, if they are fresh.
    fn fresh_figures(&self, target: usize) -> Option<SharedFigures> {
        let figures = self.table.targets[target].shared;
        figures.filter(|f| self.now.since(f.made) <= shared_placement::MAX_FIGURES_AGE)
    }

    /// A candidate with its shared figures.
    fn shared_candidate(&self, candidate: &Candidate) -> shared_placement::Candidate {
        let target = &self.table.targets[candidate.target];
        let figures = self.fresh_figures(candidate.target);
        let own_flows = figures.map_or(target.health.open_flows, |f| {
            target.own.opened_since(self.now, f.made)
        });
        shared_placement::Candidate {
            target: candidate.target,
            score: candidate.tie_breaker,
            local: candidate.local,
            suspect: candidate.suspect,
            slots: target.slots.max(1),
            figures,
            own_flows: own_flows.saturating_mul(self.domain_size.max(1)),
        }
    }

    /// The targets of a service that may get a flow. Those in `tried` count as suspect.
    fn candidates(&self, service: usize, key: FlowKey, tried: &[usize]) -> Vec<Candidate> {
        let service = &self.table.services[service];
        let max_flows = service.pool.as_ref().map_or(u32::MAX, |p| p.conns);
        let candidate = |i: &usize| {
            let target = &self.table.targets[*i];
            let health = &target.health;
            let suspect = health.is_suspect(self.now) && !health.is_probe_due(self.now);
            let available = self.table.accepts_flows(target, self.now)
                && service.tokens.get(&target.token) == Some(i)
                && health.open_flows < max_flows;
            available.then(|| Candidate {
                target: *i,
                local: self.table.domains[target.domain].local,
                suspect: suspect || tried.contains(i),
                load: placement::load(health.open_flows, health.pending, target.slots),
                response_time: health.mean_response_time(),
                busy: placement::is_busy(health.pending, self.domain_size, target.slots),
                tie_breaker: rendezvous::score(key.0, target.host.0),
            })
        };
        service.targets.iter().filter_map(candidate).collect()
    }
}
