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
const POLL: Duration = Duration::from_millis(2);
const RESPONSE_LEN: usize = 600;
/// Requests that a server runs at a time, and the time that one takes, also while it is cold.
const SLOTS: usize = 2;
const WORK: Duration = Duration::from_millis(39);
const COLD_WORK: Duration = Duration::from_millis(62);
/// Time for which a server that fell over takes nothing.
const FALLEN: Duration = Duration::from_secs(1);

/// What a server is, in all its lifetimes.
#[derive(Clone)]
pub struct Spec {
    pub id: u64,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddrV4,
    /// Duration of a cold start.
    pub cold: Duration,
    /// Most flows in a second that a cold server bears. It falls over if it gets more: what it
    /// was working on is lost, and it is down for a moment.
    pub cold_limit: f64,
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
    birth: Arc<Mutex<Birth>>,
    ends: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

/// When a lifetime started, and until when it is cold.
struct Birth {
    /// Unix milliseconds.
    born: u128,
    cold_until: Instant,
}

/// What the threads of a server share.
#[derive(Clone)]
struct Life {
    spec: Spec,
    birth: Arc<Mutex<Birth>>,
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
            birth: Arc::new(Mutex::new(Birth {
                born: unix.map_or(0, |d| d.as_millis()),
                cold_until: if cold { now + spec.cold } else { now },
            })),
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
            birth: life.birth,
            ends: life.ends,
            threads: vec![
                std::thread::spawn(move || a.register()),
                std::thread::spawn(move || b.serve(&packets)),
                std::thread::spawn(move || c.accept_checks(&checks)),
            ],
        })
    }

    /// Turns cold. The entry says so from the next heartbeat on.
    pub fn turn_cold(&self, record: &Record) {
        self.birth.lock().unwrap().cold_until = Instant::now() + self.spec.cold;
        record.line(&format!("server {} turns cold", self.spec.name()));
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
                let (born, cold_until) = {
                    let birth = self.birth.lock().unwrap();
                    (birth.born, birth.cold_until)
                };
                let left = cold_until.saturating_duration_since(Instant::now());
                let entry = format!(
                    r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":2,"State":"ready","ColdRemainingMs":{},"Seq":{seq},"born":{}}}"#,
                    self.spec.service,
                    self.spec.address,
                    self.spec.zone,
                    left.as_millis(),
                    born
                );
                let accepted = self.store.write("servers", &name, Some(&entry));
                if accepted != written || seq == 1 || !left.is_zero() {
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
        let mut work = Work::default();
        let mut buffer = [0; 2048];
        while !self.is_over() {
            work.send_due(socket);
            let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let arrived = Instant::now();
            let Some((id, packet)) = split(&buffer[..length]) else {
                continue;
            };
            let intended = id == 0 || id == self.spec.id;
            if !intended || work.down_until.is_some_and(|at| arrived < at) {
                continue;
            }
            if let Some(reply) = self.handle(&mut work, &packet, arrived) {
                let to = SocketAddrV4::new(*packet.from.ip(), self.spec.consumer_port);
                // A consumer that is gone is no concern of a server.
                let _ = socket.send_to(&reply.encode(), to);
            }
        }
        for lost in &work.pending {
            self.record
                .line(&format!("request {} is lost with its server", lost.request));
        }
    }

    /// Returns the immediate reply to a packet.
    fn handle(&self, work: &mut Work, packet: &Packet, arrived: Instant) -> Option<Packet> {
        if packet.flags & SYN != 0 {
            let flow = work.flows.entry(packet.from);
            let flow = flow.or_insert_with(|| Flow::new(packet, arrived));
            return Some(flow.accept(packet));
        }
        let Some(flow) = work.flows.get_mut(&packet.from) else {
            return Some(answer(packet, RST, packet.ack, Vec::new()));
        };
        if !flow.open {
            if packet.ack != flow.seq.wrapping_add(1) {
                return Some(answer(packet, RST, packet.ack, Vec::new()));
            }
            flow.open = true;
            self.note_opening(flow, packet.from);
            if self.bears_too_much() {
                self.fall_over(work);
                return None;
            }
        }
        if packet.flags & FIN != 0 {
            return Some(answer(packet, ACK | FIN, packet.ack, Vec::new()));
        }
        if !packet.data.is_empty() && !flow.asked {
            flow.asked = true;
            let seq = flow.seq.wrapping_add(1);
            self.run_request(work, packet, seq);
        }
        None
    }

    /// Runs a request in the slot that is free first.
    fn run_request(&self, work: &mut Work, packet: &Packet, seq: u32) {
        let request = String::from_utf8_lossy(&packet.data).into_owned();
        let name = self.spec.name();
        self.record
            .line(&format!("server {name} runs request {request}"));
        let now = Instant::now();
        let time = if self.is_cold(now) { COLD_WORK } else { WORK };
        let mut reply = answer(packet, ACK, seq, vec![b'x'; RESPONSE_LEN]);
        reply.ack = packet.seq.wrapping_add(packet.data.len() as u32);
        let slot = work.slots.iter_mut().min_by_key(|at| **at);
        let due = slot.map_or(now, |slot| {
            *slot = slot.map_or(now, |at| at.max(now)).checked_add(time);
            slot.unwrap_or(now)
        });
        let to = SocketAddrV4::new(*packet.from.ip(), self.spec.consumer_port);
        work.pending.push(Pending {
            due,
            to,
            reply,
            request,
        });
    }

    fn is_cold(&self, now: Instant) -> bool {
        now < self.birth.lock().unwrap().cold_until
    }

    /// Whether a cold server has taken more flows in the last second than it bears.
    fn bears_too_much(&self) -> bool {
        let now = Instant::now();
        let taken = self.taken.lock().unwrap();
        let recent = |t: &&Taken| {
            t.id == self.spec.id && t.cold && now.duration_since(t.arrived) < Duration::from_secs(1)
        };
        taken.iter().filter(recent).count() as f64 > self.spec.cold_limit
    }

    /// Loses all flows and what runs. The server is back after a moment, cold again.
    fn fall_over(&self, work: &mut Work) {
        let back = Instant::now() + FALLEN;
        self.record
            .line(&format!("server {} falls over", self.spec.name()));
        for lost in work.pending.drain(..) {
            self.record
                .line(&format!("request {} is lost with its server", lost.request));
        }
        *work = Work {
            down_until: Some(back),
            ..Work::default()
        };
        let mut birth = self.birth.lock().unwrap();
        birth.born += FALLEN.as_millis();
        birth.cold_until = back + self.spec.cold;
    }

    fn note_opening(&self, flow: &Flow, caller: SocketAddrV4) {
        let (copy, arrived) = flow.opening;
        let sent = self.sent.lock().unwrap().get(&(caller, copy)).copied();
        let Some(sent) = sent else {
            return;
        };
        let cold = self.is_cold(arrived);
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

/// What a server works on.
#[derive(Default)]
struct Work {
    flows: HashMap<SocketAddrV4, Flow>,
    /// When each slot is free; none if it was never used.
    slots: [Option<Instant>; SLOTS],
    pending: Vec<Pending>,
    /// End of the time for which the server is down after it fell over.
    down_until: Option<Instant>,
}

impl Work {
    /// Sends the responses of the requests that have ended.
    fn send_due(&mut self, socket: &UdpSocket) {
        let now = Instant::now();
        for done in self.pending.iter().filter(|p| p.due <= now) {
            let _ = socket.send_to(&done.reply.encode(), done.to);
        }
        self.pending.retain(|p| p.due > now);
    }
}

/// A request that runs.
struct Pending {
    due: Instant,
    to: SocketAddrV4,
    reply: Packet,
    request: String,
}

/// A flow that a server knows.
struct Flow {
    seq: u32,
    open: bool,
    /// Whether its request has arrived.
    asked: bool,
    /// Number of the copy of the opening packet that arrived first, and when.
    opening: (u32, Instant),
}

impl Flow {
    fn new(packet: &Packet, arrived: Instant) -> Flow {
        Flow {
            seq: packet
                .seq
                .wrapping_mul(2_654_435_761)
                .wrapping_add(packet.echo),
            open: false,
            asked: false,
            opening: (packet.ack, arrived),
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
