//! A fleet's control: real lists, watches and relays on a simulated network,
//! in simulated time, with an oracle that watches what every VM believes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use burdocklever::{
    Call, Code, Control, Entry, Feed, Known, Ms, News, Ports, Question, Reply, Time,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, timeout, Instant};
use wire::{
    Address, Body, DomainId, DomainState, Host, HostId, Incarnation, Member, Object, ObjectKey,
    Pool, Route, Share, State, Version, Vm, VmId,
};

use crate::store::{self, Store};

/// Trip between two VMs.
const TRIP: Duration = Duration::from_micros(600);
/// Time after a disruption during which a VM's view may be late.
const TOUCH: Duration = Duration::from_millis(5000);

/// Time by which removals of targets may be later after a disruption: 2.2 s for
/// which they are held back, and 2.3 s until a peer turns away from a VM that was
/// cut off meanwhile.
const GRACE: Duration = Duration::from_millis(4500);

/// Sizes of a fleet and of what it knows.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Entry VMs that exist.
    pub vms: u32,
    /// Those of them that run here. The others are only listed.
    pub run: u32,
    /// Failure domains.
    pub domains: u32,
    /// Targets.
    pub targets: u64,
    /// Routes.
    pub routes: u32,
    /// Reading calls a second that the store takes.
    pub rate: f64,
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
}

/// State of one VM as the network sees it.
#[derive(Debug, Clone, Copy, Default)]
struct Line {
    up: bool,
    /// No path to the store.
    no_store: bool,
    /// Packets of its own reach no peer.
    mute: bool,
    /// Packets of peers do not reach it.
    deaf: bool,
    /// Last moment at which it was not in touch.
    disturbed: Option<Instant>,
}

/// What a VM cost.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    /// Calls to the store.
    pub calls: u64,
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

struct World {
    begun: Instant,
    store: Mutex<Store>,
    lines: Mutex<Vec<Line>>,
    costs: Mutex<Vec<Cost>>,
    known: Mutex<HashMap<Address, (usize, Arc<Known>)>>,
    /// What each VM was told of each object.
    seen: Mutex<Vec<HashMap<ObjectKey, Version>>>,
    events: Mutex<u64>,
    broken: Mutex<Vec<String>>,
    flaw: Flaw,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// A running fleet.
pub struct Fleet {
    world: Arc<World>,
    plan: Plan,
    vms: Vec<Option<Control>>,
    changes: Vec<Change>,
    /// Changes that have been checked.
    checked: usize,
    pub(crate) rng: ChaCha8Rng,
    next_host: u64,
    hosts: Vec<u64>,
}

fn domain(n: u32) -> DomainId {
    format!("domain-{n}")
        .parse()
        .unwrap_or_else(|e| panic!("{e}"))
}

fn address(n: u32) -> Address {
    Address::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 7000))
}

fn entry(plan: &Plan, n: u32, life: u64) -> Vm {
    Vm {
        member: Member {
            vm: VmId(n + 1),
            life: Incarnation(life),
        },
        domain: domain(n % plan.domains),
        datagram: address(n),
        peer: address(n),
        http: address(n),
        state: State::Live,
    }
}

fn host(plan: &Plan, id: u64, state: State) -> Body {
    Body::Host(Host {
        id: HostId(id),
        service: "ledger".parse().unwrap_or_else(|e| panic!("{e}")),
        domain: domain((id % u64::from(plan.domains)) as u32),
        address: Address::from(([11, (id >> 16) as u8, (id >> 8) as u8, id as u8], 80)),
        state,
        life: Incarnation(id),
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
        once: false,
        rank: 1,
        deadline_ms: 2000,
        goal_ms: goal,
    })
}

impl Fleet {
    /// Starts all VMs that run here within 0.3 s. The others are listed before.
    pub async fn spawn(plan: Plan, seed: u64, flaw: Flaw) -> Fleet {
        let mut store = Store::new(plan.rate);
        let pool = Pool {
            conns: 2000,
            cold_ms: 2000,
            cold_rate: 5,
        };
        store.put(ObjectKey::new("pool", "ledger"), Body::Pool(pool));
        for n in 0..plan.routes {
            store.put(ObjectKey::new("route", n), route(n, 150));
        }
        for id in 1..=plan.targets {
            store.put(ObjectKey::new("host", id), host(&plan, id, State::Live));
        }
        let step = (plan.vms / plan.run).max(1);
        for n in (0..plan.vms).filter(|n| n % step != 0 || n / step >= plan.run) {
            let vm = entry(&plan, n, 1);
            store.put(ObjectKey::new("vm", vm.member.vm), Body::Vm(vm));
        }
        let count = plan.run as usize;
        let world = World {
            begun: Instant::now(),
            store: Mutex::new(store),
            lines: Mutex::new(vec![Line::default(); count]),
            costs: Mutex::new(vec![Cost::default(); count]),
            known: Mutex::default(),
            seen: Mutex::new(vec![HashMap::new(); count]),
            events: Mutex::new(0),
            broken: Mutex::default(),
            flaw,
        };
        let mut fleet = Fleet {
            world: Arc::new(world),
            plan,
            vms: (0..count).map(|_| None).collect(),
            changes: Vec::new(),
            checked: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_host: plan.targets,
            hosts: (1..=plan.targets).collect(),
        };
        fleet.start_all().await;
        fleet
    }

