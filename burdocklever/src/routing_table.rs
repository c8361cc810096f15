//! Tables of routes, services, failure domains and targets, made from the
//! catalogue for fast look-ups.

use rustc_hash::FxHashMap;
use wire::{
    Address, Body, DomainId, DomainState, HostId, Incarnation, Lifecycle, Object, Pool, ServiceId,
};

use crate::segment::Segment;
use crate::signal::Signals;
use crate::time::{Ms, Time};
use crate::token::Token;

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) host: HostId,
    pub(crate) life: Incarnation,
    pub(crate) address: Address,
    pub(crate) domain: usize,
    pub(crate) service: usize,
    pub(crate) token: Token,
    pub(crate) slots: u32,
    pub(crate) state: Lifecycle,
    /// When it left the list.
    pub(crate) left: Option<Time>,
    /// End of its cold start.
    pub(crate) cold: Time,
    pub(crate) signals: Signals,
}

#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) id: ServiceId,
    pub(crate) pool: Option<Pool>,
    pub(crate) targets: Vec<usize>,
    pub(crate) tokens: FxHashMap<Token, usize>,
}

#[derive(Debug)]
pub(crate) struct Domain {
    pub(crate) id: DomainId,
    /// Whether this VM runs there.
    pub(crate) near: bool,
    /// Since when it is out of service.
    pub(crate) out: Option<Time>,
}

#[derive(Debug)]
pub(crate) struct Route {
    pub(crate) name: Box<str>,
    pub(crate) shares: Vec<(usize, u32)>,
    /// Services that any version of the route has led to.
    pub(crate) allowed: Vec<usize>,
    pub(crate) goal: Ms,
    /// Requests inside may not be repeated.
    pub(crate) once: bool,
    pub(crate) removed: bool,
}

/// All of them.
#[derive(Debug)]
pub(crate) struct Table {
    home: DomainId,
    pub(crate) routes: FxHashMap<Address, Route>,
    /// Addresses of routes by name.
    names: FxHashMap<Box<str>, Address>,
    pub(crate) services: Vec<Service>,
    pub(crate) domains: Vec<Domain>,
    pub(crate) targets: Vec<Target>,
    pub(crate) hosts: FxHashMap<HostId, usize>,
}

impl Table {
    /// Empty tables of a VM of failure domain `home`.
    pub(crate) fn new(home: DomainId) -> Table {
        Table {
            home,
            routes: FxHashMap::default(),
            names: FxHashMap::default(),
            services: Vec::new(),
            domains: Vec::new(),
            targets: Vec::new(),
            hosts: FxHashMap::default(),
        }
    }

