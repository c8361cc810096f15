//! Stand-in of a host: serves flows over UDP, and status checks over TCP.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::packet::{Packet, ACK, FIN, RST, SYN};
use crate::record::Record;
use crate::store::read_request;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);
/// Time after which an answer that is not acknowledged is sent again. It doubles up
/// to [`RETRANSMIT_MAX`].
const RETRANSMIT: Duration = Duration::from_millis(200);
const RETRANSMIT_MAX: Duration = Duration::from_millis(1600);
/// Retransmissions after which a host gives a flow up.
const ATTEMPTS: u32 = 8;

/// A flow at a host.
struct Flow {
    open: bool,
    /// Next byte that the host sends and expects.
    seq: u32,
    expected: u32,
    echo: u32,
    /// Request at work, and when it ends.
    work: Option<(String, Instant)>,
    /// Answer that is not acknowledged: packet, last sent, copies.
    unacked: Option<(Packet, Instant, u32)>,
}

/// Something that a host saw.
pub struct Seen {
    pub host: usize,
    pub what: What,
    /// The consumer's port of the flow.
    pub sport: u16,
}

/// What a host saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum What {
    /// It took the opening packet of a flow.
    Syn,
    /// It ran a request.
    Ran(String),
    /// It got a packet that its sender did not write so.
    Forged,
}

/// A running host.
pub struct Host {
    pub id: u64,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub born: u64,
    pub draining: bool,
    /// Index in the world.
    index: usize,
    socket: UdpSocket,
    healthy: Arc<AtomicBool>,
    flows: HashMap<(u32, u16, u32, u16), Flow>,
    next_seq: u32,
    reply_port: u16,
    record: Record,
}

