//! Runs a node: turns what arrives into events and carries out its actions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use wire::{mark, HostId, Member, ObjectKey, Version, View, Vm};

use crate::code::Code;
use crate::event::{Action, Event, Hop, Mark, Outcome, Packet, PacketId, Request, RequestId};
use crate::http_server::{Call, Response};
use crate::msg::{Envelope, FlowKey, Msg};
use crate::node::Node;
use crate::peer::{is_bulk, Passed, Peers};
use crate::platform_client::PlatformClient;
use crate::rendezvous;
use crate::time::{Ms, Time};

/// Time between ticks.
const TICK: Duration = Duration::from_millis(20);
/// Largest datagram in bytes.
const DATAGRAM_MAX: usize = 65_536;
/// Time that connecting to a target or peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle connections kept to each target or peer.
const IDLE_CONNECTIONS: usize = 64;

/// A packet that waits for a decision.
struct Held {
    datagram: Bytes,
    reply: Option<oneshot::Sender<Passed>>,
}

/// A request that waits for its reply.
struct Waiter {
    call: Arc<Call>,
    reply: oneshot::Sender<Response>,
}

struct Inner {
    node: Node,
    last_id: u64,
    held: HashMap<PacketId, Held>,
    waiters: HashMap<RequestId, Waiter>,
    running: HashMap<RequestId, CancellationToken>,
}

impl Inner {
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// A node with its sockets and clients.
pub(crate) struct Driver {
    inner: Mutex<Inner>,
    started: Instant,
    socket: UdpSocket,
    peers: Peers,
    pub(crate) http: reqwest::Client,
    platform: Arc<PlatformClient>,
    watching: tokio::sync::watch::Sender<bool>,
    pub(crate) stopped: CancellationToken,
    control: AtomicU64,
}

impl Driver {
    /// Binds the datagram socket and runs the node until `stopped`.
    pub(crate) async fn spawn(
        node: Node,
        started: Instant,
        datagram: SocketAddr,
        platform: Arc<PlatformClient>,
    ) -> std::io::Result<Arc<Driver>> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .no_proxy()
            .build()
            .map_err(std::io::Error::other)?;
        let driver = Arc::new(Driver {
            inner: Mutex::new(Inner {
                node,
                last_id: 0,
                held: HashMap::new(),
                waiters: HashMap::new(),
                running: HashMap::new(),
            }),
            started,
            socket: UdpSocket::bind(datagram).await?,
            peers: Peers::default(),
            http,
            platform,
            watching: tokio::sync::watch::channel(true).0,
            stopped: CancellationToken::new(),
            control: AtomicU64::new(0),
        });
        tokio::spawn(driver.clone().receive());
        tokio::spawn(driver.clone().tick());
        Ok(driver)
    }

    pub(crate) fn now(&self) -> Time {
        Time(self.started.elapsed().as_millis() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic in a decision must not take the other flows down.
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Reads the node's state.
    pub(crate) fn read<T>(&self, f: impl FnOnce(&Node) -> T) -> T {
        f(&self.lock().node)
    }

    /// A fresh key for a caller's next request.
    pub(crate) fn issue_key(&self) -> crate::idempotency_key::IdempotencyKey {
        self.lock().node.issue_key()
    }

    /// Bytes of control messages sent since the start.
    pub(crate) fn control_bytes(&self) -> u64 {
        self.control.load(Ordering::Relaxed)
    }

    /// Tells whether this VM is to watch the platform.
    pub(crate) fn watching(&self) -> tokio::sync::watch::Receiver<bool> {
        self.watching.subscribe()
    }

    /// Feeds an event and carries out what follows.
    pub(crate) fn feed(self: &Arc<Driver>, event: Event) {
        let now = self.now();
        let mut inner = self.lock();
        inner.node.feed(now, event);
        let actions = drain(&mut inner.node);
        drop(inner);
        self.perform(actions);
    }

    fn perform(self: &Arc<Driver>, actions: Vec<Action>) {
        for action in actions {
            self.act(action);
        }
    }

    fn act(self: &Arc<Driver>, action: Action) {
        match action {
            Action::Deliver(id, host, address) => self.deliver(id, host, address),
            Action::ForwardPacket(id, packet, to, hint) => self.pass(id, packet, to, hint),
            Action::Drop(id, code) => self.drop_packet(id, code),
            Action::Send(to, msg) => self.post(to, msg),
            Action::Reply(id, end) => self.reply(id, end),
            Action::ForwardRequest(id, to, hop, request) => self.forward(id, to, hop, request),
            Action::Dispatch(id, host, address, budget) => self.dispatch(id, host, address, budget),
            Action::Cancel(id) => {
                let token = self.lock().running.get(&id).cloned();
                if let Some(token) = token {
                    token.cancel();
                }
            }
            Action::PutView(key, version, view) => self.put_view(key, version, view),
            Action::Watch(on) => {
                self.watching.send_replace(on);
            }
            Action::Stopped => self.stopped.cancel(),
        }
    }

    async fn tick(self: Arc<Driver>) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.feed(Event::Tick);
        }
    }

