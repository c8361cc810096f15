//! A small deployment: two zones, two or three daemons, a server in each zone, and consumers in
//! the first one. Also the check of FAILBACK.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::caller::{Caller, Path, SentTimes};
use crate::gateway::{Gateway, Ports};
use crate::router::Router;
use crate::server::{expire_after_silence, Server, Spec, Taken, TakenList};
use crate::store::Store;
use crate::{Context, Verdict};

/// Limit of FAILBACK: `WarmupPerS` x `ColdOverageFactor` + `ColdSlack`.
const WARMUP_PER_S: f64 = 2.0;
const COLD_OVERAGE_FACTOR: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const COLD_START: Duration = Duration::from_secs(2);
const WINDOW: Duration = Duration::from_secs(1);

/// Flows that the consumers of the first zone open a second.
const FLOWS_PER_S: u32 = 16;
const CALLERS: u32 = 4;
/// Pause between the daemons' start and that of the traffic.
const LEAD: Duration = Duration::from_secs(1);

/// Name, zone and last byte of the address of a daemon.
pub type Machine = (&'static str, &'static str, u8);
/// Two daemons in the consumers' zone, or one, and one in the other zone.
pub const THREE_MACHINES: &[Machine] = &[
    ("north-1", "north", 11),
    ("north-2", "north", 12),
    ("south-1", "south", 21),
];
pub const TWO_MACHINES: &[Machine] = &[("north-1", "north", 11), ("south-1", "south", 21)];
/// The zone of the consumers.
const ZONE: &str = "north";

/// A running deployment with its stand-ins.
pub struct Deployment<'a> {
    context: &'a Context,
    machines: &'static [Machine],
    ports: Ports,
    pub store: Store,
    /// The server in the consumers' zone.
    near: Spec,
    near_life: Option<Server>,
    near_down: Arc<AtomicBool>,
    _far: Server,
    gateways: Vec<Option<Gateway>>,
    router: Router,
    sent: SentTimes,
    taken: TakenList,
}

