//! Slopes of state, messages and processor time, each at three sizes or more.

use std::time::Instant;

use burdocklever::{Catalogue, Delta, Event, Mark, Node, Packet, PacketId, Pins, Time};
use wire::{
    Address, Body, HostId, Incarnation, Lifecycle, Member, Object, ObjectKey, Version, View,
    ViewNumber, Vm, VmId,
};

use crate::fit::{line, median};
use crate::fleet::{domain_id, encoded, flow_key, Fleet, Plan, LIMITS};
use crate::output::{csv, plot, Result};
use crate::token;

/// Runs of each timed measurement; the median counts.
const RUNS: usize = 5;

/// One slope: points, their line, and whether they must be the same in every run.
pub(crate) struct Slope {
    pub(crate) name: &'static str,
    pub(crate) x: &'static str,
    pub(crate) y: &'static str,
    pub(crate) exact: bool,
    pub(crate) points: Vec<(f64, f64)>,
}

/// Measures all slopes.
pub(crate) fn run() -> Result<()> {
    let slopes = [
        catalogue_memory(),
        pin_bytes(),
        pinned_packet(),
        new_flow_bytes(),
        new_flow_time(),
        request_bytes(),
        cell_bytes(),
        cell_time(),
        target_bytes(),
        object_bytes(),
        merge_time(),
        tick_time("tick-time", |_| FAILURE_DOMAINS),
        tick_time("tick-time-small-cells", |vms| vms / SMALL_CELL),
        claim_bytes(),
        token::packet_time(),
        token::open_time(),
        token::flow_memory(),
        token::written_line_time(),
        token::omitted_line_time(),
    ];
    let header = "slope,x,y,base,per unit,largest residual,same in every run,points";
    let mut rows = Vec::new();
    for slope in &slopes {
        let fitted = line(&slope.points);
        let points: Vec<String> = slope
            .points
            .iter()
            .map(|(x, y)| format!("{x}:{y:.1}"))
            .collect();
        rows.push(format!(
            "{},{},{},{:.2},{:.4},{:.3},{},{}",
            slope.name,
            slope.x,
            slope.y,
            fitted.base,
            fitted.slope,
            fitted.residual,
            if slope.exact { "yes" } else { "no" },
            points.join(" ")
        ));
        plot(slope.name, slope.x, slope.y, &slope.points, fitted)?;
    }
    println!("{header}\n{}", rows.join("\n"));
    csv("slopes", header, &rows)
}

/// Median time of some runs in nanoseconds.
pub(crate) fn timed(mut run: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed().as_nanos() as f64
        })
        .collect();
    median(&mut times)
}

fn pin_bytes() -> Slope {
    let points = [10_000u64, 100_000, 300_000, 1_000_000].map(|n| {
        let mut pins = Pins::default();
        for i in 0..n {
            pins.set(Time(0), flow_key(i), HostId(i % 14), true);
        }
        (n as f64, pins.bytes() as f64)
    });
    Slope {
        name: "pin-bytes",
        x: "pinned flows",
        y: "bytes",
        exact: true,
        points: points.to_vec(),
    }
}

/// Time of packets of known flows at an entry VM.
fn pinned_packet() -> Slope {
    const FLOWS: u64 = 100_000;
    let mut node = entry_vm();
    for i in 0..FLOWS {
        node.feed(
            Time(1),
            Event::PeerDelivered(PacketId(0), flow_key(i), HostId(1)),
        );
    }
    let points = [100_000u64, 200_000, 400_000].map(|n| {
        let time = timed(|| {
            for i in 0..n {
                let packet = Packet {
                    key: flow_key(i % FLOWS),
                    service: Address::from(([10, 0, 0, 1], 9000)),
                    mark: Mark::Later,
                };
                node.feed(Time(2), Event::Packet(PacketId(i), packet));
                while node.pull().is_some() {}
            }
        });
        (n as f64, time)
    });
    Slope {
        name: "pinned-packet-time",
        x: "packets",
        y: "ns",
        exact: false,
        points: points.to_vec(),
    }
}

