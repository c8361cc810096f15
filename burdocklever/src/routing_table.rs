//! Index of the catalogue's routes, services, failure domains and targets, for
//! lookups per packet.

use rustc_hash::FxHashMap;
use wire::{
    Address, Body, DomainId, DomainState, HostId, Incarnation, Lifecycle, Object, Pool, ServiceId,
};

use crate::segment::Segment;
use crate::shared_placement::{ServiceSummary, SharedFigures};
use crate::target_health::TargetHealth;
use crate::target_load::OwnLoad;
use crate::time::{Ms, Time};
use crate::token::Token;

/// A target and what this VM has observed of it.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: Address,
    /// Index of its failure domain.
    pub(crate) domain: usize,
    /// Index of its service.
    pub(crate) service: usize,
    pub(crate) token: Token,
    pub(crate) slots: u32,
    pub(crate) state: Lifecycle,
    /// Time at which it was removed from the target list.
    pub(crate) removed_at: Option<Time>,
    /// End of its cold start.
    pub(crate) cold_until: Time,
    pub(crate) health: TargetHealth,
    /// This VM's own figures.
    pub(crate) own: OwnLoad,
    /// The figures of all VMs, if any are known.
    pub(crate) shared: Option<SharedFigures>,
}

/// A service and its targets.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) id: ServiceId,
    /// Whether a configuration has named it.
    pub(crate) configured: bool,
    pub(crate) pool: Option<Pool>,
    /// Indices of its targets.
    pub(crate) targets: Vec<usize>,
    /// Target indices by token.
    pub(crate) tokens: FxHashMap<Token, usize>,
    /// What the shared figures of its targets have in common.
    pub(crate) summary: ServiceSummary,
}

/// A failure domain.
#[derive(Debug)]
pub(crate) struct Domain {
    pub(crate) id: DomainId,
    /// Whether this VM runs in it.
    pub(crate) local: bool,
    /// Time since which it is out of service.
    pub(crate) out_since: Option<Time>,
}

/// A route: the services behind an address.
#[derive(Debug)]
pub(crate) struct Route {
    pub(crate) name: Box<str>,
    /// Indices and weights of the services that get new flows.
    pub(crate) shares: Vec<(usize, u32)>,
    /// Services of this and all earlier versions of the route.
    pub(crate) all_services: Vec<usize>,
    /// Response-time goal.
    pub(crate) goal: Ms,
    /// Priority under overload; 0 is refused last.
    pub(crate) priority: u32,
    /// Whether its requests must not be repeated.
    pub(crate) non_idempotent: bool,
    /// Whether it was removed from the catalogue. Packets to its address are
    /// then answered with a reset.
    pub(crate) removed: bool,
}

impl Route {
    /// Its services with their IDs for weighted rendezvous hashing.
    pub(crate) fn weighted(&self) -> Vec<(usize, u64, u32)> {
        let shares = self.shares.iter();
        shares
            .map(|(service, weight)| (*service, *service as u64, *weight))
            .collect()
    }
}

/// Index of the catalogue objects that packets are forwarded by. Objects refer
/// to each other by their position in the vectors.
#[derive(Debug)]
pub(crate) struct RoutingTable {
    local_domain: DomainId,
    pub(crate) routes: FxHashMap<Address, Route>,
    /// Number of changes to the routes.
    pub(crate) route_changes: u64,
    /// Addresses of routes by name.
    route_addresses: FxHashMap<Box<str>, Address>,
    pub(crate) services: Vec<Service>,
    pub(crate) domains: Vec<Domain>,
    pub(crate) targets: Vec<Target>,
    /// Target indices by host.
    pub(crate) hosts: FxHashMap<HostId, usize>,
}

impl RoutingTable {
    /// Empty table of a VM in `local_domain`.
    pub(crate) fn new(local_domain: DomainId) -> RoutingTable {
        RoutingTable {
            local_domain,
            routes: FxHashMap::default(),
            route_changes: 0,
            route_addresses: FxHashMap::default(),
            services: Vec::new(),
            domains: Vec::new(),
            targets: Vec::new(),
            hosts: FxHashMap::default(),
        }
    }