    /// Starts every VM that is down, within 0.3 s.
    pub async fn start_all(&mut self) {
        let pause = Duration::from_millis(300) / self.plan.run;
        for i in 0..self.vms.len() {
            if self.vms[i].is_none() {
                self.start(i);
            }
            sleep(pause).await;
        }
    }

    /// Starts a VM. It knows nothing.
    pub fn start(&mut self, i: usize) {
        let step = (self.plan.vms / self.plan.run).max(1);
        let life = self.world.begun.elapsed().as_millis() as u64 + 2;
        let own = entry(&self.plan, i as u32 * step, life);
        lock(&self.world.seen)[i].clear();
        lock(&self.world.lines)[i] = Line {
            up: true,
            disturbed: Some(Instant::now()),
            ..Line::default()
        };
        let seeds: Vec<Address> = (0..3).map(|s| address(s * step)).collect();
        let at = own.peer;
        let seed = self.rng.random();
        let control = Control::spawn(own, true, &seeds, ports(&self.world, i, seed));
        lock(&self.world.known).insert(at, (i, control.known()));
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
        let reads = |v: &Option<Control>| v.as_ref().is_some_and(|c| c.known().is_direct());
        (0..self.vms.len())
            .filter(|i| reads(&self.vms[*i]))
            .collect()
    }

    /// VMs that run and know enough to take packets.
    pub fn ready(&self) -> usize {
        let ready = |c: &Control| c.known().book().is_complete();
        self.vms.iter().flatten().filter(|c| ready(c)).count()
    }

