//! Status report of an entry VM for operators.

use serde::{Deserialize, Serialize};
use wire::{DomainId, Member, Version, View};

use crate::event::Counts;
use crate::msg::Load;
use crate::node::Node;

/// Status of an entry VM, as served at `/status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Identity and incarnation.
    pub member: Member,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it takes traffic.
    pub ready: bool,
    /// Revision up to which its catalogue is complete.
    pub version: Version,
    /// Current view of its cell.
    pub view: View,
    /// Whether it holds a lease in this view.
    pub lease: bool,
    /// Number of flow pins held.
    pub pins: usize,
    /// Number of claims held.
    pub claims: usize,
    /// Load of the targets that it controls admission to.
    pub targets: Vec<Load>,
    /// Counters since its start.
    pub counts: Counts,
    /// Bytes of control messages sent since its start.
    pub control: u64,
}

impl Status {
    /// Status of a node that has sent `control` bytes of control messages.
    pub(crate) fn of(node: &Node, control: u64) -> Status {
        Status {
            member: node.member(),
            domain: node.domain().clone(),
            ready: node.is_ready(),
            version: node.catalogue().revision(),
            view: node.view().clone(),
            lease: node.holds_lease(),
            pins: node.pins(),
            claims: node.claims(),
            targets: node.loads(),
            counts: node.counts(),
            control,
        }
    }
}
