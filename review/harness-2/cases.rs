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
        "late-evacuation" => World::spawn(&["accra", "tema", "accra", "tema"], 0)?,
        "same-revision" => World::spawn(&["accra", "tema", "accra", "tema"], 0)?,
        "late-operator" => World::spawn(&["accra", "tema", "accra", "tema"], 0)?,
        _ => return Err(other("no such case")),
    };
    world
        .record
        .add(&format!("case {case}, trouble: {trouble}"));
    let result = match case {
        "dropped-route" => dropped_route(&mut world, trouble, seconds(25)),
        "restart" => restart(&mut world, trouble),
        "late-evacuation" => late_evacuation(&mut world, trouble),
        "same-revision" => same_revision(&mut world, trouble),
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
    world.store.leave(false);
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

/// Time for which the store is away in each of some drills.
const SHORT_AWAY: Duration = Duration::from_millis(300);
/// Number of drills.
const DRILLS: usize = 10;

/// A zone is evacuated and taken back. The store loses both in a drill, and the operator
/// evacuates the zone right after the return.
fn late_evacuation(world: &mut World, trouble: bool) -> Result {
    let routes = [("a", 443)];
    let a = world.route("a", 443, "ledger");
    world.write_config(7, &[a]);
    start(world, &routes)?;
    let mut broken = Vec::new();
    for _ in 0..DRILLS {
        let copy = world.store.copy();
        std::thread::sleep(Duration::from_millis(300));
        world.store.put("evacuations", "accra", "{}");
        world.record.add("operator evacuates accra, acknowledged");
        std::thread::sleep(Duration::from_millis(2000));
        world.store.delete("evacuations", "accra");
        world.record.add("operator takes accra back, acknowledged");
        std::thread::sleep(Duration::from_millis(1000));
        // The watches of the gateways end at multiples of 1.2 s, from 0.8 s after their start.
        // The watches of the gateways end at multiples of 1.2 s, from 0.8 s after their start.
        let phase = world.started.elapsed().as_millis() as u64 % 1200;
        std::thread::sleep(Duration::from_millis((2100 - phase) % 1200));
        if trouble {
            world.record.add("drill: the store is away");
            world.store.leave(true);
            std::thread::sleep(SHORT_AWAY);
            world.store.come_back(copy);
            world.record.add("drill: the store is back from a copy");
        }
        let back = Instant::now();
        std::thread::sleep(Duration::from_millis(50));
        let ack = world.store.put("evacuations", "accra", "{}");
        world.record.add("operator evacuates accra, acknowledged");
        let mut tries = Vec::new();
        std::thread::sleep(Duration::from_millis(4500));
        while ack.elapsed() < Duration::from_millis(6000) {
            tries.extend(world.round(&routes));
            std::thread::sleep(Duration::from_millis(50));
        }
        let from = (ack + EVACUATE).max(back + CONTACT);
        broken.extend(run_in_zone(world, &tries, "accra", from, Instant::now()));
        world.store.delete("evacuations", "accra");
        world.record.add("operator takes accra back, acknowledged");
        world.write_entries();
        std::thread::sleep(Duration::from_millis(500));
    }
    Ok(broken)
}

/// A zone is evacuated and a config written. The store loses both in a drill. A host
/// drains, and the operator writes the config again, which gets the revision that it had,
/// and 7 s later evacuates the zone again. All that is done once for each host of the
/// other service.
fn same_revision(world: &mut World, trouble: bool) -> Result {
    let routes = [("a", 443)];
    let mut config = vec![world.route("a", 443, "ledger")];
    let mut version = 7;
    world.write_config(version, &config);
    start(world, &routes)?;
    // The gateways write their contact lists.
    std::thread::sleep(Duration::from_secs(6));
    let mut broken = Vec::new();
    let others = world.hosts.iter().enumerate();
    let others = others.filter(|(_, h)| h.service == "archive");
    let others: Vec<usize> = others.map(|(n, _)| n).collect();
    for (n, host) in others.into_iter().enumerate() {
        let copy = world.store.copy();
        std::thread::sleep(Duration::from_millis(500));
        let first = world.store.put("evacuations", "accra", "{}");
        world.record.add("operator evacuates accra, acknowledged");
        config.push(world.route(&format!("b{n}"), 8443 + n as u16, "ledger"));
        version += 2;
        world.write_config(version, &config);
        let revision = world.store.revision();
        std::thread::sleep(Duration::from_millis(2500));
        // The watches of the gateways end at multiples of 1.2 s, from 0.8 s after their start.
        let phase = world.started.elapsed().as_millis() as u64 % 1200;
        std::thread::sleep(Duration::from_millis((2100 - phase) % 1200));
        if trouble {
            world.record.add("drill: the store is away");
            world.store.leave(true);
            std::thread::sleep(SHORT_AWAY);
            world.store.come_back(copy);
            world.record.add("drill: the store is back from a copy");
        }
        let back = Instant::now();
        std::thread::sleep(Duration::from_millis(100));
        world.hosts[host].state = "draining".into();
        world.write_entries();
        world.record.add("a host of the other service drains");
        std::thread::sleep(Duration::from_millis(300));
        world.write_config(version, &config);
        if trouble && world.store.revision() != revision {
            return Err(other("the config did not get the revision that it had"));
        }
        let tries = world.rounds(&routes, Duration::from_secs(7));
        let again = Instant::now();
        world.store.put("evacuations", "accra", "{}");
        world
            .record
            .add("operator evacuates accra again, acknowledged");
        let from = (first + EVACUATE).max(back + CONTACT);
        broken.extend(run_in_zone(world, &tries, "accra", from, again));
        std::thread::sleep(Duration::from_millis(500));
        world.store.delete("evacuations", "accra");
        world.record.add("operator takes accra back, acknowledged");
        // Until the hosts of accra no longer count as cold.
        std::thread::sleep(Duration::from_millis(4000));
    }
    Ok(broken)
}