    /// Makes a change that operators or targets may make.
    pub fn change(&mut self) {
        let (key, body) = match self.rng.random_range(0..10) {
            0..2 => {
                let n = self.rng.random_range(0..self.plan.routes);
                (
                    ObjectKey::new("route", n),
                    route(n, self.rng.random_range(100..400)),
                )
            }
            2 => {
                let id = domain(self.rng.random_range(0..self.plan.domains));
                let state = match self.rng.random() {
                    true => DomainState::Out,
                    false => DomainState::In,
                };
                (ObjectKey::new("domain", id), Body::Domain { state })
            }
            3..6 => {
                self.next_host += 1;
                self.hosts.push(self.next_host);
                let body = host(&self.plan, self.next_host, State::Live);
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
                    (key, host(&self.plan, id, State::Leaving))
                }
            }
        };
        let object = lock(&self.world.store).put(key, body);
        self.changes.push(Change {
            at: Instant::now(),
            object,
        });
    }

    /// Lets time pass, and checks meanwhile that changes are in force in time.
    pub async fn play(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            sleep(Duration::from_millis(50)).await;
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
        while let Some(change) = self.changes.get(self.checked) {
            let key = &change.object.key;
            // A reader of the store that was cut off cannot tell whether the store
            // was away for all, and gives targets their time to come back. If it is
            // cut off again meanwhile, its peers turn to another one only then. No
            // packet reaches a target whose entry is gone, so no bound is broken.
            let cut = lines.iter().filter_map(|line| line.disturbed);
            let cut = cut.max().is_some_and(|at| now - at < TOUCH + GRACE);
            let grace = cut && change.object.body == Body::Removed;
            if now - change.at < bound(key) + if grace { GRACE } else { Duration::ZERO } {
                return;
            }
            self.checked += 1;
            for (i, vm) in self.vms.iter().enumerate() {
                let Some(vm) = vm.as_ref().filter(|_| calm(&lines[i])) else {
                    continue;
                };
                let known = vm.known();
                let book = known.book();
                let believed = book.catalogue().get(key);
                let believed = believed.and_then(|o| as_believed(&o.body));
                // An older version that says the same is as good, and so is what a
                // later change made of it.
                let later = self.changes[self.checked - 1..].iter();
                let mut states = later.filter(|c| c.object.key == *key);
                let told = book.catalogue().version(key) >= change.object.version
                    || states.any(|c| as_believed(&c.object.body) == believed);
                drop(book);
                if !told {
                    lock(&self.world.broken).push(self.describe(i, change, &known));
                }
            }
        }
    }

    /// A VM that does not know a change in time.
    fn describe(&self, i: usize, change: &Change, known: &Known) -> String {
        let ms = |at: Instant| (at - self.world.begun).as_millis();
        let book = known.book();
        let feed = Feed::of(&change.object.key);
        let confirmed = feed.and_then(|f| book.confirmed(f)).map(|at| at.0);
        let removed = change.object.body == Body::Removed;
        format!(
            "vm {i} does not know {} in time, at {}: changed at {}, removed {removed}, version {}; \
             it knows {} through {:?}, confirmed at {confirmed:?}, direct {}",
            change.object.key,
            ms(Instant::now()),
            ms(change.at),
            change.object.version,
            book.catalogue().version(&change.object.key),
            feed.and_then(|f| book.through(f)),
            known.is_direct(),
        )
    }

    /// Costs of each VM so far.
    pub fn costs(&self) -> Vec<Cost> {
        lock(&self.world.costs).clone()
    }

    /// Calls to the store so far, and those that it refused.
    pub fn store_calls(&self) -> (u64, u64) {
        let store = lock(&self.world.store);
        (store.calls, store.refused)
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

/// Connections of VM `i` to the simulated world.
fn ports(world: &Arc<World>, i: usize, seed: u64) -> Ports {
    let (reading, writing, asking) = (world.clone(), world.clone(), world.clone());
    let (clock, telling) = (world.clone(), world.clone());
    let rng = Mutex::new(ChaCha8Rng::seed_from_u64(seed));
    Ports {
        store: burdocklever::Store {
            read: Box::new(move |feed, ask, limit| {
                let world = reading.clone();
                Box::pin(async move {
                    lock(&world.costs)[i].calls += 1;
                    let reaches = || !lock(&world.lines)[i].no_store;
                    store::read(&world.store, reaches, feed, ask, limit).await
                })
            }),
            write: Box::new(move |change, limit| {
                let world = writing.clone();
                Box::pin(async move { write(&world, i, change, limit).await })
            }),
        },
        ask: Box::new(move |to, question, limit| ask(asking.clone(), i, to, question, limit)),
        clock: Box::new(move || Time(clock.begun.elapsed().as_millis() as u64)),
        chance: Box::new(move || lock(&rng).random()),
        tell: Box::new(move |news| hear(&telling, i, news)),
    }
}

async fn write(world: &World, i: usize, change: Entry, limit: Ms) -> store::Result<()> {
    lock(&world.costs)[i].calls += 1;
    if lock(&world.lines)[i].no_store || lock(&world.store).down {
        sleep(Duration::from_millis(limit.0)).await;
        return Err(store::error(Code::NoPlatform));
    }
    sleep(Duration::from_millis(4)).await;
    let (vm, body) = match change {
        Entry::Write(vm) => (vm.member.vm, Body::Vm(vm)),
        Entry::Remove(vm, _) => (vm, Body::Removed),
    };
    lock(&world.store).put(ObjectKey::new("vm", vm), body);
    Ok(())
}

/// A question's way to a peer and back.
fn ask(world: Arc<World>, i: usize, to: Address, question: Question, limit: Ms) -> Call<Reply> {
    Box::pin(async move {
        let passes = |from: usize, to: usize| {
            let lines = lock(&world.lines);
            lines[from].up && lines[to].up && !lines[from].mute && !lines[to].deaf
        };
        let lost = std::future::pending::<()>;
        let call = async {
            sleep(TRIP).await;
            let peer = lock(&world.known).get(&to).cloned();
            let Some((n, known)) = peer.filter(|(n, _)| passes(i, *n)) else {
                lost().await;
                unreachable!("a lost question is never answered");
            };
            let body = known.answer(&question).await?;
            sleep(TRIP).await;
            if !passes(n, i) {
                lost().await;
            }
            {
                let mut costs = lock(&world.costs);
                costs[n].told += body.len() as u64;
                costs[i].heard += body.len() as u64;
            }
            let reply = rmp_serde::from_slice(&body);
            reply
                .map_err(|_| store::error(Code::NoPeer))
                .map(|r| flawed(r, world.flaw))
        };
        let limit = Duration::from_millis(limit.0);
        timeout(limit, call)
            .await
            .unwrap_or_else(|_| Err(store::error(Code::NoPeer)))
    })
}

fn flawed(mut reply: Reply, flaw: Flaw) -> Reply {
    let update = &mut reply.update;
    match flaw {
        Flaw::None => {}
        Flaw::Ageless => update.age = update.age.map(|age| age.map(|_| Ms(0))),
        Flaw::Immortal => update.objects.retain(|o| o.body != Body::Removed),
    }
    reply
}

/// What a VM learns never takes it back.
fn hear(world: &World, i: usize, news: News<'_>) {
    let News::Changed(objects, _) = news else {
        return;
    };
    *lock(&world.events) += objects.len() as u64;
    let mut seen = lock(&world.seen);
    for object in objects {
        let before = seen[i].insert(object.key.clone(), object.version);
        if before.is_some_and(|before| before >= object.version) {
            let back = format!("vm {i} went back at {}", object.key);
            lock(&world.broken).push(back);
        }
    }
}
