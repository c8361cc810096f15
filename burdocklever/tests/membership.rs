//! What VMs tell each other about VMs.

use burdocklever::{Condition, LinkRate, MemberNews, Membership, Ms, Peer, Time};
use wire::{Incarnation, Member, VmId};

const NOW: Time = Time(1_000_000);
const AVOID: Ms = Ms(5000);

fn peer(vm: u32, incarnation: u64, domain: &str) -> Peer {
    Peer {
        member: Member {
            vm: VmId(vm),
            incarnation: Incarnation(incarnation),
        },
        domain: domain.parse().unwrap(),
        address: wire::Address::from(([10, 0, 0, vm as u8], 1)),
        link: LinkRate(20),
    }
}

fn news(vm: u32, incarnation: u64, refutations: u32, condition: Condition) -> MemberNews {
    MemberNews {
        peer: peer(vm, incarnation, "accra"),
        refutations,
        condition,
    }
}

/// VM 1, which knows VMs 2 and 3.
fn three() -> Membership {
    let mut members = Membership::new(peer(1, 1, "accra"));
    for vm in [2, 3] {
        assert!(members.merge(NOW, None, news(vm, 5, 0, Condition::Alive)));
    }
    members
}

fn usable(members: &Membership, now: Time) -> Vec<u32> {
    members.usable(now).map(|p| p.member.vm.0).collect()
}

#[test]
fn of_two_entries_the_later_incarnation_refutation_and_condition_counts() {
    let ascending = [
        news(2, 5, 0, Condition::Suspect),
        news(2, 5, 0, Condition::Gone),
        news(2, 5, 1, Condition::Alive),
        news(2, 6, 0, Condition::Alive),
        news(2, 6, 0, Condition::Gone),
        news(2, 7, 0, Condition::Alive),
    ];
    let mut members = three();
    for (n, next) in ascending.iter().enumerate() {
        assert!(members.merge(NOW, None, next.clone()), "{next:?}");
        for old in &ascending[..=n] {
            assert!(!members.merge(NOW, None, old.clone()), "{old:?}");
        }
    }
}

#[test]
fn a_vm_refutes_what_is_said_of_it() {
    let mut members = three();
    let said = news(1, 1, 0, Condition::Suspect);
    assert!(members.merge(NOW, Some(VmId(2)), said.clone()));
    assert_eq!(members.own_news(), news(1, 1, 1, Condition::Alive));
    assert!(!members.merge(NOW, Some(VmId(2)), said), "refuted already");
}

/// The clock that incarnations are taken from was set back before the restart.
#[test]
fn a_vm_outranks_an_earlier_run_with_a_later_incarnation() {
    let mut members = three();
    assert!(members.merge(NOW, None, news(1, 900, 3, Condition::Gone)));
    assert_eq!(members.own_news(), news(1, 901, 0, Condition::Alive));
}

#[test]
fn a_peer_that_fails_is_avoided_and_suspected_once_another_answers() {
    let mut members = three();
    members.record_failure(NOW, VmId(2), AVOID);
    assert_eq!(usable(&members, NOW), [3]);
    members.expire(NOW + Ms(6000));
    assert_eq!(
        usable(&members, NOW + AVOID),
        [2, 3],
        "this VM may be cut off itself"
    );
    members.record_failure(NOW, VmId(2), AVOID);
    let change = members.changes();
    members.record_contact(NOW + Ms(100), VmId(3));
    assert_eq!(
        members.news_since(change, None),
        [news(2, 5, 0, Condition::Suspect)]
    );
    members.record_contact(NOW + Ms(5000), VmId(3));
    members.expire(NOW + Ms(5100));
    assert_eq!(
        members.news_since(change, None),
        [news(2, 5, 0, Condition::Gone)]
    );
    assert_eq!(members.gone().count(), 1);
}

#[test]
fn a_vm_that_hears_from_nobody_declares_nobody_gone() {
    let mut members = three();
    members.record_failure(NOW, VmId(2), AVOID);
    members.record_contact(NOW, VmId(3));
    members.expire(NOW + Ms(6000));
    assert_eq!(members.gone().count(), 0);
}

#[test]
fn a_refutation_or_a_restart_makes_a_peer_usable_at_once() {
    for back in [
        news(2, 5, 1, Condition::Alive),
        news(2, 6, 0, Condition::Alive),
    ] {
        let mut members = three();
        members.record_failure(NOW, VmId(2), AVOID);
        members.record_contact(NOW, VmId(3));
        assert_eq!(usable(&members, NOW + AVOID), [3]);
        assert!(members.merge(NOW, None, back));
        assert_eq!(usable(&members, NOW), [2, 3]);
    }
}

#[test]
fn gone_vms_are_forgotten() {
    let mut members = three();
    members.merge(NOW, None, news(2, 5, 0, Condition::Gone));
    members.expire(NOW + Ms(119_999));
    assert_eq!(members.gone().count(), 1);
    members.expire(NOW + Ms(120_000));
    assert_eq!(members.gone().count(), 0);
    let unknown = news(2, 5, 0, Condition::Gone);
    assert!(!members.merge(NOW, None, unknown), "nothing to forget");
}

#[test]
fn only_the_first_ranked_vms_of_other_domains_are_kept() {
    let mut members = three();
    for vm in 10..40 {
        let link = LinkRate(if vm % 3 == 0 { 200 } else { 20 });
        let peer = Peer {
            link,
            ..peer(vm, 1, "tema")
        };
        let news = MemberNews {
            peer,
            refutations: 0,
            condition: Condition::Alive,
        };
        members.merge(NOW, None, news);
    }
    let foreign: Vec<&Peer> = members
        .usable(NOW)
        .filter(|p| p.domain.as_str() == "tema")
        .collect();
    assert_eq!(foreign.len(), 8);
    assert!(foreign.iter().all(|p| p.link == LinkRate(200)));
    assert_eq!(usable(&members, NOW).len(), 10);
}

#[test]
fn a_stopping_vm_tells_that_it_is_gone_and_does_not_refute_it() {
    let mut members = three();
    members.leave();
    assert_eq!(members.own_news().condition, Condition::Gone);
    assert!(!members.merge(NOW, None, news(1, 1, 0, Condition::Gone)));
    assert!(members.live_in(&"accra".parse().unwrap()).count() == 2);
}

#[test]
fn a_peer_that_knows_less_of_itself_is_corrected() {
    let mut members = three();
    members.merge(NOW, None, news(2, 5, 2, Condition::Gone));
    let told = news(2, 5, 0, Condition::Alive);
    assert_eq!(
        members.correction(&told),
        Some(news(2, 5, 2, Condition::Gone))
    );
    assert_eq!(members.correction(&news(2, 5, 3, Condition::Alive)), None);
    assert_eq!(members.correction(&news(9, 1, 0, Condition::Alive)), None);
}

#[test]
fn entries_are_not_told_to_their_source() {
    let members = {
        let mut members = three();
        members.merge(NOW, Some(VmId(3)), news(4, 1, 0, Condition::Alive));
        members
    };
    let told = |to| {
        let news = members.news_since(1, Some(VmId(to)));
        news.iter()
            .map(|n| n.peer.member.vm.0)
            .collect::<Vec<u32>>()
    };
    assert_eq!(told(3), [2, 3]);
    assert_eq!(told(2), [2, 3, 4]);
}