    async fn receive(self: Arc<Driver>) {
        let mut buffer = vec![0; DATAGRAM_MAX];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((n, _)) => self.datagram(&buffer[..n]),
                // The error of an earlier send; the socket still works.
                Err(_) => tokio::task::yield_now().await,
            }
        }
    }

    /// Decides on a datagram from the fabric. One of a known flow is sent on
    /// without a copy.
    fn datagram(self: &Arc<Driver>, data: &[u8]) {
        let Some(packet) = parse(data) else {
            return log::debug!(target: "edge", "Datagram without a usable header dropped.");
        };
        let now = self.now();
        let mut inner = self.lock();
        let id = PacketId(inner.next_id());
        inner.node.feed(now, Event::Packet(id, packet));
        let actions = drain(&mut inner.node);
        if let [Action::Deliver(done, _, address)] = actions[..] {
            drop(inner);
            if done == id {
                let _ = self.socket.try_send_to(data, address);
            }
            return;
        }
        let held = Held {
            datagram: Bytes::copy_from_slice(data),
            reply: None,
        };
        inner.held.insert(id, held);
        drop(inner);
        self.perform(actions);
    }

    /// Decides on a packet that a peer passed on.
    pub(crate) async fn passed(
        self: &Arc<Driver>,
        packet: Packet,
        hint: Option<HostId>,
        datagram: Bytes,
    ) -> Passed {
        let (reply, done) = oneshot::channel();
        let id = {
            let mut inner = self.lock();
            let id = PacketId(inner.next_id());
            let reply = Some(reply);
            inner.held.insert(id, Held { datagram, reply });
            id
        };
        self.feed(Event::PeerPacket(id, packet, hint));
        done.await.unwrap_or(Passed::Dropped(Code::Backlog))
    }

    /// Takes in a peer's message.
    pub(crate) fn told(self: &Arc<Driver>, envelope: Envelope) {
        self.feed(Event::Msg(envelope.from, envelope.msg));
    }

    fn deliver(&self, id: PacketId, host: HostId, address: SocketAddr) {
        let Some(held) = self.lock().held.remove(&id) else {
            return;
        };
        let _ = self.socket.try_send_to(&held.datagram, address);
        if let Some(reply) = held.reply {
            let _ = reply.send(Passed::Delivered(host));
        }
    }

    fn drop_packet(&self, id: PacketId, code: Code) {
        let held = self.lock().held.remove(&id);
        if let Some(reply) = held.and_then(|h| h.reply) {
            let _ = reply.send(Passed::Dropped(code));
        }
    }

    fn pass(self: &Arc<Driver>, id: PacketId, packet: Packet, to: Member, hint: Option<HostId>) {
        let datagram = self.lock().held.get(&id).map(|h| h.datagram.clone());
        let (Some(datagram), Some(vm)) = (datagram, self.vm(to)) else {
            return self.feed(Event::PeerUnreachable(id, to));
        };
        let driver = self.clone();
        tokio::spawn(async move {
            let reply = driver.peers.pass(vm.peer, packet, hint, datagram).await;
            let event = match reply {
                Ok(Passed::Delivered(host)) => {
                    driver.lock().held.remove(&id);
                    Event::PeerDelivered(id, packet.key, host)
                }
                Ok(Passed::Dropped(code)) => {
                    driver.lock().held.remove(&id);
                    Event::PeerDropped(id, code)
                }
                Err(_) => Event::PeerUnreachable(id, to),
            };
            driver.feed(event);
        });
    }

    /// Addresses of a life of a VM, if the platform lists it.
    fn vm(&self, member: Member) -> Option<Vm> {
        let inner = self.lock();
        let vm = inner.node.catalogue().vm(member.vm);
        vm.filter(|v| v.member == member).cloned()
    }

    fn post(self: &Arc<Driver>, to: Member, msg: Msg) {
        let Some(vm) = self.vm(to) else {
            return;
        };
        let from = self.lock().node.member();
        let envelope = Envelope { from, msg };
        let Ok(body) = rmp_serde::to_vec(&envelope) else {
            return;
        };
        self.control.fetch_add(body.len() as u64, Ordering::Relaxed);
        let driver = self.clone();
        tokio::spawn(async move {
            if is_bulk(&envelope.msg) {
                let url = format!("http://{}/peer/bulk", vm.http);
                let sent = driver.http.post(url).body(body).send().await;
                if sent.is_err() {
                    log::debug!(target: "peer", "Bulk message to VM {} lost.", to.vm);
                }
            } else if driver.peers.tell(vm.peer, envelope).await.is_err() {
                log::debug!(target: "peer", "Message to VM {} lost.", to.vm);
            }
        });
    }

    /// Decides on a request. The reply comes through the returned channel.
    pub(crate) fn call(
        self: &Arc<Driver>,
        hop: Option<Hop>,
        request: Request,
        call: Call,
    ) -> oneshot::Receiver<Response> {
        let (reply, response) = oneshot::channel();
        let call = Arc::new(call);
        let id = {
            let mut inner = self.lock();
            let id = RequestId(inner.next_id());
            inner.waiters.insert(id, Waiter { call, reply });
            id
        };
        self.feed(match hop {
            None => Event::Request(id, request),
            Some(hop) => Event::PeerRequest(id, hop, request),
        });
        response
    }

    fn reply(&self, id: RequestId, end: Outcome) {
        self.reply_early(id, Response::from_end(end));
    }

    /// Gives the caller an answer that is still coming in.
    pub(crate) fn reply_early(&self, id: RequestId, response: Response) {
        let waiter = self.lock().waiters.remove(&id);
        // A response that nobody waits for is dropped here and feeds its end,
        // so the lock must be free.
        if let Some(waiter) = waiter {
            let _ = waiter.reply.send(response);
        }
    }

    fn waiting_call(&self, id: RequestId) -> Option<Arc<Call>> {
        self.lock().waiters.get(&id).map(|w| w.call.clone())
    }

    fn forward(self: &Arc<Driver>, id: RequestId, to: Member, hop: Hop, request: Request) {
        let not_started = Outcome::NotStarted {
            after: Ms(200),
            shed: false,
        };
        let (Some(call), Some(vm)) = (self.waiting_call(id), self.vm(to)) else {
            return self.feed(Event::PeerReplied(id, not_started));
        };
        let driver = self.clone();
        tokio::spawn(async move {
            let outgoing = call.to_peer(&driver.http, vm.http, hop, &request);
            let wait = Duration::from_millis(request.deadline.0) + CONNECT_TIMEOUT;
            let end = call
                .exchange(&driver, id, outgoing, wait, Event::PeerReplied)
                .await;
            if let Some(end) = end {
                driver.feed(Event::PeerReplied(id, end));
            }
        });
    }

    fn dispatch(self: &Arc<Driver>, id: RequestId, host: HostId, address: SocketAddr, budget: Ms) {
        let Some(call) = self.waiting_call(id) else {
            let end = Outcome::NotStarted {
                after: Ms(0),
                shed: false,
            };
            return self.feed(Event::DispatchEnded(id, end));
        };
        let token = CancellationToken::new();
        self.lock().running.insert(id, token.clone());
        let driver = self.clone();
        tokio::spawn(async move {
            let outgoing = call.to_target(&driver.http, address, host, budget);
            let wait = Duration::from_millis(budget.0);
            let exchange = call.exchange(&driver, id, outgoing, wait, Event::DispatchEnded);
            let end = tokio::select! {
                end = exchange => end,
                () = token.cancelled() => Some(Outcome::Unknown { after: Ms(0) }),
            };
            driver.lock().running.remove(&id);
            if let Some(end) = end {
                driver.feed(Event::DispatchEnded(id, end));
            }
        });
    }

    fn put_view(self: &Arc<Driver>, key: ObjectKey, version: Version, view: View) {
        let platform = self.platform.clone();
        tokio::spawn(async move {
            let number = view.number;
            match platform.put(&key, version, wire::Body::View(view)).await {
                Ok(_) => log::info!(target: "cell", "View {number} proposed."),
                Err(error) => log::warn!(target: "cell", "View {number} not written: {error}."),
            }
        });
    }
}

