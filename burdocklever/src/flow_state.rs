//! State of a flow at a VM that forwards its packets, and what a packet shows
//! about the flow's target.

use wire::Address;

use crate::segment::{Segment, Stage};
use crate::target_health::TargetHealth;
use crate::time::{Ms, Time};
use crate::token::Token;

/// Minimum time between a packet and its retransmission. Callers retransmit
/// after 200 ms; an earlier duplicate was reordered in the network or read late
/// by this VM.
const MIN_RETRANSMIT_TIME: Ms = Ms(150);
/// Time within which an endpoint acknowledges data: a round trip and the delay of
/// delayed acknowledgements.
const MAX_ACK_DELAY: Ms = Ms(100);
/// Number of targets remembered per opening packet. Its next copy avoids them.
pub(crate) const MAX_TRIED: usize = 3;
/// Retransmissions, 200 and 600 ms after the packet, after which a target that a
/// check could not reach has failed. Either sign alone may be due to a lost
/// packet.
const FAILURE_RETRANSMISSIONS: u8 = 2;

/// Target index that stands for "no target".
pub(crate) const NO_TARGET: usize = usize::MAX;

/// State of a flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FlowState {
    pub(crate) caller: Address,
    pub(crate) service: Address,
    /// Index of the flow's target.
    pub(crate) target: usize,
    pub(crate) last_packet: Time,
    /// Last time that new data of the unanswered request was forwarded.
    pub(crate) request_sent: Option<Time>,
    /// Sequence number after the caller's last byte.
    pub(crate) next_seq: u32,
    /// Next sequence number that the caller expects from the target.
    pub(crate) acked: u32,
    pub(crate) stage: Stage,
    /// Targets that copies of the opening packet were sent to.
    pub(crate) tried: [usize; MAX_TRIED],
    /// Last time that data was forwarded, retransmissions included.
    pub(crate) last_data: Time,
    /// Retransmissions since new data was forwarded or the target responded.
    pub(crate) retransmissions: u8,
}

/// State of a flow that this VM has not tracked so far, from a later packet.
pub(crate) fn track_existing(now: Time, segment: &Segment, target: usize) -> FlowState {
    FlowState {
        caller: segment.caller,
        service: segment.service,
        target,
        last_packet: now,
        request_sent: (segment.len > 0).then_some(now),
        next_seq: segment.seq.wrapping_add(segment.len),
        acked: segment.ack,
        stage: match segment.stage {
            Stage::Close => Stage::Close,
            _ => Stage::Within,
        },
        tried: [NO_TARGET; MAX_TRIED],
        last_data: now,
        retransmissions: 0,
    }
}

/// Updates a flow and its target's health from a later packet's acknowledgement.
/// Returns the response time if the packet acknowledges the first byte of a
/// response.
pub(crate) fn process_ack(
    now: Time,
    segment: &Segment,
    flow: &mut FlowState,
    health: &mut TargetHealth,
) -> Option<Ms> {
    if flow.stage == Stage::Open {
        health.mark_responsive(now);
        flow.stage = Stage::Within;
        flow.acked = segment.ack;
        flow.next_seq = segment.seq;
        return None;
    }
    let new_bytes = is_after(segment.ack, flow.acked);
    // A packet without data acknowledges one that has just arrived.
    if new_bytes || (segment.len == 0 && segment.stage == Stage::Within) {
        health.mark_responsive(now);
        flow.retransmissions = 0;
    }
    if !new_bytes {
        return None;
    }
    flow.acked = segment.ack;
    let response_time = now.since(flow.request_sent.take()?);
    health.record_response_time(response_time);
    health.pending = health.pending.saturating_sub(1);
    Some(response_time)
}

/// Updates a flow and its target's health from a packet with data. Returns
/// whether the packet counts as a retransmission. Old data counts as one only if
/// the receive queue was empty, last at `queue_empty`, after the data was due to
/// be acknowledged; otherwise the acknowledgement may still be in the queue.
pub(crate) fn process_data(
    now: Time,
    queue_empty: Time,
    segment: &Segment,
    flow: &mut FlowState,
    health: &mut TargetHealth,
) -> bool {
    let end = segment.seq.wrapping_add(segment.len);
    if is_after(end, flow.next_seq) {
        if flow.request_sent.replace(now).is_none() {
            health.pending += 1;
        }
        flow.next_seq = end;
        flow.last_data = now;
        flow.retransmissions = 0;
        return false;
    }
    let early = now.since(flow.last_data) < MIN_RETRANSMIT_TIME;
    if early || queue_empty < flow.last_data + MAX_ACK_DELAY {
        return false;
    }
    flow.last_data = now;
    flow.retransmissions = flow.retransmissions.saturating_add(1);
    health.record_retransmission(now);
    true
}

/// Whether a flow has a request since which its target has been silent.
pub(crate) fn is_unanswered(flow: &FlowState, health: &TargetHealth) -> bool {
    flow.request_sent
        .is_some_and(|at| health.is_silent_since(at))
}

/// Whether a flow shows that its target, which a check could not reach, failed.
/// For a target that is no longer listed, an unanswered request is enough.
pub(crate) fn indicates_failure(flow: &FlowState, health: &TargetHealth, listed: bool) -> bool {
    is_unanswered(flow, health) && (!listed || flow.retransmissions >= FAILURE_RETRANSMISSIONS)
}

/// The segment to reset a flow by: the last one that its caller may have sent.
pub(crate) fn reset_segment(flow: &FlowState, token: Token) -> Segment {
    Segment {
        caller: flow.caller,
        service: flow.service,
        stage: Stage::Within,
        token,
        seq: flow.next_seq,
        ack: flow.acked,
        len: 0,
    }
}

/// Subtracts a flow that is closed or forgotten from its target's counts.
pub(crate) fn release_counts(health: &mut TargetHealth, flow: &FlowState) {
    if flow.stage != Stage::Close {
        health.open_flows = health.open_flows.saturating_sub(1);
    }
    if flow.request_sent.is_some() {
        health.pending = health.pending.saturating_sub(1);
    }
}

/// Whether sequence number `a` is after `b`, modulo 2^32.
fn is_after(a: u32, b: u32) -> bool {
    (a.wrapping_sub(b) as i32) > 0
}
