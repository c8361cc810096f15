//! Packets that reach a VM before it has a catalogue. Load: all VMs start again
//! while callers go on sending.

use burdocklever::{HeldPacket, HeldPackets, Ms, Segment, Stage, Time, Token};

const NOW: Time = Time(1_000_000);

fn opening(port: u16, copy: u32) -> Segment {
    Segment {
        caller: wire::Address::from(([100, 64, 0, 7], port)),
        service: "198.18.0.1:443".parse().unwrap(),
        stage: Stage::Open,
        token: Token::NONE,
        seq: 7,
        ack: copy,
        len: 0,
    }
}

fn data(port: u16, seq: u32) -> Segment {
    Segment {
        stage: Stage::Within,
        seq,
        ack: 1,
        len: 1200,
        ..opening(port, 0)
    }
}

fn ports(packets: &[HeldPacket]) -> Vec<u16> {
    packets.iter().map(|p| p.segment.caller.port()).collect()
}

#[test]
fn packets_are_handled_in_the_order_of_their_arrival() {
    let mut held = HeldPackets::default();
    for (n, segment) in [opening(1, 0), data(2, 10), opening(3, 0)]
        .into_iter()
        .enumerate()
    {
        assert_eq!(held.push(NOW + Ms(n as u64), segment, &[n as u8]), []);
    }
    assert_eq!(held.expire(NOW + Ms(50)), []);
    let ready = held.take();
    let order: Vec<u8> = ready.iter().map(|p| p.packet[0]).collect();
    assert_eq!(order, [0, 1, 2]);
    assert_eq!(held.take(), [], "each is handled once");
}

/// A copy that follows the first packet at once would look as if the first target
/// had not answered.
#[test]
fn a_copy_of_a_kept_packet_is_not_kept() {
    let mut held = HeldPackets::default();
    held.push(NOW, opening(1, 0), &[0]);
    held.push(NOW + Ms(200), opening(1, 1), &[1]);
    held.push(NOW, data(1, 10), &[2]);
    held.push(NOW, data(1, 1210), &[3]);
    held.push(NOW, data(1, 10), &[4]);
    let kept: Vec<u8> = held.take().iter().map(|p| p.packet[0]).collect();
    assert_eq!(kept, [0, 2, 3]);
}

#[test]
fn packets_that_callers_have_sent_again_are_not_forwarded() {
    let mut held = HeldPackets::default();
    held.push(NOW, opening(1, 0), &[0]);
    held.push(NOW + Ms(100), opening(2, 0), &[1]);
    assert_eq!(held.expire(NOW + Ms(399)), []);
    assert_eq!(ports(&held.expire(NOW + Ms(400))), [1]);
    let dropped = held.push(NOW + Ms(500), opening(3, 0), &[2]);
    assert_eq!(ports(&dropped), [2]);
    assert_eq!(ports(&held.take()), [3]);
}

#[test]
fn what_is_kept_is_bounded() {
    let mut held = HeldPackets::default();
    let push = |held: &mut HeldPackets, n| held.push(NOW, opening(n, 0), &[0; 32]);
    let dropped: Vec<u16> = (0..600).flat_map(|n| ports(&push(&mut held, n))).collect();
    assert_eq!(
        dropped,
        (0..88).collect::<Vec<u16>>(),
        "the oldest go first"
    );
    assert_eq!(held.take().len(), 512);
    let push = |held: &mut HeldPackets, n: u32| held.push(NOW, data(1, n * 1200), &[0; 1232]);
    let dropped: usize = (0..300u32).map(|n| push(&mut held, n).len()).sum();
    let left = held.take();
    let bytes: usize = left.iter().map(|p| p.packet.len()).sum();
    assert!(bytes <= 256 * 1024, "{bytes} bytes");
    assert_eq!(dropped + left.len(), 300);
}
