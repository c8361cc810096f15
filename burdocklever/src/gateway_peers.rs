//! How a gateway keeps its catalogue: from peers, or from the store.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use tokio::task::JoinSet;
use wire::{Address, Body, Member, Object, ObjectKey, State, Vm, VmId};

use crate::book::Update;
use crate::code::Code;
use crate::daemon::{no_bind, start_life, Result};
use crate::exchange::{self, Question};
use crate::follow::{register, register_pause, News, Reader};
use crate::gateway::{count, lock, Shared};
use crate::gateway_settings::GatewaySettings;
use crate::platform;
use crate::relay::{self, age_max, Relay};
use crate::store::{Entry, Feed, Store};
use crate::time::Ms;

/// Time that seeds have to answer a VM that starts before it reads the store.
/// They answer in about 5 ms.
const SEED_WAIT: Duration = Duration::from_millis(15);
/// Time between looks at the VM that this one looks after, and looks without
/// an answer after which its entry is removed: more than a failure domain is
/// cut off for, usually.
const LOOK: Duration = Duration::from_secs(30);
const LOOKS: u32 = 6;
/// Time that a VM takes to read from the store what a peer would not tell.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Pause before a peer is asked again after one failed.
const PEER_RETRY: Duration = Duration::from_millis(100);

pub(crate) fn peer_client() -> Result<reqwest::Client> {
    let client = reqwest::Client::builder().no_proxy();
    client.build().map_err(no_bind)
}

/// This VM's entry: its address is its identity.
pub(crate) fn own_entry(settings: &GatewaySettings) -> Vm {
    let id = match settings.datagram.ip() {
        IpAddr::V4(ip) => VmId(ip.into()),
        IpAddr::V6(ip) => VmId(crate::rank::hash(&ip.octets()) as u32),
    };
    let peer = settings.peer.unwrap_or(settings.datagram);
    Vm {
        member: Member {
            vm: id,
            life: start_life(),
        },
        domain: settings.domain.clone(),
        datagram: settings.datagram,
        peer,
        http: settings.ready,
        state: State::Live,
    }
}

/// Writes this VM's entry until the store has taken it.
pub(crate) async fn keep_entry(store: Arc<Store>, vm: Vm) {
    let mut failed = 0;
    while let Err(error) = register(&store, Entry::Write(vm.clone())).await {
        if failed == 0 {
            log::warn!(target: "store", error = error.to_string().as_str();
                "own entry not written yet");
        }
        failed += 1;
        tokio::time::sleep(register_pause(failed)).await;
    }
}

/// Removes the entry of the next VM in the ring if it is gone for good: nobody
/// else would, since entries do not lapse.
pub(crate) async fn look_after_next(shared: Arc<Shared>, store: Arc<Store>, own: VmId) {
    let mut missed = (VmId(0), 0);
    loop {
        tokio::time::sleep(LOOK).await;
        let next = relay::successor(own, lock(&shared.book).catalogue());
        let Some(next) = next else {
            continue;
        };
        let id = next.member.vm;
        let question = Question {
            from: lock(&shared.book).all_through(),
            wait: Ms(0),
        };
        if exchange::ask(&shared.http, next.peer, &question)
            .await
            .is_ok()
        {
            missed = (id, 0);
            continue;
        }
        missed = if missed.0 == id {
            (id, missed.1 + 1)
        } else {
            (id, 1)
        };
        if missed.1 < LOOKS {
            continue;
        }
        let version = lock(&shared.book)
            .catalogue()
            .version(&ObjectKey::new("vm", id));
        match register(&store, Entry::Remove(id, version)).await {
            Ok(()) => log::info!(target: "peer", vm = id.0; "entry of a VM that is gone removed"),
            Err(error) => log::warn!(target: "peer", vm = id.0, error = error.to_string().as_str();
                "entry of a VM that is gone not removed"),
        }
    }
}

pub(crate) fn peer_app(shared: Arc<Shared>) -> Router {
    let changed = shared.changes.subscribe();
    let update = move |question: &Question| {
        let now = shared.now();
        let book = lock(&shared.book);
        let fresh = book.fresh_for(now, age_max) > Ms(0);
        fresh.then(|| book.update(now, &question.from))
    };
    exchange::app(exchange::Source {
        update: Box::new(update),
        changed,
    })
}

/// Asks peers for the catalogue, and has the store read while none knows it
/// well enough.
pub(crate) async fn ask_peers(shared: Arc<Shared>, mut relay: Relay, seeds: Vec<Address>) {
    ask_seeds(&shared, &seeds).await;
    let mut asked: Option<VmId> = None;
    loop {
        let now = shared.now();
        let source = relay.source(now, lock(&shared.book).catalogue());
        let next = source.as_ref().map(|vm| vm.member.vm);
        if next != asked {
            log::info!(target: "peer", from = asked.map_or(0, |v| v.0), to = next.map_or(0, |v| v.0);
                "source of the catalogue changes; 0 is the store");
            asked = next;
        }
        let Some(vm) = source else {
            read_store(&shared, true);
            tokio::time::sleep(Duration::from_millis(exchange::WAIT.0)).await;
            continue;
        };
        let question = Question {
            from: lock(&shared.book).all_through(),
            wait: exchange::WAIT,
        };
        let fresh = lock(&shared.book).fresh_for(now, age_max);
        let asked = exchange::ask(&shared.http, vm.peer, &question);
        match within(fresh, asked).await {
            Ok(update) => learn_from_peer(&shared, update),
            Err(error) if error.code == Code::TooMuch => {
                read_store(&shared, true);
                tokio::time::sleep(CATCH_UP).await;
                continue;
            }
            Err(error) => {
                relay.suspect(shared.now(), vm.member.vm);
                log::info!(target: "peer", vm = vm.member.vm.0, error = error.to_string().as_str();
                    "peer passed over for a while");
                tokio::time::sleep(PEER_RETRY.min(Duration::from_millis(fresh.0))).await;
            }
        }
        let fresh = lock(&shared.book).fresh_for(shared.now(), age_max);
        read_store(&shared, fresh == Ms(0));
    }
}

