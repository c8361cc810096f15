//! What a node is fed, and what it asks its driver to do.

use wire::{Address, HostId, Member, ObjectKey, ServiceId, Version, View};

use crate::catalogue::Delta;
use crate::claim::Answer;
use crate::code::Code;
use crate::idempotency_key::IdempotencyKey;
use crate::msg::{FlowKey, Msg};
use crate::time::Ms;

/// Identifies a packet that the driver holds until a final action on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PacketId(pub u64);

/// Identifies a request that the driver holds until its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A packet's place in its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Mark {
    /// Opens the flow.
    First,
    /// Belongs to an open flow.
    Later,
    /// Ends the flow.
    Last,
}

/// A packet's decision data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Packet {
    /// Hash of the caller's and the service's address.
    pub key: FlowKey,
    /// Address that the caller sent to.
    pub service: Address,
    /// Place in the flow.
    pub mark: Mark,
}

/// What a forwarded request asks of the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Hop {
    /// Own the key: claim it and see it through.
    Own,
    /// Run it at a target whose admission controller is the receiver.
    Run,
}

/// A request's decision data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Service that it is for.
    pub service: ServiceId,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Time that the sender is willing to wait.
    pub deadline: Ms,
}

/// How a request or an attempt at it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A target answered.
    Answered(Answer),
    /// This attempt did not start and never will; the request may be tried elsewhere.
    NotStarted {
        /// When trying again makes sense.
        after: Ms,
        /// The target itself refused.
        shed: bool,
    },
    /// Nothing is said of the request; ask again with the same key.
    Busy {
        /// When to come back.
        after: Ms,
    },
    /// The request was not run and never will be.
    NotRun {
        /// When to come back with a new key.
        after: Ms,
    },
    /// The request may have run.
    Unknown {
        /// When to ask again.
        after: Ms,
    },
    /// The owner of the key has ended; nobody will ever know more.
    Lost,
    /// The request needs an idempotency key; this one may be used.
    NeedKey(IdempotencyKey),
    /// The request is wrong.
    Refused(Code),
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed. Due every few tens of milliseconds.
    Tick,
    /// The platform's list or watch told of objects.
    CatalogueDelta(Delta),
    /// A message arrived from another VM.
    Msg(Member, Msg),
    /// A packet arrived from the fabric.
    Packet(PacketId, Packet),
    /// Another VM passed a packet to this one, with the target it knows.
    PeerPacket(PacketId, Packet, Option<HostId>),
    /// The VM that a packet was passed to delivered it.
    PeerDelivered(PacketId, FlowKey, HostId),
    /// The VM that a packet was passed to dropped it.
    PeerDropped(PacketId, Code),
    /// A packet could not be passed to a VM.
    PeerUnreachable(PacketId, Member),
    /// A caller sent a request.
    Request(RequestId, Request),
    /// Another VM forwarded a request.
    PeerRequest(RequestId, Hop, Request),
    /// The VM that a request was forwarded to replied, or could not be reached.
    PeerReplied(RequestId, Outcome),
    /// A dispatched request ended.
    DispatchEnded(RequestId, Outcome),
    /// The daemon was told to stop.
    Stop,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a packet to a target.
    Deliver(PacketId, HostId, Address),
    /// Pass a packet to another VM, with the target this one knows.
    ForwardPacket(PacketId, Packet, Member, Option<HostId>),
    /// Drop a packet.
    Drop(PacketId, Code),
    /// Send a message to another VM.
    Send(Member, Msg),
    /// Answer a request.
    Reply(RequestId, Outcome),
    /// Forward a request to another VM.
    ForwardRequest(RequestId, Member, Hop, Request),
    /// Send a request to a target, to end within the given time.
    Dispatch(RequestId, HostId, Address, Ms),
    /// Cancel a dispatched request; its end is still awaited.
    Cancel(RequestId),
    /// Write a cell's view if the object still has the given version.
    PutView(ObjectKey, Version, View),
    /// Start or stop watching the platform.
    Watch(bool),
    /// Nothing is in progress any more; the daemon may exit.
    Stopped,
}

/// Counters for metrics and status.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Packets sent to targets.
    pub delivered: u64,
    /// Packets dropped.
    pub dropped: u64,
    /// Packets of flows that no VM knew.
    #[serde(rename = "broken")]
    pub unknown_flow: u64,
    /// Flows opened.
    pub opened: u64,
    /// Requests answered by targets.
    pub answered: u64,
    /// Requests refused with a time to come back.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
}
