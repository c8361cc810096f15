//! Lists whose pages are of different revisions, since a serializable read may be answered
//! from old data.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use burdocklever::{
    Bounds, CallFuture, CatalogueRequest, Code, Consistency, ControlPlane, ControlState,
    Environment, Feed, LinkRate, Ms, Page, Peer, PlatformError, ReadRequest, Start, Store, Time,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use wire::{
    Body, DomainState, Host, HostId, Incarnation, Lifecycle, Member, Object, ObjectKey, Version,
    VmId,
};

/// Clocks start here, so that the age of what a peer knows can be expressed.
const CLOCK_START_MS: u64 = 1_000_000;
/// Objects a page.
const PAGE: usize = 3;
/// Number of names of a kind.
const NAMES: u64 = 10;

fn failed<T>(code: Code) -> Result<T, PlatformError> {
    Err(PlatformError {
        code,
        detail: "as the test requires".into(),
    })
}

/// A store of failure domains and targets that keeps its whole history.
struct History {
    rng: ChaCha8Rng,
    revision: u64,
    changes: Vec<Object>,
    /// Most revisions by which a page of a serializable list is behind.
    lag_max: u64,
    /// Revisions of the pages of the next lists, before random ones are drawn.
    pages: Vec<u64>,
    /// Whether the event of a removal has the revision of the object's last write.
    removals_at_last_write: bool,
    /// Number of revisions that a watch may go back.
    retained: u64,
    /// Whether objects are written while lists are read.
    busy: bool,
}

impl History {
    fn new(seed: u64) -> History {
        History {
            rng: ChaCha8Rng::seed_from_u64(seed),
            revision: 1,
            changes: Vec::new(),
            lag_max: 0,
            pages: Vec::new(),
            removals_at_last_write: false,
            retained: u64::MAX,
            busy: false,
        }
    }

    fn write(&mut self, key: ObjectKey, body: Body) {
        let known = self.as_of(self.revision, &key.kind).remove(&key);
        if known.map(|o| o.body).unwrap_or(Body::Removed) == body {
            return;
        }
        self.revision += 1;
        self.changes.push(Object {
            key,
            version: Version(self.revision),
            change: 0,
            body,
        });
    }

    fn write_random(&mut self) {
        let number = self.rng.random_range(0..NAMES);
        let (key, body) = match self.rng.random_bool(0.7) {
            true => (
                ObjectKey::new("host", number),
                host(number, self.rng.random_range(1..4)),
            ),
            false => (
                ObjectKey::new("domain", format!("domain-{number}")),
                Body::Domain {
                    state: DomainState::Out,
                },
            ),
        };
        let removed = self.rng.random_bool(0.4);
        self.write(key, if removed { Body::Removed } else { body });
    }

    /// Objects of a kind as they were at a revision.
    fn as_of(&self, revision: u64, kind: &str) -> BTreeMap<ObjectKey, Object> {
        let mut objects = BTreeMap::new();
        let known = self.changes.iter().filter(|o| o.version.0 <= revision);
        for change in known.filter(|o| &*o.key.kind == kind) {
            match change.body {
                Body::Removed => objects.remove(&change.key),
                _ => objects.insert(change.key.clone(), change.clone()),
            };
        }
        objects
    }

    fn list(&mut self, feed: Feed, after: Option<Box<str>>, consistency: Consistency) -> Page {
        let lag = match consistency {
            Consistency::Serializable => self.rng.random_range(0..=self.lag_max),
            Consistency::Linearizable => 0,
        };
        let scripted =
            (feed == Feed::Hosts && !self.pages.is_empty()).then(|| self.pages.remove(0));
        let revision = scripted.unwrap_or(self.revision.saturating_sub(lag).max(1));
        let objects = self.as_of(revision, kind(feed)).into_values();
        let rest = objects.filter(|o| after.as_ref().is_none_or(|name| o.key.name > *name));
        let mut objects: Vec<Object> = rest.collect();
        let more = objects.len() > PAGE;
        objects.truncate(PAGE);
        Page {
            next: objects.last().filter(|_| more).map(|o| o.key.name.clone()),
            objects,
            revision: Version(revision),
            ..Page::default()
        }
    }

    /// Changes of a feed after a revision.
    fn changes(&self, feed: Feed, from: u64) -> Result<Page, PlatformError> {
        if from.saturating_add(self.retained) < self.revision {
            return failed(Code::HistoryGone);
        }
        let later = self.changes.iter().filter(|o| o.version.0 > from);
        let of_kind = later.filter(|o| &*o.key.kind == kind(feed));
        let told = |object: &Object| {
            let before = self.as_of(object.version.0 - 1, &object.key.kind);
            let last = before.get(&object.key).map(|o| o.version);
            let is_early = self.removals_at_last_write && object.body == Body::Removed;
            Object {
                version: last.filter(|_| is_early).unwrap_or(object.version),
                ..object.clone()
            }
        };
        Ok(Page {
            objects: of_kind.map(told).collect(),
            revision: Version(self.revision),
            ..Page::default()
        })
    }