/// Waits for a peer's answer while what is known is fresh, and at least for
/// [`SEED_WAIT`].
async fn within(
    fresh: Ms,
    asked: impl std::future::Future<Output = platform::Result<Update>>,
) -> platform::Result<Update> {
    let limit = Duration::from_millis(fresh.0).max(SEED_WAIT);
    match tokio::time::timeout(limit, asked).await {
        Ok(answer) => answer,
        Err(_) => Err(platform::Error {
            code: Code::NoPeer,
            detail: format!("no answer within {limit:?}").into(),
        }),
    }
}

/// Starts or stops to read the store.
fn read_store(shared: &Shared, on: bool) {
    let changed = shared
        .direct
        .send_if_modified(|direct| std::mem::replace(direct, on) != on);
    if changed {
        log::info!(target: "peer", direct = on; "reads the store itself");
    }
}

/// Asks all seeds at once, and goes on with the first answer, or without one.
async fn ask_seeds(shared: &Arc<Shared>, seeds: &[Address]) {
    let mut asked = JoinSet::new();
    for seed in seeds.iter().copied() {
        let http = shared.http.clone();
        let question = Question {
            from: Default::default(),
            wait: Ms(0),
        };
        asked.spawn(async move { exchange::ask(&http, seed, &question).await });
    }
    let first = async {
        while let Some(answer) = asked.join_next().await {
            if let Ok(Ok(update)) = answer {
                return Some(update);
            }
        }
        None
    };
    match tokio::time::timeout(SEED_WAIT, first).await {
        Ok(Some(update)) => learn_from_peer(shared, update),
        _ => read_store(shared, true),
    }
}

fn learn_from_peer(shared: &Shared, update: Update) {
    let now = shared.now();
    let fresh = lock(&shared.book).learn(now, update);
    adopt(shared, &fresh, 0);
}

/// Ends of what follows the store: the book, and what becomes of its changes.
pub(crate) fn reader(shared: &Arc<Shared>, store: Arc<Store>) -> Reader {
    let clock = shared.clone();
    let told = shared.clone();
    Reader {
        store,
        book: shared.book.clone(),
        clock: Box::new(move || clock.now()),
        tell: Box::new(move |feed, news| hear(&told, feed, news)),
    }
}

/// Takes in what following a feed told.
fn hear(shared: &Shared, feed: Feed, news: News) {
    match news {
        News::Changed(objects, skipped) => adopt(shared, &objects, skipped),
        News::Lost(error) => {
            count(&shared.counters.calls_failed);
            if lock(&shared.lost).insert(feed) {
                log::warn!(target: "store", feed = feed.to_string().as_str(),
                    error = error.to_string().as_str();
                    "store lost, going on with what is known");
            }
        }
        News::Regained => {
            if lock(&shared.lost).remove(&feed) {
                log::info!(target: "store", feed = feed.to_string().as_str(); "store regained");
            }
        }
    }
}

/// Steers by changed objects and wakes peers that wait for a change.
fn adopt(shared: &Shared, objects: &[Object], skipped: usize) {
    let now = shared.now();
    let book = lock(&shared.book);
    let confirmed = book.confirmed(Feed::Routes);
    let peers = book.catalogue().vms_in(&shared.domain).count();
    drop(book);
    let mut steering = shared.steering();
    steering.set_peers(peers as u32);
    for object in objects {
        steering.apply(now, object);
    }
    if let Some(at) = confirmed {
        steering.confirm(at);
    }
    drop(steering);
    if !objects.is_empty() {
        shared.changes.send_modify(|n| *n += 1);
    }
    log_changes(objects, skipped);
}

/// Changes that are logged one by one; more than these are only counted.
const CHANGES_LOGGED: usize = 20;

fn log_changes(objects: &[Object], skipped: usize) {
    if skipped > 0 {
        log::warn!(target: "catalogue", skipped = skipped; "entries that cannot be used");
    }
    if objects.len() > CHANGES_LOGGED {
        let newest = objects.iter().map(|o| o.version.0).max();
        log::info!(target: "catalogue", objects = objects.len(), newest = newest.unwrap_or(0);
            "many changes");
        return;
    }
    for object in objects {
        let state = match &object.body {
            Body::Host(host) => format!("{:?}", host.state),
            Body::Domain { state } => format!("{state:?}"),
            Body::Removed => "Removed".into(),
            _ => "Set".into(),
        };
        log::info!(target: "catalogue", object = object.key.to_string().as_str(),
            version = object.version.0, state = state.as_str(); "changed");
    }
}