/// A node of today's deployment.
fn entry_vm() -> Node {
    let fleet = Fleet::open(&Plan::today());
    let mut node = Node::new(Time(0), vm(1), domain_id(0));
    let delta = fleet.node(0).map(|n| n.catalogue().delta(Version(0)));
    if let Some(delta) = delta {
        node.feed(Time(0), Event::CatalogueDelta(delta));
    }
    while node.pull().is_some() {}
    node
}

fn vm(n: u32) -> Member {
    Member {
        vm: VmId(n),
        incarnation: Incarnation(1),
    }
}

/// Control bytes of new flows over all VMs, beyond those of a fleet at rest.
fn new_flow_bytes() -> Slope {
    let points = [1000u64, 2000, 4000].map(|n| (n as f64, flows_cost(n).0));
    Slope {
        name: "new-flow-bytes",
        x: "new flows",
        y: "bytes between VMs",
        exact: true,
        points: points.to_vec(),
    }
}

fn new_flow_time() -> Slope {
    let points = [1000u64, 2000, 4000].map(|n| {
        let mut times: Vec<f64> = (0..RUNS).map(|_| flows_cost(n).1).collect();
        (n as f64, median(&mut times))
    });
    Slope {
        name: "new-flow-time",
        x: "new flows",
        y: "ns over all VMs",
        exact: false,
        points: points.to_vec(),
    }
}

/// Bytes and time of opening `n` flows in 5 s and letting them be kept, less
/// those of the same time at rest.
fn flows_cost(n: u64) -> (f64, f64) {
    const LENGTH_MS: u64 = 5000;
    let mut fleet = Fleet::open(&Plan::today());
    // First packets are decided at once when no owner has changed of late.
    fleet.run_for(120_000);
    let rest = cost(&mut fleet, |fleet| fleet.run_for(2 * LENGTH_MS));
    let busy = cost(&mut fleet, |fleet| {
        for ms in 0..LENGTH_MS {
            for i in (ms * n / LENGTH_MS)..((ms + 1) * n / LENGTH_MS) {
                fleet.packet((i % 9) as usize, i, Mark::First);
            }
            fleet.run_for(1);
        }
        fleet.run_for(LENGTH_MS);
    });
    (busy.0 - rest.0, busy.1 - rest.1)
}

fn cost(fleet: &mut Fleet, run: impl FnOnce(&mut Fleet)) -> (f64, f64) {
    let before = fleet.traffic.bytes;
    let start = Instant::now();
    run(fleet);
    let time = start.elapsed().as_nanos() as f64;
    ((fleet.traffic.bytes - before) as f64, time)
}

/// Control bytes of requests with issued keys.
fn request_bytes() -> Slope {
    let points = [500u64, 1000, 2000].map(|n| {
        let mut fleet = Fleet::open(&Plan::today());
        fleet.run_for(120_000);
        let rest = cost(&mut fleet, |fleet| fleet.run_for(4 * n));
        let busy = cost(&mut fleet, |fleet| {
            for i in 0..n {
                fleet.request((i % 9) as usize);
                fleet.run_for(4);
            }
        });
        (n as f64, (busy.0 - rest.0).max(0.0))
    });
    Slope {
        name: "request-bytes",
        x: "requests with issued keys",
        y: "control bytes between VMs",
        exact: true,
        points: points.to_vec(),
    }
}

/// A fleet of one cell of `n` VMs, and a second one of the same size.
fn cell(n: usize, hosts_per_vm: usize) -> Fleet {
    let mut plan = Plan::today();
    plan.vms = vec![n, 2];
    plan.hosts = vec![n * hosts_per_vm, 2];
    Fleet::open(&plan)
}

const CELLS: [usize; 5] = [2, 4, 8, 16, 32];
const HOSTS_PER_VM: usize = 6;