    /// What a catalogue must hold: each object with its body.
    fn content(&self) -> BTreeMap<ObjectKey, Body> {
        let kinds = ["domain", "host"].map(|kind| self.as_of(self.revision, kind));
        let objects = kinds.into_iter().flat_map(BTreeMap::into_values);
        objects.map(|o| (o.key, o.body)).collect()
    }
}

fn kind(feed: Feed) -> &'static str {
    match feed {
        Feed::Routes => "route",
        Feed::Domains => "domain",
        Feed::Hosts => "host",
    }
}

fn host(id: u64, incarnation: u64) -> Body {
    Body::Host(Host {
        id: HostId(id),
        service: "ledger".parse().unwrap(),
        domain: "accra".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        state: Lifecycle::Live,
        incarnation: Incarnation(incarnation),
        cold_ms: 0,
        slots: 2,
    })
}

type Shared = Arc<Mutex<History>>;

fn store(history: Shared) -> Store {
    Store {
        read: Box::new(move |feed, request, _| {
            let history = history.clone();
            Box::pin(async move {
                tokio::time::sleep(Duration::from_millis(2)).await;
                let answer = match request {
                    ReadRequest::List(after, consistency) => {
                        history.lock().unwrap().list(feed, after, consistency)
                    }
                    ReadRequest::Watch(from, wait) => {
                        let until = Instant::now() + Duration::from_millis(wait.0);
                        loop {
                            let page = history.lock().unwrap().changes(feed, from.0)?;
                            if !page.objects.is_empty() || Instant::now() >= until {
                                break page;
                            }
                            tokio::time::sleep(Duration::from_millis(20)).await;
                        }
                    }
                };
                let mut history = history.lock().unwrap();
                for _ in 0..if history.busy { 3 } else { 0 } {
                    history.write_random();
                }
                Ok(answer)
            })
        }),
        read_contacts: Box::new(|_| no_store()),
        write_contacts: Box::new(|_, _| no_store()),
    }
}

fn no_store<T: Send + 'static>() -> CallFuture<T> {
    Box::pin(async { failed(Code::NoPlatform) })
}

fn peer(id: u32) -> Peer {
    Peer {
        member: Member {
            vm: VmId(id),
            incarnation: Incarnation(1),
        },
        domain: "accra".parse().unwrap(),
        address: format!("10.0.0.{id}:80").parse().unwrap(),
        link: LinkRate(100 / id),
    }
}

type Known = Arc<Mutex<Option<Arc<ControlState>>>>;

/// Starts VM `id`, which knows the one that `other` will hold.
fn spawn(id: u32, store: Store, seeds: &[&str], other: Known) -> ControlPlane {
    let begun = Instant::now();
    let environment = Environment {
        store,
        query_peer: Box::new(move |_, request: CatalogueRequest, timeout: Ms| {
            let other = other.lock().unwrap().clone();
            Box::pin(async move {
                let Some(state) = other else {
                    return failed(Code::NoPeer);
                };
                let limit = Duration::from_millis(timeout.0);
                match tokio::time::timeout(limit, state.answer(&request)).await {
                    Ok(Ok(body)) => Ok(rmp_serde::from_slice(&body).unwrap()),
                    _ => failed(Code::NoPeer),
                }
            })
        }),
        clock: Box::new(move || Time(CLOCK_START_MS + begun.elapsed().as_millis() as u64)),
        random: Box::new(|| 0.5),
        on_event: Box::new(|_| {}),
    };
    let start = Start {
        seeds: seeds.iter().map(|s| s.parse().unwrap()).collect(),
        first: false,
    };
    ControlPlane::spawn(peer(id), true, Bounds::default(), &start, environment)
}

/// A VM that reads the store, and one that follows it and cannot reach the store.
fn spawn_pair(history: &Shared) -> [ControlPlane; 2] {
    let (reader_state, follower_state): (Known, Known) = Default::default();
    let reader = spawn(1, store(history.clone()), &[], follower_state.clone());
    *reader_state.lock().unwrap() = Some(reader.state());
    let unreachable = Store {
        read: Box::new(|_, _, _| no_store()),
        read_contacts: Box::new(|_| no_store()),
        write_contacts: Box::new(|_, _| no_store()),
    };
    let follower = spawn(2, unreachable, &["10.0.0.1:80"], reader_state);
    *follower_state.lock().unwrap() = Some(follower.state());
    [reader, follower]
}

fn content(vm: &ControlPlane) -> BTreeMap<ObjectKey, Body> {
    let state = vm.state();
    let replica = state.replica();
    let objects = replica.catalogue().objects();
    let present = objects.filter(|o| o.body != Body::Removed);
    present.map(|o| (o.key.clone(), o.body.clone())).collect()
}

