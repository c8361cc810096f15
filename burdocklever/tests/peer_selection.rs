//! Which VMs read the store, and which peer the others poll.

use std::collections::BTreeMap;

use burdocklever::{
    position, reads_for_itself, start_probability, LinkRate, Peer, Position, Staleness,
};
use wire::{DomainId, Incarnation, Member, VmId};

fn domain(n: u32, domains: u32) -> DomainId {
    format!("domain-{}", n % domains).parse().unwrap()
}

/// A fleet in which one VM in seven has a fast link.
fn fleet(size: u32, domains: u32) -> Vec<Peer> {
    let peer = |n: u32| Peer {
        member: Member {
            vm: VmId(n),
            incarnation: Incarnation(1),
        },
        domain: domain(n, domains),
        address: wire::Address::from(([10, 0, (n >> 8) as u8, n as u8], 1)),
        link: LinkRate(if n % 7 == 1 { 200 } else { 20 }),
    };
    (1..=size).map(peer).collect()
}

/// Position of VM `own` if it does not use the VMs in `avoided`.
fn place(fleet: &[Peer], own: u32, avoided: &[u32]) -> Position {
    let is_own = |p: &&Peer| p.member.vm.0 == own;
    let usable: Vec<Peer> = fleet
        .iter()
        .filter(|p| !is_own(p) && !avoided.contains(&p.member.vm.0))
        .cloned()
        .collect();
    position(fleet.iter().find(is_own).unwrap(), &usable)
}

#[test]
fn the_number_of_store_readers_does_not_grow_with_the_fleet() {
    for (size, domains, expected) in [(1, 1, 1), (9, 4, 2), (195, 6, 2), (1000, 16, 2)] {
        let fleet = fleet(size, domains);
        let readers = (1..=size).filter(|n| place(&fleet, *n, &[]).is_reader());
        assert_eq!(readers.count(), expected, "fleet of {size}");
    }
}

#[test]
fn every_vm_is_polled_by_a_bounded_number_and_reaches_a_reader() {
    for (size, domains) in [(9, 4), (195, 6), (1000, 16)] {
        let fleet = fleet(size, domains);
        let parents: BTreeMap<u32, Option<u32>> = (1..=size)
            .map(|n| {
                let parent = place(&fleet, n, &[]).parent;
                (n, parent.map(|p| p.member.vm.0))
            })
            .collect();
        let mut load: BTreeMap<u32, u32> = BTreeMap::new();
        for parent in parents.values().flatten() {
            *load.entry(*parent).or_default() += 1;
        }
        // 32 of the own failure domain, and the roots of the others.
        assert!(load.values().all(|n| *n < 32 + domains), "{load:?}");
        for mut vm in 1..=size {
            let mut hops = 0;
            while let Some(parent) = parents[&vm] {
                vm = parent;
                hops += 1;
                assert!(hops <= 4, "fleet of {size}: no reader above VM {vm}");
            }
        }
    }
}

#[test]
fn children_are_those_that_poll_a_vm() {
    let fleet = fleet(195, 6);
    for own in 1..=195 {
        let children = place(&fleet, own, &[]).children;
        let polling = (1..=195).filter(|n| {
            let parent = place(&fleet, *n, &[]).parent;
            let same_domain = (n % 6) == (own % 6);
            same_domain && parent.is_some_and(|p| p.member.vm.0 == own)
        });
        let mut children: Vec<u32> = children.iter().map(|vm| vm.0).collect();
        children.sort_unstable();
        assert_eq!(children, polling.collect::<Vec<u32>>(), "VM {own}");
    }
}

#[test]
fn vms_with_fast_links_serve_the_others() {
    let fleet = fleet(195, 6);
    for own in 1..=195 {
        if let Some(parent) = place(&fleet, own, &[]).parent {
            assert_eq!(parent.link, LinkRate(200), "VM {own}");
        }
    }
}

#[test]
fn a_vm_that_no_other_answers_ends_as_a_store_reader() {
    let fleet = fleet(61, 4);
    for own in [1, 7, 33, 61] {
        assert_eq!(place(&fleet, own, &[]).peers().count(), 60);
        let mut avoided = Vec::new();
        while let Some(parent) = place(&fleet, own, &avoided).parent {
            avoided.push(parent.member.vm.0);
            assert!(avoided.len() < 61);
        }
    }
}

const FRESH: Staleness = Staleness {
    age: 50,
    peer_age: 50,
    isolated: false,
    reading: false,
};

/// Load: the store refuses both readers while it serves others.
#[test]
fn vms_of_a_domain_turn_to_the_store_one_after_the_other() {
    let reading = |age| {
        let stale = Staleness { age, ..FRESH };
        (0..40)
            .filter(|rank| reads_for_itself(*rank, stale))
            .count()
    };
    let counts: Vec<usize> = [60, 70, 78, 86, 100, 130, 1000].map(reading).into();
    assert_eq!(counts, [0, 1, 2, 3, 4, 6, 6]);
}

#[test]
fn an_isolated_vm_reads_the_store_whatever_its_rank() {
    let isolated = Staleness {
        age: 70,
        isolated: true,
        ..FRESH
    };
    assert!(reads_for_itself(30, isolated));
    assert!(!reads_for_itself(
        30,
        Staleness {
            age: 69,
            ..isolated
        }
    ));
}

#[test]
fn a_vm_reads_the_store_until_a_peer_answers_with_fresh_knowledge() {
    let reading = Staleness {
        age: 0,
        reading: true,
        ..FRESH
    };
    assert!(reads_for_itself(
        0,
        Staleness {
            peer_age: 41,
            ..reading
        }
    ));
    assert!(!reads_for_itself(
        0,
        Staleness {
            peer_age: 40,
            ..reading
        }
    ));
    assert!(reads_for_itself(
        0,
        Staleness {
            peer_age: u64::MAX,
            ..reading
        }
    ));
}

/// Load: a fleet starts at once, and no VM that it knows is left.
#[test]
fn few_vms_read_at_first_and_all_do_in_the_end() {
    for (vms, steps) in [(1, 0), (6, 0), (33, 3), (325, 6)] {
        assert!(start_probability(vms, 0) * f64::from(vms) <= 6.0 + 1e-9);
        assert!(start_probability(vms, steps) >= 1.0, "{vms} VMs");
    }
}
