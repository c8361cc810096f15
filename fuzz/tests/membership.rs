//! Merging of what VMs tell each other about VMs, against a plain oracle, on seeded
//! cases drawn by bolero's generators.

use std::collections::BTreeMap;

use bolero_generator::{driver, produce_with, TypeGenerator, ValueGenerator};
use burdocklever::{Condition, LinkRate, MemberNews, Membership, Ms, Peer, Time};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::{Incarnation, Member, VmId};

/// Cases, and entries that each of them tells.
const CASES: u64 = 300;
const ENTRIES: usize = 120;
/// Bytes that the generators of a case may draw.
const BYTES_MAX: usize = 4096;
/// Number of the VM under test. The others are numbered from 1.
const OWN: u32 = 0;
const VMS: u8 = 12;

/// What a VM is told of another.
#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Told {
    vm: u8,
    incarnation: u8,
    refutations: u8,
    condition: u8,
}

fn peer(vm: u32, incarnation: u64) -> Peer {
    Peer {
        member: Member {
            vm: VmId(vm),
            incarnation: Incarnation(incarnation),
        },
        domain: "accra".parse().unwrap(),
        address: wire::Address::from(([10, 0, 0, vm as u8], 1)),
        link: LinkRate(20),
    }
}

impl Told {
    fn news(self) -> MemberNews {
        MemberNews {
            peer: peer(
                u32::from(self.vm % VMS) + 1,
                u64::from(self.incarnation % 4),
            ),
            refutations: u32::from(self.refutations % 3),
            condition: match self.condition % 3 {
                0 => Condition::Alive,
                1 => Condition::Suspect,
                _ => Condition::Gone,
            },
        }
    }
}

fn cases() -> impl Iterator<Item = (u64, Vec<MemberNews>)> {
    (0..CASES).map(|seed| {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let options = driver::Options::default().with_max_len(BYTES_MAX);
        let mut source = driver::Rng::new(rng, &options);
        let told = produce_with::<Vec<Told>>().len(ENTRIES..=ENTRIES);
        let told = told.generate(&mut source).expect("enough bytes");
        (seed, told.into_iter().map(Told::news).collect())
    })
}

const NOW: Time = Time(1_000_000);

/// Entries that a VM ends with.
fn merged(news: &[MemberNews]) -> BTreeMap<VmId, MemberNews> {
    let mut members = Membership::new(peer(OWN, 1));
    for one in news {
        members.merge(NOW, None, one.clone());
    }
    let entries = members.news_since(0, None).into_iter();
    entries
        .map(|n| (n.peer.member.vm, n))
        .filter(|(vm, _)| vm.0 != OWN)
        .collect()
}

/// The highest entry of each VM. An entry that says that an unknown VM is gone is
/// not kept, so a VM that was only ever told to be gone is left out.
fn oracle(news: &[MemberNews]) -> BTreeMap<VmId, MemberNews> {
    let order = |n: &MemberNews| (n.peer.member.incarnation, n.refutations, n.condition);
    let mut highest: BTreeMap<VmId, MemberNews> = BTreeMap::new();
    for one in news {
        let vm = one.peer.member.vm;
        let known = highest.get(&vm);
        if known.is_none_or(|k| order(k) < order(one)) {
            highest.insert(vm, one.clone());
        }
    }
    highest
}

#[test]
fn order_and_repetition_do_not_matter() {
    let mut checked = 0;
    for (seed, mut news) in cases() {
        // Every VM is known before anything else is told of it.
        let first = (1..=u32::from(VMS)).map(|vm| MemberNews {
            peer: peer(vm, 0),
            refutations: 0,
            condition: Condition::Alive,
        });
        let first: Vec<MemberNews> = first.collect();
        let expected = oracle(&[first.clone(), news.clone()].concat());
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..3 {
            news.shuffle(&mut rng);
            let twice = [first.clone(), news.clone(), news.clone()].concat();
            assert_eq!(merged(&twice), expected, "seed {seed}");
            checked += news.len();
        }
    }
    assert!(checked > 100_000, "only {checked} entries");
}

/// Whatever is said of a VM, it refutes with one entry that outranks all of it.
#[test]
fn a_running_vm_outranks_whatever_is_said_of_it() {
    for (seed, news) in cases() {
        let mut members = Membership::new(peer(OWN, 1));
        for one in news {
            let incarnation = one.peer.member.incarnation.0;
            let said = MemberNews {
                peer: peer(OWN, incarnation),
                ..one
            };
            members.merge(NOW, None, said.clone());
            let own = members.own_news();
            assert_eq!(own.condition, Condition::Alive, "seed {seed}");
            let order = |n: &MemberNews| (n.peer.member.incarnation, n.refutations, n.condition);
            assert!(order(&own) >= order(&said), "seed {seed}: {said:?}");
        }
    }
}

/// No entry that was gone for long stays, and no live one is dropped.
#[test]
fn only_gone_vms_are_forgotten() {
    for (seed, news) in cases() {
        let mut members = Membership::new(peer(OWN, 1));
        for one in &news {
            members.merge(NOW, None, one.clone());
        }
        let live = |m: &Membership| {
            let entries = m.news_since(0, None).into_iter();
            let live = entries.filter(|n| n.condition == Condition::Alive);
            live.map(|n| n.peer.member.vm).collect::<Vec<VmId>>()
        };
        let before = live(&members);
        members.expire(NOW + Ms(300_000));
        assert_eq!(live(&members), before, "seed {seed}");
        assert_eq!(members.gone().count(), 0, "seed {seed}");
    }
}
