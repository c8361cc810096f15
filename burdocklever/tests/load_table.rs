//! Encoding of shared load, its budget, and its way through a fleet.

use std::collections::{BTreeMap, BTreeSet};

use burdocklever::{
    shares_load, DomainKey, LoadBudget, LoadPart, LoadReport, LoadTable, LoadTarget, Ms,
    PackedLoad, Recipient, RequestRate, SharedLoad, TargetList, TargetLoad, Time, Token,
    LOAD_MAX_AGE,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{Incarnation, Member, VmId};

const START: Time = Time(1_000_000);
const DOMAINS: u32 = 3;

fn load(rng: &mut ChaCha8Rng) -> TargetLoad {
    let samples = rng.random_range(0..100u32);
    TargetLoad {
        rate: RequestRate(rng.random_range(0..=200_000) >> rng.random_range(0..18)),
        response_time: Ms(if samples == 0 {
            0
        } else {
            rng.random_range(1..50_000)
        }),
        samples,
        flows: rng.random_range(0..10_000) >> rng.random_range(0..14),
        unanswered: RequestRate(rng.random_range(0..3) * rng.random_range(0..1000)),
        age: Ms(rng.random_range(0..6000)),
    }
}

fn tokens(count: u32) -> Vec<Token> {
    (1..=count).map(Token).collect()
}

fn report(rng: &mut ChaCha8Rng, count: u32) -> LoadReport {
    let part = |domain| LoadPart {
        domain: DomainKey(domain),
        vms: 23,
        age: Ms(800),
        complete: true,
        entries: Vec::new(),
    };
    let mut parts: Vec<LoadPart> = (0..2).map(part).collect();
    for token in tokens(count) {
        if rng.random_bool(0.8) {
            parts[token.0 as usize % 2].entries.push((token, load(rng)));
        }
    }
    LoadReport { sequence: 7, parts }
}

/// Guards against figures that arrive larger, fresher or at another target.
#[test]
fn figures_survive_packing() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let list = TargetList::new(tokens(60));
    for known in [None, Some(list.fingerprint())] {
        let sent = report(&mut rng, 60);
        let read = PackedLoad::pack(&sent, &list, known).unpack(&list).unwrap();
        assert_eq!((read.refused, read.report.sequence), (0, 7));
        for (old, new) in sent.parts.iter().zip(&read.report.parts) {
            assert_eq!(
                (old.domain, old.vms, old.complete),
                (new.domain, new.vms, new.complete)
            );
            assert_eq!(old.entries.len(), new.entries.len());
            for ((token, a), (other, b)) in old.entries.iter().zip(&new.entries) {
                let close = |a: u64, b: u64| a.abs_diff(b) * 100 <= a * 6 + 60;
                assert_eq!(token, other);
                assert!(close(a.rate.0.into(), b.rate.0.into()), "{a:?} {b:?}");
                assert!(close(a.response_time.0, b.response_time.0), "{a:?} {b:?}");
                assert!(b.samples <= a.samples && b.flows <= a.flows);
                assert_eq!(
                    (b.samples >= 8, b.unanswered),
                    (a.samples >= 8, a.unanswered)
                );
                assert!((a.age..a.age + Ms(400)).contains(&b.age), "{a:?} {b:?}");
            }
        }
        // Packing what was read gives the same again.
        let again = PackedLoad::pack(&read.report, &list, known)
            .unpack(&list)
            .unwrap();
        assert_eq!(again, read);
    }
}

/// Guards against panics, allocation without bound and impossible figures.
#[test]
fn malformed_reports_are_refused() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let list = TargetList::new(tokens(60));
    let good = PackedLoad::pack(&report(&mut rng, 60), &list, Some(list.fingerprint()));
    for len in 0..good.0.len() {
        let cut = PackedLoad(good.0[..len].to_vec()).unpack(&list);
        assert!(cut.is_none_or(|u| u.refused > 0), "{len} bytes");
    }
    for _ in 0..20_000 {
        let mut bytes = good.0.clone();
        for _ in 0..rng.random_range(1..4) {
            let i = rng.random_range(0..bytes.len());
            bytes[i] = rng.random();
        }
        let Some(read) = PackedLoad(bytes).unpack(&list) else {
            continue;
        };
        for (_, load) in read.report.parts.iter().flat_map(|p| &p.entries) {
            assert!(
                load.rate.max(load.unanswered) <= RequestRate(200_000),
                "{load:?}"
            );
        }
    }
    let other = TargetList::new(tokens(61));
    let read = good.unpack(&other).unwrap();
    assert!(
        read.report.parts.is_empty() && read.refused > 0,
        "another list of targets"
    );
}

