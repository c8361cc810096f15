//! Types that cross the boundary between burdocklever and the systems around it.
//!
//! The platform's objects, the identifiers in them, the HTTP header names and
//! the datagram marks are defined here, so that stand-ins share them without
//! linking the decision logic.
//!
//! ```
//! use wire::{Body, DomainState};
//!
//! let body: Body = serde_json::from_str(r#"{"domain":{"state":"out"}}"#).unwrap();
//! assert_eq!(body, Body::Domain { state: DomainState::Out });
//! ```

mod id;
mod object;

pub use id::{
    Address, DomainId, HostId, Incarnation, ParseError, ServiceId, Version, ViewNumber, VmId,
};
pub use object::{
    Body, Class, DomainState, Host, Lifecycle, Limits, Member, Object, ObjectKey, Pool, PutReply,
    PutRequest, Route, Service, Share, View, Vm, WatchReply,
};

/// Names of the HTTP headers that callers, entry VMs and targets exchange.
pub mod header {
    /// Names a request that may not be repeated (IETF draft `Idempotency-Key`).
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// Carries a key that the caller may use for its next request.
    pub const NEXT_IDEMPOTENCY_KEY: &str = "burdock-next-key";
    /// Milliseconds that the sender is still willing to wait.
    pub const DEADLINE: &str = "burdock-deadline-ms";
    /// Numbered result code of an answer that did not come from a target.
    pub const CODE: &str = "burdock-code";
    /// Identity of the target that gave the answer.
    pub const HOST: &str = "burdock-host";
    /// Incarnation of the target that gave the answer.
    pub const INCARNATION: &str = "burdock-incarnation";
    /// Name of the service that a request is for.
    pub const SERVICE: &str = "burdock-service";
    /// Trace context (W3C `traceparent`).
    pub const TRACEPARENT: &str = "traceparent";
}

/// First byte of a datagram's payload: its place in the flow.
pub mod mark {
    /// Opens a flow, as SYN does for TCP.
    pub const FIRST: u8 = 1;
    /// Belongs to a flow opened earlier.
    pub const LATER: u8 = 2;
    /// Ends the flow, as FIN does for TCP.
    pub const LAST: u8 = 3;
}
