//! Which VMs read the store, and which peer the others poll.

use burdocklever::{successor, Catalogue, Ms, PeerSelector, Time};
use wire::{Body, DomainId, Incarnation, Lifecycle, Member, Object, ObjectKey, Version, Vm, VmId};

const NOW: Time = Time(10_000);

fn domain(n: u32) -> DomainId {
    format!("domain-{n}").parse().unwrap()
}

fn fleet(size: u32) -> Catalogue {
    let mut catalogue = Catalogue::default();
    for n in 1..=size {
        let address = wire::Address::from(([10, 0, (n >> 8) as u8, n as u8], 1));
        let vm = Vm {
            member: Member {
                vm: VmId(n),
                incarnation: Incarnation(1),
            },
            domain: domain(n % 4),
            datagram: address,
            peer: address,
            http: address,
            state: Lifecycle::Live,
        };
        catalogue.merge(Object {
            key: ObjectKey::new("vm", n),
            version: Version(n.into()),
            change: 0,
            body: Body::Vm(vm),
        });
    }
    catalogue
}

fn selected(catalogue: &Catalogue, own: u32) -> Option<u32> {
    let selector = PeerSelector::new(VmId(own), domain(own % 4));
    selector
        .select_peer(NOW, catalogue)
        .map(|vm| vm.member.vm.0)
}

#[test]
fn store_readers_grow_far_slower_than_the_fleet() {
    for (size, expected) in [(1, 1), (9, 2), (61, 3), (300, 11), (5200, 164)] {
        let catalogue = fleet(size);
        let readers = (1..=size).filter(|n| selected(&catalogue, *n).is_none());
        assert_eq!(readers.count(), expected, "fleet of {size}");
    }
}

#[test]
fn other_vms_prefer_a_reader_in_their_failure_domain() {
    let catalogue = fleet(300);
    let readers: Vec<u32> = (1..=300)
        .filter(|n| selected(&catalogue, *n).is_none())
        .collect();
    let mut load = std::collections::BTreeMap::new();
    for own in 1..=300 {
        let Some(peer) = selected(&catalogue, own) else {
            continue;
        };
        assert!(readers.contains(&peer));
        let same_domain = readers.iter().any(|r| r % 4 == own % 4);
        assert!(!same_domain || peer % 4 == own % 4);
        *load.entry(peer).or_insert(0) += 1;
    }
    assert!(load.values().all(|n| *n <= 100), "{load:?}");
}

#[test]
fn a_failed_reader_is_not_selected_for_a_while() {
    let catalogue = fleet(9);
    let own = (1..=9)
        .find(|n| selected(&catalogue, *n).is_some())
        .unwrap();
    let mut selector = PeerSelector::new(VmId(own), domain(own % 4));
    let first = selector.select_peer(NOW, &catalogue).unwrap().member.vm;
    selector.suspect(NOW, first);
    let second = selector.select_peer(NOW, &catalogue).map(|vm| vm.member.vm);
    assert_ne!(second, Some(first));
    let later = NOW + Ms(5000);
    let again = selector
        .select_peer(later, &catalogue)
        .map(|vm| vm.member.vm);
    assert_eq!(again, Some(first));
}

#[test]
fn a_vm_reads_the_store_itself_when_all_others_fail() {
    let catalogue = fleet(9);
    for own in 1..=9 {
        let mut selector = PeerSelector::new(VmId(own), domain(own % 4));
        for n in 1..=9 {
            if n != own {
                selector.suspect(NOW, VmId(n));
            }
        }
        assert!(selector.select_peer(NOW, &catalogue).is_none());
    }
}

#[test]
fn each_vm_is_monitored_by_exactly_one_other() {
    let catalogue = fleet(9);
    let mut monitored: Vec<u32> = (1..=9)
        .map(|n| successor(VmId(n), &catalogue).unwrap().member.vm.0)
        .collect();
    monitored.sort_unstable();
    assert_eq!(monitored, [1, 2, 3, 4, 5, 6, 7, 8, 9]);
    assert!(successor(VmId(1), &fleet(1)).is_none());
}