/// VMs of three failure domains whose messages all arrive. VM n is in domain n % 3, and
/// the first of each is its root.
struct Fleet {
    now: Time,
    tables: BTreeMap<u32, LoadTable>,
    incarnation: u64,
    /// Bytes that each VM sent, with their time.
    sent: BTreeMap<u32, Vec<(Time, usize)>>,
}

fn domain_of(vm: u32) -> DomainKey {
    DomainKey(vm % DOMAINS + 1)
}

fn load_targets(count: u32) -> Vec<LoadTarget> {
    let target = |n: u32| LoadTarget {
        domain: domain_of(n),
        service: u64::from(n % 5 / 4),
        token: Token(n.wrapping_mul(0x9e37_79b1)),
    };
    (1..=count).map(target).collect()
}

impl Fleet {
    fn new(vms: u32, targets: u32, budget: LoadBudget) -> Fleet {
        let table = |vm: u32| {
            let mut table = LoadTable::new(domain_of(vm), budget);
            table.set_targets(load_targets(targets));
            table.set_root(vm < DOMAINS);
            (vm, table)
        };
        Fleet {
            now: START,
            tables: (0..vms).map(table).collect(),
            incarnation: 1,
            sent: BTreeMap::new(),
        }
    }

    fn send(&mut self, from: u32, to: u32, recipient: Recipient) -> bool {
        let table = self.tables.get_mut(&from).unwrap();
        let Some(packed) = table.report(self.now, VmId(to), recipient) else {
            return false;
        };
        let member = Member {
            vm: VmId(from),
            incarnation: Incarnation(self.incarnation),
        };
        let sent = self.sent.entry(from).or_default();
        sent.push((self.now, packed.0.len() + 3));
        let table = self.tables.get_mut(&to).unwrap();
        assert!(table.accept(self.now, member, domain_of(from), &packed));
        true
    }

    /// Lets a second pass in ten steps, in which each VM polls the one above it about
    /// once, and each root another one. Polls across `cut` are lost.
    fn second(&mut self, turn: u32, cut: impl Fn(u32, u32) -> bool) {
        let vms: Vec<u32> = self.tables.keys().copied().collect();
        for step in 0..10 {
            self.now = self.now + Ms(100);
            for vm in vms.iter().copied().filter(|vm| vm / DOMAINS % 10 == step) {
                let root = vm % DOMAINS;
                let (to, recipient) = match vm == root {
                    true => ((vm + 1 + turn % 2) % DOMAINS, Recipient::Root),
                    false => (root, Recipient::Parent),
                };
                if vms.contains(&to) && !cut(vm, to) {
                    assert!(self.send(vm, to, recipient));
                    self.send(to, vm, Recipient::Requester(domain_of(vm)));
                }
            }
        }
    }

    fn set_all(&mut self, targets: u32, rate: impl Fn(u32, usize) -> u32) {
        for (vm, table) in &mut self.tables {
            let load = |(n, target): (usize, LoadTarget)| {
                let load = TargetLoad {
                    rate: RequestRate(rate(*vm, n)),
                    response_time: Ms(100 + n as u64 % 90),
                    samples: 40,
                    flows: 30,
                    ..TargetLoad::default()
                };
                (target.domain == domain_of(*vm)).then_some((target.token, load))
            };
            let all = load_targets(targets).into_iter().enumerate();
            table.set_own(self.now, all.filter_map(load).collect());
        }
    }

    fn shared(&mut self, vm: u32) -> SharedLoad {
        let now = self.now;
        self.tables.get_mut(&vm).unwrap().shared(now)
    }

    /// Most bytes that a VM sent in any second.
    fn busiest_second(&self) -> usize {
        let second = |all: &[(Time, usize)], at: Time| -> usize {
            let within = all.iter().filter(|(t, _)| *t >= at && *t < at + Ms(1000));
            within.map(|(_, bytes)| bytes).sum()
        };
        let all = self.sent.values();
        let seconds = all.flat_map(|v| v.iter().map(|(at, _)| second(v, *at)));
        seconds.max().unwrap_or(0)
    }
}

