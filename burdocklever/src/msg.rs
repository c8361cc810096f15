//! Messages between entry VMs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wire::{HostId, Member, ServiceId, Version, ViewNumber};

use crate::catalogue::Delta;
use crate::claim::Claims;
use crate::time::{Ms, Time};

/// Hash of a flow's caller and service addresses.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FlowKey(pub u64);

/// Periodic message among the VMs of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender's clock when it sent this.
    pub at: Time,
    /// `at` of the receiver's last heartbeat, if sent under the same view:
    /// grants the receiver a lease that runs from then.
    pub echo: Option<Time>,
    /// Sender's view.
    pub view: ViewNumber,
    /// Time until no grant that the sender made under an older view runs.
    pub lapse: Ms,
    /// Revision up to which the sender's catalogue is complete.
    pub through: Version,
    /// The sender is about to stop.
    pub leaving: bool,
    /// Load of the targets whose admission controller is the sender.
    pub loads: Arc<[Load]>,
    /// Requests in progress at targets whose admission controller is another VM.
    pub busy: Arc<[Count]>,
    /// Flows that the sender owns at targets whose admission controller is the receiver.
    pub pins: Vec<Count>,
}

/// Load of one target, as its admission controller counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The target.
    pub host: HostId,
    /// Open flows.
    pub conns: u32,
    /// Open flows that it bears now.
    #[serde(rename = "bears")]
    pub conn_limit: u32,
    /// Requests in progress.
    pub busy: u32,
    /// Requests in progress that it bears now.
    pub slots: u32,
}

/// A number of flows or requests at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The target.
    pub host: HostId,
    /// How many.
    pub count: u32,
}

/// A flow and its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowPin {
    /// The flow.
    pub key: FlowKey,
    /// Its target.
    pub host: HostId,
}

/// Pins that an owner hands to the VM that would own their flows next.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinBatch {
    /// New or refreshed pins.
    pub pins: Vec<FlowPin>,
    /// Flows that have ended.
    pub ended: Vec<FlowKey>,
}

/// A message from one entry VM to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Msg {
    /// Liveness, lease grant and loads.
    Heartbeat(Box<Heartbeat>),
    /// Tells a VM of another cell what the sender knows.
    Hello {
        /// Revision up to which the sender's catalogue is complete.
        through: Version,
        /// Load of the targets whose admission controller is the sender.
        loads: Arc<[Load]>,
    },
    /// Asks for what lies above a revision.
    Pull {
        /// The revision.
        from: Version,
    },
    /// Catalogue objects.
    Delta(Delta),
    /// Asks a member of an older view for its claims.
    #[serde(rename = "Ask")]
    RequestClaims {
        /// View that the sender settles into.
        view: ViewNumber,
    },
    /// Claims that a member holds, sent once it follows the view.
    Handover {
        /// The sender's view.
        view: ViewNumber,
        /// Time for which keys unknown to the sender may have run before.
        #[serde(rename = "taint")]
        incomplete_for: Ms,
        /// The claims.
        claims: Box<Claims>,
    },
    /// Asks a witness to keep a claim.
    #[serde(rename = "Note")]
    RecordClaim {
        /// View that the owner acts under.
        view: ViewNumber,
        /// Key of the request.
        key: u64,
    },
    /// The witness keeps the claim.
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
        /// Its target, if known.
        host: Option<HostId>,
        /// The sender owns the flow or keeps it for the owner, so it knows
        /// whether the flow has ended.
        #[serde(rename = "sure")]
        authoritative: bool,
    },
    /// Asks an admission controller to admit a new flow.
    Admit {
        /// The flow.
        key: FlowKey,
        /// Service that the flow is for.
        service: ServiceId,
        /// Target that the owner would choose.
        host: HostId,
    },
    /// Answers `Admit`.
    Admitted {
        /// The flow.
        key: FlowKey,
        /// Target that admits it; none if all are full.
        host: Option<HostId>,
    },
    /// Pins for the next-ranked member to keep in case their owner ends.
    Pins(PinBatch),
}

/// A message with its sender, as it travels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Life of the VM that sent it.
    pub from: Member,
    /// The message.
    pub msg: Msg,
}
