//! The network between simulated VMs, and from them to the store.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use burdocklever::{
    CallFuture, CatalogueReply, CatalogueRequest, Code, ContactList, ControlEvent, Environment, Ms,
    Page, Time,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, timeout};
use wire::{Address, Body, Object, Version};

use crate::fleet::{lock, Flaw, World};
use crate::store;

/// Trip between two VMs.
const TRIP: Duration = Duration::from_micros(600);

/// Connections of VM `i` to the simulated world.
pub(crate) fn environment(world: &Arc<World>, i: usize, seed: u64) -> Environment {
    let (reading, contacts, writing) = (world.clone(), world.clone(), world.clone());
    let asking = world.clone();
    let (clock, telling) = (world.clone(), world.clone());
    let rng = Mutex::new(ChaCha8Rng::seed_from_u64(seed));
    Environment {
        store: burdocklever::Store {
            read: Box::new(move |feed, ask, limit| {
                let world = reading.clone();
                Box::pin(async move {
                    let reaches = || !lock(&world.lines)[i].no_store;
                    let page = store::read(&world.store, reaches, feed, ask, limit).await;
                    page.map(|page| flawed_page(page, world.flaw))
                })
            }),
            read_contacts: Box::new(move |limit| {
                let world = contacts.clone();
                Box::pin(async move { read_contacts(&world, i, limit).await })
            }),
            write_contacts: Box::new(move |list, limit| {
                let world = writing.clone();
                Box::pin(async move { write_contacts(&world, i, list, limit).await })
            }),
        },
        query_peer: Box::new(move |to, request, limit| {
            query_peer(asking.clone(), i, to, request, limit)
        }),
        clock: Box::new(move || now(&clock)),
        random: Box::new(move || lock(&rng).random()),
        on_event: Box::new(move |event| hear(&telling, i, event)),
    }
}

/// Reading of the clocks at the start. Instants before it can be expressed.
const CLOCK_START: u64 = 1_000_000;

fn now(world: &World) -> Time {
    Time(CLOCK_START + world.begun.elapsed().as_millis() as u64)
}

/// The way of a call to the store and back. The call hangs if the store is not reached.
async fn reach_store(world: &World, i: usize, limit: Ms) -> store::Result<()> {
    if lock(&world.lines)[i].no_store || lock(&world.store).down {
        sleep(Duration::from_millis(limit.0)).await;
        return Err(store::error(Code::NoPlatform));
    }
    sleep(store::ANSWER).await;
    Ok(())
}

async fn read_contacts(world: &World, i: usize, limit: Ms) -> store::Result<Vec<ContactList>> {
    reach_store(world, i, limit).await?;
    let mut store = lock(&world.store);
    store.calls += store::STALE_CALL_COST;
    Ok(store.content.contacts.values().cloned().collect())
}

async fn write_contacts(
    world: &World,
    i: usize,
    list: ContactList,
    limit: Ms,
) -> store::Result<()> {
    reach_store(world, i, limit).await?;
    let mut store = lock(&world.store);
    store.take()?;
    store.content.contacts.insert(list.domain.clone(), list);
    Ok(())
}

/// A question's way to a peer and back.
fn query_peer(
    world: Arc<World>,
    i: usize,
    to: Address,
    request: CatalogueRequest,
    limit: Ms,
) -> CallFuture<CatalogueReply> {
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
            let body = known.answer(&request).await?;
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

/// What an adapter with a fault makes of a page.
fn flawed_page(mut page: Page, flaw: Flaw) -> Page {
    if flaw == Flaw::NoEra {
        page.revision = Version(page.revision.revision());
    }
    for object in &mut page.objects {
        if matches!(flaw, Flaw::NoEra | Flaw::EraOfPages) {
            object.version = Version(object.version.revision());
        }
        if flaw == Flaw::Unnumbered {
            object.change = 0;
        }
    }
    page
}

fn flawed(mut reply: CatalogueReply, flaw: Flaw) -> CatalogueReply {
    let Some(update) = &mut reply.update else {
        return reply;
    };
    match flaw {
        Flaw::None | Flaw::NoEra | Flaw::EraOfPages | Flaw::Unnumbered => {}
        Flaw::Ageless => update.age = update.age.map(|age| age.map(|_| Ms(0))),
        Flaw::Immortal => update.objects.retain(|o| o.body != Body::Removed),
    }
    reply
}

/// A VM never returns from what an operator or a target wrote to what was before it.
fn check_order(world: &World, i: usize, objects: &[Object]) {
    let mut reached = lock(&world.reached);
    for object in objects {
        let Some(at) = world.position(object) else {
            continue;
        };
        let before = reached[i].insert(object.key.clone(), at);
        if before.is_some_and(|before| before > at) {
            let back = format!(
                "vm {i} reverted {} from write {before:?} to {at} at {:?}: version {}.{}, {:?}",
                object.key,
                world.begun.elapsed(),
                object.version.era(),
                object.version.revision(),
                object.body,
            );
            lock(&world.broken).push(back);
        }
    }
}

/// Adds an event to the digest.
fn record(world: &World, i: usize, event: &ControlEvent<'_>) {
    let at = world.begun.elapsed();
    let text = match event {
        ControlEvent::Changed(objects, _) => format!("{at:?} {i} changed {objects:?}\n"),
        other => format!("{at:?} {i} {other:?}\n"),
    };
    lock(&world.digest).update(text.as_bytes());
}

/// What a VM learns never takes it back.
fn hear(world: &World, i: usize, event: ControlEvent<'_>) {
    record(world, i, &event);
    let ControlEvent::Changed(objects, _) = event else {
        return;
    };
    *lock(&world.events) += objects.len() as u64;
    check_order(world, i, objects);
    let mut seen = lock(&world.seen);
    for object in objects {
        let before = seen[i].insert(object.key.clone(), object.version);
        if before.is_some_and(|before| before >= object.version) {
            let back = format!("vm {i} went back at {}", object.key);
            lock(&world.broken).push(back);
        }
    }
}