/// Guards against VMs that never agree: 69 VMs, of which 12 in two halves that meet again.
#[test]
fn all_vms_learn_the_sums_and_two_halves_meet() {
    let mut fleet = Fleet::new(69, 150, LoadBudget::MAX);
    let cut = |a: u32, b: u32| a.is_multiple_of(DOMAINS) != b.is_multiple_of(DOMAINS);
    for turn in 0..24 {
        fleet.set_all(150, |_, _| 100);
        fleet.second(turn, |a, b| turn < 12 && cut(a, b));
        if turn == 11 {
            assert_eq!((fleet.shared(0).vms, fleet.shared(1).vms), (23, 46));
        }
    }
    for vm in 0..69 {
        let shared = fleet.shared(vm);
        assert_eq!((shared.vms, shared.targets.len()), (69, 150), "VM {vm}");
        for load in shared.targets.values() {
            let off = load.rate.0.abs_diff(2300);
            assert!(off * 10 < 2300 && load.age < Ms(4000), "VM {vm}: {load:?}");
        }
    }
    fleet.now = fleet.now + LOAD_MAX_AGE;
    assert!(
        fleet.shared(0).targets.is_empty(),
        "figures that are too old"
    );
}

/// Has a root tell its children of the targets of its failure domain for some seconds.
/// Returns the most bytes in a second, and the seconds until one child had been told of
/// every target.
fn spend(children: u32, targets: u32, budget: LoadBudget, seconds: u32) -> (usize, Option<u32>) {
    let mut fleet = Fleet::new(DOMAINS * (children + 1), DOMAINS * targets, budget);
    fleet.tables.retain(|vm, _| vm % DOMAINS == 0);
    // The first second's budget is spent on the first to ask.
    for turn in 0..10 {
        fleet.second(turn, |_, _| false);
    }
    let mut told: BTreeSet<Token> = BTreeSet::new();
    for turn in 1..=seconds {
        fleet.set_all(DOMAINS * targets, |vm, n| {
            1000 * u32::from(vm == 0) + n as u32 % 7 * 50
        });
        fleet.second(turn, |_, _| false);
        told.extend(fleet.shared(DOMAINS * children).targets.keys());
        if told.len() as u32 == targets {
            return (fleet.busiest_second(), Some(turn));
        }
    }
    (fleet.busiest_second(), None)
}

/// Guards against a parent that exceeds its budget, and entries that never get a turn.
/// The limits are 3.5 bytes for each entry, doubled, since half of the space goes to
/// entries that differ, over the share of a child without headers, and a tenth more.
#[test]
fn reports_stay_within_the_budget_and_every_entry_has_its_turn() {
    let cases = [
        (22, 150, LoadBudget::default(), 8),
        (32, 150, LoadBudget::default(), 12),
        (32, 1900, LoadBudget(7000), 90),
    ];
    for (children, targets, budget, limit) in cases {
        let (bytes, covered) = spend(children, targets, budget, limit);
        println!("{children} children, {targets} targets: {bytes} bytes, {covered:?} s");
        assert!(bytes <= budget.0 as usize, "{bytes} bytes in a second");
        assert!(covered.is_some(), "{targets} targets, {children} children");
    }
}

/// Guards against two VMs that each take the other for their parent and count each other
/// in circles.
#[test]
fn a_parent_does_not_get_its_own_figures_back() {
    let mut fleet = Fleet::new(6, 3, LoadBudget::MAX);
    fleet.set_all(3, |_, _| 1000);
    for _ in 0..20 {
        assert!(fleet.send(0, 3, Recipient::Parent) && fleet.send(3, 0, Recipient::Parent));
        fleet.now = fleet.now + Ms(200);
    }
    let shared = fleet.shared(0);
    assert_eq!(shared.vms, 2);
    assert!(shared
        .targets
        .values()
        .all(|l| l.rate.0.abs_diff(2000) < 200));
}

#[test]
fn sharing_is_on_by_default_from_twelve_vms() {
    let on = |share: &str, vms| shares_load(share.parse().unwrap(), vms);
    assert_eq!((on("auto", 11), on("auto", 12)), (false, true));
    assert_eq!((on("on", 1), on("off", 300)), (true, false));
    assert!("512".parse::<LoadBudget>().is_ok() && "65536".parse::<LoadBudget>().is_ok());
    assert!("511".parse::<LoadBudget>().is_err() && "65537".parse::<LoadBudget>().is_err());
}
