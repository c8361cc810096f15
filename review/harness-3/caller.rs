//! Consumers: each request opens a flow of its own.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::packet::{Packet, ACK, FIN, RST, SYN};
use crate::record::Record;
use crate::router::Router;

/// When each copy of an opening packet was sent, by consumer's address and number of the copy.
pub type SentTimes = Arc<Mutex<HashMap<(SocketAddrV4, u32), Instant>>>;

/// Times after the first copy of an opening packet at which further ones are sent, and time
/// after which the attempt ends.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_TIMEOUT: Duration = Duration::from_millis(1400);
/// First pause before data is sent again. It doubles.
const RETRANSMIT: Duration = Duration::from_millis(200);
/// Time budget of a request, and the attempts that it may take.
const BUDGET: Duration = Duration::from_millis(2000);
const ATTEMPTS: u32 = 3;

/// A consumer with an address of its own.
#[derive(Clone)]
pub struct Caller {
    ip: Ipv4Addr,
    socket: Arc<UdpSocket>,
    receivers: Arc<Mutex<HashMap<u16, Sender<Packet>>>>,
    next_port: Arc<AtomicU64>,
    sent: SentTimes,
    record: Record,
}

/// Where a consumer's packets go.
#[derive(Clone)]
pub struct Path {
    /// Address of the route.
    pub route: SocketAddrV4,
    pub router: Router,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Answered,
    /// The flow was not opened, so the request may be sent again.
    NotOpened,
    /// The flow was reset after the request was sent.
    Reset,
    Late,
}

impl Caller {
    pub fn open(
        ip: Ipv4Addr,
        port: u16,
        sent: &SentTimes,
        record: &Record,
    ) -> std::io::Result<Caller> {
        let socket = Arc::new(UdpSocket::bind((ip, port))?);
        let caller = Caller {
            ip,
            socket: socket.clone(),
            receivers: Arc::default(),
            next_port: Arc::new(AtomicU64::new(20_000)),
            sent: sent.clone(),
            record: record.clone(),
        };
        let receivers = caller.receivers.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 2048];
            // The socket is open until the process ends.
            while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                let Some(packet) = Packet::decode(&buffer[..length]) else {
                    continue;
                };
                if let Some(receiver) = receivers.lock().unwrap().get(&packet.to.port()) {
                    let _ = receiver.send(packet);
                }
            }
        });
        Ok(caller)
    }

    /// Sends a request that must not be repeated. Returns whether it was answered.
    pub fn request(&self, id: &str, path: &Path) -> bool {
        let start = Instant::now();
        self.record
            .line(&format!("consumer {} sends request {id}", self.ip));
        for attempt in 0..ATTEMPTS {
            let outcome = self.attempt(id, path, start + BUDGET);
            self.record
                .line(&format!("request {id}, attempt {attempt}: {outcome:?}"));
            if outcome != Outcome::NotOpened {
                return outcome == Outcome::Answered;
            }
            if start.elapsed() >= BUDGET {
                break;
            }
        }
        false
    }

    fn attempt(&self, id: &str, path: &Path, end: Instant) -> Outcome {
        let port = self.next_port.fetch_add(1, Ordering::SeqCst) as u16;
        let (sender, packets) = channel();
        self.receivers.lock().unwrap().insert(port, sender);
        let own = SocketAddrV4::new(self.ip, port);
        let hash =
            (u32::from(self.ip) ^ u32::from(port).wrapping_mul(40_503)).wrapping_mul(2_654_435_761);
        let flow = Attempt {
            caller: self,
            own,
            hash: hash >> 16,
            path,
            packets,
        };
        let outcome = flow.run(id, end);
        self.receivers.lock().unwrap().remove(&port);
        outcome
    }
}

struct Attempt<'a> {
    caller: &'a Caller,
    own: SocketAddrV4,
    hash: u32,
    path: &'a Path,
    packets: Receiver<Packet>,
}

impl Attempt<'_> {
    fn send(&self, echo: u32, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        let packet = Packet {
            echo,
            flags,
            from: self.own,
            to: self.path.route,
            seq,
            ack,
            data: data.to_vec(),
        };
        if let Some(daemon) = self.path.router.choose(self.hash) {
            // A lost packet is sent again.
            let _ = self.caller.socket.send_to(&packet.encode(), daemon);
        }
    }

    fn run(&self, id: &str, end: Instant) -> Outcome {
        let seq = u32::from(self.own.port()).wrapping_mul(69_069);
        let accepted = match self.open(seq) {
            Ok(packet) => packet,
            Err(outcome) => return outcome,
        };
        let (mut pause, ack) = (RETRANSMIT, accepted.seq.wrapping_add(1));
        let data_seq = seq.wrapping_add(1);
        while Instant::now() < end {
            self.send(accepted.echo, ACK, data_seq, ack, id.as_bytes());
            let resend = (Instant::now() + pause).min(end);
            pause *= 2;
            while let Some(packet) = self.receive(resend) {
                if packet.flags & RST != 0 {
                    return Outcome::Reset;
                }
                if !packet.data.is_empty() {
                    let after = data_seq.wrapping_add(id.len() as u32);
                    let ack = ack.wrapping_add(packet.data.len() as u32);
                    self.send(packet.echo, ACK | FIN, after, ack, &[]);
                    return Outcome::Answered;
                }
            }
        }
        Outcome::Late
    }

    /// Sends the opening packet and its copies. Returns the packet that accepts the flow.
    fn open(&self, seq: u32) -> Result<Packet, Outcome> {
        let start = Instant::now();
        let ends = [COPIES[0], COPIES[1], OPEN_TIMEOUT];
        for (copy, end) in ends.into_iter().enumerate() {
            let copy = copy as u32;
            let key = (self.own, copy);
            self.caller.sent.lock().unwrap().insert(key, Instant::now());
            self.send(0, SYN, seq, copy, &[]);
            while let Some(packet) = self.receive(start + end) {
                if packet.flags & RST != 0 {
                    return Err(Outcome::NotOpened);
                }
                if packet.flags & SYN != 0 {
                    return Ok(packet);
                }
            }
        }
        Err(Outcome::NotOpened)
    }

    fn receive(&self, until: Instant) -> Option<Packet> {
        let wait = until.saturating_duration_since(Instant::now());
        self.packets.recv_timeout(wait).ok()
    }
}
