//! A server behind the system: takes flows, answers requests and registers in the store.

use std::collections::HashMap;
use std::net::{SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::caller::SentTimes;
use crate::packet::{Packet, ACK, FIN, RST, SYN};
use crate::record::Record;
use crate::store::Store;

/// Interval at which a server writes its entry, and the number of missed ones after which the
/// platform removes the entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
const MISSED_MAX: u32 = 3;
/// Pause before a refused write is tried again.
const RETRY: Duration = Duration::from_millis(100);
/// Longest time for which a server's threads do not notice its end.
const POLL: Duration = Duration::from_millis(20);
const RESPONSE_LEN: usize = 1000;

/// What a server is, in all its lifetimes.
#[derive(Clone)]
pub struct Spec {
    pub id: u64,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddrV4,
    /// Duration of a cold start.
    pub cold: Duration,
    /// Port at which consumers receive packets.
    pub consumer_port: u16,
}

impl Spec {
    pub fn name(&self) -> String {
        format!("i-{:010x}", self.id)
    }
}

/// A flow that a server took, judged by its opening packet.
#[derive(Debug, Clone, Copy)]
pub struct Taken {
    pub id: u64,
    /// When the consumer sent the opening packet, and when it arrived.
    pub sent: Instant,
    pub arrived: Instant,
    /// Whether the server was cold when it arrived.
    pub cold: bool,
}

pub type TakenList = Arc<Mutex<Vec<Taken>>>;

/// A lifetime of a server.
pub struct Server {
    spec: Spec,
    ends: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

/// What the threads of a server share.
#[derive(Clone)]
struct Life {
    spec: Spec,
    born: u128,
    cold_until: Instant,
    ends: Arc<AtomicBool>,
    store: Store,
    record: Record,
    sent: SentTimes,
    taken: TakenList,
}

impl Server {
    /// Starts a lifetime, cold or not.
    pub fn start(
        spec: &Spec,
        cold: bool,
        store: &Store,
        record: &Record,
        sent: &SentTimes,
        taken: &TakenList,
    ) -> std::io::Result<Server> {
        let packets = UdpSocket::bind(spec.address)?;
        packets.set_read_timeout(Some(POLL))?;
        let checks = TcpListener::bind(spec.address)?;
        checks.set_nonblocking(true)?;
        let now = Instant::now();
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let life = Life {
            spec: spec.clone(),
            born: unix.map_or(0, |d| d.as_millis()),
            cold_until: if cold { now + spec.cold } else { now },
            ends: Arc::new(AtomicBool::new(false)),
            store: store.clone(),
            record: record.clone(),
            sent: sent.clone(),
            taken: taken.clone(),
        };
        record.line(&format!("server {} starts, cold: {cold}", spec.name()));
        let (a, b, c) = (life.clone(), life.clone(), life.clone());
        Ok(Server {
            spec: spec.clone(),
            ends: life.ends,
            threads: vec![
                std::thread::spawn(move || a.register()),
                std::thread::spawn(move || b.serve(&packets)),
                std::thread::spawn(move || c.accept_checks(&checks)),
            ],
        })
    }

    /// Ends the lifetime at once. The server's sockets are closed, and its flows are lost.
    pub fn crash(self, record: &Record) {
        self.ends.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("a server's thread ends");
        }
        record.line(&format!("server {} crashed", self.spec.name()));
    }
}

impl Life {
    fn is_over(&self) -> bool {
        self.ends.load(Ordering::SeqCst)
    }

    /// Writes the entry at each heartbeat, again and again while the store refuses it.
    fn register(&self) {
        let name = self.spec.name();
        let mut seq = 0;
        let mut due = Instant::now();
        let mut written = true;
        while !self.is_over() {
            if Instant::now() >= due {
                seq += 1;
                let left = self.cold_until.saturating_duration_since(Instant::now());
                let entry = format!(
                    r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":2,"State":"ready","ColdRemainingMs":{},"Seq":{seq},"born":{}}}"#,
                    self.spec.service,
                    self.spec.address,
                    self.spec.zone,
                    left.as_millis(),
                    self.born
                );
                let accepted = self.store.write("servers", &name, Some(&entry));
                if accepted != written || seq == 1 {
                    let cold_ms = left.as_millis();
                    self.record.line(&format!(
                        "server {name} writes its entry, cold for {cold_ms} ms: accepted: {accepted}"
                    ));
                }
                written = accepted;
                due = Instant::now() + if accepted { HEARTBEAT } else { RETRY };
            }
            std::thread::sleep(POLL);
        }
    }

    /// Answers status checks by taking the connection.
    fn accept_checks(&self, listener: &TcpListener) {
        while !self.is_over() {
            if listener.accept().is_err() {
                std::thread::sleep(POLL);
            }
        }
    }

    fn serve(&self, socket: &UdpSocket) {
        let mut flows: HashMap<SocketAddrV4, Flow> = HashMap::new();
        let mut buffer = [0; 2048];
        while !self.is_over() {
            let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let arrived = Instant::now();
            let Some((id, packet)) = split(&buffer[..length]) else {
                continue;
            };
            if id != 0 && id != self.spec.id {
                continue;
            }
            let caller = packet.from;
            let reply = match flows.get_mut(&caller) {
                _ if packet.flags & SYN != 0 => {
                    let flow = flows.entry(caller).or_insert_with(|| Flow::new(&packet));
                    flow.opening = (packet.ack, arrived);
                    Some(flow.accept(&packet))
                }
                Some(flow) => self.handle(flow, &packet),
                None => Some(answer(&packet, RST, packet.ack, Vec::new())),
            };
            if let Some(reply) = reply {
                let to = SocketAddrV4::new(*caller.ip(), self.spec.consumer_port);
                // A consumer that is gone is no concern of a server.
                let _ = socket.send_to(&reply.encode(), to);
            }
        }
    }

    fn handle(&self, flow: &mut Flow, packet: &Packet) -> Option<Packet> {
        if !flow.open {
            if packet.ack != flow.seq.wrapping_add(1) {
                return Some(answer(packet, RST, packet.ack, Vec::new()));
            }
            flow.open = true;
            self.note_opening(flow, packet.from);
        }
        if packet.flags & FIN != 0 {
            return Some(answer(packet, ACK | FIN, packet.ack, Vec::new()));
        }
        if packet.data.is_empty() {
            return None;
        }
        if !flow.answered {
            flow.answered = true;
            self.record.line(&format!(
                "server {} runs request {}",
                self.spec.name(),
                String::from_utf8_lossy(&packet.data)
            ));
        }
        let mut reply = answer(
            packet,
            ACK,
            flow.seq.wrapping_add(1),
            vec![b'x'; RESPONSE_LEN],
        );
        reply.ack = packet.seq.wrapping_add(packet.data.len() as u32);
        Some(reply)
    }

    fn note_opening(&self, flow: &Flow, caller: SocketAddrV4) {
        let (copy, arrived) = flow.opening;
        let sent = self.sent.lock().unwrap().get(&(caller, copy)).copied();
        let Some(sent) = sent else {
            return;
        };
        let cold = arrived < self.cold_until;
        self.record.line(&format!(
            "server {} takes a flow of {caller}, opening packet sent at {:.4}, arrived at {:.4}, cold: {cold}",
            self.spec.name(),
            self.record.seconds(sent),
            self.record.seconds(arrived)
        ));
        let id = self.spec.id;
        self.taken.lock().unwrap().push(Taken {
            id,
            sent,
            arrived,
            cold,
        });
    }
}

/// A flow that a server knows.
struct Flow {
    seq: u32,
    open: bool,
    answered: bool,
    /// Number of the copy of the opening packet that arrived last, and when.
    opening: (u32, Instant),
}

impl Flow {
    fn new(packet: &Packet) -> Flow {
        Flow {
            seq: packet
                .seq
                .wrapping_mul(2_654_435_761)
                .wrapping_add(packet.echo),
            open: false,
            answered: false,
            opening: (packet.ack, Instant::now()),
        }
    }

    fn accept(&self, packet: &Packet) -> Packet {
        let mut reply = answer(packet, SYN | ACK, self.seq, Vec::new());
        reply.ack = packet.seq.wrapping_add(1);
        reply
    }
}

fn answer(packet: &Packet, flags: u8, seq: u32, data: Vec<u8>) -> Packet {
    Packet {
        echo: packet.echo,
        flags,
        from: packet.to,
        to: packet.from,
        seq,
        ack: packet.seq,
        data,
    }
}

fn split(datagram: &[u8]) -> Option<(u64, Packet)> {
    let (id, packet) = datagram.split_first_chunk::<8>()?;
    Some((u64::from_be_bytes(*id), Packet::decode(packet)?))
}

/// Removes the entry of a server that stays silent, as the platform does.
pub fn expire_after_silence(
    spec: &Spec,
    store: &Store,
    record: &Record,
    still_down: Arc<AtomicBool>,
) {
    let (name, store, record) = (spec.name(), store.clone(), record.clone());
    std::thread::spawn(move || {
        std::thread::sleep(HEARTBEAT * MISSED_MAX);
        if still_down.load(Ordering::SeqCst) {
            store.expire("servers", &name);
            record.line(&format!("the platform removes the entry of server {name}"));
        }
    });
}
