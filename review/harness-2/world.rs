//! A small deployment on loopback addresses: the store, hosts, gateways and callers.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::packet::{Packet, ACK, FIN, RST, SYN};
use crate::store::Store;

/// The program and the template of its settings, as the deploy file names them.
const PROGRAM: &str = "target/release/burdocklever-gateway";
const TEMPLATE: &str = "platform/gateway.ini";
/// Bounds of the deployment, as in `sites/mtmg-lever.toml`.
pub const CONTACT: Duration = Duration::from_millis(4000);
pub const CONFIG_APPLY: Duration = Duration::from_millis(3000);
pub const EVACUATE: Duration = Duration::from_millis(5000);
const DRAIN_MS: u64 = 3000;
const GRACE_S: u64 = 6;
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Times after the opening packet at which a caller sends its copies and gives up.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_TIMEOUT: Duration = Duration::from_millis(1400);
/// Time within which a request is to be answered.
const TIME_BUDGET: Duration = Duration::from_millis(2000);

/// What happened, with the time since the start of the run.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn add(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let line = format!("{:7.3} s  {text}", ms as f64 / 1000.0);
        self.lines.lock().unwrap().push(line);
    }
}

/// A request that a host ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: u64,
    pub host: String,
    pub zone: String,
}

/// How a caller's try ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Answered,
    Reset,
    NotOpened,
    NotAnswered,
}

/// A try of a caller: one request on a flow of its own.
#[derive(Clone, Debug)]
pub struct Try {
    pub request: u64,
    pub gateway: usize,
    pub route: String,
    pub sent: Instant,
    pub end: End,
}

pub struct Gateway {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

struct HostFlow {
    seq: u32,
    open: bool,
}

#[derive(Clone)]
pub struct Host {
    pub id: String,
    pub zone: String,
    pub address: SocketAddrV4,
    born: u128,
    pub service: String,
    /// What it says of itself; empty once it has left.
    pub state: String,
}

impl Host {
    fn spec(&self, seq: u64) -> String {
        let state = &self.state;
        format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":2,"State":"{state}","ColdRemainingMs":0,"Seq":{seq},"born":{}}}"#,
            self.service, self.address, self.zone, self.born
        )
    }
}

/// Opening packets of tries that wait, by the caller's port.
type Inbox = Arc<Mutex<HashMap<u16, Vec<Packet>>>>;

pub struct World {
    /// When the gateways were started.
    pub started: Instant,
    pub folder: PathBuf,
    pub record: Arc<Record>,
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub hosts: Vec<Host>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    net: [u8; 2],
    /// Ports that are the same on all machines.
    datagram: u16,
    ready: u16,
    control: u16,
    seeds: Vec<SocketAddrV4>,
    caller: Arc<UdpSocket>,
    inbox: Inbox,
    next: Arc<Mutex<(u16, u64)>>,
}