    /// Takes in a changed object of the catalogue.
    pub(crate) fn apply(&mut self, now: Time, lag: Ms, object: &Object) {
        match (&*object.key.kind, &object.body) {
            ("route", Body::Route(route)) => self.set_route(&object.key.name, route),
            ("route", Body::Removed) => self.remove_route(&object.key.name),
            ("pool", Body::Pool(pool)) => {
                if let Ok(id) = object.key.name.parse() {
                    let service = self.service(&id);
                    self.services[service].pool = Some(pool.clone());
                }
            }
            ("domain", Body::Domain { state }) => {
                self.set_domain(now, lag, &object.key.name, *state)
            }
            ("domain", Body::Removed) => {
                self.set_domain(now, lag, &object.key.name, DomainState::In)
            }
            ("host", Body::Host(host)) => self.set_target(now, lag, host),
            ("host", Body::Removed) => {
                let id = object.key.name.parse().ok();
                if let Some(i) = id.and_then(|id| self.hosts.get(&id)) {
                    self.targets[*i].left = Some(now);
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
        let mut allowed = known.map_or_else(Vec::new, |r| r.allowed);
        for (service, _) in &shares {
            if !allowed.contains(service) {
                allowed.push(*service);
            }
        }
        let route_state = Route {
            name: name.into(),
            shares,
            allowed,
            goal: Ms(route.goal_ms),
            once: route.at_most_once,
            removed: false,
        };
        self.names.insert(name.into(), route.address);
        self.routes.insert(route.address, route_state);
    }

    fn remove_route(&mut self, name: &str) {
        let Some(address) = self.names.remove(name) else {
            return;
        };
        let route = self.routes.get_mut(&address);
        if let Some(route) = route.filter(|r| *r.name == *name) {
            route.removed = true;
        }
    }

    fn set_domain(&mut self, now: Time, lag: Ms, name: &str, state: DomainState) {
        let Ok(id) = name.parse() else {
            return;
        };
        let domain = self.domain(&id);
        let was = self.domains[domain].out;
        match state {
            DomainState::Out => {
                self.domains[domain].out.get_or_insert(now);
            }
            DomainState::In => self.domains[domain].out = None,
        }
        if was.is_some() && state == DomainState::In {
            self.chill(now, lag, domain);
        }
    }

    /// Treats a returning failure domain's targets as cold: they may have
    /// started again while it was out, and the list may not show it yet.
    fn chill(&mut self, now: Time, lag: Ms, domain: usize) {
        for target in self.targets.iter_mut().filter(|t| t.domain == domain) {
            let pool = self.services[target.service].pool.as_ref();
            let cold = Ms(pool.map_or(0, |p| p.cold_ms));
            if cold > Ms(0) {
                target.cold = target.cold.max(now + lag + cold);
            }
        }
    }

    fn set_target(&mut self, now: Time, lag: Ms, host: &wire::Host) {
        let service = self.service(&host.service);
        let domain = self.domain(&host.domain);
        let index = match self.hosts.get(&host.id) {
            Some(i) => *i,
            None => self.add_target(host, service, domain),
        };
        let target = &mut self.targets[index];
        if target.life != host.incarnation {
            target.signals = Signals::default();
            target.life = host.incarnation;
        }
        target.address = host.address;
        target.domain = domain;
        target.slots = host.slots;
        target.state = host.state;
        target.left = None;
        if host.cold_ms > 0 {
            target.cold = now + Ms(host.cold_ms) + lag;
        }
        let token = Token::of(host.id, host.incarnation);
        target.token = token;
        let old = std::mem::replace(&mut target.service, service);
        if old != service {
            self.services[old].targets.retain(|i| *i != index);
            self.services[service].targets.push(index);
        }
        self.claim_token(service, token, index);
    }

    /// Of two targets with one token, the older life keeps it: its flows were
    /// there first. The other gets no flows.
    fn claim_token(&mut self, service: usize, token: Token, index: usize) {
        let rank = |i: usize| (self.targets[i].life, self.targets[i].host);
        let wins = match self.services[service].tokens.get(&token) {
            Some(other) if *other != index => {
                let held = self.targets[*other].token == token;
                !held || rank(index) < rank(*other)
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
            life: host.incarnation,
            address: host.address,
            domain,
            service,
            token: Token::of(host.id, host.incarnation),
            slots: host.slots,
            state: host.state,
            left: None,
            cold: Time(0),
            signals: Signals::default(),
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
            pool: None,
            targets: Vec::new(),
            tokens: FxHashMap::default(),
        });
        self.services.len() - 1
    }

    fn domain(&mut self, id: &DomainId) -> usize {
        if let Some(i) = self.domains.iter().position(|d| d.id == *id) {
            return i;
        }
        self.domains.push(Domain {
            id: id.clone(),
            near: *id == self.home,
            out: None,
        });
        self.domains.len() - 1
    }

    /// Whether a target may get new flows. A cold one gets none: what it bears
    /// is a sum over all VMs, and some other target nearly always has room.
    pub(crate) fn takes_new(&self, target: &Target, now: Time) -> bool {
        target.state == Lifecycle::Live
            && target.left.is_none()
            && target.cold <= now
            && self.domains[target.domain].out.is_none()
    }

    /// Whether another target has started since at a target's address.
    pub(crate) fn is_replaced(&self, index: usize) -> bool {
        let old = &self.targets[index];
        let follows = |t: &Target| t.address == old.address && t.life > old.life;
        self.targets.iter().any(follows)
    }

    /// The target that a later packet names. Tokens are looked up among the
    /// route's services first. A flow may be older than what this VM knows of
    /// the route, so a token that names one target of all services counts too.
    pub(crate) fn target_of(&self, segment: &Segment) -> Option<usize> {
        let route = self.routes.get(&segment.service)?;
        let find = |service: &Service| service.tokens.get(&segment.token).copied();
        let mut allowed = route.allowed.iter().map(|i| &self.services[*i]);
        if let Some(target) = allowed.find_map(find) {
            return Some(target);
        }
        let mut others = self.services.iter().filter_map(find);
        let target = others.next()?;
        others.next().is_none().then_some(target)
    }
}
