//! How the VMs of a failure domain pass on what the platform says.

use burdocklever::{Action, Delta, Event, Msg, Node, Time};
use wire::{
    Address, Body, DomainId, DomainState, Incarnation, Lifecycle, Member, Object, ObjectKey,
    Version, Vm, VmId,
};

fn member(id: u32) -> Member {
    Member {
        vm: VmId(id),
        incarnation: Incarnation(1),
    }
}

fn accra() -> DomainId {
    "accra".parse().unwrap()
}

fn object(kind: &str, name: impl std::fmt::Display, version: u64, body: Body) -> Object {
    Object {
        key: ObjectKey::new(kind, name),
        version: Version(version),
        change: 0,
        body,
    }
}

fn vm(id: u32) -> Object {
    let address = |port: u16| Address::from(([10, 0, 0, id as u8], port));
    let body = Body::Vm(Vm {
        member: member(id),
        domain: accra(),
        datagram: address(1),
        peer: address(2),
        http: address(3),
        state: Lifecycle::Live,
    });
    object("vm", id, u64::from(id), body)
}

fn out(name: &str, version: u64) -> Object {
    let state = DomainState::Out;
    object("domain", name, version, Body::Domain { state })
}

fn delta(from: u64, through: u64, objects: Vec<Object>) -> Delta {
    Delta {
        from: Version(from),
        through: Version(through),
        objects,
    }
}

/// A VM that knows the three VMs of its failure domain, up to revision 10.
fn node(id: u32) -> Node {
    let mut node = Node::new(Time(1000), member(id), accra());
    let known = delta(0, 10, (1..=3).map(vm).collect());
    node.feed(Time(1000), Event::CatalogueDelta(known));
    while node.pull().is_some() {}
    node
}

/// Guards against a failure domain that stays in service at one VM for good: a change that a
/// peer had told this VM before is left out of what it passes on as complete.
#[test]
fn what_a_vm_passes_on_as_complete_has_what_a_peer_told_it_before() {
    let (mut first, mut third) = (node(1), node(3));
    // The second VM is ahead. Its message does not reach the third one.
    let ahead = delta(12, 13, vec![out("tema", 13)]);
    first.feed(Time(1010), Event::Msg(member(2), Msg::Delta(ahead)));
    let objects = vec![out("kumasi", 12), out("tema", 13), out("takoradi", 14)];
    let platform = delta(10, 14, objects);
    first.feed(Time(1020), Event::CatalogueDelta(platform));
    while let Some(action) = first.pull() {
        match action {
            Action::Send(to, msg) if to == member(3) => {
                third.feed(Time(1030), Event::Msg(member(1), msg));
            }
            _ => {}
        }
    }
    assert_eq!(third.catalogue().revision(), Version(14));
    for name in ["kumasi", "tema", "takoradi"] {
        assert!(third.catalogue().is_out(&name.parse().unwrap()), "{name}");
    }
}
