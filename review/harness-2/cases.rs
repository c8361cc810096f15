//! The cases. Each returns the breaches of its rule, or an error if it could not run.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::world::{End, Try, World, CONFIG_APPLY, CONTACT, EVACUATE};

type Result = std::io::Result<Vec<String>>;

/// Time for which the store is away in a drill.
const AWAY: Duration = Duration::from_millis(500);

pub fn run(case: &str, record: &Path, trouble: bool) -> Result {
    let seconds = Duration::from_secs;
    let mut world = match case {
        "dropped-route" => World::spawn(&["accra", "tema", "accra", "tema"], 0)?,
        "restart" => World::spawn(&["accra", "tema", "accra", "tema"], 2)?,
        "late-operator" => World::spawn(&["accra", "tema", "accra", "tema"], 0)?,
        _ => return Err(other("no such case")),
    };
    world
        .record
        .add(&format!("case {case}, trouble: {trouble}"));
    let result = match case {
        "dropped-route" => dropped_route(&mut world, trouble, seconds(25)),
        "restart" => restart(&mut world, trouble),
        "late-operator" => late_operator(&mut world, trouble),
        _ => Err(other("no such case")),
    };
    if let Ok(broken) = &result {
        for line in broken {
            world.record.add(line);
        }
    }
    world.write_record(record)?;
    result
}

fn other(text: &str) -> std::io::Error {
    std::io::Error::other(text.to_string())
}

/// Waits until every gateway serves these routes.
fn start(world: &World, routes: &[(&str, u16)]) -> std::io::Result<()> {
    if !world.wait_ready(Duration::from_secs(20)) {
        return Err(other("not all gateways became ready"));
    }
    std::thread::sleep(CONTACT);
    let tries = world.round(routes);
    match tries.iter().all(|t| t.end == End::Answered) {
        true => Ok(()),
        false => Err(other(
            "not all requests were answered before the disruption",
        )),
    }
}

/// The store is away for a moment and comes back from a copy. Returns the time of its
/// return.
fn drill(world: &World, copy: crate::store::Content) -> Instant {
    world.record.add(&format!(
        "drill: the store is away, at revision {}",
        world.store.revision()
    ));
    world.store.leave();
    std::thread::sleep(AWAY);
    world.store.come_back(copy);
    world.record.add(&format!(
        "drill: the store is back from a copy, at revision {}",
        world.store.revision()
    ));
    Instant::now()
}

/// Tries that a host ran although they were sent after `from`.
fn run_after<'a>(world: &'a World, tries: &'a [Try], from: Instant) -> Vec<String> {
    let late = tries.iter().filter(|t| t.sent > from);
    let ran = late.filter_map(|t| Some((t, world.run_of(t.request)?)));
    ran.map(|(t, run)| {
        format!(
            "BROKEN: request {} on route {} through {} was run by {} in {}, sent {} ms after the bound",
            t.request,
            t.route,
            world.gateways[t.gateway].name,
            run.host,
            run.zone,
            (t.sent - from).as_millis()
        )
    })
    .collect()
}

/// A config drops a route. The store loses it in a drill and the operator writes it
/// again.
fn dropped_route(world: &mut World, trouble: bool, time: Duration) -> Result {
    let routes = [("a", 443), ("b", 8443)];
    let (a, b) = (
        world.route("a", 443, "ledger"),
        world.route("b", 8443, "ledger"),
    );
    world.write_config(7, &[a, b.clone()]);
    start(world, &routes)?;
    let copy = world.store.copy();
    std::thread::sleep(Duration::from_millis(500));
    let first = world.write_config(9, &[b.clone()]);
    std::thread::sleep(CONFIG_APPLY + Duration::from_millis(200));
    let before = world.round(&routes);
    if !run_after(world, &before, first)
        .iter()
        .all(|l| l.contains("route b"))
    {
        return Err(other("the dropped route was served before the disruption"));
    }
    let back = match trouble {
        true => drill(world, copy),
        false => Instant::now(),
    };
    world.heartbeat();
    std::thread::sleep(Duration::from_millis(800));
    let again = world.write_config(9, &[b]);
    let tries = world.rounds(&routes, time);
    let from = (again + CONFIG_APPLY).max(back + CONTACT);
    let on_b = tries.iter().filter(|t| t.route == "b" && t.sent > from);
    if on_b.clone().any(|t| t.end != End::Answered) {
        world
            .record
            .add("a request on the kept route was not answered");
    }
    let on_a: Vec<Try> = tries.iter().filter(|t| t.route == "a").cloned().collect();
    Ok(run_after(world, &on_a, from))
}

