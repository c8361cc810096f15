//! The cases. Each returns the breaches of its rule that consumers or hosts saw.

use std::time::Duration;

use crate::host::{Seen, What};
use crate::record::Record;
use crate::world::{Result, Stage, World, DRAIN_MS, EVACUATE_S, RECOVERY_S};

const ZONES: [&str; 2] = ["accra", "tema"];
/// Zones of the gateways.
const VMS: [&str; 4] = ["accra", "tema", "accra", "tema"];
const READY_MAX: Duration = Duration::from_secs(10);
/// Time without disruption after which machines are in touch.
const CONTACT: Duration = Duration::from_millis(4500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A deployment with two services in two zones.
fn deployment(record: &Record) -> Result<World> {
    let mut world = World::spawn(record.clone(), VMS.len())?;
    world.configure(
        7,
        &[
            ("r-credit", 8080, "unsafe", "ledger"),
            ("r-manifest", 8443, "download", "desk"),
        ],
    );
    for (i, zone) in ZONES.iter().enumerate() {
        world.add_host(0x7f3a_91c2 + i as u64, "ledger", zone)?;
        world.add_host(0x7f3a_92d0 + i as u64, "ledger", zone)?;
        world.add_host(0x21b0_44e0 + i as u64, "desk", zone)?;
    }
    Ok(world)
}

fn start(world: &mut World) -> Result<()> {
    world.start_gateways(&VMS)?;
    world.wait_until_ready(READY_MAX)?;
    world.run(CONTACT);
    Ok(())
}

/// Opens flows of one request each at a steady rate.
fn send_requests(world: &mut World, dport: u16, name: &str, count: usize, interval: Duration) {
    for i in 0..count {
        world.open(dport, &format!("{name}-{i}"), true);
        world.run(interval);
    }
}

fn require_answers(world: &World, least: usize) -> Result<()> {
    match world.answered() {
        n if n < least => {
            Err(format!("only {n} requests were answered before the disruption").into())
        }
        _ => Ok(()),
    }
}

/// ROUTE: an entry of another writer that lacks fields.
pub fn foreign_entry_without_id(record: &Record, trouble: bool) -> Result<Vec<String>> {
    let mut world = deployment(record)?;
    start(&mut world)?;
    send_requests(&mut world, 8080, "credit-before", 10, ms(50));
    send_requests(&mut world, 8443, "manifest-before", 10, ms(50));
    require_answers(&world, 18)?;
    if trouble {
        let desk = &world.hosts[2];
        let entry = format!(
            "{{\"Service\":\"ledger\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Slots\":2,\"State\":\"ready\",\"ColdRemainingMs\":0}}",
            desk.address, desk.zone
        );
        world.store.put("servers", "host-0", entry.as_bytes());
    }
    world.run(CONTACT);
    send_requests(&mut world, 8080, "credit-after", 100, ms(50));
    world.run(ms(1500));
    let ran = world.seen.iter().filter_map(|(at, seen)| match &seen.what {
        What::Ran(id) => Some((at, &world.hosts[seen.host], id)),
        _ => None,
    });
    let foreign = ran.filter(|(_, host, id)| id.starts_with("credit") && host.service != "ledger");
    Ok(foreign
        .map(|(at, host, id)| {
            format!(
                "ROUTE: at {at:.3} s host {} of service {} ran '{id}'",
                host.name(),
                host.service
            )
        })
        .collect())
}

/// FLOW: an entry of another writer, of a service that no page names, with the address
/// of a host that lives.
pub fn foreign_entry_same_address(record: &Record, trouble: bool) -> Result<Vec<String>> {
    let mut world = deployment(record)?;
    start(&mut world)?;
    let flows: Vec<u16> = (0..32)
        .map(|i| world.open(8080, &format!("credit-first-{i}"), false))
        .collect();
    world.run(ms(1000));
    require_answers(&world, 32)?;
    if trouble {
        let host = &world.hosts[0];
        let born = host.born + 1;
        let entry = format!(
            "{{\"Service\":\"kiosk-old\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v0\",\"Slots\":2,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":9,\"born\":{born}}}",
            host.address, host.zone
        );
        world.store.put("servers", "i-0c55d1e0", entry.as_bytes());
    }
    send_requests(&mut world, 8443, "manifest", 90, ms(50));
    let at_host: Vec<u16> = flows
        .iter()
        .copied()
        .filter(|f| world.flows[f].host == Some(0))
        .collect();
    let first = *at_host.first().ok_or("no flow went to the first host")?;
    // One answer is lost, as datagrams are at times: the consumer sends its request again.
    world.request(first, "credit-second", 1);
    send_requests(&mut world, 8443, "manifest-beside", 60, ms(20));
    for flow in flows.iter().filter(|f| **f != first) {
        world.request(*flow, &format!("credit-third-{flow}"), 0);
    }
    world.run(ms(4500));
    let broken = flows
        .iter()
        .filter(|f| world.flows[f].stage == Stage::ResetBySystem);
    Ok(broken
        .map(|f| format!("FLOW: open flow {f} was reset, though its host lives"))
        .collect())
}

/// A host of the ledger starts to leave, and serves on. Returns when the store has
/// accepted its report.
fn drain_host(world: &mut World) -> f64 {
    world.hosts[0].drain();
    let (name, entry) = (world.hosts[0].name(), world.hosts[0].entry());
    world.store.put("servers", &name, entry.as_bytes());
    world.record.seconds()
}

/// Flows that the leaving host took too late. All gateways were in touch from
/// `in_touch` on.
fn late_flows(world: &World, acknowledged: f64, in_touch: f64) -> Vec<String> {
    let limit = in_touch.max(acknowledged + DRAIN_MS as f64 / 1000.0);
    let at_host = world
        .seen
        .iter()
        .filter(|(_, s)| s.host == 0 && s.what == What::Syn);
    let late = at_host.filter(|(_, s)| world.flows[&s.sport].opened_at > limit);
    late.map(|(at, s)| {
        format!(
            "DRAIN: flow {} reached the draining host {:.3} s after the acknowledgement",
            s.sport,
            at - acknowledged
        )
    })
    .collect()
}

/// DRAIN: a list whose second page is older than its first.
pub fn stale_second_page(record: &Record, trouble: bool) -> Result<Vec<String>> {
    let mut world = deployment(record)?;
    // Hosts of further services, which see no traffic.
    for i in 0..60u64 {
        let entry = format!(
            "{{\"Service\":\"further-{}\",\"Address\":\"127.{}.100.{}:9000\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":2,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":4,\"born\":1700000000000}}",
            i % 8, world.net, 1 + i, ZONES[i as usize % 2]
        );
        world.store.put(
            "servers",
            &format!("i-{:08x}", 0x1000_0000 + i),
            entry.as_bytes(),
        );
    }
    start(&mut world)?;
    send_requests(&mut world, 8080, "credit-before", 20, ms(50));
    require_answers(&world, 18)?;
    let acknowledged = drain_host(&mut world);
    if trouble {
        // Serializable reads of further pages are answered by a copy that is behind.
        world.store.set_lag(ms(0), ms(2500));
    }
    world.run(ms(600));
    world.restart_gateways(ms(400))?;
    world.wait_until_ready(READY_MAX)?;
    world.store.set_lag(ms(0), ms(0));
    world.run(CONTACT);
    let in_touch = world.record.seconds();
    send_requests(&mut world, 8080, "credit-after", 100, ms(50));
    world.run(ms(1500));
    Ok(late_flows(&world, acknowledged, in_touch))
}

/// DRAIN: an entry of another writer whose bytes cannot be read.
pub fn unreadable_entry(record: &Record, trouble: bool) -> Result<Vec<String>> {
    let mut world = deployment(record)?;
    start(&mut world)?;
    send_requests(&mut world, 8080, "credit-before", 20, ms(50));
    require_answers(&world, 18)?;
    if trouble {
        world
            .store
            .put("servers", "i-0badc0de", b"\"\xff\xfe\x80\"");
    }
    world.run(ms(1000));
    let acknowledged = drain_host(&mut world);
    world.run(CONTACT);
    send_requests(&mut world, 8080, "credit-after", 100, ms(50));
    world.run(ms(1500));
    Ok(late_flows(&world, acknowledged, acknowledged))
}

/// RECOVER: pages of the list end with entries of another writer.
pub fn page_ends_with_foreign_name(record: &Record, trouble: bool) -> Result<Vec<String>> {
    let mut world = deployment(record)?;
    start(&mut world)?;
    send_requests(&mut world, 8080, "credit-before", 20, ms(50));
    require_answers(&world, 18)?;
    if trouble {
        for i in 0..60 {
            let entry = format!("{{\"Service\":\"ledger\",\"Note\":\"bench machine {i}\"}}");
            world
                .store
                .put("servers", &format!("r&d-{i:02}"), entry.as_bytes());
        }
    }
    world.run(CONTACT);
    send_requests(&mut world, 8080, "credit-between", 20, ms(50));
    require_answers(&world, 36)?;
    world.restart_gateways(ms(1000))?;
    world.run(Duration::from_secs(RECOVERY_S) + ms(500));
    let ready = world.gateways.iter().filter(|g| g.is_ready()).count();
    record.line(&format!(
        "{ready} of {} gateways are ready",
        world.gateways.len()
    ));
    let before = world.answered();
    send_requests(&mut world, 8080, "credit-after", 60, ms(50));
    world.run(ms(2000));
    let served = world.answered() - before;
    Ok(match served * 4 < 60 {
        true => vec![format!("RECOVER: {served} of 60 requests were served that were sent later than {RECOVERY_S} s after the machines were back")],
        false => Vec::new(),
    })
}

/// CONFIG: the store's revisions are large numbers.
pub fn large_revision(record: &Record, trouble: bool) -> Result<Vec<String>> {
    let mut world = World::spawn(record.clone(), VMS.len())?;
    if trouble {
        // Microseconds of the time of day, as a store may count its changes from.
        world.store.set_first_revision(1_765_000_000_000_000);
    }
    let credit = ("r-credit", 8080, "unsafe", "ledger");
    let routes = |service| [credit, ("r-manifest", 8443, "download", service)];
    world.configure(7, &routes("desk"));
    for (i, zone) in ZONES.iter().enumerate() {
        world.add_host(0x7f3a_91c2 + i as u64, "ledger", zone)?;
        world.add_host(0x21b0_44e0 + i as u64, "desk", zone)?;
        world.add_host(0x5c99_0a10 + i as u64, "archive", zone)?;
    }
    start(&mut world)?;
    send_requests(&mut world, 8443, "manifest-before", 20, ms(50));
    require_answers(&world, 18)?;
    world.configure(9, &routes("archive"));
    let acknowledged = world.record.seconds();
    world.run(CONTACT);
    send_requests(&mut world, 8443, "manifest-after", 60, ms(50));
    world.run(ms(1500));
    let ran = world.seen.iter().filter_map(|(at, seen)| match &seen.what {
        What::Ran(id) => Some((at, world.hosts[seen.host].service, id)),
        _ => None,
    });
    let old = ran.filter(|(_, service, id)| id.starts_with("manifest-after") && *service == "desk");
    Ok(old
        .map(|(at, service, id)| {
            let after = at - acknowledged;
            format!("CONFIG: '{id}' was run by the old service {service} {after:.3} s after the acknowledgement")
        })
        .collect())
}

/// EVAC: the store comes back from a copy of before an evacuation, and a host writes what
/// was lost at the revision that it had before.
pub fn evacuation_lost_by_copy(record: &Record, trouble: bool) -> Result<Vec<String>> {
    let mut world = deployment(record)?;
    start(&mut world)?;
    send_requests(&mut world, 8080, "credit-before", 60, ms(50));
    require_answers(&world, 58)?;
    // The operator empties a zone, and two hosts of the other one begin to leave.
    let report = |world: &World, host: usize| {
        let host = &world.hosts[host];
        world
            .store
            .put("servers", &host.name(), host.entry().as_bytes());
    };
    world.store.put("evacuations", "tema", b"{}");
    let acknowledged = world.record.seconds();
    for host in [0, 2] {
        world.hosts[host].drain();
        report(&world, host);
    }
    world.run(ms(2000));
    if trouble {
        world.store.come_back(ms(2100), ms(300));
        // The hosts write again what was lost, in another order.
        report(&world, 2);
        report(&world, 0);
    } else {
        world.run(ms(300));
    }
    let back = world.record.seconds();
    send_requests(&mut world, 8080, "credit-between", 300, ms(20));
    // So does the operator.
    world.store.put("evacuations", "tema", b"{}");
    send_requests(&mut world, 8080, "credit-after", 100, ms(20));
    world.run(ms(1500));
    let limit = (acknowledged + EVACUATE_S).max(back + CONTACT.as_secs_f64());
    let in_zone = |s: &&(f64, Seen)| world.hosts[s.1.host].zone == "tema" && s.1.what == What::Syn;
    let late = world.seen.iter().filter(in_zone).filter(|s| s.0 > limit);
    Ok(late
        .map(|(at, s)| {
            let after = at - acknowledged;
            format!(
                "EVAC: flow {} reached the evacuated zone {after:.3} s after the acknowledgement",
                s.sport
            )
        })
        .collect())
}

/// DRAIN: an entry of another writer whose name has the digits of a leaving host.
pub fn two_names_one_id(record: &Record, trouble: bool) -> Result<Vec<String>> {
    let mut world = deployment(record)?;
    start(&mut world)?;
    send_requests(&mut world, 8080, "credit-before", 20, ms(50));
    require_answers(&world, 18)?;
    let acknowledged = drain_host(&mut world);
    world.run(ms(500));
    if trouble {
        let host = &world.hosts[0];
        let entry = format!(
            "{{\"Service\":\"ledger\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Slots\":2,\"State\":\"ready\",\"ColdRemainingMs\":0}}",
            host.address, host.zone
        );
        world
            .store
            .put("servers", &host.name().to_uppercase(), entry.as_bytes());
    }
    world.run(CONTACT);
    send_requests(&mut world, 8080, "credit-after", 100, ms(50));
    world.run(ms(1500));
    Ok(late_flows(&world, acknowledged, acknowledged))
}
