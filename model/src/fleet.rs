//! A fleet's control: real lists, watches and relays on a simulated network,
//! in simulated time, with an oracle that watches what every VM believes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use burdocklever::{Bounds, ControlPlane, ControlState, Feed, LinkRate, Peer, Start};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, Instant};
use wire::{
    Address, Body, DomainId, DomainState, Host, HostId, Incarnation, Lifecycle, Member, Object,
    ObjectKey, Pool, Route, Share, Version, VmId,
};
use xxhash_rust::xxh3::Xxh3;

use crate::network::environment;
use crate::store::{Content, Store};

/// Time after a disruption during which a VM's view may be late.
const TOUCH: Duration = Duration::from_millis(5000);

/// Time by which removals of targets may be later after a disruption: 2.2 s for
/// which they are held back, and 2.3 s until a peer turns away from a VM that was
/// cut off meanwhile.
const GRACE: Duration = Duration::from_millis(4500);

/// Time for which a VM may hold back what an older copy of the store says, and the time
/// until it has heard from the store after that.
const HELD_MAX: Duration = Duration::from_millis(17_000);

/// Time after which the entry of a target that has left lapses.
const LAPSE_TIME: Duration = Duration::from_millis(4000);

/// Sizes of a fleet and of what it knows.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Entry VMs.
    pub vms: u32,
    /// Failure domains.
    pub domains: u32,
    /// Targets.
    pub targets: u64,
    /// Routes.
    pub routes: u32,
    /// Reading calls a second that the store takes.
    pub rate: f64,
    /// Number of the first VM with a fast link: it and each tenth one after it are
    /// ranked first in their failure domains.
    pub first_fast: u32,
}

/// A fault of the code that the oracle must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// None.
    None,
    /// Peers say that what they know is fresh, whatever its age.
    Ageless,
    /// Peers leave out that objects were removed.
    Immortal,
    /// The store's era is not read.
    NoEra,
    /// The era is read for pages, but not for their objects.
    EraOfPages,
    /// Configurations have no number.
    Unnumbered,
}

/// State of one VM as the network sees it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Line {
    pub(crate) up: bool,
    /// No path to the store.
    pub(crate) no_store: bool,
    /// Packets of its own reach no peer.
    pub(crate) mute: bool,
    /// Packets of peers do not reach it.
    pub(crate) deaf: bool,
    /// Last moment at which it was not in touch.
    pub(crate) disturbed: Option<Instant>,
}

/// What a VM cost.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    /// Bytes told to peers.
    pub told: u64,
    /// Bytes heard from peers.
    pub heard: u64,
}

/// A change and when it was acknowledged.
#[derive(Debug, Clone)]
struct Change {
    at: Instant,
    object: Object,
}

pub(crate) struct World {
    pub(crate) begun: Instant,
    pub(crate) store: Mutex<Store>,
    pub(crate) lines: Mutex<Vec<Line>>,
    pub(crate) costs: Mutex<Vec<Cost>>,
    pub(crate) known: Mutex<HashMap<Address, (usize, Arc<ControlState>)>>,
    /// What each VM was told of each object.
    pub(crate) seen: Mutex<Vec<HashMap<ObjectKey, Version>>>,
    /// Writes of each object, and their position among all that operators and targets
    /// wrote. A write that was lost and made again keeps its position.
    pub(crate) history: Mutex<HashMap<ObjectKey, Vec<(Object, usize)>>>,
    /// Position that each VM has reached.
    pub(crate) reached: Mutex<Vec<HashMap<ObjectKey, usize>>>,
    pub(crate) events: Mutex<u64>,
    /// Of all that VMs reported: the same in each run of a seed.
    pub(crate) digest: Mutex<Xxh3>,
    pub(crate) broken: Mutex<Vec<String>>,
    pub(crate) flaw: Flaw,
}