fn cell_bytes() -> Slope {
    const LENGTH_S: u64 = 10;
    let points = CELLS.map(|n| {
        let mut fleet = cell(n, HOSTS_PER_VM);
        let rest = cost(&mut fleet, |fleet| fleet.run_for(LENGTH_S * 1000));
        (n as f64, rest.0 / (n + 2) as f64 / LENGTH_S as f64)
    });
    Slope {
        name: "cell-bytes",
        x: "members of a cell",
        y: "bytes a second a VM at rest",
        exact: true,
        points: points.to_vec(),
    }
}

fn cell_time() -> Slope {
    const LENGTH_S: u64 = 4;
    let points = CELLS.map(|n| {
        let mut fleet = cell(n, HOSTS_PER_VM);
        let mut times: Vec<f64> = (0..RUNS)
            .map(|_| cost(&mut fleet, |fleet| fleet.run_for(LENGTH_S * 1000)).1)
            .collect();
        (
            n as f64,
            median(&mut times) / (n + 2) as f64 / LENGTH_S as f64 / 1000.0,
        )
    });
    Slope {
        name: "cell-time",
        x: "members of a cell",
        y: "us a second a VM at rest",
        exact: false,
        points: points.to_vec(),
    }
}

fn target_bytes() -> Slope {
    const VMS: usize = 8;
    const LENGTH_S: u64 = 10;
    let points = [1usize, 2, 4, 8].map(|hosts| {
        let mut fleet = cell(VMS, hosts);
        let rest = cost(&mut fleet, |fleet| fleet.run_for(LENGTH_S * 1000));
        (hosts as f64, rest.0 / (VMS + 2) as f64 / LENGTH_S as f64)
    });
    Slope {
        name: "target-bytes",
        x: "targets guarded by a VM (cell of 8)",
        y: "bytes a second a VM at rest",
        exact: true,
        points: points.to_vec(),
    }
}

/// Failure domains at the target size.
const FAILURE_DOMAINS: usize = 16;
/// VMs of a cell that is kept small.
const SMALL_CELL: usize = 32;

/// Objects of a fleet of `vms` VMs with targets and services in proportion to
/// the target size.
fn objects(vms: usize, domains: usize) -> Vec<Object> {
    let mut list = Vec::new();
    let mut push = |key, body| {
        let version = Version(list.len() as u64 + 1);
        list.push(Object {
            key,
            version,
            change: 0,
            body,
        });
    };
    let hosts = vms * 30_000 / 5200;
    let services = vms * 5100 / 5200;
    for i in 0..services {
        let service = wire::Service {
            owner: "desk".into(),
            class: wire::Class::Normal,
            address: Address::from(([10, 0, (i >> 8) as u8, i as u8], 9000)),
            limits: LIMITS,
            non_idempotent: true,
            deadline_ms: 5000,
        };
        push(
            ObjectKey::new("service", format!("s-{i}")),
            Body::Service(service),
        );
    }
    for i in 0..vms {
        let vm = Vm {
            member: vm(i as u32 + 1),
            domain: domain_id(i % domains),
            datagram: Address::from(([10, 2, (i >> 8) as u8, i as u8], 1)),
            peer: Address::from(([10, 2, (i >> 8) as u8, i as u8], 2)),
            http: Address::from(([10, 2, (i >> 8) as u8, i as u8], 3)),
            state: Lifecycle::Live,
        };
        push(ObjectKey::new("vm", vm.member.vm), Body::Vm(vm));
    }
    for i in 0..hosts {
        let name = format!("s-{}", i % services.max(1));
        let Ok(service) = name.parse() else { continue };
        let host = wire::Host {
            id: HostId(i as u64 + 1),
            service,
            domain: domain_id(i % domains),
            address: Address::from(([10, 1, (i >> 8) as u8, i as u8], 1)),
            state: Lifecycle::Live,
            incarnation: wire::Incarnation(0),
            cold_ms: 0,
            slots: 0,
        };
        push(ObjectKey::new("host", host.id), Body::Host(host));
    }
    for domain in 0..domains {
        let members = (0..vms).filter(|i| i % domains == domain).take(32);
        let view = View {
            number: ViewNumber(1),
            members: members.map(|i| vm(i as u32 + 1)).collect(),
            previous: Vec::new(),
        };
        push(ObjectKey::new("view", domain_id(domain)), Body::View(view));
    }
    list
}

