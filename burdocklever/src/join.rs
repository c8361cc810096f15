//! How a VM without a catalogue gets one.
//!
//! It asks its seeds, and soon also the contact points that the store lists. What
//! they tell of other VMs gives it a place in the fleet; a store reader then reads the
//! store, and every other VM asks the peers above it, which answer once they have
//! a catalogue themselves. Any catalogue will do, however old: better knowledge is
//! taken over as it comes. A VM that gets none in time reads the store with a
//! probability that doubles step by step, so that a fleet that starts at once makes
//! few calls.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;
use wire::{Address, VmId};

use crate::control_state::{CatalogueReply, ControlState};
use crate::peer_selection::start_probability;
use crate::platform_client::Result;
use crate::store::Store;
use crate::time::{Ms, Time};

/// Time for which the seeds alone are asked. They answer in about 5 ms.
const SEEDS_FIRST: Duration = Duration::from_millis(15);
/// Time after which another peer is asked while one does not answer.
const HEDGE_DELAY: Duration = Duration::from_millis(30);
/// Number of peers asked at a time.
const ASKED_MAX: usize = 4;
/// Time for which a peer without a catalogue may hold a request until it has one.
const HOLD_TIME: Ms = Ms(200);
/// Timeout of a request beyond the time for which it is held.
const ANSWER_TIMEOUT: Ms = Ms(100);
/// Time after which a peer that did not answer is asked again. It may have started
/// meanwhile.
const ASK_AGAIN: Ms = Ms(100);
/// Time after which VMs begin to read the store without having a place to. In a small
/// failure domain the calls cost less than the wait.
const PATIENCE: Ms = Ms(150);
const SMALL_DOMAIN_PATIENCE: Ms = Ms(30);
const SMALL_DOMAIN_VMS: u32 = 6;
/// The same while the fleet starts for the first time: nobody is served yet, and the
/// seeds may start later than the others.
const FIRST_PATIENCE: Ms = Ms(1000);
/// Interval of the steps in which more VMs read the store.
const STEP: Ms = Ms(50);
/// Number of VMs of a failure domain where no list tells it.
const DOMAIN_VMS_DEFAULT: u32 = 64;
/// Timeout of a read of the contact lists, and the pause before the next.
const CONTACTS_TIMEOUT: Ms = Ms(300);
const CONTACTS_PAUSE: Duration = Duration::from_millis(500);

/// Where a VM starts from.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Start {
    /// Addresses of VMs to ask first. Some may no longer exist.
    pub seeds: Vec<Address>,
    /// Whether the fleet starts for the first time.
    pub first: bool,
}

/// What a VM that joins has found out.
#[derive(Debug)]
struct Findings {
    /// Whether it has asked where the others are, so that its place is its own.
    placed: AtomicBool,
    domain_vms: AtomicU32,
}

/// Returns when this VM has a catalogue.
pub(crate) async fn join(state: &ControlState, store: &Store, start: &Start) {
    let own = state.members().own().address;
    let is_seed = start.seeds.contains(&own);
    let seeds: Vec<Address> = start.seeds.iter().copied().filter(|s| *s != own).collect();
    let findings = Findings {
        placed: AtomicBool::new(is_seed || start.seeds.is_empty()),
        domain_vms: AtomicU32::new(DOMAIN_VMS_DEFAULT),
    };
    let searching = async {
        tokio::join!(
            ask_peers(state, &seeds, &findings),
            find_contacts(state, store, &findings),
            read_store_in_turn(state, start.first && !is_seed, &findings),
        )
    };
    tokio::select! {
        biased;
        () = state.has_catalogue() => {}
        _ = searching => {}
    }
}