impl<'a> Deployment<'a> {
    pub fn start(
        context: &'a Context,
        machines: &'static [Machine],
    ) -> std::io::Result<Deployment<'a>> {
        let record = &context.record;
        let ports = Ports::free(loopback(2, 2))?;
        let store = Store::spawn(loopback(2, 1))?;
        store.write("config", "main", Some(&config(route())));
        let (sent, taken) = (SentTimes::default(), TakenList::default());
        let spec = |id: u64, zone: &'static str, last: u8| Spec {
            id,
            service: "records",
            zone,
            address: SocketAddrV4::new(loopback(4, last), ports.control),
            cold: COLD_START,
            cold_limit: WARMUP_PER_S * COLD_OVERAGE_FACTOR + COLD_SLACK,
            consumer_port: ports.datagram,
        };
        let (near, far) = (spec(0x7f3a_91c2, ZONE, 1), spec(0x51d0_08e4, "south", 2));
        let near_life = Server::start(&near, false, &store, record, &sent, &taken)?;
        let far = Server::start(&far, false, &store, record, &sent, &taken)?;
        let mut deployment = Deployment {
            context,
            machines,
            ports,
            store,
            near,
            near_life: Some(near_life),
            near_down: Arc::default(),
            _far: far,
            gateways: Vec::new(),
            router: Router::spawn(ports, record, ZONE),
            sent,
            taken,
        };
        for index in 0..machines.len() {
            let gateway = deployment.spawn_gateway(index, true)?;
            deployment.gateways.push(Some(gateway));
        }
        for gateway in deployment.gateways.iter().flatten() {
            if !gateway.wait_ready() {
                return Err(std::io::Error::other("a daemon did not become ready"));
            }
        }
        std::thread::sleep(LEAD);
        Ok(deployment)
    }

    fn spawn_gateway(&self, index: usize, first: bool) -> std::io::Result<Gateway> {
        let (name, zone, last) = self.machines[index];
        let seeds: Vec<Ipv4Addr> = self.machines.iter().map(|m| machine_ip(m.2)).collect();
        let (folder, ip) = (&self.context.temporary, machine_ip(last));
        let gateway = Gateway::spawn(
            folder,
            name,
            zone,
            ip,
            self.ports,
            &seeds,
            first,
            &self.store,
        )?;
        self.router.add(ip, zone);
        Ok(gateway)
    }

    /// Sends requests at a steady rate until `end`, beside what else happens.
    pub fn start_traffic(&self, end: Duration) -> std::io::Result<Traffic> {
        let callers: Vec<Caller> = (1..=CALLERS)
            .map(|i| {
                let ip = loopback(8, i as u8);
                Caller::open(ip, self.ports.datagram, &self.sent, &self.context.record)
            })
            .collect::<std::io::Result<_>>()?;
        let path = Path {
            route: route(),
            router: self.router.clone(),
        };
        self.context.record.line("traffic starts");
        let start = Instant::now();
        let sending = std::thread::spawn(move || send_requests(&callers, &path, start, end));
        Ok(Traffic { start, sending })
    }

    /// The server in the consumers' zone crashes.
    pub fn crash_server(&mut self) {
        if let Some(server) = self.near_life.take() {
            server.crash(&self.context.record);
        }
        self.near_down.store(true, Ordering::SeqCst);
        let (store, record) = (&self.store, &self.context.record);
        expire_after_silence(&self.near, store, record, self.near_down.clone());
    }

    /// It starts again, cold, under the id that it had.
    pub fn restart_server(&mut self) -> std::io::Result<()> {
        self.near_down.store(false, Ordering::SeqCst);
        let record = &self.context.record;
        let (store, sent, taken) = (&self.store, &self.sent, &self.taken);
        self.near_life = Some(Server::start(&self.near, true, store, record, sent, taken)?);
        Ok(())
    }

    /// The server in the consumers' zone turns cold.
    pub fn turn_server_cold(&self) {
        if let Some(server) = &self.near_life {
            server.turn_cold(&self.context.record);
        }
    }

    /// Evacuates the consumers' zone, or takes it back. Returns when the store has accepted that.
    pub fn set_evacuated(&self, evacuated: bool) {
        let spec = evacuated.then_some("{}");
        self.store.write("evacuations", ZONE, spec);
        let text = format!("zone {ZONE} is evacuated: {evacuated}, acknowledged");
        self.context.record.line(&text);
    }

    /// Positions of the daemons of the consumers' zone.
    fn in_zone(&self) -> Vec<usize> {
        let all = 0..self.machines.len();
        all.filter(|i| self.machines[*i].1 == ZONE).collect()
    }

    /// Pauses the daemons of the consumers' zone, or lets them go on.
    pub fn set_paused(&self, paused: bool) -> std::io::Result<()> {
        for index in self.in_zone() {
            if let Some(gateway) = &self.gateways[index] {
                gateway.signal(if paused { "STOP" } else { "CONT" })?;
            }
        }
        let text = format!("the daemons of the zone are paused: {paused}");
        self.context.record.line(&text);
        Ok(())
    }

    /// Kills the daemons of the consumers' zone.
    pub fn kill_gateways(&mut self) {
        for index in self.in_zone() {
            self.gateways[index] = None;
        }
        self.context
            .record
            .line("the daemons of the zone are killed");
    }

    pub fn restart_gateways(&mut self) -> std::io::Result<()> {
        for index in self.in_zone() {
            self.gateways[index] = Some(self.spawn_gateway(index, false)?);
        }
        self.context
            .record
            .line("the daemons of the zone start again");
        Ok(())
    }

    pub fn set_store_down(&self, down: bool) {
        self.store.set_down(down);
        self.context
            .record
            .line(&format!("the store is down: {down}"));
    }

    /// FAILBACK as written: flows of a cold server whose opening packets were sent and arrived
    /// within one second.
    pub fn judge_failback(&self) -> Verdict {
        let limit = WARMUP_PER_S * COLD_OVERAGE_FACTOR + COLD_SLACK;
        let taken = self.taken.lock().unwrap();
        let cold: Vec<&Taken> = taken.iter().filter(|t| t.cold).collect();
        let within = |from: &Taken| {
            let end = from.sent + WINDOW;
            let inside = |t: &&&Taken| t.id == from.id && t.sent >= from.sent && t.arrived < end;
            cold.iter().filter(inside).count()
        };
        let most = cold.iter().map(|t| within(t)).max().unwrap_or(0);
        let verdict = match most as f64 > limit {
            true => Verdict::Broken,
            false => Verdict::Kept,
        };
        self.context.record.line(&format!(
            "FAILBACK: at most {most} flows of a cold server in one second, limit {limit}: {verdict:?}"
        ));
        verdict
    }
}

/// Requests that are being sent.
pub struct Traffic {
    start: Instant,
    sending: std::thread::JoinHandle<(usize, usize)>,
}

impl Traffic {
    /// Waits until a time after the start of the traffic.
    pub fn wait_until(&self, at: Duration) {
        wait_until(self.start + at);
    }

    /// Waits for the last answer.
    pub fn finish(self, context: &Context) {
        let (answered, total) = self.sending.join().expect("the sending thread ends");
        let text = format!("answered: {answered} of {total} requests");
        context.record.line(&text);
    }
}

/// A loopback address of this run. Runs beside each other have others.
fn loopback(group: u8, last: u8) -> Ipv4Addr {
    let run = 64 + (std::process::id() % 128) as u8;
    Ipv4Addr::new(127, run, group, last)
}

fn machine_ip(last: u8) -> Ipv4Addr {
    loopback(1, last)
}

fn route() -> SocketAddrV4 {
    SocketAddrV4::new(loopback(200, 1), 443)
}

fn config(route: SocketAddrV4) -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-1","Hostname":"{}","PathPrefix":"/{}/","Type":"unsafe","TimeoutMs":2000,"TargetLatencyMs":200,"Priority":1,"Service":"records","MaxAttempts":2}}],"Services":[{{"Name":"records","HealthPath":"/health","MaxConns":2000,"Protocol":"h1","Tls":false,"ColdStartS":{:.1},"WarmupPerS":{WARMUP_PER_S:.1}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        route.ip(),
        route.port(),
        COLD_START.as_secs_f64()
    )
}

/// Returns how many requests were answered, and how many there were.
fn send_requests(callers: &[Caller], path: &Path, start: Instant, end: Duration) -> (usize, usize) {
    let count = (end.as_secs_f64() * f64::from(FLOWS_PER_S)) as u32;
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

fn wait_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