const FLEETS: [usize; 4] = [650, 1300, 2600, 5200];

fn object_bytes() -> Slope {
    let points = FLEETS.map(|vms| {
        let objects = objects(vms, FAILURE_DOMAINS);
        let n = objects.len() as f64;
        let through = Version(objects.len() as u64);
        let delta = burdocklever::Msg::Delta(Delta {
            from: Version(0),
            through,
            objects,
        });
        (n, encoded(&delta) as f64)
    });
    Slope {
        name: "object-bytes",
        x: "catalogue objects",
        y: "bytes of the whole catalogue",
        exact: true,
        points: points.to_vec(),
    }
}

fn merge_time() -> Slope {
    let points = FLEETS.map(|vms| {
        let objects = objects(vms, FAILURE_DOMAINS);
        let time = timed(|| {
            let mut catalogue = Catalogue::default();
            for object in objects.clone() {
                catalogue.merge(object);
            }
        });
        (objects.len() as f64, time / 1000.0)
    });
    Slope {
        name: "merge-time",
        x: "catalogue objects",
        y: "us to merge all",
        exact: false,
        points: points.to_vec(),
    }
}

/// Memory that a catalogue takes in this process.
fn catalogue_memory() -> Slope {
    // Nothing is freed meanwhile, so that no memory is used again.
    let mut held = Vec::new();
    let points = FLEETS.map(|vms| {
        let objects = objects(vms, FAILURE_DOMAINS);
        let n = objects.len() as f64;
        let before = resident();
        let mut catalogue = Catalogue::default();
        for object in objects.iter().cloned() {
            catalogue.merge(object);
        }
        let after = resident();
        held.push((objects, catalogue));
        (n, after - before)
    });
    Slope {
        name: "catalogue-memory",
        x: "catalogue objects",
        y: "bytes resident",
        exact: false,
        points: points.to_vec(),
    }
}

/// Resident memory of this process in bytes.
pub(crate) fn resident() -> f64 {
    const PAGE_BYTES: f64 = 4096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Bytes of handing claims with short answers to a new owner.
fn claim_bytes() -> Slope {
    let points = [1000u64, 2000, 4000].map(|n| {
        let claims = burdocklever::Claims::answered(Time(0), n, b"credit posted".as_slice());
        let msg = burdocklever::Msg::Handover {
            view: ViewNumber(2),
            incomplete_for: burdocklever::Ms(0),
            claims: Box::new(claims),
        };
        (n as f64, encoded(&msg) as f64)
    });
    Slope {
        name: "claim-bytes",
        x: "claims handed over",
        y: "bytes",
        exact: true,
        points: points.to_vec(),
    }
}

/// Time that ticks take at one VM of a large fleet, by the fleet's size.
fn tick_time(name: &'static str, domains: fn(usize) -> usize) -> Slope {
    const SECONDS: u64 = 5;
    const TICK_MS: u64 = 20;
    let points = FLEETS.map(|vms| {
        let objects = objects(vms, domains(vms));
        let through = Version(objects.len() as u64);
        let mut node = Node::new(Time(0), vm(1), domain_id(0));
        let delta = Delta {
            from: Version(0),
            through,
            objects,
        };
        node.feed(Time(0), Event::CatalogueDelta(delta));
        while node.pull().is_some() {}
        let mut now = 0;
        let time = timed(|| {
            for _ in 0..SECONDS * 1000 / TICK_MS {
                now += TICK_MS;
                node.feed(Time(now), Event::Tick);
                while node.pull().is_some() {}
            }
        });
        (vms as f64, time / 1000.0 / SECONDS as f64)
    });
    Slope {
        name,
        x: "VMs in the fleet",
        y: "us a second at one VM",
        exact: false,
        points: points.to_vec(),
    }
}
