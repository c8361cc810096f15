//! A VM that is suspended while an answer waits to be read.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use burdocklever::{
    Bounds, CallFuture, CatalogueRequest, Code, ControlPlane, ControlState, Environment, Feed,
    LinkRate, Ms, Page, Peer, PlatformError, ReadRequest, Start, Store, Time,
};
use tokio::time::Instant;
use wire::{Incarnation, Member, Version, VmId};

/// Clocks start here, so that the age of what a peer knows can be expressed.
const CLOCK_START_MS: u64 = 1_000_000;
/// Time for which the VM is suspended. Its timers do not count it.
const SUSPENDED: Ms = Ms(20_000);

/// A VM's clock, and what happens to the VM.
#[derive(Default)]
struct Machine {
    suspended_ms: AtomicU64,
    /// Whether the VM is suspended when the next answer arrives, and nothing answers after
    /// that.
    suspend: AtomicBool,
    cut: AtomicBool,
}

impl Machine {
    /// To be called when an answer arrives.
    fn receive(&self) {
        if self.suspend.swap(false, Ordering::Relaxed) {
            self.suspended_ms.fetch_add(SUSPENDED.0, Ordering::Relaxed);
            self.cut.store(true, Ordering::Relaxed);
        }
    }

    async fn wait_while_cut(&self) {
        if self.cut.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

fn failed<T: Send + 'static>() -> CallFuture<T> {
    let error = PlatformError {
        code: Code::NoPlatform,
        detail: "not reached".into(),
    };
    Box::pin(async move { Err(error) })
}

/// An empty store in which nothing changes.
fn store(machine: Arc<Machine>) -> Store {
    Store {
        read: Box::new(move |feed, request, timeout| {
            let machine = machine.clone();
            Box::pin(async move {
                let wait = match request {
                    ReadRequest::Watch(_, wait) => wait,
                    ReadRequest::List(..) => Ms(0),
                };
                let answer = async {
                    tokio::time::sleep(Duration::from_millis(wait.0 + 4)).await;
                    machine.wait_while_cut().await;
                };
                let limit = Duration::from_millis(timeout.0);
                if tokio::time::timeout(limit, answer).await.is_err() {
                    return failed().await;
                }
                // The others are confirmed by answers of their own.
                if feed == Feed::Hosts {
                    machine.receive();
                }
                Ok(Page {
                    revision: Version(7),
                    ..Page::default()
                })
            })
        }),
        read_contacts: Box::new(|_| failed()),
        write_contacts: Box::new(|_, _| failed()),
    }
}

type Known = Arc<Mutex<Option<Arc<ControlState>>>>;

fn spawn(id: u32, store: Store, machine: Arc<Machine>, other: Known) -> ControlPlane {
    let begun = Instant::now();
    let clock_machine = machine.clone();
    let environment = Environment {
        store,
        query_peer: Box::new(move |_, request: CatalogueRequest, timeout: Ms| {
            let (machine, other) = (machine.clone(), other.lock().unwrap().clone());
            Box::pin(async move {
                let Some(state) = other else {
                    return failed().await;
                };
                let answer = async {
                    let body = state.answer(&request).await;
                    machine.wait_while_cut().await;
                    body
                };
                let limit = Duration::from_millis(timeout.0);
                match tokio::time::timeout(limit, answer).await {
                    Ok(Ok(body)) => {
                        machine.receive();
                        Ok(rmp_serde::from_slice(&body).unwrap())
                    }
                    _ => failed().await,
                }
            })
        }),
        clock: Box::new(move || {
            let suspended = clock_machine.suspended_ms.load(Ordering::Relaxed);
            Time(CLOCK_START_MS + suspended + begun.elapsed().as_millis() as u64)
        }),
        random: Box::new(|| 0.5),
        on_event: Box::new(|_| {}),
    };
    let peer = Peer {
        member: Member {
            vm: VmId(id),
            incarnation: Incarnation(1),
        },
        domain: "accra".parse().unwrap(),
        address: format!("10.0.0.{id}:80").parse().unwrap(),
        link: LinkRate(100 / id),
    };
    let seed = format!("10.0.0.{}:80", 3 - id);
    let start = Start {
        seeds: vec![seed.parse().unwrap()],
        first: false,
    };
    ControlPlane::spawn(peer, true, Bounds::default(), &start, environment)
}

/// Guards against old knowledge that is passed on as fresh: an answer that waited while the VM
/// was suspended counts from when it is read.
#[tokio::test(start_paused = true)]
async fn an_answer_of_the_store_that_waited_for_a_suspended_vm_confirms_nothing() {
    let machine: Arc<Machine> = Arc::default();
    let vm = spawn(1, store(machine.clone()), machine.clone(), Known::default());
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(vm.state().age_percent() < 100);
    machine.suspend.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let state = vm.state();
    let now = Time(CLOCK_START_MS + SUSPENDED.0 + 7000);
    let confirmed = state.replica().confirmed_at(Feed::Hosts);
    let age = now.since(confirmed.unwrap());
    assert!(age >= SUSPENDED, "age {age}");
}

/// The same for the reply of a peer, which tells an age that was true before.
#[tokio::test(start_paused = true)]
async fn a_reply_of_a_peer_that_waited_for_a_suspended_vm_confirms_nothing() {
    let (reader_machine, machine): (Arc<Machine>, Arc<Machine>) = Default::default();
    let (reader_state, follower_state): (Known, Known) = Default::default();
    let reads = store(reader_machine.clone());
    let reader = spawn(1, reads, reader_machine, follower_state.clone());
    *reader_state.lock().unwrap() = Some(reader.state());
    let no_store = Store {
        read: Box::new(|_, _, _| failed()),
        read_contacts: Box::new(|_| failed()),
        write_contacts: Box::new(|_, _| failed()),
    };
    let follower = spawn(2, no_store, machine.clone(), reader_state);
    *follower_state.lock().unwrap() = Some(follower.state());
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(follower.state().age_percent() < 100);
    machine.suspend.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let age = follower.state().age_percent();
    assert!(age > 500, "age {age}% of the maximum after 20 s");
}
