//! What a VM remembers of a flow, and what a packet of it shows.

use wire::Address;

use crate::segment::{Segment, Stage};
use crate::signal::Signals;
use crate::time::{Ms, Time};
use crate::token::Token;

/// Shortest time between a packet and its repetition. Callers wait 200 ms; what
/// comes sooner was overtaken on the way, or read late by this VM.
const REPEAT_MIN: Ms = Ms(150);
/// Time in which an end acknowledges data: a trip there and back, and the pause
/// for which an end may hold an acknowledgement back.
const ACKNOWLEDGE: Ms = Ms(100);
/// Targets that the copies of one opening packet may go to.
pub(crate) const TRIES: usize = 3;
/// Repeats of a flow, 200 and 600 ms after its packet, that with a target that
/// cannot be reached show its death: either alone may be a lost packet.
const REPEATS: u8 = 2;

/// No target.
pub(crate) const NOWHERE: usize = usize::MAX;

/// What is remembered of a flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Flow {
    pub(crate) caller: Address,
    pub(crate) service: Address,
    pub(crate) target: usize,
    pub(crate) seen: Time,
    /// Time of the request that has no answer yet.
    pub(crate) asked: Option<Time>,
    /// Number after the last byte that the caller sent.
    pub(crate) sent: u32,
    /// Next byte that the caller expects.
    pub(crate) acked: u32,
    pub(crate) stage: Stage,
    pub(crate) tried: [usize; TRIES],
    /// Last time that data was forwarded.
    pub(crate) data: Time,
    /// Repetitions of the data since it was first forwarded.
    pub(crate) repeats: u8,
}

/// A flow that another VM opened.
pub(crate) fn adopt(now: Time, segment: &Segment, target: usize) -> Flow {
    Flow {
        caller: segment.caller,
        service: segment.service,
        target,
        seen: now,
        asked: (segment.len > 0).then_some(now),
        sent: segment.seq.wrapping_add(segment.len),
        acked: segment.ack,
        stage: match segment.stage {
            Stage::Close => Stage::Close,
            _ => Stage::Within,
        },
        tried: [NOWHERE; TRIES],
        data: now,
        repeats: 0,
    }
}

/// Takes in what a later packet says of the target's answers. Returns how long
/// an answer took whose first byte it acknowledges.
pub(crate) fn hear(
    now: Time,
    segment: &Segment,
    flow: &mut Flow,
    signals: &mut Signals,
) -> Option<Ms> {
    if flow.stage == Stage::Open {
        signals.heard(now);
        flow.stage = Stage::Within;
        flow.acked = segment.ack;
        flow.sent = segment.seq;
        return None;
    }
    let answered = is_after(segment.ack, flow.acked);
    // A packet without data acknowledges one that has just arrived.
    if answered || (segment.len == 0 && segment.stage == Stage::Within) {
        signals.heard(now);
        flow.repeats = 0;
    }
    if !answered {
        return None;
    }
    flow.acked = segment.ack;
    let took = now.since(flow.asked.take()?);
    signals.answered(took);
    signals.waiting = signals.waiting.saturating_sub(1);
    Some(took)
}

/// Takes in a packet with data. Returns whether the caller repeats it.
pub(crate) fn note_data(
    now: Time,
    drained: Time,
    segment: &Segment,
    flow: &mut Flow,
    signals: &mut Signals,
) -> bool {
    let end = segment.seq.wrapping_add(segment.len);
    if is_after(end, flow.sent) {
        if flow.asked.replace(now).is_none() {
            signals.waiting += 1;
        }
        flow.sent = end;
        flow.data = now;
        flow.repeats = 0;
        return false;
    }
    if now.since(flow.data) < REPEAT_MIN || drained < flow.data + ACKNOWLEDGE {
        return false;
    }
    flow.data = now;
    flow.repeats = flow.repeats.saturating_add(1);
    signals.repeated(now);
    true
}

/// Whether a flow's request waits at a target that shows no life since.
pub(crate) fn is_waiting(flow: &Flow, signals: &Signals) -> bool {
    flow.asked.is_some_and(|at| signals.is_silent_since(at))
}

/// Whether a flow shows that its target died, if it cannot be reached. One that
/// is not on the list any more needs no more signs.
pub(crate) fn is_dead(flow: &Flow, signals: &Signals, listed: bool) -> bool {
    is_waiting(flow, signals) && (!listed || flow.repeats >= REPEATS)
}

/// The last packet that a flow's caller sent, as far as it is remembered.
pub(crate) fn last_segment(flow: &Flow, token: Token) -> Segment {
    Segment {
        caller: flow.caller,
        service: flow.service,
        stage: Stage::Within,
        token,
        seq: flow.sent,
        ack: flow.acked,
        len: 0,
    }
}

pub(crate) fn release(signals: &mut Signals, flow: &Flow) {
    if flow.stage != Stage::Close {
        signals.flows = signals.flows.saturating_sub(1);
    }
    if flow.asked.is_some() {
        signals.waiting = signals.waiting.saturating_sub(1);
    }
}

/// Whether `a` lies after `b` on the circle of sequence numbers.
fn is_after(a: u32, b: u32) -> bool {
    (a.wrapping_sub(b) as i32) > 0
}