fn drain(node: &mut Node) -> Vec<Action> {
    std::iter::from_fn(|| node.pull()).collect()
}

/// Reads the PROXY protocol header (version 2) and the mark behind it.
fn parse(data: &[u8]) -> Option<Packet> {
    let header = ppp::v2::Header::try_from(data).ok()?;
    let (caller, service): (SocketAddr, SocketAddr) = match header.addresses {
        ppp::v2::Addresses::IPv4(a) => (
            (a.source_address, a.source_port).into(),
            (a.destination_address, a.destination_port).into(),
        ),
        ppp::v2::Addresses::IPv6(a) => (
            (a.source_address, a.source_port).into(),
            (a.destination_address, a.destination_port).into(),
        ),
        _ => return None,
    };
    let mark = match *data.get(header.len())? {
        mark::FIRST => Mark::First,
        mark::LATER => Mark::Later,
        mark::LAST => Mark::Last,
        _ => return None,
    };
    Some(Packet {
        key: flow_key(caller, service),
        service,
        mark,
    })
}

fn flow_key(caller: SocketAddr, service: SocketAddr) -> FlowKey {
    let mut bytes = [0; 36];
    put_address(&mut bytes[..18], caller);
    put_address(&mut bytes[18..], service);
    FlowKey(rendezvous::hash(&bytes))
}

fn put_address(bytes: &mut [u8], address: SocketAddr) {
    let ip = match address.ip() {
        std::net::IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        std::net::IpAddr::V6(ip) => ip,
    };
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
}