    /// Applies a changed catalogue object, which may have been written up to
    /// `propagation_delay` ago.
    pub(crate) fn apply(&mut self, now: Time, propagation_delay: Ms, object: &Object) {
        match (&*object.key.kind, &object.body) {
            ("route", Body::Route(route)) => self.set_route(&object.key.name, route),
            ("route", Body::Removed) => self.remove_route(&object.key.name),
            ("pool", Body::Pool(pool)) => {
                if let Ok(id) = object.key.name.parse() {
                    let service = self.service(&id);
                    self.services[service].configured = true;
                    self.services[service].pool = Some(pool.clone());
                }
            }
            ("domain", Body::Domain { state }) => {
                self.set_domain(now, propagation_delay, &object.key.name, *state)
            }
            ("domain", Body::Removed) => {
                self.set_domain(now, propagation_delay, &object.key.name, DomainState::In)
            }
            ("host", Body::Host(host)) => self.set_target(now, propagation_delay, host),
            ("host", Body::Removed) => {
                let id = object.key.name.parse().ok();
                if let Some(i) = id.and_then(|id| self.hosts.get(&id)) {
                    self.targets[*i].removed_at = Some(now);
                }
            }
            _ => {}
        }
    }

    fn set_route(&mut self, name: &str, route: &wire::Route) {
        self.remove_route(name);
        let shares: Vec<(usize, u32)> = route
            .shares
            .iter()
            .map(|s| (self.service(&s.service), s.weight))
            .collect();
        let known = self.routes.remove(&route.address);
        let mut all_services = known.map_or_else(Vec::new, |r| r.all_services);
        for (service, _) in &shares {
            self.services[*service].configured = true;
            if !all_services.contains(service) {
                all_services.push(*service);
            }
        }
        let route_state = Route {
            name: name.into(),
            shares,
            all_services,
            goal: Ms(route.goal_ms),
            priority: route.priority,
            non_idempotent: route.non_idempotent,
            removed: false,
        };
        self.route_addresses.insert(name.into(), route.address);
        self.routes.insert(route.address, route_state);
    }

    fn remove_route(&mut self, name: &str) {
        self.route_changes += 1;
        let Some(address) = self.route_addresses.remove(name) else {
            return;
        };
        let route = self.routes.get_mut(&address);
        if let Some(route) = route.filter(|r| *r.name == *name) {
            route.removed = true;
        }
    }

    fn set_domain(&mut self, now: Time, propagation_delay: Ms, name: &str, state: DomainState) {
        let Ok(id) = name.parse() else {
            return;
        };
        let domain = self.domain(&id);
        let was_out = self.domains[domain].out_since.is_some();
        match state {
            DomainState::Out => {
                self.domains[domain].out_since.get_or_insert(now);
            }
            DomainState::In => self.domains[domain].out_since = None,
        }
        if was_out && state == DomainState::In {
            self.restart_warmup(now, propagation_delay, domain);
        }
    }

    /// Treats the targets of a failure domain that returns to service as cold:
    /// they may have restarted meanwhile, which the target list may not show yet.
    fn restart_warmup(&mut self, now: Time, propagation_delay: Ms, domain: usize) {
        for target in self.targets.iter_mut().filter(|t| t.domain == domain) {
            let pool = self.services[target.service].pool.as_ref();
            let cold_time = Ms(pool.map_or(0, |p| p.cold_ms));
            if cold_time > Ms(0) {
                let cold_until = now + propagation_delay + cold_time;
                target.cold_until = target.cold_until.max(cold_until);
            }
        }
    }