/// Guards against a target that leaves and still gets new flows after all VMs were
/// restarted: its report lies between the revisions of two pages of the list.
#[tokio::test(start_paused = true)]
async fn a_change_between_the_revisions_of_two_pages_is_not_lost() {
    let mut history = History::new(0);
    for id in 0..6 {
        history.write(ObjectKey::new("host", id), host(id, 1));
    }
    let before = history.revision;
    let mut leaving = host(5, 1);
    if let Body::Host(host) = &mut leaving {
        host.state = Lifecycle::Leaving;
    }
    history.write(ObjectKey::new("host", 5), leaving.clone());
    history.write(ObjectKey::new("host", 4), Body::Removed);
    history.pages = vec![history.revision, before];
    let history: Shared = Arc::new(Mutex::new(history));
    let vms = spawn_pair(&history);
    tokio::time::sleep(Duration::from_secs(5)).await;
    for vm in &vms {
        let content = content(vm);
        assert_eq!(content.get(&ObjectKey::new("host", 5)), Some(&leaving));
        assert_eq!(content.get(&ObjectKey::new("host", 4)), None);
    }
}

/// Guards against changes that are lost for good, at the VM that lists or at one that
/// follows it, whatever the age of each page and whatever is written meanwhile.
#[tokio::test(start_paused = true)]
async fn replicas_hold_what_the_store_holds_after_lists_of_old_pages() {
    let mut differ = Vec::new();
    for seed in 0..100 {
        let mut history = History::new(seed);
        for _ in 0..60 {
            history.write_random();
        }
        history.lag_max = 24;
        history.removals_at_last_write = seed % 2 == 1;
        history.retained = if seed % 3 == 0 { 30 } else { u64::MAX };
        history.busy = true;
        let history: Shared = Arc::new(Mutex::new(history));
        let vms = spawn_pair(&history);
        tokio::time::sleep(Duration::from_secs(2)).await;
        history.lock().unwrap().busy = false;
        tokio::time::sleep(Duration::from_secs(8)).await;
        let expected = history.lock().unwrap().content();
        for (vm, name) in vms.iter().zip(["reader", "follower"]) {
            if content(vm) != expected {
                differ.push(format!("seed {seed}, {name}"));
            }
        }
    }
    assert!(differ.is_empty(), "{} of 200: {differ:?}", differ.len());
}

/// A store whose lists are the given pages, over and over, and nothing else.
fn store_of_pages(pages: Vec<Page>, calls: Arc<Mutex<Vec<Feed>>>) -> Store {
    Store {
        read: Box::new(move |feed, request, _| {
            let page = match request {
                ReadRequest::List(after, _) if feed == Feed::Routes => {
                    pages[usize::from(after.is_some()) % pages.len()].clone()
                }
                _ => Page {
                    revision: Version(9),
                    ..Page::default()
                },
            };
            calls.lock().unwrap().push(feed);
            Box::pin(async move {
                tokio::time::sleep(Duration::from_millis(20)).await;
                Ok(page)
            })
        }),
        read_contacts: Box::new(|_| no_store()),
        write_contacts: Box::new(|_, _| no_store()),
    }
}

fn route_page(complete: bool, skipped: usize, next: Option<&str>) -> Page {
    let route = Object {
        key: ObjectKey::new("pool", "ledger"),
        version: Version(9),
        change: 1,
        body: Body::Pool(wire::Pool {
            conns: 1,
            cold_ms: 0,
            cold_rate: 0,
        }),
    };
    Page {
        objects: if complete { vec![route] } else { Vec::new() },
        complete,
        skipped,
        next: next.map(Into::into),
        revision: Version(9),
    }
}

/// Guards against a VM that never starts because the configuration is on another page than
/// an entry that cannot be used, and against one that starts without any route.
#[tokio::test(start_paused = true)]
async fn a_configuration_counts_on_whatever_page_it_is() {
    let odd = |next| route_page(false, 1, next);
    let cases = [
        (vec![odd(Some("m")), route_page(true, 0, None)], true),
        (vec![route_page(true, 0, Some("m")), odd(None)], true),
        (vec![odd(Some("m")), odd(None)], false),
    ];
    for (pages, starts) in cases {
        let vm = spawn(
            1,
            store_of_pages(pages, Arc::default()),
            &[],
            Known::default(),
        );
        tokio::time::sleep(Duration::from_secs(5)).await;
        let is_complete = vm.state().replica().is_complete();
        assert_eq!(is_complete, starts);
    }
}

/// Guards against calls without end to a store that repeats the page that it is asked to
/// continue.
#[tokio::test(start_paused = true)]
async fn a_list_that_does_not_continue_is_read_again_after_a_pause() {
    let calls: Arc<Mutex<Vec<Feed>>> = Arc::default();
    let page = route_page(true, 0, Some("m"));
    let pages = store_of_pages(vec![page], calls.clone());
    let vm = spawn(1, pages, &[], Known::default());
    tokio::time::sleep(Duration::from_secs(20)).await;
    let lists = calls.lock().unwrap();
    let lists = lists.iter().filter(|feed| **feed == Feed::Routes).count();
    // Two pages every 0.25 s at least; without a pause there are 1,000.
    assert!((20..160).contains(&lists), "{lists} pages in 20 s");
    assert!(!vm.state().replica().is_complete());
}
