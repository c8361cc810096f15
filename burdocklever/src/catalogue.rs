//! The catalogue: the newest known version of every platform object.
//!
//! An object replaces only an older version of itself. Merging is therefore
//! commutative, associative and idempotent, and updates may be reordered, lost or
//! duplicated. Every object is known up to [`Catalogue::revision`]; VMs
//! exchange the objects above it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use wire::{
    Address, Body, DomainId, DomainState, Host, HostId, Lifecycle, Member, Object, ObjectKey,
    Service, ServiceId, Version, View, Vm, VmId,
};

use crate::rendezvous;

/// Objects with versions above one revision, complete up to another.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Delta {
    /// Revision that the versions of the objects lie above.
    pub from: Version,
    /// Revision up to which the objects are complete.
    pub through: Version,
    /// The objects.
    pub objects: Vec<Object>,
}

/// Newest known version of each object, with indexes for lookups.
#[derive(Debug, Default, Clone)]
pub struct Catalogue {
    objects: BTreeMap<ObjectKey, Object>,
    /// Number of removed objects among them.
    removed: usize,
    revision: Version,
    services: BTreeMap<ServiceId, Service>,
    addresses: HashMap<Address, ServiceId>,
    hosts: BTreeMap<HostId, Host>,
    by_service: BTreeMap<ServiceId, BTreeSet<HostId>>,
    by_domain: BTreeMap<DomainId, BTreeSet<HostId>>,
    vms_by_domain: BTreeMap<DomainId, BTreeSet<VmId>>,
    /// Failure domains that are out of service.
    out: BTreeSet<DomainId>,
    vms: BTreeMap<VmId, Vm>,
    views: BTreeMap<DomainId, View>,
}

impl Catalogue {
    /// Revision up to which every object is known; zero if none has arrived yet.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Merges one object. Returns whether it was newer than the known version.
    pub fn merge(&mut self, object: Object) -> bool {
        let known = self.objects.get(&object.key).map(|o| o.version);
        if known >= Some(object.version) {
            return false;
        }
        self.unindex(&object.key);
        self.index(&object);
        self.removed += usize::from(object.body == Body::Removed);
        let old = self.objects.insert(object.key.clone(), object);
        self.removed -= usize::from(old.is_some_and(|o| o.body == Body::Removed));
        true
    }

    /// Merges a delta. Returns the objects that were newer.
    pub fn apply(&mut self, delta: Delta) -> Vec<Object> {
        let mut fresh = Vec::new();
        for object in delta.objects {
            if self.merge(object.clone()) {
                fresh.push(object);
            }
        }
        if delta.from <= self.revision {
            self.revision = self.revision.max(delta.through);
        }
        fresh
    }

    /// Drops all but the newest `max` removed objects. Returns the revision up to which
    /// some may have been dropped, zero if none was.
    pub(crate) fn prune_removed(&mut self, max: usize) -> Version {
        if self.removed <= max {
            return Version(0);
        }
        let removed = self.objects.values().filter(|o| o.body == Body::Removed);
        let mut versions: Vec<Version> = removed.map(|o| o.version).collect();
        versions.sort_unstable();
        let floor = versions[versions.len() - max - 1];
        self.objects
            .retain(|_, o| o.body != Body::Removed || o.version > floor);
        self.removed = versions.iter().filter(|v| **v > floor).count();
        floor
    }

    /// All known objects with versions above `from`, including removed ones.
    pub fn delta(&self, from: Version) -> Delta {
        let above = self.objects.values().filter(|o| o.version > from);
        Delta {
            from,
            through: self.revision,
            objects: above.cloned().collect(),
        }
    }

    fn unindex(&mut self, key: &ObjectKey) {
        let Some(old) = self.objects.get(key) else {
            return;
        };
        match &old.body {
            Body::Service(s) => {
                self.addresses.remove(&s.address);
                self.services.retain(|id, _| id.as_str() != &*key.name);
            }
            Body::Domain { .. } => self.out.retain(|id| id.as_str() != &*key.name),
            Body::Host(h) => {
                self.hosts.remove(&h.id);
                if let Some(list) = self.by_service.get_mut(&h.service) {
                    list.remove(&h.id);
                }
                if let Some(list) = self.by_domain.get_mut(&h.domain) {
                    list.remove(&h.id);
                }
            }
            Body::Vm(v) => {
                self.vms.remove(&v.member.vm);
                if let Some(list) = self.vms_by_domain.get_mut(&v.domain) {
                    list.remove(&v.member.vm);
                }
            }
            Body::View(_) => self.views.retain(|id, _| id.as_str() != &*key.name),
            Body::Route(_) | Body::Pool(_) | Body::Removed => {}
        }
    }

