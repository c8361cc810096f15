//! Driver of a node: feeds it events from sockets, clients and timers and carries
//! out the actions that it returns.

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
use crate::event::{Action, Event, Mark, Outcome, Packet, PacketId, PeerTask, Request, RequestId};
use crate::http_server::{IncomingRequest, Response};
use crate::msg::{Envelope, FlowKey, Msg};
use crate::node::Node;
use crate::peer::{is_bulk, ForwardOutcome, Peers};
use crate::platform_client::PlatformClient;
use crate::rendezvous;
use crate::request::RETRY_AFTER;
use crate::time::{Ms, Time};

/// Interval between tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Timeout for connecting to a target or another VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle connections kept open to each target or other VM.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A packet that waits for the node's decision.
struct PendingPacket {
    datagram: Bytes,
    /// Where to report the outcome, if another VM forwarded the packet.
    reply: Option<oneshot::Sender<ForwardOutcome>>,
}

/// A request that waits for its response.
struct PendingRequest {
    incoming: Arc<IncomingRequest>,
    reply: oneshot::Sender<Response>,
}

/// The node, and what the driver holds until the node has decided on it.
struct Inner {
    node: Node,
    last_id: u64,
    packets: HashMap<PacketId, PendingPacket>,
    requests: HashMap<RequestId, PendingRequest>,
    /// Cancels the requests that targets are running.
    cancel_tokens: HashMap<RequestId, CancellationToken>,
}

impl Inner {
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// A node with its socket and the clients for peers, targets and the platform.
pub(crate) struct Driver {
    inner: Mutex<Inner>,
    started: Instant,
    socket: UdpSocket,
    peers: Peers,
    pub(crate) http: reqwest::Client,
    platform: Arc<PlatformClient>,
    /// Whether this VM should watch the platform.
    watching: tokio::sync::watch::Sender<bool>,
    /// Cancelled once the node has stopped.
    pub(crate) stopped: CancellationToken,
    control_bytes: AtomicU64,
}

impl Driver {
    /// Binds the datagram socket and starts the tasks that run the node.
    pub(crate) async fn spawn(
        node: Node,
        started: Instant,
        datagram: SocketAddr,
        platform: Arc<PlatformClient>,
    ) -> std::io::Result<Arc<Driver>> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .no_proxy()
            .build()
            .map_err(std::io::Error::other)?;
        let driver = Arc::new(Driver {
            inner: Mutex::new(Inner {
                node,
                last_id: 0,
                packets: HashMap::new(),
                requests: HashMap::new(),
                cancel_tokens: HashMap::new(),
            }),
            started,
            socket: UdpSocket::bind(datagram).await?,
            peers: Peers::default(),
            http,
            platform,
            watching: tokio::sync::watch::channel(true).0,
            stopped: CancellationToken::new(),
            control_bytes: AtomicU64::new(0),
        });
        tokio::spawn(driver.clone().receive_datagrams());
        tokio::spawn(driver.clone().run_ticks());
        Ok(driver)
    }