/// Tries that a host in an evacuated zone ran in the time from `from` to `until`.
fn run_in_zone(
    world: &World,
    tries: &[Try],
    zone: &str,
    from: Instant,
    until: Instant,
) -> Vec<String> {
    let due = tries.iter().filter(|t| t.sent > from && t.sent < until);
    let ran = due.filter_map(|t| Some((t, world.run_of(t.request)?)));
    ran.filter(|(_, run)| run.zone == zone)
        .map(|(t, run)| {
            format!(
                "BROKEN: request {} through {} was run by {} in {zone}, which is evacuated, sent {} ms after the bound",
                t.request,
                world.gateways[t.gateway].name,
                run.host,
                (t.sent - from).as_millis()
            )
        })
        .collect()
}

/// A zone is evacuated. The store loses that in a drill, a gateway is killed and starts
/// again, and the operator evacuates the zone again.
fn restart(world: &mut World, trouble: bool) -> Result {
    let routes = [("a", 443)];
    let a = world.route("a", 443, "ledger");
    world.write_config(7, &[a]);
    start(world, &routes)?;
    // The gateways write their contact lists.
    std::thread::sleep(Duration::from_secs(6));
    let copy = world.store.copy();
    std::thread::sleep(Duration::from_millis(500));
    let first = world.store.put("evacuations", "accra", "{}");
    world.record.add("operator evacuates accra, acknowledged");
    std::thread::sleep(Duration::from_millis(5200));
    let back = match trouble {
        true => drill(world, copy),
        false => Instant::now(),
    };
    world.heartbeat();
    if trouble {
        world.restart(0, Duration::from_millis(500))?;
    }
    let started = Instant::now();
    let tries = world.rounds(&routes, Duration::from_secs(9));
    let again = Instant::now();
    world.store.put("evacuations", "accra", "{}");
    world
        .record
        .add("operator evacuates accra again, acknowledged");
    let from = (first + EVACUATE)
        .max(back + CONTACT)
        .max(started + CONTACT);
    Ok(run_in_zone(world, &tries, "accra", from, again))
}

/// A zone is evacuated. The store loses that in a drill, and the operator evacuates the
/// zone again only 27 s later.
fn late_operator(world: &mut World, trouble: bool) -> Result {
    let routes = [("a", 443)];
    let a = world.route("a", 443, "ledger");
    world.write_config(7, &[a]);
    start(world, &routes)?;
    let copy = world.store.copy();
    std::thread::sleep(Duration::from_millis(500));
    let first = world.store.put("evacuations", "accra", "{}");
    world.record.add("operator evacuates accra, acknowledged");
    std::thread::sleep(Duration::from_millis(3000));
    let back = match trouble {
        true => drill(world, copy),
        false => Instant::now(),
    };
    world.heartbeat();
    let tries = world.rounds(&routes, Duration::from_secs(25));
    let again = Instant::now();
    world.store.put("evacuations", "accra", "{}");
    world
        .record
        .add("operator evacuates accra again, acknowledged");
    let from = (first + EVACUATE).max(back + CONTACT);
    Ok(run_in_zone(world, &tries, "accra", from, again))
}
