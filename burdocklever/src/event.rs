//! Events that a node processes, and actions that it asks its driver to carry out.

use wire::{Address, HostId, Member, ObjectKey, ServiceId, Version, View};

use crate::catalogue::Delta;
use crate::claim::TargetResponse;
use crate::code::Code;
use crate::idempotency_key::IdempotencyKey;
use crate::msg::{FlowKey, Msg};
use crate::time::Ms;

/// Identifies a packet that the driver holds until it is delivered, forwarded or
/// dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PacketId(pub u64);

/// Identifies a request that the driver holds until its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Position of a packet in its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Mark {
    /// Opens the flow.
    First,
    /// Belongs to an open flow.
    Later,
    /// Ends the flow.
    Last,
}

/// Parts of a packet that decisions are made on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Packet {
    /// Flow that it belongs to.
    pub key: FlowKey,
    /// Address that the caller sent to.
    pub service: Address,
    /// Position in the flow.
    pub mark: Mark,
}

/// What the receiver of a forwarded request must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PeerTask {
    /// Claim the idempotency key as its owner and bring the request to an end.
    Own,
    /// Run the request at a target that the receiver controls admission to.
    Run,
}

/// Parts of a request that decisions are made on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Requested service.
    pub service: ServiceId,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Time that the sender waits for the reply.
    pub deadline: Ms,
}

/// Outcome of a request or of one attempt at it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A target answered.
    Answered(TargetResponse),
    /// This attempt did not start and never will; another may be made elsewhere.
    NotStarted {
        /// Time to wait before the next attempt.
        after: Ms,
        /// Refused by the target itself.
        shed: bool,
    },
    /// The VM is busy and says nothing about the request; retry with the same key.
    Busy {
        /// Time to wait before the retry.
        after: Ms,
    },
    /// The request was not run and never will be.
    NotRun {
        /// Time to wait before a retry with a new key.
        after: Ms,
    },
    /// The request may have run; ask again with the same key.
    Unknown {
        /// Time to wait before asking again.
        after: Ms,
    },
    /// The owner of the key is gone; the outcome stays unknown.
    Lost,
    /// The request needs an idempotency key; the caller may use this one.
    NeedKey(IdempotencyKey),
    /// The request is invalid or cannot be served.
    Refused(Code),
}

/// Input of a node.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed. Expected every few tens of milliseconds.
    Tick,
    /// The platform's list or watch returned objects.
    CatalogueDelta(Delta),
    /// A message arrived from another VM.
    Msg(Member, Msg),
    /// A packet arrived from the fabric.
    Packet(PacketId, Packet),
    /// Another VM forwarded a packet, with the target it knows for the flow.
    PeerPacket(PacketId, Packet, Option<HostId>),
    /// The VM that a packet was forwarded to delivered it to this target.
    PeerDelivered(PacketId, FlowKey, HostId),
    /// The VM that a packet was forwarded to dropped it.
    PeerDropped(PacketId, Code),
    /// A packet could not be forwarded, since the VM was unreachable.
    PeerUnreachable(PacketId, Member),
    /// A caller sent a request.
    Request(RequestId, Request),
    /// Another VM forwarded a request.
    PeerRequest(RequestId, PeerTask, Request),
    /// The VM that a request was forwarded to replied, or could not be reached.
    PeerReplied(RequestId, Outcome),
    /// A request that was sent to a target ended.
    DispatchEnded(RequestId, Outcome),
    /// The daemon was asked to shut down.
    Stop,
}

/// Output of a node, carried out by its driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a packet to a target.
    Deliver(PacketId, HostId, Address),
    /// Forward a packet to another VM, with the target this one knows for the flow.
    ForwardPacket(PacketId, Packet, Member, Option<HostId>),
    /// Drop a packet.
    Drop(PacketId, Code),
    /// Send a message to another VM.
    Send(Member, Msg),
    /// Reply to a request.
    Reply(RequestId, Outcome),
    /// Forward a request to another VM.
    ForwardRequest(RequestId, Member, PeerTask, Request),
    /// Send a request to a target, with the time it may take.
    Dispatch(RequestId, HostId, Address, Ms),
    /// Cancel a request at a target. `DispatchEnded` still follows.
    Cancel(RequestId),
    /// Write a cell's view, provided that the object still has the given version.
    PutView(ObjectKey, Version, View),
    /// Start or stop the watch on the platform.
    Watch(bool),
    /// Nothing is in progress any more, so the daemon may exit.
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
    /// Requests refused with a time to retry after.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
}
