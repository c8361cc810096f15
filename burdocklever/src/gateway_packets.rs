//! Packet path of a gateway: receives packets, and sends and logs what the
//! forwarder decides.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use tokio::net::UdpSocket;

use crate::code::Code;
use crate::forwarder::TargetFailure;
use crate::gateway::{increment, lock, GatewayState};
use crate::held_packets::HeldPacket;
use crate::refusal::Refusal;
use crate::segment::{Segment, Verdict};

/// Size of the receive buffer. Packets have 32 bytes of header and at most 1200
/// of data; the rest of the buffer serves to detect longer ones.
const BUFFER_LEN: usize = 2048;

/// Starts the thread that receives packets. It has its own runtime, which it
/// builds itself, since a runtime must not be dropped inside another one.
pub(crate) fn spawn_receiver(state: Arc<GatewayState>) -> std::io::Result<()> {
    let (ready, started) = std::sync::mpsc::sync_channel(1);
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .build();
        let opened = runtime.and_then(|runtime| {
            let _guard = runtime.enter();
            let socket = UdpSocket::from_std(state.socket.try_clone()?)?;
            Ok((runtime, socket))
        });
        match opened {
            Ok((runtime, socket)) => {
                // Cannot fail: the spawning thread waits for this message.
                let _ = ready.send(Ok(()));
                runtime.block_on(receive(state, socket));
            }
            Err(error) => {
                let _ = ready.send(Err(error));
            }
        }
    };
    std::thread::Builder::new()
        .name("packets".into())
        .spawn(run)?;
    started.recv().map_err(std::io::Error::other)?
}

/// Receives packets until the socket fails.
async fn receive(state: Arc<GatewayState>, socket: UdpSocket) {
    let mut buffer = [0; BUFFER_LEN];
    let mut out = Vec::with_capacity(BUFFER_LEN);
    loop {
        match socket.try_recv_from(&mut buffer) {
            Ok((length, _)) => handle_packet(&state, &buffer[..length], &mut out),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                state.forwarder().record_empty_queue(state.now());
                if let Err(error) = socket.readable().await {
                    log::error!(target: "packet", error = error.to_string().as_str();
                        "cannot wait for packets; none are received any more");
                    return;
                }
            }
            // An ICMP error caused by an earlier send; no packet was received.
            Err(error) => {
                log::debug!(target: "packet", error = error.to_string().as_str(); "receive failed");
            }
        }
    }
}

/// Decodes a packet and acts on it.
fn handle_packet(state: &GatewayState, packet: &[u8], out: &mut Vec<u8>) {
    let Some(segment) = (state.codec.decode)(packet) else {
        return increment(&state.counters.malformed);
    };
    if state.complete.load(Ordering::Relaxed) || !hold(state, &segment, packet) {
        process_segment(state, packet, &segment, out);
    }
}

/// Keeps a packet until the catalogue is complete. Returns false if it is.
fn hold(state: &GatewayState, segment: &Segment, packet: &[u8]) -> bool {
    let mut held = lock(&state.held_packets);
    // Checked again under the lock that `release_held_packets` takes.
    if state.complete.load(Ordering::Relaxed) {
        return false;
    }
    let now = state.now();
    state.last_packet.store(now.0, Ordering::Relaxed);
    let dropped = held.push(now, *segment, packet);
    drop(held);
    increment(&state.counters.held);
    log::info!(target: "flow", flow = flow_id(segment).as_str(),
        stage = format!("{:?}", segment.stage).as_str(); "packet waits for the catalogue");
    drop_held_packets(state, &dropped);
    true
}

/// Drops packets that waited too long for the catalogue.
pub(crate) fn expire_held_packets(state: &GatewayState) {
    let dropped = lock(&state.held_packets).expire(state.now());
    drop_held_packets(state, &dropped);
}

fn drop_held_packets(state: &GatewayState, dropped: &[HeldPacket]) {
    for held in dropped {
        increment(&state.counters.dropped);
        log_rejection(&held.segment, Code::NotReady, "packet dropped");
    }
}

/// Records that the catalogue is complete, and handles the packets that waited for it.
pub(crate) fn release_held_packets(state: &GatewayState) {
    let mut held = lock(&state.held_packets);
    state.complete.store(true, Ordering::Relaxed);
    let expired = held.expire(state.now());
    let packets = held.take();
    drop(held);
    drop_held_packets(state, &expired);
    log::info!(target: "packet", forwarded = packets.len(), expired = expired.len(),
        waited_ms = state.clock.elapsed().0;
        "catalogue complete; packets that waited for it are handled");
    let mut out = Vec::new();
    for one in &packets {
        process_segment(state, &one.packet, &one.segment, &mut out);
    }
}

