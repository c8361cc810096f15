//! A small deployment: store, gateways, hosts, the platform's routers and consumers.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use crate::gateway::{Gateway, Ports, Settings};
use crate::host::{Host, Seen, What};
use crate::packet::{number, Packet, ACK, FIN, RST, SYN};
use crate::record::Record;
use crate::store::Store;

/// Times at which a consumer sends copies of an opening packet, and gives up.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_MAX: Duration = Duration::from_millis(1400);
/// Time after which a consumer sends a packet again. It doubles up to the limit.
const RETRANSMIT: Duration = Duration::from_millis(200);
const RETRANSMIT_MAX: Duration = Duration::from_millis(1600);
/// Time budget of a request.
const BUDGET: Duration = Duration::from_millis(4000);
/// Interval of the platform's readiness probes, and the misses that it bears.
const PROBE: Duration = Duration::from_millis(500);
const MISSES: u32 = 2;

// Bounds of the users' small sites.
const HEARTBEAT_MS: u64 = 1200;
const CONFIG_MS: u64 = 3000;
const EVACUATE_MS: u64 = 5000;
const COLD_START_S: u64 = 2;
const WARMUP_PER_S: u64 = 10;
/// `DrainTimeoutMs`.
pub const DRAIN_MS: u64 = 3000;
/// `EvacuateMs`, in seconds.
pub const EVACUATE_S: f64 = 5.0;
/// `RecoveryS`.
pub const RECOVERY_S: u64 = 12;

/// Result of a case.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Where a consumer's flow stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Opening,
    Open,
    /// The opening packet was refused or never answered.
    Refused,
    /// An open flow got a reset of the system's own.
    ResetBySystem,
    /// An open flow got a reset of a host.
    ResetByHost,
    /// Closed, or given up at the time budget.
    Ended,
}

/// A consumer's flow.
pub struct Flow {
    pub stage: Stage,
    pub dport: u16,
    pub answers: Vec<String>,
    /// Host that took its opening packet first.
    pub host: Option<usize>,
    /// When it was opened, in seconds since the start.
    pub opened_at: f64,
    /// When it was opened.
    since: Instant,
    echo: u32,
    seq: u32,
    expected: u32,
    queue: VecDeque<String>,
    /// Last data, which is not answered: bytes, first sent, last sent, copies.
    unanswered: Option<(Vec<u8>, Instant, Instant, u32)>,
    copies: usize,
    close_after: bool,
    /// Number of datagrams of the host that are lost before they arrive.
    losses: u32,
}

/// All parts of a run.
pub struct World {
    pub record: Record,
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub hosts: Vec<Host>,
    pub flows: BTreeMap<u16, Flow>,
    pub seen: Vec<(f64, Seen)>,
    pub net: u8,
    pub ports: Ports,
    pub virtual_ip: Ipv4Addr,
    consumer: UdpSocket,
    consumer_ip: Ipv4Addr,
    next_port: u16,
    folder: PathBuf,
    probed_at: Instant,
    /// Misses of each gateway's readiness probe; none while it is out of rotation.
    misses: Vec<u32>,
}

impl World {
    /// Starts a store and prepares the addresses of `vms` gateways.
    pub fn spawn(record: Record, vms: usize) -> Result<World> {
        // Runs beside each other use other addresses.
        let net = 20 + (std::process::id() % 200) as u8;
        let consumer_ip = Ipv4Addr::new(127, net, 9, 1);
        let ips: Vec<Ipv4Addr> = (0..vms).map(|i| vm_ip(net, i)).collect();
        let ports = Ports::find(&ips, consumer_ip).ok_or("no free ports")?;
        let consumer = UdpSocket::bind((consumer_ip, ports.datagram))?;
        consumer.set_nonblocking(true)?;
        let store = Store::spawn(Ipv4Addr::new(127, net, 7, 1), record.clone())?;
        let folder =
            std::env::temp_dir().join(format!("burdocklever-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(World {
            record,
            store,
            gateways: Vec::new(),
            hosts: Vec::new(),
            flows: BTreeMap::new(),
            seen: Vec::new(),
            net,
            ports,
            virtual_ip: Ipv4Addr::new(127, net, 10, 1),
            consumer,
            consumer_ip,
            next_port: 40_000,
            folder,
            probed_at: Instant::now(),
            misses: Vec::new(),
        })
    }