impl World {
    /// Position of an object among what operators and targets wrote. A copy of the
    /// store tells the object's old revision in the new era.
    pub(crate) fn position(&self, object: &Object) -> Option<usize> {
        let history = lock(&self.history);
        let told = object.version;
        let copies = lock(&self.store).copies.clone();
        // Only what a copy contains is told again; numbers above it are given out anew.
        let in_copies = |o: &Object| {
            let (first, last) = (usize::from(o.version.era()), usize::from(told.era()));
            copies[first..last]
                .iter()
                .all(|end| o.version.revision() <= *end)
        };
        let writes = history.get(&object.key)?.iter();
        let same = writes.filter(|(o, _)| {
            let revision = o.version.revision();
            // A VM's own removal may have the revision of another write by chance.
            revision == told.revision()
                && o.version <= told
                && o.body == object.body
                && in_copies(o)
        });
        same.max_by_key(|(o, _)| o.version)
            .map(|(_, position)| *position)
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// A running fleet.
pub struct Fleet {
    world: Arc<World>,
    plan: Plan,
    vms: Vec<Option<ControlPlane>>,
    changes: Vec<Change>,
    /// Changes whose bound has not passed yet.
    pending: Vec<usize>,
    pub(crate) rng: ChaCha8Rng,
    next_host: u64,
    hosts: Vec<u64>,
    /// Whether the fleet starts for the first time.
    first: bool,
    /// VMs with lower numbers are never started again.
    retired: usize,
    /// Number of the last configuration.
    config: u64,
    /// Position of the next write among all.
    next_position: usize,
    /// A copy of the store's content, and the number of changes in it.
    copy: Option<(Content, usize)>,
    /// When the store last came back from a copy.
    restored: Option<Instant>,
    /// Lost writes and when they are made again.
    rewrites: Vec<(Instant, Object)>,
    /// Whether operators also remove routes and add them again.
    pub(crate) removes_routes: bool,
}

fn domain(n: u32) -> DomainId {
    format!("domain-{n}")
        .parse()
        .unwrap_or_else(|e| panic!("{e}"))
}

fn address(n: u32) -> Address {
    Address::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 7000))
}

/// One VM in ten has a fast link.
fn link(plan: &Plan, n: u32) -> LinkRate {
    LinkRate(if n % 10 == plan.first_fast { 200 } else { 20 })
}

fn entry(plan: &Plan, n: u32, life: u64) -> Peer {
    Peer {
        member: Member {
            vm: VmId(n + 1),
            incarnation: Incarnation(life),
        },
        domain: domain(n % plan.domains),
        address: address(n),
        link: link(plan, n),
    }
}

fn host(plan: &Plan, id: u64, state: Lifecycle) -> Body {
    Body::Host(Host {
        id: HostId(id),
        service: "ledger".parse().unwrap_or_else(|e| panic!("{e}")),
        domain: domain((id % u64::from(plan.domains)) as u32),
        address: Address::from(([11, (id >> 16) as u8, (id >> 8) as u8, id as u8], 80)),
        state,
        incarnation: Incarnation(id),
        cold_ms: 0,
        slots: 2,
    })
}

fn route(n: u32, goal: u64) -> Body {
    let share = Share {
        service: "ledger".parse().unwrap_or_else(|e| panic!("{e}")),
        weight: 1,
    };
    Body::Route(Route {
        address: Address::from(([198, 18, (n >> 8) as u8, n as u8], 443)),
        shares: vec![share],
        non_idempotent: false,
        priority: 1,
        deadline_ms: 2000,
        goal_ms: goal,
    })
}

impl Fleet {
    /// Number of seeds: the VMs with the lowest numbers.
    pub const SEEDS: usize = 3;

    /// Number of VMs, those that are down included.
    pub fn size(&self) -> usize {
        self.vms.len()
    }

    /// Leaves the seeds down for good.
    pub fn retire_seeds(&mut self) {
        self.retired = Fleet::SEEDS;
    }