    fn index(&mut self, object: &Object) {
        match &object.body {
            Body::Service(s) => {
                if let Ok(id) = object.key.name.parse::<ServiceId>() {
                    self.addresses.insert(s.address, id.clone());
                    self.services.insert(id, s.clone());
                }
            }
            Body::Domain { state } => {
                if let (DomainState::Out, Ok(id)) = (state, object.key.name.parse()) {
                    self.out.insert(id);
                }
            }
            Body::Host(h) => {
                let hosts = self.by_domain.entry(h.domain.clone());
                hosts.or_default().insert(h.id);
                self.hosts.insert(h.id, h.clone());
                self.by_service
                    .entry(h.service.clone())
                    .or_default()
                    .insert(h.id);
            }
            Body::Vm(v) => {
                let vms = self.vms_by_domain.entry(v.domain.clone());
                vms.or_default().insert(v.member.vm);
                self.vms.insert(v.member.vm, v.clone());
            }
            Body::View(v) => {
                if let Ok(id) = object.key.name.parse() {
                    self.views.insert(id, v.clone());
                }
            }
            Body::Route(_) | Body::Pool(_) | Body::Removed => {}
        }
    }

    /// The object with this key, if known and not removed.
    pub fn get(&self, key: &ObjectKey) -> Option<&Object> {
        self.objects.get(key).filter(|o| o.body != Body::Removed)
    }

    /// The object with this key, removed or not.
    pub(crate) fn entry(&self, key: &ObjectKey) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Version of the object with this key; zero if unknown.
    pub fn version(&self, key: &ObjectKey) -> Version {
        self.objects.get(key).map_or(Version(0), |o| o.version)
    }

    /// All objects, including removed ones, by kind and name.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// The service of this name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// All services by name.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &Service)> {
        self.services.iter()
    }

    /// Failure domains that have a VM or a target, or are out of service.
    pub fn domains(&self) -> BTreeSet<DomainId> {
        let vms = self.vms.values().map(|v| v.domain.clone());
        let hosts = self.hosts.values().map(|h| h.domain.clone());
        vms.chain(hosts).chain(self.out.iter().cloned()).collect()
    }

    /// The service that callers reach at `address`.
    pub fn service_at(&self, address: Address) -> Option<&ServiceId> {
        self.addresses.get(&address)
    }

    /// The target of this identity.
    pub fn host(&self, id: HostId) -> Option<&Host> {
        self.hosts.get(&id)
    }

    /// All targets of a service, in any state.
    pub fn hosts<'a>(&'a self, service: &ServiceId) -> impl Iterator<Item = &'a Host> + 'a {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.hosts.get(id))
    }

    /// All targets.
    pub fn all_hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// Targets of a failure domain.
    pub fn hosts_in(&self, domain: &DomainId) -> impl Iterator<Item = &Host> {
        let ids = self.by_domain.get(domain).into_iter().flatten();
        ids.filter_map(|id| self.hosts.get(id))
    }

    /// Entry VMs of a failure domain.
    pub fn vms_in(&self, domain: &DomainId) -> impl Iterator<Item = &Vm> {
        let ids = self.vms_by_domain.get(domain).into_iter().flatten();
        ids.filter_map(|id| self.vms.get(id))
    }

    /// Whether a target may get packets of its open flows.
    pub fn serves(&self, host: &Host) -> bool {
        host.state != Lifecycle::Gone && !self.out.contains(&host.domain)
    }

    /// Whether a target may get new flows and requests.
    pub fn accepts_new(&self, host: &Host) -> bool {
        host.state == Lifecycle::Live && !self.out.contains(&host.domain)
    }

    /// Whether a failure domain is out of service.
    pub fn is_out(&self, domain: &DomainId) -> bool {
        self.out.contains(domain)
    }

    /// The entry VM of this identity.
    pub fn vm(&self, id: VmId) -> Option<&Vm> {
        self.vms.get(&id)
    }

    /// All entry VMs.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values()
    }

    /// Whether this incarnation of a VM has ended, according to the platform.
    pub fn is_gone(&self, member: Member) -> bool {
        let vm = self.vms.get(&member.vm);
        vm.is_some_and(|v| {
            v.member.incarnation > member.incarnation
                || (v.member == member && v.state == Lifecycle::Gone)
        })
    }

    /// The view of a failure domain's cell.
    pub fn view(&self, cell: &DomainId) -> Option<&View> {
        self.views.get(cell)
    }

    /// Cells that have a view.
    pub fn cells(&self) -> impl Iterator<Item = (&DomainId, &View)> {
        self.views.iter()
    }

    /// Cells in the order in which they rank for a key of `service`, weighted by the
    /// number of targets that accept new work in each failure domain.
    pub(crate) fn cells_for(&self, service: &ServiceId, key: u64) -> Vec<DomainId> {
        let mut weights: BTreeMap<&DomainId, u32> = BTreeMap::new();
        for host in self.hosts(service).filter(|h| self.accepts_new(h)) {
            *weights.entry(&host.domain).or_default() += 1;
        }
        let list: Vec<(DomainId, u64, u32)> = weights
            .into_iter()
            .map(|(domain, n)| {
                (
                    domain.clone(),
                    rendezvous::hash(domain.as_str().as_bytes()),
                    n,
                )
            })
            .collect();
        rendezvous::rank_weighted(key, &list)
    }

    /// Cell that handles a caller-made key: the first-ranked one of all cells, in service
    /// or not, so that taking a failure domain out of service moves no key.
    pub(crate) fn home_cell(&self, key: u64) -> Option<&DomainId> {
        let id = |cell: &DomainId| rendezvous::hash(cell.as_str().as_bytes());
        self.views
            .keys()
            .max_by_key(|c| rendezvous::score(key, id(c)))
    }
}