    pub(crate) fn now(&self) -> Time {
        Time(self.started.elapsed().as_millis() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Ignores poisoning: a panic while handling one event must not stop the
        // other flows.
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Calls `f` with the node locked.
    pub(crate) fn read<T>(&self, f: impl FnOnce(&Node) -> T) -> T {
        f(&self.lock().node)
    }

    /// A new idempotency key for a caller's next request.
    pub(crate) fn issue_key(&self) -> crate::idempotency_key::IdempotencyKey {
        self.lock().node.issue_key()
    }

    /// Bytes of control messages sent to other VMs since the start.
    pub(crate) fn control_bytes(&self) -> u64 {
        self.control_bytes.load(Ordering::Relaxed)
    }

    /// Subscribes to whether this VM should watch the platform.
    pub(crate) fn watching(&self) -> tokio::sync::watch::Receiver<bool> {
        self.watching.subscribe()
    }

    /// Feeds an event to the node and carries out the resulting actions.
    pub(crate) fn feed(self: &Arc<Driver>, event: Event) {
        let now = self.now();
        let mut inner = self.lock();
        inner.node.feed(now, event);
        let actions = take_actions(&mut inner.node);
        drop(inner);
        self.perform_all(actions);
    }

    fn perform_all(self: &Arc<Driver>, actions: Vec<Action>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(self: &Arc<Driver>, action: Action) {
        match action {
            Action::Deliver(id, host, address) => self.deliver(id, host, address),
            Action::ForwardPacket(id, packet, to, hint) => {
                self.forward_packet(id, packet, to, hint)
            }
            Action::Drop(id, code) => self.drop_packet(id, code),
            Action::Send(to, msg) => self.send_message(to, msg),
            Action::Reply(id, outcome) => self.reply(id, outcome),
            Action::ForwardRequest(id, to, task, request) => {
                self.forward_request(id, to, task, request)
            }
            Action::Dispatch(id, host, address, budget) => self.dispatch(id, host, address, budget),
            Action::Cancel(id) => {
                let token = self.lock().cancel_tokens.get(&id).cloned();
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

    async fn run_ticks(self: Arc<Driver>) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.feed(Event::Tick);
        }
    }

    async fn receive_datagrams(self: Arc<Driver>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((n, _)) => self.handle_datagram(&buffer[..n]),
                // An earlier send failed; the socket can still receive.
                Err(_) => tokio::task::yield_now().await,
            }
        }
    }

    /// Handles a datagram from the fabric. Copies it only if the node does not
    /// deliver it at once.
    fn handle_datagram(self: &Arc<Driver>, data: &[u8]) {
        let Some(packet) = parse_datagram(data) else {
            return log::debug!(target: "edge", "Malformed datagram dropped.");
        };
        let now = self.now();
        let mut inner = self.lock();
        let id = PacketId(inner.next_id());
        inner.node.feed(now, Event::Packet(id, packet));
        let actions = take_actions(&mut inner.node);
        if let [Action::Deliver(delivered, _, address)] = actions[..] {
            drop(inner);
            if delivered == id {
                let _ = self.socket.try_send_to(data, address);
            }
            return;
        }
        let pending = PendingPacket {
            datagram: Bytes::copy_from_slice(data),
            reply: None,
        };
        inner.packets.insert(id, pending);
        drop(inner);
        self.perform_all(actions);
    }

    /// Handles a packet that another VM forwarded to this one.
    pub(crate) async fn handle_peer_packet(
        self: &Arc<Driver>,
        packet: Packet,
        hint: Option<HostId>,
        datagram: Bytes,
    ) -> ForwardOutcome {
        let (reply, outcome) = oneshot::channel();
        let id = {
            let mut inner = self.lock();
            let id = PacketId(inner.next_id());
            let reply = Some(reply);
            inner.packets.insert(id, PendingPacket { datagram, reply });
            id
        };
        self.feed(Event::PeerPacket(id, packet, hint));
        outcome
            .await
            .unwrap_or(ForwardOutcome::Dropped(Code::Backlog))
    }

    /// Handles a message from another VM.
    pub(crate) fn handle_message(self: &Arc<Driver>, envelope: Envelope) {
        self.feed(Event::Msg(envelope.from, envelope.msg));
    }

    fn deliver(&self, id: PacketId, host: HostId, address: SocketAddr) {
        let Some(pending) = self.lock().packets.remove(&id) else {
            return;
        };
        let _ = self.socket.try_send_to(&pending.datagram, address);
        if let Some(reply) = pending.reply {
            let _ = reply.send(ForwardOutcome::Delivered(host));
        }
    }

    fn drop_packet(&self, id: PacketId, code: Code) {
        let pending = self.lock().packets.remove(&id);
        if let Some(reply) = pending.and_then(|p| p.reply) {
            let _ = reply.send(ForwardOutcome::Dropped(code));
        }
    }

    fn forward_packet(
        self: &Arc<Driver>,
        id: PacketId,
        packet: Packet,
        to: Member,
        hint: Option<HostId>,
    ) {
        let datagram = self.lock().packets.get(&id).map(|p| p.datagram.clone());
        let (Some(datagram), Some(vm)) = (datagram, self.find_vm(to)) else {
            return self.feed(Event::PeerUnreachable(id, to));
        };
        let driver = self.clone();
        tokio::spawn(async move {
            let reply = driver
                .peers
                .forward_packet(vm.peer, packet, hint, datagram)
                .await;
            let event = match reply {
                Ok(ForwardOutcome::Delivered(host)) => {
                    driver.lock().packets.remove(&id);
                    Event::PeerDelivered(id, packet.key, host)
                }
                Ok(ForwardOutcome::Dropped(code)) => {
                    driver.lock().packets.remove(&id);
                    Event::PeerDropped(id, code)
                }
                Err(_) => Event::PeerUnreachable(id, to),
            };
            driver.feed(event);
        });
    }

    /// The catalogue entry of a VM, if it is of the same incarnation.
    fn find_vm(&self, member: Member) -> Option<Vm> {
        let inner = self.lock();
        let vm = inner.node.catalogue().vm(member.vm);
        vm.filter(|v| v.member == member).cloned()
    }

    fn send_message(self: &Arc<Driver>, to: Member, msg: Msg) {
        let Some(vm) = self.find_vm(to) else {
            return;
        };
        let from = self.lock().node.member();
        let envelope = Envelope { from, msg };
        let Ok(body) = rmp_serde::to_vec(&envelope) else {
            return;
        };
        self.control_bytes
            .fetch_add(body.len() as u64, Ordering::Relaxed);
        let driver = self.clone();
        tokio::spawn(async move {
            if is_bulk(&envelope.msg) {
                let url = format!("http://{}/peer/bulk", vm.http);
                let sent = driver.http.post(url).body(body).send().await;
                if sent.is_err() {
                    log::debug!(target: "peer", "Bulk message to VM {} not delivered.", to.vm);
                }
            } else if driver.peers.send_message(vm.peer, envelope).await.is_err() {
                log::debug!(target: "peer", "Message to VM {} not delivered.", to.vm);
            }
        });
    }

    /// Handles a request of a caller, or of another VM if `task` is given. The
    /// response comes through the returned channel.
    pub(crate) fn handle_request(
        self: &Arc<Driver>,
        task: Option<PeerTask>,
        request: Request,
        incoming: IncomingRequest,
    ) -> oneshot::Receiver<Response> {
        let (reply, response) = oneshot::channel();
        let incoming = Arc::new(incoming);
        let id = {
            let mut inner = self.lock();
            let id = RequestId(inner.next_id());
            inner
                .requests
                .insert(id, PendingRequest { incoming, reply });
            id
        };
        self.feed(match task {
            None => Event::Request(id, request),
            Some(task) => Event::PeerRequest(id, task, request),
        });
        response
    }

    fn reply(&self, id: RequestId, outcome: Outcome) {
        self.respond(id, Response::from_outcome(outcome));
    }

    /// Sends the response to the handler that waits for it.
    pub(crate) fn respond(&self, id: RequestId, response: Response) {
        let pending = self.lock().requests.remove(&id);
        // If nobody waits, the response is dropped here. Dropping a streamed one
        // feeds an event, which takes the lock, so it must not be held.
        if let Some(pending) = pending {
            let _ = pending.reply.send(response);
        }
    }

    fn incoming_request(&self, id: RequestId) -> Option<Arc<IncomingRequest>> {
        self.lock().requests.get(&id).map(|p| p.incoming.clone())
    }

    fn forward_request(
        self: &Arc<Driver>,
        id: RequestId,
        to: Member,
        task: PeerTask,
        request: Request,
    ) {
        let not_started = Outcome::NotStarted {
            after: RETRY_AFTER,
            shed: false,
        };
        let (Some(incoming), Some(vm)) = (self.incoming_request(id), self.find_vm(to)) else {
            return self.feed(Event::PeerReplied(id, not_started));
        };
        let driver = self.clone();
        tokio::spawn(async move {
            let outgoing = incoming.to_peer(&driver.http, vm.http, task, &request);
            let timeout = Duration::from_millis(request.deadline.0) + CONNECT_TIMEOUT;
            let outcome = incoming
                .send(&driver, id, outgoing, timeout, Event::PeerReplied)
                .await;
            if let Some(outcome) = outcome {
                driver.feed(Event::PeerReplied(id, outcome));
            }
        });
    }

    fn dispatch(self: &Arc<Driver>, id: RequestId, host: HostId, address: SocketAddr, budget: Ms) {
        let Some(incoming) = self.incoming_request(id) else {
            let outcome = Outcome::NotStarted {
                after: Ms(0),
                shed: false,
            };
            return self.feed(Event::DispatchEnded(id, outcome));
        };
        let token = CancellationToken::new();
        self.lock().cancel_tokens.insert(id, token.clone());
        let driver = self.clone();
        tokio::spawn(async move {
            let outgoing = incoming.to_target(&driver.http, address, host, budget);
            let timeout = Duration::from_millis(budget.0);
            let send = incoming.send(&driver, id, outgoing, timeout, Event::DispatchEnded);
            let outcome = tokio::select! {
                outcome = send => outcome,
                () = token.cancelled() => Some(Outcome::Unknown { after: Ms(0) }),
            };
            driver.lock().cancel_tokens.remove(&id);
            if let Some(outcome) = outcome {
                driver.feed(Event::DispatchEnded(id, outcome));
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

fn take_actions(node: &mut Node) -> Vec<Action> {
    std::iter::from_fn(|| node.pull()).collect()
}

/// Parses the PROXY protocol header (version 2) and the mark that follows it.
fn parse_datagram(data: &[u8]) -> Option<Packet> {
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
    write_address(&mut bytes[..18], caller);
    write_address(&mut bytes[18..], service);
    FlowKey(rendezvous::hash(&bytes))
}

fn write_address(bytes: &mut [u8], address: SocketAddr) {
    let ip = match address.ip() {
        std::net::IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        std::net::IpAddr::V6(ip) => ip,
    };
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
}
