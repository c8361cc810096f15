//! Admission of new flows: the choice of a target and of the admission controller
//! that is asked for it.

use wire::{HostId, Member, ServiceId};

use crate::code::Code;
use crate::flow::{RemoteLoad, Wait, REPLY_TIMEOUT};
use crate::msg::{FlowKey, Load, Msg};
use crate::node::Node;
use crate::rendezvous;
use crate::time::Ms;

/// Age up to which a load report of another cell is used.
pub(crate) const REMOTE_LOAD_MAX_AGE: Ms = Ms(5000);
/// A target of another cell is preferred if it has fewer flows by more than its flows
/// divided by this, plus [`REMOTE_MARGIN_MIN`].
const REMOTE_MARGIN_DIVISOR: u32 = 100;
const REMOTE_MARGIN_MIN: u32 = 4;
/// Most admission controllers that are asked to admit one flow.
const ADMIT_ATTEMPTS: usize = 4;

/// A target with room for a flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) controller: Member,
    pub(crate) host: HostId,
    pub(crate) conns: u32,
}

impl Node {
    /// Asks the next admission controller to admit a new flow.
    pub(crate) fn request_admission(&mut self, key: FlowKey) {
        let Some(pending) = self.flows.pending.get(&key) else {
            return;
        };
        let service = pending.service.clone();
        let choice = if pending.tried.len() < ADMIT_ATTEMPTS {
            self.choose_controller(&service, key, &pending.tried)
        } else {
            None
        };
        let Some((controller, host)) = choice else {
            return self.drop_pending(key, Code::NoRoom);
        };
        let until = self.now + REPLY_TIMEOUT;
        if let Some(pending) = self.flows.pending.get_mut(&key) {
            pending.tried.push(controller);
            pending.wait = Wait::Admission(controller);
            pending.until = until;
        }
        if controller == self.me {
            let host = self.admit_locally(self.me, key, &service, host);
            self.handle_admitted(self.me, key, host);
        } else {
            self.send(controller, Msg::Admit { key, service, host });
        }
    }

    /// Chooses the target of a new flow, with its admission controller: the least loaded
    /// target with room in this cell, or the least loaded one in the first-ranked other
    /// cell if that has clearly fewer flows or there is no room here. If neither cell has
    /// room, the first-ranked target of any other cell, in the order of the cells, whose
    /// admission controller is reachable and has not been asked.
    pub(crate) fn choose_controller(
        &self,
        service: &ServiceId,
        key: FlowKey,
        tried: &[Member],
    ) -> Option<(Member, HostId)> {
        let local = least_loaded(key, self.local_candidates(service, tried));
        let remote = least_loaded(key, self.remote_candidates(service, key, tried));
        let best = match (local, remote) {
            (Some(local), Some(remote))
                if remote.conns + remote.conns / REMOTE_MARGIN_DIVISOR + REMOTE_MARGIN_MIN
                    < local.conns =>
            {
                Some(remote)
            }
            (local, remote) => local.or(remote),
        };
        if let Some(best) = best {
            return Some((best.controller, best.host));
        }
        for domain in self.catalogue.cells_for(service, key.0) {
            if domain == self.domain {
                continue;
            }
            let hosts = self
                .catalogue
                .hosts(service)
                .filter(|h| h.domain == domain && self.catalogue.accepts_new(h));
            let controllers = hosts.filter_map(|h| Some((self.controller_of(h)?, h.id)));
            let open = controllers.filter(|(m, _)| !tried.contains(m) && !self.is_suspect(*m));
            let best = open.max_by_key(|(_, host)| rendezvous::score(key.0, host.0));
            if best.is_some() {
                return best;
            }
        }
        None
    }

    /// Targets of this cell with room for a flow.
    pub(crate) fn local_candidates(&self, service: &ServiceId, tried: &[Member]) -> Vec<Candidate> {
        let fits = |host: HostId, controller: Member| {
            self.catalogue.host(host).is_some_and(|h| {
                h.service == *service
                    && self.catalogue.accepts_new(h)
                    && self.controller_of(h) == Some(controller)
            })
        };
        // Until the next load report, every owner admits flows by the same figures. Each
        // assumes that the others have admitted as many as itself.
        let owners = self.cell.view().members.len() as u32;
        let all = self.cell_loads().into_iter();
        all.filter(|(controller, load)| !tried.contains(controller) && fits(load.host, *controller))
            .filter_map(|(controller, load)| {
                let recent = owners
                    * self
                        .flows
                        .recently_admitted
                        .get(&load.host)
                        .copied()
                        .unwrap_or(0);
                let conns = load.conns + if controller == self.me { 0 } else { recent };
                (conns < load.conn_limit).then_some(Candidate {
                    controller,
                    host: load.host,
                    conns,
                })
            })
            .collect()
    }