impl Host {
    /// Starts a host on a free port. It answers consumers at `reply_port`.
    pub fn spawn(
        index: usize,
        ip: Ipv4Addr,
        (id, service, zone): (u64, &'static str, &'static str),
        reply_port: u16,
        record: Record,
    ) -> std::io::Result<Host> {
        // A port that is free for both.
        let (socket, checks) = (0..100)
            .find_map(|_| {
                let checks = TcpListener::bind((ip, 0)).ok()?;
                let socket = UdpSocket::bind(checks.local_addr().ok()?).ok()?;
                Some((socket, checks))
            })
            .ok_or_else(|| std::io::Error::other("no free port for a host"))?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        let healthy = Arc::new(AtomicBool::new(true));
        let health = healthy.clone();
        std::thread::spawn(move || {
            for stream in checks.incoming().flatten() {
                let health = health.clone();
                std::thread::spawn(move || {
                    let Ok(mut out) = stream.try_clone() else {
                        return;
                    };
                    let mut input = BufReader::new(stream);
                    while read_request(&mut input).is_some() {
                        let status = if health.load(Ordering::Relaxed) {
                            200
                        } else {
                            503
                        };
                        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
                        if out.write_all(head.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Ok(Host {
            id,
            service,
            zone,
            address,
            born: born.map_or(0, |d| d.as_millis() as u64),
            draining: false,
            index,
            socket,
            healthy,
            flows: HashMap::new(),
            next_seq: 0x3a00_0000 ^ (id as u32).wrapping_mul(0x9e37_79b9),
            reply_port,
            record,
        })
    }

    /// Name of the host's entry in the store.
    pub fn name(&self) -> String {
        format!("i-{:08x}", self.id)
    }

    /// The host's entry.
    pub fn entry(&self) -> String {
        let state = if self.draining { "draining" } else { "ready" };
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":2,\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Seq\":4,\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    /// Starts to leave: open flows go on.
    pub fn drain(&mut self) {
        self.draining = true;
        self.healthy.store(false, Ordering::Relaxed);
    }

    /// Handles what has arrived and what is due.
    pub fn poll(&mut self, seen: &mut Vec<Seen>) -> bool {
        let mut busy = false;
        let mut buffer = [0; 2048];
        while let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
            busy = true;
            let Some((id, packet)) = buffer[..length].split_first_chunk::<8>() else {
                continue;
            };
            let id = u64::from_be_bytes(*id);
            if id != 0 && id != self.id {
                continue;
            }
            if let Some(packet) = Packet::decode(packet) {
                self.receive(packet, seen);
            }
        }
        self.run_timers();
        busy
    }

    fn receive(&mut self, packet: Packet, seen: &mut Vec<Seen>) {
        let sport = packet.sport;
        let host = self.index;
        let name = self.name();
        if !packet.is_genuine() || packet.flags & (SYN | ACK) == SYN | ACK {
            seen.push(Seen {
                host,
                what: What::Forged,
                sport,
            });
            return;
        }
        let key = (packet.src, packet.sport, packet.dst, packet.dport);
        if packet.flags & SYN != 0 {
            if !self.flows.contains_key(&key) {
                self.next_seq = self
                    .next_seq
                    .wrapping_mul(1_664_525)
                    .wrapping_add(1_013_904_223);
                let flow = Flow {
                    open: false,
                    seq: self.next_seq.wrapping_add(1),
                    expected: packet.seq.wrapping_add(1),
                    echo: packet.echo,
                    work: None,
                    unacked: None,
                };
                self.flows.insert(key, flow);
                self.record.line(&format!(
                    "host {name}: takes the opening packet of flow {sport}"
                ));
                seen.push(Seen {
                    host,
                    what: What::Syn,
                    sport,
                });
            }
            let flow = &self.flows[&key];
            let reply = self.reply(&packet, SYN | ACK, flow.seq.wrapping_sub(1), flow);
            return self.send(&reply);
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            if packet.flags & RST == 0 {
                self.record
                    .line(&format!("host {name}: resets unknown flow {sport}"));
                let mut reply = answer_to(&packet, RST, packet.ack, packet.seq, packet.echo);
                reply.sum = 0;
                self.send(&reply);
            }
            return;
        };
        if !flow.open && packet.ack != flow.seq {
            return;
        }
        flow.open = true;
        flow.echo = packet.echo;
        if packet.flags & RST != 0 {
            self.flows.remove(&key);
            return;
        }
        if flow
            .unacked
            .as_ref()
            .is_some_and(|(p, ..)| packet.ack == p.seq.wrapping_add(p.data.len() as u32))
        {
            flow.unacked = None;
        }
        if packet.flags & FIN != 0 {
            let flow = &self.flows[&key];
            let reply = self.reply(&packet, ACK, flow.seq, flow);
            self.send(&reply);
            self.flows.remove(&key);
            return;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            let id = String::from_utf8_lossy(&packet.data).into_owned();
            self.record.line(&format!(
                "host {name} ({}): runs request '{id}' of flow {sport}",
                self.service
            ));
            seen.push(Seen {
                host,
                what: What::Ran(id.clone()),
                sport,
            });
            // The answer acknowledges the request: only every second packet is
            // acknowledged by itself.
            flow.work = Some((id, Instant::now() + WORK));
            return;
        }
        let flow = &self.flows[&key];
        let reply = self.reply(&packet, ACK, flow.seq, flow);
        self.send(&reply);
    }

    fn run_timers(&mut self) {
        let now = Instant::now();
        let mut out = Vec::new();
        for (key, flow) in &mut self.flows {
            if let Some((id, at)) = flow.work.take() {
                if at > now {
                    flow.work = Some((id, at));
                } else {
                    let packet = Packet {
                        echo: flow.echo,
                        flags: ACK,
                        src: key.2,
                        sport: key.3,
                        dst: key.0,
                        dport: key.1,
                        seq: flow.seq,
                        ack: flow.expected,
                        data: format!("answer to {id} by {:x}", self.id).into_bytes(),
                        sum: 0,
                    };
                    flow.seq = flow.seq.wrapping_add(packet.data.len() as u32);
                    flow.unacked = Some((packet.clone(), now, 0));
                    out.push(packet);
                }
            }
            if let Some((packet, sent, copies)) = &mut flow.unacked {
                let wait = (RETRANSMIT * 2u32.pow((*copies).min(3))).min(RETRANSMIT_MAX);
                if now.duration_since(*sent) >= wait && *copies < ATTEMPTS {
                    (*sent, *copies) = (now, *copies + 1);
                    packet.echo = flow.echo;
                    packet.ack = flow.expected;
                    out.push(packet.clone());
                }
            }
        }
        for packet in out {
            self.send(&packet);
        }
    }

    fn reply(&self, to: &Packet, flags: u8, seq: u32, flow: &Flow) -> Packet {
        answer_to(to, flags, seq, flow.expected, flow.echo)
    }

    fn send(&self, packet: &Packet) {
        let to = (Ipv4Addr::from(packet.dst), self.reply_port);
        let _ = self.socket.send_to(&packet.encode(), to);
    }
}

fn answer_to(to: &Packet, flags: u8, seq: u32, ack: u32, echo: u32) -> Packet {
    Packet {
        echo,
        flags,
        src: to.dst,
        sport: to.dport,
        dst: to.src,
        dport: to.sport,
        seq,
        ack,
        data: Vec::new(),
        sum: 0,
    }
}