    fn set_target(&mut self, now: Time, propagation_delay: Ms, host: &wire::Host) {
        let service = self.service(&host.service);
        let domain = self.domain(&host.domain);
        let index = match self.hosts.get(&host.id) {
            Some(i) => *i,
            None => self.add_target(host, service, domain),
        };
        let target = &mut self.targets[index];
        if target.incarnation != host.incarnation {
            target.health = TargetHealth::default();
            target.own = OwnLoad::default();
            target.shared = None;
            target.incarnation = host.incarnation;
        }
        target.address = host.address;
        target.domain = domain;
        target.slots = host.slots;
        target.state = host.state;
        target.removed_at = None;
        if host.cold_ms > 0 {
            target.cold_until = now + Ms(host.cold_ms) + propagation_delay;
        }
        let token = Token::of(host.id, host.incarnation);
        target.token = token;
        let old = std::mem::replace(&mut target.service, service);
        if old != service {
            self.services[old].targets.retain(|i| *i != index);
            self.services[service].targets.push(index);
        }
        self.assign_token(service, token, index);
    }

    /// Maps a token to its target. If two targets of a service have the same
    /// token, the older incarnation keeps it, since it may have flows already;
    /// the other gets no flows.
    fn assign_token(&mut self, service: usize, token: Token, index: usize) {
        let seniority = |i: usize| (self.targets[i].incarnation, self.targets[i].host);
        let wins = match self.services[service].tokens.get(&token) {
            Some(other) if *other != index => {
                let current = self.targets[*other].token == token;
                !current || seniority(index) < seniority(*other)
            }
            _ => true,
        };
        if wins {
            self.services[service].tokens.insert(token, index);
        }
    }

    fn add_target(&mut self, host: &wire::Host, service: usize, domain: usize) -> usize {
        let index = self.targets.len();
        self.targets.push(Target {
            host: host.id,
            incarnation: host.incarnation,
            address: host.address,
            domain,
            service,
            token: Token::of(host.id, host.incarnation),
            slots: host.slots,
            state: host.state,
            removed_at: None,
            cold_until: Time(0),
            health: TargetHealth::default(),
            own: OwnLoad::default(),
            shared: None,
        });
        self.hosts.insert(host.id, index);
        self.services[service].targets.push(index);
        index
    }

    fn service(&mut self, id: &ServiceId) -> usize {
        if let Some(i) = self.services.iter().position(|s| s.id == *id) {
            return i;
        }
        self.services.push(Service {
            id: id.clone(),
            configured: false,
            pool: None,
            targets: Vec::new(),
            tokens: FxHashMap::default(),
            summary: ServiceSummary::default(),
        });
        self.services.len() - 1
    }

    fn domain(&mut self, id: &DomainId) -> usize {
        if let Some(i) = self.domains.iter().position(|d| d.id == *id) {
            return i;
        }
        self.domains.push(Domain {
            id: id.clone(),
            local: *id == self.local_domain,
            out_since: None,
        });
        self.domains.len() - 1
    }

    /// Whether a target may get new flows. A cold one gets none: the few that it
    /// can take are a total over all VMs, and another target nearly always has
    /// room.
    pub(crate) fn accepts_flows(&self, target: &Target, now: Time) -> bool {
        target.state == Lifecycle::Live
            && target.removed_at.is_none()
            && target.cold_until <= now
            && self.domains[target.domain].out_since.is_none()
    }

    /// Whether a newer target has the same address as a target. An entry of a service that no
    /// configuration names is no target: another program wrote it.
    pub(crate) fn is_address_reused(&self, index: usize) -> bool {
        let old = &self.targets[index];
        let reuses = |t: &Target| {
            t.address == old.address
                && t.incarnation > old.incarnation
                && self.services[t.service].configured
        };
        self.targets.iter().any(reuses)
    }

    /// The target that the token of a later packet stands for. The token is
    /// looked up in the route's services first. The flow may be older than what
    /// this VM knows of the route, so a token that is unknown there is looked up
    /// in all services, and accepted if it is unique.
    pub(crate) fn resolve_token(&self, segment: &Segment) -> Option<usize> {
        let route = self.routes.get(&segment.service)?;
        let find = |service: &Service| service.tokens.get(&segment.token).copied();
        let mut services = route.all_services.iter().map(|i| &self.services[*i]);
        if let Some(target) = services.find_map(find) {
            return Some(target);
        }
        let mut others = self.services.iter().filter_map(find);
        let target = others.next()?;
        others.next().is_none().then_some(target)
    }
}