    /// Targets with room for a flow in the first-ranked other cell. Every owner of all
    /// cells is assumed to have admitted as many flows as this VM since the last load
    /// report.
    pub(crate) fn remote_candidates(
        &self,
        service: &ServiceId,
        key: FlowKey,
        tried: &[Member],
    ) -> Vec<Candidate> {
        let cells = self.catalogue.cells_for(service, key.0);
        let Some(cell) = cells.into_iter().find(|c| *c != self.domain) else {
            return Vec::new();
        };
        let owners = self
            .catalogue
            .cells()
            .map(|(_, view)| view.members.len() as u32);
        let owners: u32 = owners.sum();
        let fits = |id: &HostId, remote: &RemoteLoad| {
            let host = self.catalogue.host(*id);
            host.is_some_and(|h| {
                h.domain == cell
                    && h.service == *service
                    && self.catalogue.accepts_new(h)
                    && self.controller_of(h) == Some(remote.controller)
            }) && !tried.contains(&remote.controller)
                && !self.is_suspect(remote.controller)
                && self.now.since(remote.at) < REMOTE_LOAD_MAX_AGE
        };
        let fitting = self
            .flows
            .remote_loads
            .iter()
            .filter(|(id, remote)| fits(id, remote));
        let candidates = fitting.map(|(id, remote)| Candidate {
            controller: remote.controller,
            host: *id,
            conns: remote.load.conns
                + owners * self.flows.recently_admitted.get(id).copied().unwrap_or(0),
        });
        candidates
            .filter(|c| c.conns < self.flows.remote_loads[&c.host].load.conn_limit)
            .collect()
    }

    /// Records a load report of an admission controller of another cell.
    pub(crate) fn record_remote_loads(&mut self, from: Member, loads: &[Load]) {
        for load in loads {
            let remote = RemoteLoad {
                controller: from,
                load: *load,
                at: self.now,
            };
            self.flows.remote_loads.insert(load.host, remote);
            self.flows.recently_admitted.remove(&load.host);
        }
    }

    pub(crate) fn handle_admit(
        &mut self,
        from: Member,
        key: FlowKey,
        service: &ServiceId,
        host: HostId,
    ) {
        let host = self.admit_locally(from, key, service, host);
        // A backup outside the owner's cell, in case the whole cell fails.
        if let Some(host) = host.filter(|_| self.is_remote(from)) {
            self.pins.set_backup(self.now, key, host, true);
        }
        self.send(from, Msg::Admitted { key, host });
    }

    /// Admits a flow at `host`, or at another target of the service that this VM
    /// controls admission to.
    pub(crate) fn admit_locally(
        &mut self,
        owner: Member,
        key: FlowKey,
        service: &ServiceId,
        host: HostId,
    ) -> Option<HostId> {
        if !self.cell.holds_lease(self.now) {
            return None;
        }
        let others = self
            .admission
            .targets
            .keys()
            .copied()
            .filter(|h| *h != host);
        let candidates: Vec<HostId> = std::iter::once(host).chain(others).collect();
        candidates.into_iter().find(|id| {
            let takes = self
                .catalogue
                .host(*id)
                .is_some_and(|h| h.service == *service && self.catalogue.accepts_new(h));
            let own = self.pins.count(*id);
            let (now, me) = (self.now, self.me);
            let target = self.admission.targets.get_mut(id).filter(|_| takes);
            target.is_some_and(|t| {
                // The pins held here include all flows that were admitted for this VM.
                t.record_flows(now, me, own, now + Ms(1));
                t.is_open(now) && t.admit(now, key, owner)
            })
        })
    }

    pub(crate) fn handle_admitted(&mut self, from: Member, key: FlowKey, host: Option<HostId>) {
        let Some(pending) = self.flows.pending.get(&key) else {
            return;
        };
        if !matches!(pending.wait, Wait::Admission(controller) if controller == from) {
            return;
        }
        let Some(host) = host else {
            return self.request_admission(key);
        };
        self.counts.opened += 1;
        *self.flows.recently_admitted.entry(host).or_default() += 1;
        self.take_ownership(key, host);
        self.assign_target(key, host);
    }
}

/// The target with the fewest flows; of several, the one that ranks first for the key.
fn least_loaded(key: FlowKey, candidates: Vec<Candidate>) -> Option<Candidate> {
    let rank = |c: &Candidate| std::cmp::Reverse(rendezvous::score(key.0, c.host.0));
    candidates.into_iter().min_by_key(|c| (c.conns, rank(c)))
}