    /// Starts all VMs within 0.3 s, for the first time.
    pub async fn spawn(plan: Plan, seed: u64, flaw: Flaw) -> Fleet {
        let mut store = Store::new(plan.rate);
        let pool = Pool {
            conns: 2000,
            cold_ms: 2000,
            cold_rate: 5,
        };
        store.put(ObjectKey::new("pool", "ledger"), Body::Pool(pool), 0);
        let mut first = Vec::new();
        for n in 0..plan.routes {
            first.push(store.put(ObjectKey::new("route", n), route(n, 150), 0));
        }
        for id in 1..=plan.targets {
            let body = host(&plan, id, Lifecycle::Live);
            first.push(store.put(ObjectKey::new("host", id), body, 0));
        }
        let count = plan.vms as usize;
        let world = World {
            begun: Instant::now(),
            store: Mutex::new(store),
            lines: Mutex::new(vec![Line::default(); count]),
            costs: Mutex::new(vec![Cost::default(); count]),
            known: Mutex::default(),
            seen: Mutex::new(vec![HashMap::new(); count]),
            history: Mutex::default(),
            reached: Mutex::new(vec![HashMap::new(); count]),
            events: Mutex::new(0),
            digest: Mutex::default(),
            broken: Mutex::default(),
            flaw,
        };
        let mut fleet = Fleet {
            world: Arc::new(world),
            plan,
            vms: (0..count).map(|_| None).collect(),
            changes: Vec::new(),
            pending: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_host: plan.targets,
            hosts: (1..=plan.targets).collect(),
            first: true,
            retired: 0,
            config: 0,
            next_position: 1,
            copy: None,
            restored: None,
            rewrites: Vec::new(),
            removes_routes: false,
        };
        for object in first {
            fleet.record(object, 0);
        }
        fleet.start_all().await;
        fleet.first = false;
        fleet
    }

    /// Starts every VM that is down, within 0.3 s.
    pub async fn start_all(&mut self) {
        let pause = Duration::from_millis(300) / self.plan.vms;
        for i in 0..self.vms.len() {
            if self.vms[i].is_none() && i >= self.retired {
                self.start(i);
            }
            sleep(pause).await;
        }
    }

    /// Starts a VM. It knows nothing.
    pub fn start(&mut self, i: usize) {
        let life = self.world.begun.elapsed().as_millis() as u64 + 2;
        let own = entry(&self.plan, i as u32, life);
        lock(&self.world.seen)[i].clear();
        lock(&self.world.reached)[i].clear();
        lock(&self.world.lines)[i] = Line {
            up: true,
            disturbed: Some(Instant::now()),
            ..Line::default()
        };
        let start = Start {
            seeds: (0..Fleet::SEEDS as u32).map(address).collect(),
            first: self.first,
        };
        let at = own.address;
        let seed = self.rng.random();
        let environment = environment(&self.world, i, seed);
        let control = ControlPlane::spawn(own, true, Bounds::default(), &start, environment);
        lock(&self.world.known).insert(at, (i, control.state()));
        self.vms[i] = Some(control);
    }

    /// Kills a VM.
    pub fn kill(&mut self, i: usize) {
        self.vms[i] = None;
        self.disturb(i, |line| line.up = false);
        lock(&self.world.known).retain(|_, (n, _)| *n != i);
    }

    fn disturb(&self, i: usize, change: impl FnOnce(&mut Line)) {
        let mut lines = lock(&self.world.lines);
        change(&mut lines[i]);
        lines[i].disturbed = Some(Instant::now());
    }

    /// Cuts a VM from the store, or heals the cut.
    pub fn cut_store(&self, i: usize, cut: bool) {
        self.disturb(i, |line| line.no_store = cut);
    }

