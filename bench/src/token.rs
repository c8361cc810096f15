//! Slopes of packets that carry tokens: decisions and what is remembered.

use burdocklever::{Forwarder, ForwarderConfig, Ms, Segment, Stage, Time, Token, Verdict};
use wire::{
    Address, Body, DomainId, Host, HostId, Incarnation, Lifecycle, Object, ObjectKey, Pool, Route,
    Share, Version,
};

use crate::slopes::{resident, timed, Slope};

/// Sizes of the timed runs, in packets.
const PACKETS: [u64; 4] = [100_000, 200_000, 400_000, 800_000];
/// Sizes of the run that measures memory, in flows.
const FLOWS: [u64; 4] = [20_000, 40_000, 60_000, 100_000];
/// Targets of the service: those of the largest deployment there is today.
const TARGETS: u64 = 120;

fn service_address() -> Address {
    Address::from(([198, 18, 0, 1], 443))
}

fn domain(n: u64) -> DomainId {
    crate::fleet::domain_id((n % 4) as usize)
}

/// A VM that knows one route to [`TARGETS`] targets in four failure domains.
fn forwarder() -> Forwarder {
    let config = ForwarderConfig {
        evacuation_time: Ms(4000),
        propagation_delay: Ms(1000),
        max_route_age: Ms(2000),
    };
    let mut forwarder = Forwarder::new(domain(0), config);
    let service: wire::ServiceId = crate::fleet::service_id();
    let pool = Pool {
        conns: u32::MAX,
        cold_ms: 0,
        cold_rate: 0,
    };
    let route = Route {
        address: service_address(),
        shares: vec![Share {
            service: service.clone(),
            weight: 1,
        }],
        non_idempotent: false,
        priority: 0,
        deadline_ms: 2000,
        goal_ms: 150,
    };
    let mut objects = vec![
        (ObjectKey::new("pool", &service), Body::Pool(pool)),
        (ObjectKey::new("route", "main"), Body::Route(route)),
    ];
    for id in 1..=TARGETS {
        let host = Host {
            id: HostId(id),
            service: service.clone(),
            domain: domain(id),
            address: Address::from(([10, 0, 0, id as u8], 80)),
            state: Lifecycle::Live,
            incarnation: Incarnation(1),
            cold_ms: 0,
            slots: 2,
        };
        objects.push((ObjectKey::new("host", id), Body::Host(host)));
    }
    for (key, body) in objects {
        let object = Object {
            key,
            version: Version(1),
            change: 0,
            body,
        };
        forwarder.apply(Time(0), &object);
    }
    forwarder
}

fn segment(caller: u64, stage: Stage, token: Token) -> Segment {
    let ip = [100, 64, (caller >> 16) as u8, (caller >> 8) as u8];
    Segment {
        caller: Address::from((ip, 1024 + (caller % 256) as u16)),
        service: service_address(),
        stage,
        token,
        seq: 1,
        ack: 1,
        len: 0,
    }
}

fn open(forwarder: &mut Forwarder, caller: u64) -> Option<Token> {
    match forwarder.handle_packet(Time(1), &segment(caller, Stage::Open, Token::NONE)) {
        Verdict::Forward { token, .. } => Some(token),
        _ => None,
    }
}

/// Time to decide on packets of a thousand open flows.
pub(crate) fn packet_time() -> Slope {
    let mut forwarder = forwarder();
    let tokens: Vec<Token> = (0..1000)
        .filter_map(|caller| open(&mut forwarder, caller))
        .collect();
    let points = PACKETS.map(|n| {
        let time = timed(|| {
            for i in 0..n {
                let caller = i % tokens.len() as u64;
                let token = tokens[caller as usize];
                let packet = segment(caller, Stage::Within, token);
                std::hint::black_box(forwarder.handle_packet(Time(2), &packet));
            }
        });
        (n as f64, time)
    });
    Slope {
        name: "token-packet-time",
        x: "packets",
        y: "ns",
        exact: false,
        points: points.to_vec(),
    }
}

/// Time to decide on opening packets.
pub(crate) fn open_time() -> Slope {
    let points = PACKETS.map(|n| {
        let n = n / 10;
        let mut forwarder = forwarder();
        let time = timed(|| {
            for caller in 0..n {
                std::hint::black_box(open(&mut forwarder, caller));
            }
        });
        (n as f64, time)
    });
    Slope {
        name: "token-open-time",
        x: "new flows",
        y: "ns",
        exact: false,
        points: points.to_vec(),
    }
}

/// Memory of remembered flows.
pub(crate) fn flow_memory() -> Slope {
    let points = FLOWS.map(|n| {
        let before = resident();
        let mut forwarder = forwarder();
        for caller in 0..n {
            open(&mut forwarder, caller);
        }
        let after = resident();
        std::hint::black_box(&forwarder);
        (n as f64, after - before)
    });
    Slope {
        name: "token-flow-memory",
        x: "flows",
        y: "bytes resident",
        exact: false,
        points: points.to_vec(),
    }
}

/// Lines of one part that the journal takes in a second.
const LINES_A_PART: u64 = 100;

/// Time of one thread to hand lines of new flows to the journal, the first
/// [`LINES_A_PART`] of each part, or all of one part, most of which are left out.
fn line_time(name: &'static str, parts: bool) -> Slope {
    let points = PACKETS.map(|n| {
        let n = n / 10;
        let time = timed(|| {
            let Ok(journal) =
                burdocklever::json_log::JsonAppender::spawn("edge-1", std::io::sink())
            else {
                return;
            };
            for i in 0..n {
                let part = if parts { i / LINES_A_PART } else { 0 };
                log_line(&journal, part, i);
            }
        });
        (n as f64, time)
    });
    Slope {
        name,
        x: "lines",
        y: "ns",
        exact: false,
        points: points.to_vec(),
    }
}

/// Fields of a line.
struct Line<'a>([(&'a str, &'a str); 1], [(&'a str, u64); 6]);

impl log::kv::Source for Line<'_> {
    fn visit<'kvs>(
        &'kvs self,
        visitor: &mut dyn log::kv::VisitSource<'kvs>,
    ) -> Result<(), log::kv::Error> {
        self.0.visit(visitor)?;
        self.1.visit(visitor)
    }
}

/// A line as a gateway writes it for a new flow.
fn log_line(journal: &burdocklever::json_log::JsonAppender, part: u64, caller: u64) {
    let segment = segment(caller, Stage::Open, Token::NONE);
    let flow = format!("{}-{}", segment.caller, segment.service);
    let fields: [(&str, u64); 6] = [
        ("host", caller),
        ("load", 16),
        ("near", 30),
        ("far", 90),
        ("suspects", 0),
        ("copy", 0),
    ];
    let pairs = [("flow", flow.as_str())];
    let target = format!("part-{part}");
    let line = Line(pairs, fields);
    // An error here would only make a line cheaper than it is.
    let _ = log4rs::append::Append::append(
        journal,
        &log::Record::builder()
            .args(format_args!("flow opened"))
            .level(log::Level::Info)
            .target(&target)
            .key_values(&line)
            .build(),
    );
}

/// Time to hand on a line that is written.
pub(crate) fn written_line_time() -> Slope {
    line_time("journal-line-time", true)
}

/// Time to hand on a line that is left out, over its part's budget.
pub(crate) fn omitted_line_time() -> Slope {
    line_time("journal-omitted-time", false)
}