/// Asks seeds and peers, one more whenever one fails or is slow to answer.
async fn ask_peers(state: &ControlState, seeds: &[Address], findings: &Findings) {
    let mut asked: HashMap<Address, Time> = HashMap::new();
    let mut running = JoinSet::new();
    loop {
        let now = (state.clock)();
        let mut candidates: Vec<(Option<VmId>, Address)> =
            seeds.iter().map(|seed| (None, *seed)).collect();
        let position = state.position();
        let peers = position.peers();
        candidates.extend(peers.map(|p| (Some(p.member.vm), p.address)));
        let due = |address: &Address| {
            asked
                .get(address)
                .is_none_or(|at| now.since(*at) >= ASK_AGAIN)
        };
        let next = candidates.into_iter().find(|(_, address)| due(address));
        if let Some((vm, address)) = next.filter(|_| running.len() < ASKED_MAX) {
            asked.insert(address, now);
            // A seed without a catalogue tells at once whom it knows.
            let hold = vm.map_or(Ms(0), |_| HOLD_TIME);
            let (request, _) = state.request(hold, None, vm, 0);
            let limit = hold + ANSWER_TIMEOUT;
            let call = (state.query_peer)(address, request, limit);
            let asked = Asked { vm, at: now, limit };
            running.spawn(async move { (asked, call.await) });
        }
        tokio::select! {
            biased;
            Some(done) = running.join_next() => {
                if let Ok((asked, reply)) = done {
                    take_reply(state, &asked, reply, findings);
                }
            }
            () = tokio::time::sleep(HEDGE_DELAY) => {}
            () = state.peer_learned.notified() => {}
        }
    }
}

/// A request to a peer, or to a seed whose number is not known.
#[derive(Debug)]
struct Asked {
    vm: Option<VmId>,
    at: Time,
    limit: Ms,
}

fn take_reply(
    state: &ControlState,
    asked: &Asked,
    reply: Result<CatalogueReply>,
    findings: &Findings,
) {
    let now = (state.clock)();
    match (reply, asked.vm) {
        (Ok(reply), _) => {
            findings.placed.store(true, Ordering::Relaxed);
            state.apply_reply(reply, asked.at, asked.limit);
        }
        (Err(_), Some(vm)) => state.members().record_failure(now, vm, ASK_AGAIN),
        // A seed that does not answer is asked again.
        (Err(_), None) => {}
    }
}

/// Reads the contact lists from the store.
async fn find_contacts(state: &ControlState, store: &Store, findings: &Findings) {
    tokio::time::sleep(SEEDS_FIRST).await;
    let domain = state.members().own().domain.clone();
    loop {
        match (store.read_contacts)(CONTACTS_TIMEOUT).await {
            Ok(lists) => {
                for list in lists {
                    if list.domain == domain {
                        findings.domain_vms.store(list.vms, Ordering::Relaxed);
                    }
                    state.merge_contacts(list.peers);
                }
                findings.placed.store(true, Ordering::Relaxed);
                return;
            }
            Err(error) => {
                log::info!(target: "store", error = error.to_string().as_str();
                    "contact lists not read; trying again");
            }
        }
        tokio::time::sleep(CONTACTS_PAUSE).await;
    }
}

/// Reads the store if this VM is a store reader, or when its turn comes.
async fn read_store_in_turn(state: &ControlState, first: bool, findings: &Findings) {
    let start = (state.clock)();
    let mut step = 0;
    loop {
        let position = state.position();
        let alone = position.peers().next().is_none();
        let placed = findings.placed.load(Ordering::Relaxed) && !(alone && first);
        let elapsed = (state.clock)().since(start);
        let vms = findings.domain_vms.load(Ordering::Relaxed);
        let patience = match vms {
            _ if first => FIRST_PATIENCE,
            ..=SMALL_DOMAIN_VMS => SMALL_DOMAIN_PATIENCE,
            _ => PATIENCE,
        };
        let due = elapsed >= patience + Ms(STEP.0 * step);
        let turn = due && {
            step += 1;
            (state.random)() < start_probability(vms, step as u32)
        };
        if turn || (placed && position.is_reader()) {
            state.set_reads_store(true);
            return;
        }
        tokio::time::sleep(Duration::from_millis(STEP.0 / 4)).await;
    }
}