/// Carries out what the forwarder decides on a packet.
fn process_segment(state: &GatewayState, packet: &[u8], segment: &Segment, out: &mut Vec<u8>) {
    let now = state.now();
    state.last_packet.store(now.0, Ordering::Relaxed);
    let mut forwarder = state.forwarder();
    let verdict = forwarder.handle_packet(now, segment);
    let open_decision = forwarder.take_open_decision();
    let refusal = forwarder.take_refusal();
    let response_time = forwarder.take_response_time();
    let check_request = forwarder.take_check_request();
    let pending_resets = forwarder.has_pending_resets();
    drop(forwarder);
    if let Some(request) = check_request {
        // If the queue is full, the next retransmission requests the check again.
        let _ = state.check_queue.try_send(request);
    }
    if let Some(time) = response_time {
        state.metrics.record_response_time(time);
    }
    if pending_resets {
        send_resets(state, out);
    }
    if let Some(r) = refusal {
        log_refusal(segment, &r);
        increment(&state.counters.resets);
        return send_reset(state, segment, out);
    }
    out.clear();
    let to = match verdict {
        Verdict::Forward {
            host,
            address,
            token,
        } => {
            (state.codec.forward)(packet, host, token, out);
            increment(&state.counters.forwarded);
            address
        }
        Verdict::Reset(code) => return reset(state, segment, code, out),
        Verdict::Drop(code) => {
            increment(&state.counters.dropped);
            log_rejection(segment, code, "packet dropped");
            return;
        }
    };
    send(state, out, to);
    if let Some(o) = open_decision {
        increment(&state.counters.flows_opened);
        let shared_age = match o.shared_age {
            Some(age) => log::kv::Value::from(age.0),
            None => log::kv::Value::from("none"),
        };
        log::info!(target: "flow", flow = flow_id(segment).as_str(), host = o.host.0, load = o.load,
            near = o.local, far = o.remote, suspects = o.suspects, copy = o.copy, revision = o.revision.revision(),
            age_ms = o.age.0, shared_age_ms = shared_age; "flow opened");
    }
}

/// Logs the targets that were marked as failed, and resets their flows.
pub(crate) fn send_resets(state: &GatewayState, out: &mut Vec<u8>) {
    let mut forwarder = state.forwarder();
    let failures: Vec<TargetFailure> = std::iter::from_fn(|| forwarder.take_failure()).collect();
    let resets: Vec<Segment> = std::iter::from_fn(|| forwarder.take_reset()).collect();
    drop(forwarder);
    for f in failures {
        log::warn!(target: "target", host = f.host.0, finding = f.outcome.text(),
            silent_ms = f.silence.map_or(0, |s| s.0), heard = f.silence.is_some(),
            listed = f.listed, flows = f.flows; "target given up, its flows are reset");
    }
    for segment in &resets {
        reset(state, segment, Code::FlowEnded, out);
    }
}

fn reset(state: &GatewayState, segment: &Segment, code: Code, out: &mut Vec<u8>) {
    increment(&state.counters.resets);
    log_rejection(segment, code, "flow reset");
    send_reset(state, segment, out);
}

fn send_reset(state: &GatewayState, segment: &Segment, out: &mut Vec<u8>) {
    out.clear();
    let to = (state.codec.reset)(segment, state.address, out);
    send(state, out, to);
}

fn send(state: &GatewayState, packet: &[u8], to: SocketAddr) {
    if let Err(error) = state.socket.send_to(packet, to) {
        increment(&state.counters.unsent);
        log::warn!(target: "packet", to = to.to_string().as_str(),
            error = error.to_string().as_str(); "send failed");
    }
}

/// ID of a flow in the log: the addresses of both endpoints.
fn flow_id(segment: &Segment) -> String {
    format!("{}-{}", segment.caller, segment.service)
}

fn log_refusal(segment: &Segment, refusal: &Refusal) {
    let code = Code::LowPriority;
    let expected = match refusal.expected {
        Some(time) => log::kv::Value::from(time.0),
        None => log::kv::Value::from("none"),
    };
    log::info!(target: "flow", flow = flow_id(segment).as_str(), code = code.to_string().as_str(),
        reason = code.text(), priority = refusal.priority, occupancy = refusal.occupancy,
        share = refusal.share, age_ms = refusal.age.0, expected_ms = expected; "flow refused");
}

fn log_rejection(segment: &Segment, code: Code, event: &str) {
    log::info!(target: "flow", flow = flow_id(segment).as_str(),
        code = code.to_string().as_str(), reason = code.text(), stage = format!("{:?}", segment.stage).as_str(),
        token = segment.token.to_string().as_str(); "{event}");
}
