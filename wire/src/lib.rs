//! Types shared by burdocklever and the systems it communicates with.
//!
//! Defines the objects of the platform's API, their identifiers, the HTTP
//! header names and the marks of datagrams. The stand-ins for the surrounding
//! systems use this crate without linking the load balancer itself.
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

/// HTTP header names used between callers, entry VMs and targets.
pub mod header {
    /// Idempotency key of a request that must run at most once (IETF draft
    /// `Idempotency-Key`).
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// Unused idempotency key that the caller may use for its next request.
    pub const NEXT_IDEMPOTENCY_KEY: &str = "burdock-next-key";
    /// Time for which the sender still waits for the response, in milliseconds.
    pub const DEADLINE: &str = "burdock-deadline-ms";
    /// Result code of a response that no target produced.
    pub const CODE: &str = "burdock-code";
    /// Identifier of the target that produced the response.
    pub const HOST: &str = "burdock-host";
    /// Incarnation of the target that produced the response.
    pub const INCARNATION: &str = "burdock-incarnation";
    /// Name of the service that the request is addressed to.
    pub const SERVICE: &str = "burdock-service";
    /// Trace context (W3C `traceparent`).
    pub const TRACEPARENT: &str = "traceparent";
}

/// Values of the first byte of a datagram's payload: the datagram's position in
/// its flow.
pub mod mark {
    /// Opens a flow, like a TCP SYN.
    pub const FIRST: u8 = 1;
    /// Belongs to an open flow.
    pub const LATER: u8 = 2;
    /// Closes the flow, like a TCP FIN.
    pub const LAST: u8 = 3;
}
