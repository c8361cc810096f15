//! Objects of the platform's API and the messages that read and write them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{
    Address, DomainId, HostId, Incarnation, ParseError, ServiceId, Version, ViewNumber, VmId,
};

/// Importance of a service. Overload sheds the last class first.
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

/// What one target of a service bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Requests in progress.
    pub slots: u32,
    /// Open flows.
    pub conns: u32,
    /// Requests in progress during a cold start.
    pub cold_slots: u32,
    /// Open flows during a cold start.
    pub cold_conns: u32,
}

/// Catalogue entry of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Who answers for the service.
    pub owner: Box<str>,
    /// Importance under overload.
    pub class: Class,
    /// Address that callers send to.
    pub address: Address,
    /// Limits of each target.
    pub limits: Limits,
    /// Requests may not be repeated: each needs an idempotency key.
    #[serde(rename = "once")]
    pub at_most_once: bool,
    /// Longest time that a request may take, in milliseconds.
    pub deadline_ms: u64,
}

/// Whether a failure domain serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DomainState {
    /// In service.
    In,
    /// Out of service: its targets get nothing.
    Out,
}

/// Life cycle of a target or entry VM in the platform's lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// Running.
    Live,
    /// Told to stop: takes no new work.
    Leaving,
    /// Ended.
    Gone,
}

/// A target, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Identity, never reused.
    pub id: HostId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Failure domain that the target runs in.
    pub domain: DomainId,
    /// Where datagrams and requests go.
    pub address: Address,
    /// Life cycle.
    pub state: Lifecycle,
    /// Which of the target's lives.
    #[serde(rename = "life", default)]
    pub incarnation: Incarnation,
    /// Remaining time of its cold start when it wrote this, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Requests that it runs at once; 0 if it does not say.
    #[serde(default)]
    pub slots: u32,
}

/// Where new flows to one address go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Address that callers send to.
    pub address: Address,
    /// Services that share its new flows.
    pub shares: Vec<Share>,
    /// Requests inside may not be repeated.
    #[serde(rename = "once")]
    pub at_most_once: bool,
    /// Importance under overload; 0 is shed last.
    #[serde(rename = "rank")]
    pub priority: u32,
    /// Longest time that a request may take, in milliseconds.
    pub deadline_ms: u64,
    /// Time within which an answer is of full use, in milliseconds.
    pub goal_ms: u64,
}

/// A service's part of a route's new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceId,
    /// Its part, relative to the other shares' weights.
    pub weight: u32,
}

/// What each target of a service bears, where no catalogue entry says so.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Open flows.
    pub conns: u32,
    /// Length of a cold start in milliseconds.
    pub cold_ms: u64,
    /// New flows a second during a cold start.
    pub cold_rate: u32,
}

/// An entry VM, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Identity and incarnation.
    pub member: Member,
    /// Failure domain that the VM runs in.
    pub domain: DomainId,
    /// Address for datagrams from the fabric.
    pub datagram: Address,
    /// Address for peers' remote calls.
    pub peer: Address,
    /// Address for HTTP: requests, peers' exchange, health.
    pub http: Address,
    /// Life cycle.
    pub state: Lifecycle,
}

/// One life of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// Which of its lives.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// Members that share a cell's work, in force until the next number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Position in the cell's sequence of views.
    pub number: ViewNumber,
    /// Members, in ascending order.
    pub members: Vec<Member>,
    /// Members of earlier views whose leases may still run.
    #[serde(rename = "old")]
    pub previous: Vec<Vec<Member>>,
}

/// Content of a platform object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Body {
    /// Catalogue entry, named by the service.
    Service(Service),
    /// Service state of a failure domain, named by it.
    Domain {
        /// In or out.
        state: DomainState,
    },
    /// A target, named by its identity.
    Host(Host),
    /// Where new flows to an address go, named by the operators.
    Route(Route),
    /// Limits of a service's targets, named by the service.
    Pool(Pool),
    /// An entry VM, named by its identity.
    Vm(Vm),
    /// A cell's view, named by the cell's failure domain.
    View(View),
    /// The object was removed; the version stays.
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
    /// Key of the object `name` of `kind`.
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
    /// Change id of the last writer, to resolve a lost answer.
    pub change: u64,
    /// Content.
    pub body: Body,
}

/// Body of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// Version that the writer saw; 0 if it saw no object.
    pub expect: Version,
    /// Change id that the writer chose.
    pub change: u64,
    /// New content.
    pub body: Body,
}

/// Answer to a conditional write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "lowercase")]
pub enum PutReply {
    /// The write took effect.
    Written {
        /// The object's new version.
        version: Version,
    },
    /// Another version is in force.
    Conflict {
        /// The object as it is, if there is one.
        current: Option<Box<Object>>,
    },
}

/// Answer to a list or a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Revision to watch from next.
    pub version: Version,
    /// Objects that changed, in the order of their versions.
    pub objects: Vec<Object>,
}
