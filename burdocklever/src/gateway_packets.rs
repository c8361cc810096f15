//! How a gateway handles packets: receives, decides, sends, logs.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use tokio::net::UdpSocket;

use crate::code::Code;
use crate::forwarder::TargetFailure;
use crate::gateway::{count, Shared};
use crate::segment::{Segment, Verdict};

/// Largest packet in bytes: 32 of header and 1200 of data, with room to see
/// that one is too long.
const PACKET_MAX: usize = 2048;

/// Starts the thread that receives packets. It has a runtime of its own, and
/// builds it itself: a runtime must not be dropped inside another one.
pub(crate) fn spawn_receiver(shared: Arc<Shared>) -> std::io::Result<()> {
    let (began, begun) = std::sync::mpsc::sync_channel(1);
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .build();
        let opened = runtime.and_then(|runtime| {
            let _guard = runtime.enter();
            let socket = UdpSocket::from_std(shared.socket.try_clone()?)?;
            Ok((runtime, socket))
        });
        match opened {
            Ok((runtime, socket)) => {
                // Whoever waits for this has not gone: it blocks until it comes.
                let _ = began.send(Ok(()));
                runtime.block_on(receive(shared, socket));
            }
            Err(error) => {
                let _ = began.send(Err(error));
            }
        }
    };
    std::thread::Builder::new()
        .name("packets".into())
        .spawn(run)?;
    begun.recv().map_err(std::io::Error::other)?
}

/// Receives packets for ever.
async fn receive(shared: Arc<Shared>, socket: UdpSocket) {
    let mut buffer = [0; PACKET_MAX];
    let mut out = Vec::with_capacity(PACKET_MAX);
    loop {
        match socket.try_recv_from(&mut buffer) {
            Ok((length, _)) => handle(&shared, &buffer[..length], &mut out),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                shared.forwarder().receive_queue_empty(shared.now());
                if let Err(error) = socket.readable().await {
                    log::error!(target: "packet", error = error.to_string().as_str();
                        "socket not readable any more");
                    return;
                }
            }
            // An ICMP error of an earlier send; nothing was received.
            Err(error) => {
                log::debug!(target: "packet", error = error.to_string().as_str(); "not received");
            }
        }
    }
}

fn handle(shared: &Shared, packet: &[u8], out: &mut Vec<u8>) {
    match (shared.codec.decode)(packet) {
        Some(segment) => steer(shared, packet, &segment, out),
        None => count(&shared.counters.malformed),
    }
}

fn steer(shared: &Shared, packet: &[u8], segment: &Segment, out: &mut Vec<u8>) {
    let now = shared.now();
    shared.last_packet.store(now.0, Ordering::Relaxed);
    let mut forwarder = shared.forwarder();
    let verdict = forwarder.handle_packet(now, segment);
    let opening = forwarder.take_open_decision();
    let answer = forwarder.take_response_time();
    let doubt = forwarder.take_check_request();
    let ended = forwarder.has_pending_resets();
    drop(forwarder);
    if let Some(doubt) = doubt {
        // With so many waiting, the target's next repeat asks again.
        let _ = shared.doubts.try_send(doubt);
    }
    if let Some(took) = answer {
        shared.metrics.record_answer_time(took);
    }
    if ended {
        end_flows(shared, out);
    }
    out.clear();
    let to = match verdict {
        Verdict::Forward {
            host,
            address,
            token,
        } => {
            (shared.codec.forward)(packet, host, token, out);
            count(&shared.counters.forwarded);
            address
        }
        Verdict::Reset(code) => return reset(shared, segment, code, out),
        Verdict::Drop(code) => {
            count(&shared.counters.dropped);
            log_end(segment, code, "packet dropped");
            return;
        }
    };
    send(shared, out, to);
    if let Some(o) = opening {
        count(&shared.counters.opened);
        log::info!(target: "flow", flow = flow_id(segment).as_str(), host = o.host.0, load = o.load,
            near = o.local, far = o.remote, suspects = o.suspects, copy = o.copy, revision = o.revision.0,
            age_ms = o.age.0; "flow opened");
    }
}

/// Tells of targets that were given up, and resets their flows.
pub(crate) fn end_flows(shared: &Shared, out: &mut Vec<u8>) {
    let mut forwarder = shared.forwarder();
    let given_up: Vec<TargetFailure> = std::iter::from_fn(|| forwarder.take_failure()).collect();
    let ended: Vec<Segment> = std::iter::from_fn(|| forwarder.take_reset()).collect();
    drop(forwarder);
    for g in given_up {
        log::warn!(target: "target", host = g.host.0, finding = g.outcome.text(),
            silent_ms = g.silence.map_or(0, |s| s.0), heard = g.silence.is_some(),
            listed = g.listed, flows = g.flows; "target given up, its flows are reset");
    }
    for segment in &ended {
        reset(shared, segment, Code::FlowEnded, out);
    }
}

fn reset(shared: &Shared, segment: &Segment, code: Code, out: &mut Vec<u8>) {
    count(&shared.counters.refused);
    log_end(segment, code, "flow reset");
    out.clear();
    let to = (shared.codec.reset)(segment, shared.own, out);
    send(shared, out, to);
}

fn send(shared: &Shared, packet: &[u8], to: SocketAddr) {
    if let Err(error) = shared.socket.send_to(packet, to) {
        count(&shared.counters.unsent);
        log::warn!(target: "packet", to = to.to_string().as_str(),
            error = error.to_string().as_str(); "not sent");
    }
}

/// Name of a flow in the log: both ends' addresses.
fn flow_id(segment: &Segment) -> String {
    format!("{}-{}", segment.caller, segment.service)
}

fn log_end(segment: &Segment, code: Code, event: &str) {
    log::info!(target: "flow", flow = flow_id(segment).as_str(),
        code = code.to_string().as_str(), reason = code.text(), stage = format!("{:?}", segment.stage).as_str(),
        token = segment.token.to_string().as_str(); "{event}");
}
