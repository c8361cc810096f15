//! Messages between entry VMs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wire::{HostId, Member, ServiceId, Version, ViewNumber};

use crate::catalogue::Delta;
use crate::claim::Claims;
use crate::time::{Ms, Time};

/// Identifies a flow: hash of the caller's and the service's address.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FlowKey(pub u64);

/// Periodic message between the VMs of one failure domain: liveness, lease grant
/// and load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender's clock at sending.
    pub at: Time,
    /// `at` of the last heartbeat from the receiver. Present only if both VMs
    /// follow the same view; grants the receiver a lease that starts at that time.
    pub echo: Option<Time>,
    /// View that the sender follows.
    pub view: ViewNumber,
    /// Time until the last grant that the sender made under an older view expires.
    #[serde(rename = "lapse")]
    pub grants_expire: Ms,
    /// Catalogue revision up to which the sender knows every object.
    pub through: Version,
    /// The sender is shutting down.
    pub leaving: bool,
    /// Load of the targets that the sender controls admission to.
    pub loads: Arc<[Load]>,
    /// Requests that the sender has in progress at targets of other admission
    /// controllers.
    pub busy: Arc<[Count]>,
    /// Flows that the sender owns at targets that the receiver controls admission to.
    pub pins: Vec<Count>,
}

/// Load and capacity of one target, as its admission controller counts them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The target.
    pub host: HostId,
    /// Open flows.
    pub conns: u32,
    /// Largest number of open flows that it can take now.
    #[serde(rename = "bears")]
    pub conn_limit: u32,
    /// Requests in progress.
    pub busy: u32,
    /// Largest number of concurrent requests that it can take now.
    pub slots: u32,
}

/// Number of flows or requests at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The target.
    pub host: HostId,
    /// Number of flows or requests.
    pub count: u32,
}

/// Assignment of a flow to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowPin {
    /// The flow.
    pub key: FlowKey,
    /// Its target.
    pub host: HostId,
}

/// Flow pins sent to the VM that becomes the owner of the flows if the sender fails
/// or leaves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinBatch {
    /// New or refreshed pins.
    pub pins: Vec<FlowPin>,
    /// Flows that have ended.
    pub ended: Vec<FlowKey>,
}

/// Message from one entry VM to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Msg {
    /// Liveness, lease grant and loads.
    Heartbeat(Box<Heartbeat>),
    /// Periodic message to VMs of other cells.
    Hello {
        /// Catalogue revision up to which the sender knows every object.
        through: Version,
        /// Load of the targets that the sender controls admission to.
        loads: Arc<[Load]>,
    },
    /// Asks for the catalogue objects above a revision.
    Pull {
        /// The revision.
        from: Version,
    },
    /// Changed catalogue objects.
    Delta(Delta),
    /// Asks a member of an earlier view for its claims.
    #[serde(rename = "Ask")]
    RequestClaims {
        /// View that the sender collects claims for.
        view: ViewNumber,
    },
    /// Answers `RequestClaims`, once the sender follows the same view.
    Handover {
        /// View that the sender follows.
        view: ViewNumber,
        /// Time for which the sender's claims may be incomplete: the request of a
        /// key that it does not know may have run before.
        #[serde(rename = "taint")]
        incomplete_for: Ms,
        /// The claims.
        claims: Box<Claims>,
    },
    /// Asks a witness to store a claim.
    #[serde(rename = "Note")]
    RecordClaim {
        /// View that the owner of the key follows.
        view: ViewNumber,
        /// Key of the request.
        key: u64,
    },
    /// Confirms `RecordClaim`.
    #[serde(rename = "Noted")]
    ClaimRecorded {
        /// View of the claim.
        view: ViewNumber,
        /// Key of the request.
        key: u64,
    },
    /// Asks whether the receiver knows a flow.
    #[serde(rename = "Find")]
    FindFlow {
        /// The flow.
        key: FlowKey,
    },
    /// Answers `FindFlow`.
    #[serde(rename = "Found")]
    FlowReply {
        /// The flow.
        key: FlowKey,
        /// Target of the flow, if known and in service.
        host: Option<HostId>,
        /// The sender is the owner of the flow or holds the owner's backup, so it
        /// knows whether the flow has ended.
        #[serde(rename = "sure")]
        authoritative: bool,
    },
    /// Asks an admission controller to admit a new flow.
    Admit {
        /// The flow.
        key: FlowKey,
        /// Service that the flow is for.
        service: ServiceId,
        /// Target that the owner prefers.
        host: HostId,
    },
    /// Answers `Admit`.
    Admitted {
        /// The flow.
        key: FlowKey,
        /// Target that the flow was admitted to; `None` if there was no room.
        host: Option<HostId>,
    },
    /// Flow pins to store as a backup, or to take over from a VM that leaves.
    Pins(PinBatch),
}

/// Message with its sender, as sent over the network.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// VM that sent it, with its incarnation.
    pub from: Member,
    /// The message.
    pub msg: Msg,
}