    /// Cuts a VM from its peers one way or both, or heals the cuts.
    pub fn cut_peers(&self, i: usize, mute: bool, deaf: bool) {
        self.disturb(i, |line| (line.mute, line.deaf) = (mute, deaf));
    }

    /// Whether a VM runs.
    pub fn is_up(&self, i: usize) -> bool {
        self.vms[i].is_some()
    }

    /// VMs that run and read the store themselves.
    pub fn readers(&self) -> Vec<usize> {
        let reads = |v: &Option<ControlPlane>| v.as_ref().is_some_and(|c| c.state().reads_store());
        (0..self.vms.len())
            .filter(|i| reads(&self.vms[*i]))
            .collect()
    }

    /// VMs that run and know enough to take packets.
    pub fn ready(&self) -> usize {
        let ready = |c: &ControlPlane| c.state().replica().is_complete();
        self.vms.iter().flatten().filter(|c| ready(c)).count()
    }

    /// Makes a change that operators or targets may make.
    pub fn change(&mut self) {
        let (key, body) = match self.rng.random_range(0..10) {
            0..2 => {
                let n = self.rng.random_range(0..self.plan.routes);
                let key = ObjectKey::new("route", n);
                let exists = || lock(&self.world.store).object(&key).is_some();
                let body = match self.removes_routes && exists() {
                    true if self.rng.random() => Body::Removed,
                    _ => route(n, self.rng.random_range(100..400)),
                };
                (key, body)
            }
            2 => {
                let id = domain(self.rng.random_range(0..self.plan.domains));
                let state = DomainState::Out;
                let body = match self.rng.random() {
                    true => Body::Domain { state },
                    false => Body::Removed,
                };
                (ObjectKey::new("domain", id), body)
            }
            3..6 => {
                self.next_host += 1;
                self.hosts.push(self.next_host);
                let body = host(&self.plan, self.next_host, Lifecycle::Live);
                (ObjectKey::new("host", self.next_host), body)
            }
            n => {
                let at = self.rng.random_range(0..self.hosts.len());
                let id = self.hosts[at];
                let key = ObjectKey::new("host", id);
                if n < 8 {
                    self.hosts.swap_remove(at);
                    (key, Body::Removed)
                } else {
                    (key, host(&self.plan, id, Lifecycle::Leaving))
                }
            }
        };
        if Feed::of(&key) == Some(Feed::Routes) {
            self.config += 1;
            // Operators write whole configurations, so those lost come with this one.
            let is_route = |object: &Object| Feed::of(&object.key) == Some(Feed::Routes);
            self.rewrite(|_, object| is_route(object));
        }
        self.rewrites.retain(|(_, waiting)| waiting.key != key);
        let position = self.next_position;
        self.next_position += 1;
        self.write(key, body, self.config, position);
    }

    /// Writes a configuration that sets or removes a route.
    pub(crate) fn configure(&mut self, n: u32, present: bool) {
        self.config += 1;
        let body = match present {
            true => route(n, 150),
            false => Body::Removed,
        };
        let position = self.next_position;
        self.next_position += 1;
        self.write(ObjectKey::new("route", n), body, self.config, position);
    }

    fn write(&mut self, key: ObjectKey, body: Body, config: u64, position: usize) {
        let object = lock(&self.world.store).put(key, body, config);
        self.record(object.clone(), position);
        self.pending.push(self.changes.len());
        self.changes.push(Change {
            at: Instant::now(),
            object,
        });
    }

    /// Notes the position of an object of the store among all writes.
    fn record(&self, object: Object, position: usize) {
        let mut history = lock(&self.world.history);
        let writes = history.entry(object.key.clone()).or_default();
        writes.push((object, position));
    }

    /// Keeps a copy of the store's content.
    pub fn copy_store(&mut self) {
        let content = lock(&self.world.store).content.clone();
        self.copy = Some((content, self.changes.len()));
    }