impl Drop for World {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            let _ = gateway.child.kill();
            let _ = gateway.child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn other(text: &str) -> std::io::Error {
    std::io::Error::other(text.to_string())
}

/// Whether no socket uses these ports on a machine's address.
fn is_free(ip: Ipv4Addr, udp: &[u16], tcp: &[u16]) -> bool {
    udp.iter().all(|p| UdpSocket::bind((ip, *p)).is_ok())
        && tcp.iter().all(|p| TcpListener::bind((ip, *p)).is_ok())
}

impl World {
    /// Starts the store, two hosts of each service in each zone and one gateway for each
    /// entry of `zones`. The machines in `dead_seeds` are named as seeds and don't exist.
    pub fn spawn(zones: &[&str], dead_seeds: usize) -> std::io::Result<World> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("burdocklever-review-{pid}"));
        std::fs::create_dir_all(&folder)?;
        let (net, datagram) = Self::find_ports(pid)?;
        let (ready, control) = (datagram + 1, datagram + 2);
        let ip = |n: u8| Ipv4Addr::new(127, net[0], net[1], n);
        let record = Arc::new(Record {
            start: Instant::now(),
            lines: Mutex::default(),
        });
        let store = Store::spawn(SocketAddr::from((ip(250), datagram + 3)))?;
        let caller = Arc::new(UdpSocket::bind((ip(200), datagram))?);
        let mut seeds: Vec<SocketAddrV4> = (0..dead_seeds)
            .map(|n| SocketAddrV4::new(ip(240 + n as u8), control))
            .collect();
        for n in 0..zones.len().min(3 - dead_seeds) {
            seeds.insert(n, SocketAddrV4::new(ip(10 + n as u8), control));
        }
        let mut world = World {
            started: Instant::now(),
            folder,
            record,
            store,
            gateways: Vec::new(),
            hosts: Vec::new(),
            runs: Arc::default(),
            net,
            datagram,
            ready,
            control,
            seeds,
            caller,
            inbox: Inbox::default(),
            next: Arc::new(Mutex::new((1024, 1))),
        };
        world.read_answers();
        let mut names: Vec<&str> = zones.to_vec();
        names.sort_unstable();
        names.dedup();
        for (n, zone) in names.iter().flat_map(|z| [z, z]).enumerate() {
            world.spawn_host(n, zone, "ledger")?;
        }
        for (n, zone) in names.iter().flat_map(|z| [z, z]).enumerate() {
            world.spawn_host(names.len() * 2 + n, zone, "archive")?;
        }
        world.write_entries();
        world.started = Instant::now();
        for (n, zone) in zones.iter().enumerate() {
            world.add_gateway(n, zone)?;
        }
        Ok(world)
    }

    fn find_ports(pid: u32) -> std::io::Result<([u8; 2], u16)> {
        for n in 0..50u32 {
            let seed = pid.wrapping_mul(31).wrapping_add(n * 977);
            let net = [64 + (seed % 128) as u8, (seed / 128 % 250) as u8];
            let port = 20_000 + (seed % 1000) as u16 * 10;
            let ips = [200, 240, 241, 250]
                .into_iter()
                .chain(10..20)
                .chain(100..120);
            let mut ips = ips.map(|n| Ipv4Addr::new(127, net[0], net[1], n));
            let udp = [port];
            let tcp = [port + 1, port + 2, port + 3, port + 4, 9464];
            if ips.all(|ip| is_free(ip, &udp, &tcp)) {
                return Ok((net, port));
            }
        }
        Err(other("no free ports"))
    }

    fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], n)
    }

    // Hosts.

    fn spawn_host(&mut self, n: usize, zone: &str, service: &str) -> std::io::Result<()> {
        let address = SocketAddrV4::new(self.ip(100 + n as u8), self.datagram + 4);
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let host = Host {
            id: format!("i-{:08x}", 0x7f3a_9100 + n as u32),
            zone: zone.to_string(),
            address,
            born: now.map_or(0, |d| d.as_millis()) - 3_600_000,
            service: service.to_string(),
            state: "ready".into(),
        };
        let socket = UdpSocket::bind(address)?;
        let checks = TcpListener::bind(address)?;
        std::thread::spawn(move || {
            for mut stream in checks.incoming().flatten() {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
                let mut buffer = [0; 512];
                if matches!(stream.read(&mut buffer), Ok(n) if n > 0) {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            }
        });
        let number = u64::from_str_radix(&host.id[2..], 16).unwrap_or(0);
        let (runs, record) = (self.runs.clone(), self.record.clone());
        let (own, port) = (host.clone(), self.datagram);
        std::thread::spawn(move || {
            let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), HostFlow> = HashMap::new();
            let mut buffer = [0; 2048];
            let mut next_seq: u32 = 0x2000_0000 + (number as u32 & 0xff) * 7919;
            while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                if length < 40 {
                    continue;
                }
                let wanted = u64::from_be_bytes(buffer[..8].try_into().unwrap());
                if wanted != 0 && wanted != number {
                    continue;
                }
                let Some((packet, true)) = Packet::decode(&buffer[8..length]) else {
                    record.add(&format!("host {} got a packet with a wrong sum", own.id));
                    continue;
                };
                let key = (packet.src, packet.dst);
                let mut reply = Packet {
                    echo: packet.echo,
                    flags: ACK,
                    src: packet.dst,
                    dst: packet.src,
                    seq: 0,
                    ack: packet.seq.wrapping_add(packet.data.len() as u32),
                    data: Vec::new(),
                };
                if packet.flags & SYN != 0 {
                    next_seq = next_seq.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                    let flow = flows.entry(key).or_insert(HostFlow {
                        seq: next_seq,
                        open: false,
                    });
                    reply.flags = SYN | ACK;
                    reply.seq = flow.seq;
                    reply.ack = packet.seq.wrapping_add(1);
                } else if packet.flags & RST != 0 {
                    flows.remove(&key);
                    continue;
                } else {
                    let known = flows.get_mut(&key);
                    let Some(flow) =
                        known.filter(|f| f.open || packet.ack == f.seq.wrapping_add(1))
                    else {
                        reply.flags = RST;
                        reply.seq = packet.ack;
                        let to = SocketAddrV4::new(*packet.src.ip(), port);
                        let _ = socket.send_to(&reply.encode(), to);
                        continue;
                    };
                    let first = !flow.open && !packet.data.is_empty();
                    flow.open = true;
                    reply.seq = flow.seq.wrapping_add(1);
                    if packet.flags & FIN != 0 {
                        reply.flags |= FIN;
                        flows.remove(&key);
                    } else if !packet.data.is_empty() {
                        let text = String::from_utf8_lossy(&packet.data).to_string();
                        let request = text.rsplit(' ').next().and_then(|n| n.parse().ok());
                        if let (true, Some(request)) = (first, request) {
                            record.add(&format!(
                                "host {} ({}) runs request {request}",
                                own.id, own.zone
                            ));
                            runs.lock().unwrap().push(Run {
                                request,
                                host: own.id.clone(),
                                zone: own.zone.clone(),
                            });
                        }
                        reply.data = format!("done by {}", own.id).into_bytes();
                    } else {
                        continue;
                    }
                }
                let to = SocketAddrV4::new(*packet.src.ip(), port);
                let _ = socket.send_to(&reply.encode(), to);
            }
        });
        self.hosts.push(host);
        Ok(())
    }

    /// Every host writes its entry, if the store lacks it or has another.
    pub fn write_entries(&self) {
        for host in self.hosts.iter().filter(|h| !h.state.is_empty()) {
            self.store.put("servers", &host.id, &host.spec(1));
        }
    }

    /// Time within which every host has written its entry again.
    pub fn heartbeat(&self) {
        std::thread::sleep(HEARTBEAT);
        self.write_entries();
    }

    // Gateways.

    fn add_gateway(&mut self, n: usize, zone: &str) -> std::io::Result<()> {
        let ip = self.ip(10 + n as u8);
        let name = format!("edge-{zone}-{n}");
        let settings = self.folder.join(format!("{name}.ini"));
        let template = std::fs::read_to_string(TEMPLATE)?;
        let seeds: Vec<String> = self.seeds.iter().map(|s| s.to_string()).collect();
        let address = |port: u16| format!("{ip}:{port}");
        let fields: Vec<(&str, String)> = vec![
            ("NodeName", name.clone()),
            ("Zone", zone.to_string()),
            ("Ip", ip.to_string()),
            ("Seeds", seeds.join(",")),
            ("HeartbeatMs", HEARTBEAT.as_millis().to_string()),
            ("Listen.DatagramAddr", address(self.datagram)),
            ("Listen.ReadyAddr", address(self.ready)),
            ("Listen.ControlPlane", address(self.control)),
            (
                "platform.Address",
                format!("{}:{}", self.ip(250), self.datagram + 3),
            ),
            ("Limits.LinkMbps", "1000.0".into()),
            ("Bounds.ConfigApplyMs", CONFIG_APPLY.as_millis().to_string()),
            ("Bounds.DrainTimeoutMs", DRAIN_MS.to_string()),
            ("Bounds.EvacuateMs", EVACUATE.as_millis().to_string()),
            ("Bounds.GraceS", GRACE_S.to_string()),
            ("Bootstrap", "true".into()),
        ];
        std::fs::write(&settings, render(&template, &fields))?;
        let log = self.folder.join(format!("{name}.log"));
        let child = start(&settings, &log)?;
        self.record.add(&format!("gateway {name} starts"));
        self.gateways.push(Gateway {
            name,
            ip,
            child,
            settings,
            log,
        });
        Ok(())
    }

    /// Kills a gateway with SIGKILL and starts it again after a pause.
    pub fn restart(&mut self, index: usize, pause: Duration) -> std::io::Result<()> {
        let gateway = &mut self.gateways[index];
        self.record
            .add(&format!("gateway {} is killed", gateway.name));
        gateway.child.kill()?;
        gateway.child.wait()?;
        std::thread::sleep(pause);
        let text = std::fs::read_to_string(&gateway.settings)?;
        std::fs::write(&gateway.settings, text.replace("first = true\n", ""))?;
        gateway.child = start(&gateway.settings, &gateway.log)?;
        self.record
            .add(&format!("gateway {} starts again", gateway.name));
        Ok(())
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let address = SocketAddr::from((self.gateways[index].ip, self.ready));
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        let request = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let _ = stream.write_all(request.as_bytes());
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).is_ok() && &answer == b"HTTP/1.1 200"
    }

    /// Waits until all gateways are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if (0..self.gateways.len()).all(|n| self.is_ready(n)) {
                self.record.add("all gateways are ready");
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    // Callers.

    fn read_answers(&self) {
        let (socket, inbox, record) =
            (self.caller.clone(), self.inbox.clone(), self.record.clone());
        std::thread::spawn(move || {
            let mut buffer = [0; 2048];
            while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                match Packet::decode(&buffer[..length]) {
                    // A reset of the system's own has the sum 0.
                    Some((packet, right)) if right || packet.flags == RST => {
                        let mut inbox = inbox.lock().unwrap();
                        if let Some(packets) = inbox.get_mut(&packet.dst.port()) {
                            packets.push(packet);
                        }
                    }
                    _ => record.add("a caller got a packet that is none"),
                }
            }
        });
    }

    /// Address of a route: a loopback address that only headers name.
    pub fn route_address(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(1), port)
    }

    /// A route of a configuration.
    pub fn route(&self, name: &str, port: u16, service: &str) -> String {
        format!(
            r#"{{"Name":"{name}","Hostname":"{}","PathPrefix":"/{port}/","Type":"unsafe","TimeoutMs":2000,"TargetLatencyMs":200,"Priority":1,"Service":"{service}","MaxAttempts":2}}"#,
            self.ip(1)
        )
    }

    /// Writes a configuration. Returns the time of the acknowledgement.
    pub fn write_config(&self, version: u64, routes: &[String]) -> Instant {
        let services = ["ledger", "archive"].map(|name| {
            format!(
                r#"{{"Name":"{name}","HealthPath":"/health","MaxConns":2000,"Protocol":"h1","Tls":false,"ColdStartS":2.0,"WarmupPerS":0.0}}"#
            )
        });
        let spec = format!(
            r#"{{"Version":{version},"Routes":[{}],"Services":[{}],"Limits":{{"IdleTimeoutMs":12000}}}}"#,
            routes.join(","),
            services.join(",")
        );
        let at = self.store.put("config", "main", &spec);
        self.record.add(&format!(
            "operator writes config {version}, acknowledged at revision {}",
            self.store.revision()
        ));
        at
    }

    /// One request through one gateway. Returns when the try has ended.
    fn send(&self, gateway: usize, name: &str, port: u16) -> Try {
        let (own_port, request) = {
            let mut next = self.next.lock().unwrap();
            next.0 = if next.0 >= 60_000 { 1024 } else { next.0 + 1 };
            next.1 += 1;
            *next
        };
        self.inbox.lock().unwrap().insert(own_port, Vec::new());
        let src = SocketAddrV4::new(self.ip(200), own_port);
        let dst = self.route_address(port);
        let to = SocketAddrV4::new(self.gateways[gateway].ip, self.datagram);
        let seq = (request as u32).wrapping_mul(2_654_435_761);
        let mut packet = Packet {
            echo: 0,
            flags: SYN,
            src,
            dst,
            seq,
            ack: 0,
            data: Vec::new(),
        };
        let sent = Instant::now();
        let mut copies = 0;
        let mut opened: Option<(u32, Instant)> = None;
        let _ = self.caller.send_to(&packet.encode(), to);
        let end = loop {
            std::thread::sleep(Duration::from_millis(2));
            let got: Vec<Packet> = {
                let mut inbox = self.inbox.lock().unwrap();
                inbox
                    .get_mut(&own_port)
                    .map(std::mem::take)
                    .unwrap_or_default()
            };
            let mut end = None;
            for answer in got {
                if answer.flags & RST != 0 {
                    let near = opened.is_none_or(|(ack, _)| answer.seq.abs_diff(ack) <= 76_800);
                    if near {
                        end = Some(End::Reset);
                    }
                } else if answer.flags & SYN != 0 {
                    if opened.is_none() {
                        let ack = answer.seq.wrapping_add(1);
                        opened = Some((ack, Instant::now()));
                        packet.echo = answer.echo;
                        packet.flags = ACK;
                        packet.seq = seq.wrapping_add(1);
                        packet.ack = ack;
                        packet.data = format!("request {request}").into_bytes();
                        let _ = self.caller.send_to(&packet.encode(), to);
                    }
                } else if !answer.data.is_empty() && opened.is_some() {
                    packet.seq = packet.seq.wrapping_add(packet.data.len() as u32);
                    packet.ack = answer.seq.wrapping_add(answer.data.len() as u32);
                    packet.data.clear();
                    packet.flags = ACK | FIN;
                    let _ = self.caller.send_to(&packet.encode(), to);
                    end = Some(End::Answered);
                }
            }
            if let Some(end) = end {
                break end;
            }
            let elapsed = sent.elapsed();
            if opened.is_none() {
                if copies < 2 && elapsed >= COPIES[copies] {
                    copies += 1;
                    packet.ack = copies as u32;
                    let _ = self.caller.send_to(&packet.encode(), to);
                }
                if elapsed >= OPEN_TIMEOUT {
                    break End::NotOpened;
                }
            } else if elapsed >= TIME_BUDGET {
                break End::NotAnswered;
            }
        };
        self.inbox.lock().unwrap().remove(&own_port);
        self.record.add(&format!(
            "request {request} on route {name} through {}, sent {} ms before: {end:?}",
            self.gateways[gateway].name,
            sent.elapsed().as_millis()
        ));
        Try {
            request,
            gateway,
            route: name.to_string(),
            sent,
            end,
        }
    }

    /// Sends one request through every gateway on each route, side by side.
    pub fn round(&self, routes: &[(&str, u16)]) -> Vec<Try> {
        std::thread::scope(|scope| {
            let mut tries = Vec::new();
            for gateway in 0..self.gateways.len() {
                for (name, port) in routes {
                    tries.push(scope.spawn(move || self.send(gateway, name, *port)));
                }
            }
            tries.into_iter().map(|t| t.join().unwrap()).collect()
        })
    }

    /// Sends rounds for some time, one each half second.
    pub fn rounds(&self, routes: &[(&str, u16)], time: Duration) -> Vec<Try> {
        let end = Instant::now() + time;
        let mut tries = Vec::new();
        while Instant::now() < end {
            let next = Instant::now() + Duration::from_millis(500);
            tries.extend(self.round(routes));
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        tries
    }

    /// The run of a request, if any host ran it.
    pub fn run_of(&self, request: u64) -> Option<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().find(|r| r.request == request).cloned()
    }

    /// Writes what was sent, answered and run.
    pub fn write_record(&self, path: &Path) -> std::io::Result<()> {
        let lines = self.record.lines.lock().unwrap();
        std::fs::write(path, lines.join("\n") + "\n")
    }
}

fn start(settings: &Path, log: &Path) -> std::io::Result<Child> {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(log)?;
    Command::new(PROGRAM)
        .env("BURDOCKLEVER_SETTINGS", settings)
        .stdout(log.try_clone()?)
        .stderr(log)
        .stdin(Stdio::null())
        .spawn()
}

/// Fills in the template of the settings.
fn render(template: &str, fields: &[(&str, String)]) -> String {
    let value = |name: &str| {
        fields
            .iter()
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v.as_str())
    };
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        out.push_str(before);
        let Some((name, after)) = after.split_once("}}") else {
            break;
        };
        rest = after;
        if let Some(name) = name.strip_prefix('#') {
            let end = format!("{{{{/{name}}}}}");
            let Some((body, after)) = after.split_once(&end) else {
                break;
            };
            if let Some(value) = value(name) {
                out.push_str(&render(&body.replace("{{.}}", value), fields));
            }
            rest = after;
        } else {
            out.push_str(value(name).unwrap_or(""));
        }
    }
    out.push_str(rest);
    out
}