    /// Writes a configuration of routes: name, port, type and service.
    pub fn configure(&self, version: u64, routes: &[(&str, u16, &str, &str)]) {
        let route = |(name, port, kind, service): &(&str, u16, &str, &str)| {
            format!(
                "{{\"Name\":\"{name}\",\"Hostname\":\"{}\",\"PathPrefix\":\"/{port}/\",\"Type\":\"{kind}\",\"TimeoutMs\":4000,\"TargetLatencyMs\":400,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":2}}",
                self.virtual_ip
            )
        };
        let mut services: Vec<&str> = routes.iter().map(|r| r.3).collect();
        services.sort_unstable();
        services.dedup();
        let service = |name: &&str| {
            format!(
                "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":{COLD_START_S}.0,\"WarmupPerS\":{WARMUP_PER_S}.0}}"
            )
        };
        let routes: Vec<String> = routes.iter().map(route).collect();
        let services: Vec<String> = services.iter().map(service).collect();
        let spec = format!(
            "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("config", "main", spec.as_bytes());
    }

    /// Starts a host and writes its entry.
    pub fn add_host(
        &mut self,
        id: u64,
        service: &'static str,
        zone: &'static str,
    ) -> Result<usize> {
        let index = self.hosts.len();
        let ip = Ipv4Addr::new(127, self.net, 8, 1 + index as u8);
        let host = Host::spawn(
            index,
            ip,
            (id, service, zone),
            self.ports.datagram,
            self.record.clone(),
        )?;
        self.store
            .put("servers", &host.name(), host.entry().as_bytes());
        self.hosts.push(host);
        Ok(index)
    }

    /// Starts a gateway in each of the zones, and waits until all are ready.
    pub fn start_gateways(&mut self, zones: &[&str]) -> Result<()> {
        let root = root()?;
        let seeds: Vec<Ipv4Addr> = (0..zones.len().min(3))
            .map(|i| vm_ip(self.net, i))
            .collect();
        for (i, zone) in zones.iter().enumerate() {
            let settings = Settings {
                zone,
                store: self.store.address,
                seeds: &seeds,
                bounds_ms: [CONFIG_MS, DRAIN_MS, EVACUATE_MS],
                heartbeat_ms: HEARTBEAT_MS,
            };
            let name = format!("edge-{zone}-{i}");
            let ip = vm_ip(self.net, i);
            let gateway = Gateway::spawn(&root, &self.folder, &name, ip, self.ports, &settings)?;
            self.gateways.push(gateway);
            self.misses.push(MISSES);
        }
        self.record.line("all gateways started");
        Ok(())
    }

    /// Waits until all gateways are ready.
    pub fn wait_until_ready(&mut self, limit: Duration) -> Result<()> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.gateways.iter().all(Gateway::is_ready) {
                self.record.line("all gateways are ready");
                self.misses.fill(0);
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err("the gateways are not ready in time".into())
    }

    /// Kills all gateways at once and starts them again after a pause.
    pub fn restart_gateways(&mut self, down: Duration) -> Result<()> {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        self.record.line("all gateways were killed");
        self.run(down);
        for gateway in &mut self.gateways {
            gateway.start()?;
        }
        self.record.line("all gateways were started again");
        Ok(())
    }

    /// Opens a flow, which sends a request. It is closed after the answer if `close`.
    pub fn open(&mut self, dport: u16, request: &str, close: bool) -> u16 {
        self.next_port += 1;
        let sport = self.next_port;
        let now = Instant::now();
        let flow = Flow {
            stage: Stage::Opening,
            dport,
            answers: Vec::new(),
            host: None,
            opened_at: self.record.seconds(),
            since: now,
            echo: 0,
            seq: u32::from(sport).wrapping_mul(0x0001_0f2d),
            expected: 0,
            queue: VecDeque::from([request.to_string()]),
            unanswered: None,
            copies: 0,
            close_after: close,
            losses: 0,
        };
        self.record.line(&format!(
            "consumer: opens flow {sport} to port {dport} for request '{request}'"
        ));
        self.flows.insert(sport, flow);
        self.send(sport, SYN, Vec::new());
        sport
    }

    /// Sends a request on an open flow. The next `losses` datagrams of its host are lost.
    pub fn request(&mut self, sport: u16, request: &str, losses: u32) {
        if let Some(flow) = self.flows.get_mut(&sport) {
            flow.losses = losses;
            flow.queue.push_back(request.to_string());
        }
        self.record.line(&format!(
            "consumer: sends request '{request}' on flow {sport}"
        ));
        self.send_next(sport);
    }

    /// Runs the deployment for some time.
    pub fn run(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let mut seen = Vec::new();
            let mut busy = false;
            for host in &mut self.hosts {
                busy |= host.poll(&mut seen);
            }
            for one in seen {
                if let (What::Syn, Some(flow)) = (&one.what, self.flows.get_mut(&one.sport)) {
                    flow.host.get_or_insert(one.host);
                }
                self.seen.push((self.record.seconds(), one));
            }
            busy |= self.receive();
            self.run_timers();
            self.probe();
            if !busy {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
    }

    /// Number of requests that were answered.
    pub fn answered(&self) -> usize {
        self.flows.values().map(|f| f.answers.len()).sum()
    }

    fn probe(&mut self) {
        if self.probed_at.elapsed() < PROBE {
            return;
        }
        self.probed_at = Instant::now();
        for (gateway, misses) in self.gateways.iter().zip(&mut self.misses) {
            *misses = if gateway.is_ready() { 0 } else { *misses + 1 };
        }
    }

    /// The gateway that the routers forward a flow's packet to.
    fn route(&self, sport: u16) -> Option<&Gateway> {
        let ready = self
            .gateways
            .iter()
            .zip(&self.misses)
            .filter(|(_, m)| **m < MISSES);
        let ready: Vec<&Gateway> = ready.map(|(g, _)| g).collect();
        // If too few are in rotation, the platform uses all.
        let pool = match ready.len() * 2 < self.gateways.len() {
            true => self.gateways.iter().collect(),
            false => ready,
        };
        let hash = u64::from(sport).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        pool.get(hash as usize % pool.len().max(1)).copied()
    }

    fn send(&self, sport: u16, flags: u8, data: Vec<u8>) {
        let (Some(flow), Some(gateway)) = (self.flows.get(&sport), self.route(sport)) else {
            return;
        };
        let opening = flags & SYN != 0;
        let packet = Packet {
            echo: flow.echo,
            flags,
            src: number(self.consumer_ip),
            sport,
            dst: number(self.virtual_ip),
            dport: flow.dport,
            seq: flow.seq,
            ack: if opening {
                flow.copies as u32
            } else {
                flow.expected
            },
            data,
            sum: 0,
        };
        let _ = self
            .consumer
            .send_to(&packet.encode(), (gateway.ip, self.ports.datagram));
    }

    fn send_next(&mut self, sport: u16) {
        let Some(flow) = self.flows.get_mut(&sport) else {
            return;
        };
        if flow.stage != Stage::Open || flow.unanswered.is_some() {
            return;
        }
        if let Some(request) = flow.queue.pop_front() {
            let now = Instant::now();
            flow.unanswered = Some((request.clone().into_bytes(), now, now, 0));
            self.send(sport, ACK, request.into_bytes());
        }
    }

    fn receive(&mut self) -> bool {
        let mut buffer = [0; 2048];
        let mut busy = false;
        while let Ok((length, _)) = self.consumer.recv_from(&mut buffer) {
            busy = true;
            if let Some(packet) = Packet::decode(&buffer[..length]) {
                self.handle(packet);
            }
        }
        busy
    }

    fn handle(&mut self, packet: Packet) {
        let sport = packet.dport;
        let record = self.record.clone();
        let Some(flow) = self.flows.get_mut(&sport) else {
            return;
        };
        let set = |flow: &mut Flow, stage: Stage| {
            record.line(&format!("consumer: flow {sport} is now {stage:?}"));
            flow.stage = stage;
        };
        if packet.flags & RST != 0 {
            let by_system = packet.is_system_reset();
            match flow.stage {
                Stage::Opening => set(flow, Stage::Refused),
                Stage::Open if packet.seq.wrapping_sub(flow.expected) as i32 > 76_800 => {}
                Stage::Open if by_system => set(flow, Stage::ResetBySystem),
                Stage::Open => set(flow, Stage::ResetByHost),
                _ => {}
            }
            return;
        }
        if flow.losses > 0 && flow.stage == Stage::Open {
            flow.losses -= 1;
            record.line(&format!(
                "network: a datagram of the host on flow {sport} is lost"
            ));
            return;
        }
        if !packet.is_genuine() {
            record.line(&format!("consumer: flow {sport} got a forged packet"));
            return;
        }
        if packet.flags & SYN != 0 {
            if flow.stage == Stage::Opening {
                flow.echo = packet.echo;
                flow.seq = flow.seq.wrapping_add(1);
                flow.expected = packet.seq.wrapping_add(1);
                set(flow, Stage::Open);
                self.send_next(sport);
            }
            return;
        }
        if flow.stage != Stage::Open {
            return;
        }
        flow.echo = packet.echo;
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            if let Some((data, ..)) = flow.unanswered.take() {
                flow.seq = flow.seq.wrapping_add(data.len() as u32);
            }
            let answer = String::from_utf8_lossy(&packet.data).into_owned();
            record.line(&format!("consumer: flow {sport} got '{answer}'"));
            flow.answers.push(answer);
        }
        let close = flow.close_after && flow.queue.is_empty();
        self.send(sport, if close { FIN | ACK } else { ACK }, Vec::new());
        match self.flows.get_mut(&sport) {
            Some(flow) if close => set(flow, Stage::Ended),
            _ => self.send_next(sport),
        }
    }

    fn run_timers(&mut self) {
        let now = Instant::now();
        let mut copies = Vec::new();
        let mut again = Vec::new();
        for (sport, flow) in &mut self.flows {
            let age = now.duration_since(flow.since);
            match flow.stage {
                Stage::Opening if age >= OPEN_MAX => {
                    self.record
                        .line(&format!("consumer: flow {sport} was never answered"));
                    flow.stage = Stage::Refused;
                }
                Stage::Opening if COPIES.get(flow.copies).is_some_and(|at| age >= *at) => {
                    flow.copies += 1;
                    copies.push(*sport);
                }
                Stage::Open => {
                    let Some((data, first, last, count)) = &mut flow.unanswered else {
                        continue;
                    };
                    let wait = (RETRANSMIT * 2u32.pow((*count).min(3))).min(RETRANSMIT_MAX);
                    if now.duration_since(*first) >= BUDGET {
                        self.record.line(&format!(
                            "consumer: flow {sport} is given up at the time budget"
                        ));
                        flow.stage = Stage::Ended;
                    } else if now.duration_since(*last) >= wait {
                        (*last, *count) = (now, *count + 1);
                        again.push((*sport, data.clone()));
                    }
                }
                _ => {}
            }
        }
        for sport in copies {
            self.send(sport, SYN, Vec::new());
        }
        for (sport, data) in again {
            self.send(sport, ACK, data);
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn vm_ip(net: u8, index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, net, 1, 1 + index as u8)
}

/// The repository's root: the folder that has the deploy file.
fn root() -> Result<PathBuf> {
    let here = std::env::current_dir()?;
    let found = here
        .ancestors()
        .find(|p| p.join("deploy/system.toml").exists());
    Ok(found
        .map(Path::to_path_buf)
        .ok_or("no deploy/system.toml above this folder")?)
}