    /// The store comes back from the last copy. What was written since is lost, and
    /// written again within 2 s; entries of targets that have left lapse after 4 s.
    pub fn restore_store(&mut self) {
        let Some((content, first)) = self.copy.take() else {
            return;
        };
        lock(&self.world.store).restore(content);
        self.restored = Some(Instant::now());
        for i in 0..self.vms.len() {
            self.disturb(i, |_| {});
        }
        self.pending.retain(|at| *at < first);
        let lost: Vec<Object> = self.changes[first..]
            .iter()
            .map(|c| c.object.clone())
            .collect();
        let soon = Instant::now() + Duration::from_millis(self.rng.random_range(100..2000));
        let is_last = |n: usize| lost[n + 1..].iter().all(|later| later.key != lost[n].key);
        for (n, object) in lost
            .iter()
            .cloned()
            .enumerate()
            .filter(|(n, _)| is_last(*n))
        {
            let is_host = Feed::of(&object.key) == Some(Feed::Hosts);
            let lapses = is_host && object.body == Body::Removed;
            let due = if lapses { soon + LAPSE_TIME } else { soon };
            self.rewrites
                .retain(|(_, waiting)| waiting.key != lost[n].key);
            self.rewrites.push((due, object));
        }
    }

    /// Writes again what is due of the lost writes, in their order.
    fn rewrite(&mut self, is_due: impl Fn(Instant, &Object) -> bool) {
        let rewrites = std::mem::take(&mut self.rewrites);
        let (due, rest): (Vec<_>, Vec<_>) =
            rewrites.into_iter().partition(|(at, o)| is_due(*at, o));
        self.rewrites = rest;
        for (_, object) in due {
            let position = self.world.position(&object).unwrap_or(0);
            let known = lock(&self.world.store).object(&object.key);
            let body = known.as_ref().map_or(&Body::Removed, |o| &o.body);
            if *body != object.body {
                self.write(object.key, object.body, object.change, position);
            } else if let Some(known) = known {
                // The copy says the same already, and so stands for the lost write.
                self.record(known, position);
            }
        }
    }

