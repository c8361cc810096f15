//! Objects of the platform's API, and the messages to read and write them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{
    Address, DomainId, HostId, Incarnation, ParseError, ServiceId, Version, ViewNumber, VmId,
};

/// Priority class of a service, which decides what is shed first under overload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Shed last.
    Critical,
    /// Shed after `Bulk`.
    Normal,
    /// Shed first.
    Bulk,
}

impl FromStr for Class {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        match s {
            "critical" => Ok(Class::Critical),
            "normal" => Ok(Class::Normal),
            "bulk" => Ok(Class::Bulk),
            _ => Err(ParseError {
                expected: "critical, normal or bulk",
                found: s.into(),
            }),
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Class::Critical => "critical",
            Class::Normal => "normal",
            Class::Bulk => "bulk",
        })
    }
}

/// Concurrency limits of each target of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of requests in progress.
    pub slots: u32,
    /// Maximum number of open flows.
    pub conns: u32,
    /// Maximum number of requests in progress during a cold start.
    pub cold_slots: u32,
    /// Maximum number of open flows during a cold start.
    pub cold_conns: u32,
}

/// Catalogue entry of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Person or team responsible for the service.
    pub owner: Box<str>,
    /// Priority class under overload.
    pub class: Class,
    /// Address that callers send to.
    pub address: Address,
    /// Limits of each target.
    pub limits: Limits,
    /// Whether requests must not be repeated. Each of them then needs an
    /// idempotency key.
    #[serde(rename = "once")]
    pub non_idempotent: bool,
    /// Longest time that a request may take, in milliseconds.
    pub deadline_ms: u64,
}

/// Whether a failure domain is in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DomainState {
    /// In service.
    In,
    /// Out of service: its targets receive no traffic.
    Out,
}

/// Life cycle state of a target or an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// Running.
    Live,
    /// Shutting down: accepts no new flows or requests.
    Leaving,
    /// Stopped.
    Gone,
}

/// A target, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Identifier, never reused.
    pub id: HostId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Failure domain that the target runs in.
    pub domain: DomainId,
    /// Address that datagrams and requests are sent to.
    pub address: Address,
    /// Life cycle state.
    pub state: Lifecycle,
    /// Incarnation of the target.
    #[serde(rename = "life", default)]
    pub incarnation: Incarnation,
    /// Remaining time of the cold start when the entry was written, in
    /// milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Number of requests that the target runs concurrently; 0 if not given.
    #[serde(default)]
    pub slots: u32,
}

/// Distribution of the new flows to one address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Address that callers send to.
    pub address: Address,
    /// Services that the new flows are distributed among.
    pub shares: Vec<Share>,
    /// Whether requests within the flows must not be repeated.
    #[serde(rename = "once")]
    pub non_idempotent: bool,
    /// Priority under overload; 0 is shed last.
    #[serde(rename = "rank")]
    pub priority: u32,
    /// Longest time that a request may take, in milliseconds.
    pub deadline_ms: u64,
    /// Latency up to which a response has its full value, in milliseconds.
    pub goal_ms: u64,
}

/// Weight of a service in a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Limits of each target of a service that has no catalogue entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Maximum number of open flows.
    pub conns: u32,
    /// Duration of a cold start, in milliseconds.
    pub cold_ms: u64,
    /// Maximum number of new flows per second during a cold start.
    pub cold_rate: u32,
}

/// An entry VM, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Identifier and incarnation.
    pub member: Member,
    /// Failure domain that the VM runs in.
    pub domain: DomainId,
    /// Address that receives datagrams from the fabric.
    pub datagram: Address,
    /// Address that receives RPCs from peers.
    pub peer: Address,
    /// Address of the HTTP server: requests, bulk transfers between peers, health
    /// checks.
    pub http: Address,
    /// Life cycle state.
    pub state: Lifecycle,
}

/// An entry VM in one of its incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// Incarnation of the VM's process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// Membership of a cell, valid until it is replaced by the view with the next
/// number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Position in the cell's sequence of views.
    pub number: ViewNumber,
    /// Members, in ascending order.
    pub members: Vec<Member>,
    /// Member lists of earlier views whose leases may not have expired yet.
    #[serde(rename = "old")]
    pub previous: Vec<Vec<Member>>,
}

/// Content of a platform object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Body {
    /// Catalogue entry, named by the service.
    Service(Service),
    /// State of a failure domain, named by the domain.
    Domain {
        /// Whether it is in service.
        state: DomainState,
    },
    /// A target, named by its identifier.
    Host(Host),
    /// A route, named by the operators.
    Route(Route),
    /// Limits of the targets of a service, named by the service.
    Pool(Pool),
    /// An entry VM, named by its identifier.
    Vm(Vm),
    /// View of a cell, named by the cell's failure domain.
    View(View),
    /// Tombstone of a removed object, which keeps its version.
    Removed,
}

/// Kind and name of an object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// `service`, `domain`, `host`, `route`, `pool`, `vm` or `view`.
    pub kind: Box<str>,
    /// Name within the kind.
    pub name: Box<str>,
}

impl ObjectKey {
    /// Returns the key of the object `name` of `kind`.
    pub fn new(kind: &str, name: impl fmt::Display) -> ObjectKey {
        ObjectKey {
            kind: kind.into(),
            name: name.to_string().into(),
        }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// A versioned object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Kind and name.
    pub key: ObjectKey,
    /// Revision of the last write.
    pub version: Version,
    /// Identifier that the last writer chose for its write. A writer whose response
    /// was lost compares it to learn whether the write took effect.
    pub change: u64,
    /// Content.
    pub body: Body,
}

impl Object {
    /// Whether kind and name in the key are those of the content. The key of an object that
    /// was removed can only be checked for its form.
    pub fn is_consistent(&self) -> bool {
        let name = &*self.key.name;
        let is_named = |id: &dyn fmt::Display| id.to_string() == name;
        match (&*self.key.kind, &self.body) {
            ("service", Body::Service(_)) | ("pool", Body::Pool(_)) => {
                name.parse::<ServiceId>().is_ok()
            }
            ("domain", Body::Domain { .. }) | ("view", Body::View(_)) => {
                name.parse::<DomainId>().is_ok()
            }
            ("route", Body::Route(_)) => true,
            ("host", Body::Host(host)) => is_named(&host.id),
            ("vm", Body::Vm(vm)) => is_named(&vm.member.vm),
            ("host", Body::Removed) => {
                let id = name.parse::<HostId>();
                id.is_ok_and(|id| is_named(&id))
            }
            (_, Body::Removed) => true,
            _ => false,
        }
    }
}

/// Body of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// Version that the writer read, which must still be current; 0 if it found
    /// no object.
    pub expect: Version,
    /// Identifier of this write, chosen by the writer.
    pub change: u64,
    /// New content.
    pub body: Body,
}

/// Response to a conditional write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "lowercase")]
pub enum PutReply {
    /// The write took effect.
    Written {
        /// The object's new version.
        version: Version,
    },
    /// The object has another version; nothing was written.
    Conflict {
        /// Current object, if there is one.
        current: Option<Box<Object>>,
    },
}

/// Response to a list or a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Revision to watch from next.
    pub version: Version,
    /// Objects that changed, in ascending order of version.
    pub objects: Vec<Object>,
}
