//! burdocklever, a layer-4 load balancer.
//!
//! An entry VM runs one of two daemons:
//!
//! - [`Daemon`] handles packets that carry a mark, and HTTP requests. Its
//!   decisions are made by [`Node`], a state machine without I/O: a driver feeds
//!   it events with the current time and carries out the actions that it returns.
//! - [`Gateway`] handles packets that carry a token, by which any VM finds the
//!   target of a flow. Its decisions are made by [`Forwarder`], which does no I/O
//!   either. An [`Adapter`] connects it to the users' platform.
//!
//! ```
//! use burdocklever::{Action, Code, Event, FlowKey, Mark, Node, Packet, PacketId, Time};
//! use wire::{Incarnation, Member, VmId};
//!
//! let me = Member { vm: VmId(1), incarnation: Incarnation(1) };
//! let mut node = Node::new(Time(0), me, "accra".parse().unwrap());
//! let packet = Packet {
//!     key: FlowKey(7),
//!     service: "127.0.0.1:9000".parse().unwrap(),
//!     mark: Mark::First,
//! };
//! node.feed(Time(1), Event::Packet(PacketId(1), packet));
//! assert_eq!(node.pull(), Some(Action::Drop(PacketId(1), Code::NotReady)));
//! assert_eq!(node.pull(), None);
//! ```

mod admission;
mod backup;
mod capacity;
mod catalogue;
pub mod catalogue_file;
mod cell;
mod claim;
mod claim_transfer;
mod code;
mod contacts;
mod control_plane;
mod control_state;
mod daemon;
mod dispatch;
mod driver;
mod era;
mod event;
mod exchange;
mod explain;
mod feed_watch;
mod flow;
mod flow_admission;
mod flow_state;
mod forwarder;
mod freshness;
mod gateway;
mod gateway_checks;
mod gateway_packets;
mod gateway_settings;
mod held_packets;
mod http_server;
mod idempotency_key;
mod ini_file;
mod join;
pub mod json_log;
mod link_rate;
mod load_report;
mod load_table;
mod membership;
mod metrics;
mod msg;
mod node;
mod observed;
mod operator;
mod peer;
mod peer_selection;
mod pin;
mod placement;
mod platform_client;
pub mod raw_json;
mod reachability;
mod refusal;
mod rendezvous;
mod replica;
mod request;
mod routing_table;
mod segment;
mod settings;
mod shared_placement;
mod shortage;
mod status;
mod store;
mod switch;
mod takeover;
mod target_health;
mod target_load;
pub mod text_log;
mod time;
mod token;
mod trace;

pub use capacity::CapacityEstimate;
pub use catalogue::{Catalogue, Delta};
pub use cell::{DRIFT_DIVISOR, HEARTBEAT, LEASE, PEER_TIMEOUT};
pub use claim::{Claim, Claims, TargetResponse, KEY_LIFETIME};
pub use code::Code;
pub use contacts::{list_to_write, ContactList};
pub use control_plane::ControlPlane;
pub use control_state::{
    CatalogueReply, CatalogueRequest, ControlEvent, ControlState, Cursor, Environment, QueryPeer,
};
pub use daemon::{Daemon, Error as DaemonError};
pub use era::{decide, decide_config, CopyDecision};
pub use event::{
    Action, Counts, Event, Mark, Outcome, Packet, PacketId, PeerTask, Request, RequestId,
};
pub use explain::{explain, Explanation};
pub use forwarder::{
    CheckOutcome, CheckRequest, Forwarder, ForwarderConfig, OpenDecision, TargetFailure,
};
pub use freshness::Bounds;
pub use gateway::{Adapter, Codec, Gateway, OpenStore, Signals};
pub use gateway_checks::{Check, CheckTarget};
pub use gateway_settings::GatewaySettings;
pub use held_packets::{HeldPacket, HeldPackets};
pub use idempotency_key::{IdempotencyKey, IssuedKey};
pub use ini_file::Error as IniError;
pub use join::Start;
pub use link_rate::LinkRate;
pub use load_report::{
    DomainKey, LoadPart, LoadReport, PackedLoad, TargetList, Unpacked, RATE_MAX,
};
pub use load_table::{
    shares_load, LoadBudget, LoadStats, LoadTable, LoadTarget, Recipient, LOAD_MAX_AGE,
};
pub use membership::{Condition, MemberNews, Membership, Peer};
pub use msg::{Count, Envelope, FlowKey, FlowPin, Heartbeat, Load, Msg, PinBatch};
pub use node::Node;
pub use operator::{EntryDiff, Error as OperatorError, Operator};
pub use peer_selection::{position, reads_for_itself, start_probability, Position, Staleness};
pub use pin::{PinInfo, Pins, FLOW_IDLE, PIN_REFRESH};
pub use platform_client::{Error as PlatformError, PlatformClient};
pub use refusal::{Refusal, RefusalState, ServiceRoom};
pub use rendezvous::{hash, score};
pub use replica::{Replica, ReplicaUpdate};
pub use segment::{Segment, Stage, Verdict};
pub use settings::Settings;
pub use shortage::{CallerHistory, Floor, Room, Shortage, ShortageSettings};
pub use status::Status;
pub use store::{CallFuture, Consistency, Feed, Page, ReadRequest, Store};
pub use switch::Switch;
pub use target_load::{RequestRate, SharedLoad, TargetLoad};
pub use time::{Clock, Ms, Time};
pub use token::Token;
pub use trace::open as open_trace_file;