    /// Lets time pass, and checks meanwhile that changes are in force in time.
    pub async fn play(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            sleep(Duration::from_millis(50)).await;
            let now = Instant::now();
            self.rewrite(|due, _| due <= now);
            self.check();
        }
    }

    /// A VM in touch knows every change once its bound has passed.
    fn check(&mut self) {
        let now = Instant::now();
        let calm = |line: &Line| {
            let long = line.disturbed.is_none_or(|at| now - at >= TOUCH);
            line.up && !line.no_store && !line.mute && !line.deaf && long
        };
        let lines = lock(&self.world.lines).clone();
        // A reader of the store that was cut off cannot tell whether the store
        // was away for all, and gives targets their time to come back. If it is
        // cut off again meanwhile, its peers turn to another one only then. No
        // packet reaches a target whose entry is gone, so no bound is broken.
        let cut = lines.iter().filter_map(|line| line.disturbed).max();
        let cut = cut.is_some_and(|at| now - at < TOUCH + GRACE);
        let is_due = |change: &Change| {
            let grace = cut && change.object.body == Body::Removed;
            let mut more = if grace { GRACE } else { Duration::ZERO };
            if self.may_be_held(change) {
                more = more.max(HELD_MAX);
            }
            now - change.at >= bound(&change.object.key) + more
        };
        let pending = self.pending.clone();
        let (due, rest): (Vec<usize>, Vec<usize>) = pending
            .into_iter()
            .partition(|at| is_due(&self.changes[*at]));
        self.pending = rest;
        for at in due {
            let change = &self.changes[at];
            for (i, vm) in self.vms.iter().enumerate() {
                let Some(vm) = vm.as_ref().filter(|_| calm(&lines[i])) else {
                    continue;
                };
                let known = vm.state();
                if !self.believes(&known, at) {
                    lock(&self.world.broken).push(self.describe(i, change, &known));
                }
            }
        }
    }

    /// Whether a change may wait, since VMs cannot tell it from one that the store lost: a
    /// failure domain that was taken back just after the store's return may have been taken
    /// out in the lost time. It stays out until operators had time to say so again.
    fn may_be_held(&self, change: &Change) -> bool {
        let taken_back = Feed::of(&change.object.key) == Some(Feed::Domains)
            && change.object.body == Body::Removed;
        let since = self
            .restored
            .map(|at| change.at.saturating_duration_since(at));
        taken_back && since.is_some_and(|since| since < TOUCH)
    }

    /// Whether a VM believes what a change says, or what a later one made of it. An
    /// older version that says the same is as good.
    fn believes(&self, known: &ControlState, at: usize) -> bool {
        let key = &self.changes[at].object.key;
        let replica = known.replica();
        let believed = replica.catalogue().get(key);
        let believed = believed.and_then(|o| as_believed(&o.body));
        let later = self.changes[at..].iter();
        let mut states = later.filter(|c| c.object.key == *key);
        replica.catalogue().version(key) >= self.changes[at].object.version
            || states.any(|c| as_believed(&c.object.body) == believed)
    }

    /// A VM that does not know a change in time.
    fn describe(&self, i: usize, change: &Change, known: &ControlState) -> String {
        let ms = |at: Instant| (at - self.world.begun).as_millis();
        let replica = known.replica();
        let feed = Feed::of(&change.object.key);
        let confirmed = feed.and_then(|f| replica.confirmed_at(f)).map(|at| at.0);
        let removed = change.object.body == Body::Removed;
        let position = known.position();
        format!(
            "vm {i} does not know {} in time, at {}: changed at {}, removed {removed}, version {}; \
             it knows {} through {:?}, confirmed at {confirmed:?}, direct {}, rank {}, above it {:?}",
            change.object.key,
            ms(Instant::now()),
            ms(change.at),
            change.object.version,
            replica.catalogue().version(&change.object.key),
            feed.and_then(|f| replica.revision(f)),
            known.reads_store(),
            position.rank,
            position.parent.map(|p| p.member.vm),
        )
    }

    /// Costs of each VM so far.
    pub fn costs(&self) -> Vec<Cost> {
        lock(&self.world.costs).clone()
    }

    /// Calls to the store so far, and those that it refused.
    pub fn store_calls(&self) -> (f64, u64) {
        let store = lock(&self.world.store);
        (store.calls, store.refused)
    }

    /// Has the store answer serializable lists from data of these ages: the first page,
    /// and the pages after it.
    pub fn set_list_ages(&self, ages: [Duration; 2]) {
        lock(&self.world.store).list_ages = ages;
    }

    /// Takes the store away, or brings it back.
    pub fn store_down(&self, down: bool) {
        lock(&self.world.store).down = down;
        for i in 0..self.vms.len() {
            self.disturb(i, |_| {});
        }
    }

    /// Objects that VMs have heard of so far.
    pub fn events(&self) -> u64 {
        *lock(&self.world.events)
    }

    /// Digest of the events of all VMs so far, with their times and order.
    pub fn digest(&self) -> u64 {
        lock(&self.world.digest).digest()
    }

    /// Broken promises so far.
    pub fn broken(&self) -> Vec<String> {
        lock(&self.world.broken).clone()
    }
}

/// Time within which a change must be in force: the users' bounds.
fn bound(key: &ObjectKey) -> Duration {
    match Feed::of(key) {
        Some(Feed::Domains) => Duration::from_millis(5000),
        _ => Duration::from_millis(3000),
    }
}

/// What a VM that knows an object believes of it. Failure domains that nobody has
/// heard of are in service.
fn as_believed(body: &Body) -> Option<&Body> {
    let absent = Body::Domain {
        state: DomainState::In,
    };
    Some(body).filter(|b| **b != Body::Removed && **b != absent)
}
