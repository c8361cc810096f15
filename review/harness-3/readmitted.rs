//! A server crashes and starts again, cold and under its id, while the platform's store is down.
//!
//! The daemons cannot read that it is cold, but they have noticed its silence. FAILBACK counts
//! what all machines send to it, in touch or not.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::caller::{Caller, Path, SentTimes};
use crate::gateway::{Gateway, Ports};
use crate::server::{expire_after_silence, Server, Spec, Taken, TakenList};
use crate::store::Store;
use crate::{Context, Verdict};

/// Limit of FAILBACK: `WarmupPerS` x `ColdOverageFactor` + `ColdSlack`.
const WARMUP_PER_S: f64 = 2.0;
const COLD_OVERAGE_FACTOR: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const COLD_START: Duration = Duration::from_secs(2);
const WINDOW: Duration = Duration::from_secs(1);

/// Flows that the consumers of the zone open a second.
const FLOWS_PER_S: u32 = 16;
/// Times after the start of traffic.
const CRASH_AT: Duration = Duration::from_secs(5);
const DOWN_FOR: Duration = Duration::from_millis(3900);
const OUTAGE_AT: Duration = Duration::from_millis(6500);
const OUTAGE_FOR: Duration = Duration::from_millis(4500);
const END_AT: Duration = Duration::from_secs(18);

const CALLERS: u32 = 4;

pub fn run(context: &Context) -> std::io::Result<Verdict> {
    let record = &context.record;
    let ports = Ports::free()?;
    let store = Store::spawn("127.60.0.1")?;
    let route = SocketAddrV4::new(Ipv4Addr::new(127, 60, 200, 1), 443);
    store.write("config", "main", Some(&config(route)));
    let (sent, taken) = (SentTimes::default(), TakenList::default());
    let spec = |id: u64, zone: &'static str, last: u8| Spec {
        id,
        service: "records",
        zone,
        address: SocketAddrV4::new(Ipv4Addr::new(127, 60, 4, last), ports.control),
        cold: COLD_START,
        consumer_port: ports.datagram,
    };
    let (near, far) = (spec(0x7f3a_91c2, "north", 1), spec(0x51d0_08e4, "south", 2));
    let first = Server::start(&near, false, &store, record, &sent, &taken)?;
    let _other = Server::start(&far, false, &store, record, &sent, &taken)?;

    let machines = [
        ("north-1", "north", 11),
        ("north-2", "north", 12),
        ("south-1", "south", 21),
    ];
    let ip = |last: u8| Ipv4Addr::new(127, 60, 1, last);
    let seeds: Vec<Ipv4Addr> = machines.iter().map(|(_, _, last)| ip(*last)).collect();
    let gateways: Vec<Gateway> = machines
        .iter()
        .map(|(name, zone, last)| {
            Gateway::spawn(
                &context.temporary,
                name,
                zone,
                ip(*last),
                ports,
                &seeds,
                &store,
            )
        })
        .collect::<std::io::Result<_>>()?;
    if !gateways.iter().all(Gateway::wait_ready) {
        return Err(std::io::Error::other("a daemon did not become ready"));
    }
    let daemon = |g: &Gateway| SocketAddrV4::new(g.ip, ports.datagram);
    let path = Path {
        route,
        daemons: gateways[..2].iter().map(daemon).collect(),
    };
    let callers: Vec<Caller> = (1..=CALLERS)
        .map(|i| {
            Caller::open(
                Ipv4Addr::new(127, 60, 8, i as u8),
                ports.datagram,
                &sent,
                record,
            )
        })
        .collect::<std::io::Result<_>>()?;
    std::thread::sleep(Duration::from_secs(1));

    let start = Instant::now();
    record.line("traffic starts");
    let sending = std::thread::spawn(move || send_requests(&callers, &path, start));
    let mut second = None;
    if context.trouble {
        wait_until(start + CRASH_AT);
        first.crash(record);
        let down = Arc::new(AtomicBool::new(true));
        expire_after_silence(&near, &store, record, down.clone());
        wait_until(start + OUTAGE_AT);
        store.set_down(true);
        record.line("the store is down");
        wait_until(start + CRASH_AT + DOWN_FOR);
        down.store(false, Ordering::SeqCst);
        second = Some(Server::start(&near, true, &store, record, &sent, &taken)?);
        wait_until(start + OUTAGE_AT + OUTAGE_FOR);
        store.set_down(false);
        record.line("the store is back");
    }
    let (answered, total) = sending.join().expect("the sending thread ends");
    drop(second);
    record.line(&format!("answered: {answered} of {total} requests"));
    judge(context, &taken)
}

fn config(route: SocketAddrV4) -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-1","Hostname":"{}","PathPrefix":"/{}/","Type":"download","TimeoutMs":5000,"TargetLatencyMs":500,"Priority":2,"Service":"records","MaxAttempts":2}}],"Services":[{{"Name":"records","HealthPath":"/health","MaxConns":2000,"Protocol":"h1","Tls":false,"ColdStartS":{:.1},"WarmupPerS":{WARMUP_PER_S:.1}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        route.ip(),
        route.port(),
        COLD_START.as_secs_f64()
    )
}

/// Sends requests at a steady rate. Returns how many were answered, and how many there were.
fn send_requests(callers: &[Caller], path: &Path, start: Instant) -> (usize, usize) {
    let count = (END_AT.as_secs_f64() * f64::from(FLOWS_PER_S)) as u32;
    let requests: Vec<_> = (0..count)
        .map(|n| {
            wait_until(start + Duration::from_secs(1) * n / FLOWS_PER_S);
            let (caller, path) = (callers[(n % CALLERS) as usize].clone(), path.clone());
            std::thread::spawn(move || caller.request(&format!("q{n:05}"), &path))
        })
        .collect();
    let total = requests.len();
    let answered = requests.into_iter().map(|r| r.join().unwrap_or(false));
    (answered.filter(|a| *a).count(), total)
}

/// FAILBACK as written: flows of a cold server whose opening packets were sent and arrived
/// within one second.
fn judge(context: &Context, taken: &Arc<Mutex<Vec<Taken>>>) -> std::io::Result<Verdict> {
    let limit = WARMUP_PER_S * COLD_OVERAGE_FACTOR + COLD_SLACK;
    let taken = taken.lock().unwrap();
    let cold: Vec<&Taken> = taken.iter().filter(|t| t.cold).collect();
    let within = |from: Instant, id: u64| {
        let end = from + WINDOW;
        let inside = |t: &&&Taken| t.id == id && t.sent >= from && t.arrived < end;
        cold.iter().filter(inside).count()
    };
    let most = cold.iter().map(|t| within(t.sent, t.id)).max().unwrap_or(0);
    let verdict = match most as f64 > limit {
        true => Verdict::Broken,
        false => Verdict::Kept,
    };
    context.record.line(&format!(
        "FAILBACK: at most {most} flows of a cold server in one second, limit {limit}: {verdict:?}"
    ));
    Ok(verdict)
}

fn wait_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
