//! Shared load against a plain oracle, on seeded cases drawn by bolero's generators.
//! Messages are lost, doubled, late and out of order; VMs restart and send nonsense.

use std::collections::BTreeMap;

use bolero_generator::{driver, produce_with, TypeGenerator, ValueGenerator};
use burdocklever::{
    DomainKey, LoadBudget, LoadReport, LoadTable, LoadTarget, Ms, PackedLoad, Recipient,
    RequestRate, SharedLoad, TargetList, TargetLoad, Time, Token, LOAD_MAX_AGE,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::{Incarnation, Member, VmId};

const CASES: u64 = 300;
const STEPS: usize = 150;
const BYTES_MAX: usize = 16_384;
const TARGETS: u32 = 6;
const HOME: DomainKey = DomainKey(1);
const AWAY: DomainKey = DomainKey(2);
/// The VM under test is the root of its failure domain. VMs 1 to 3 are below it, VM 4 is
/// the root of the other one.
const VMS: usize = 5;
const BUDGET: LoadBudget = LoadBudget::MAX;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Load {
        vm: u8,
        target: u8,
        rate: u16,
        samples: u8,
        unanswered: u8,
    },
    Send {
        vm: u8,
    },
    Deliver {
        message: u8,
        keep: bool,
    },
    Lose {
        message: u8,
    },
    Restart {
        vm: u8,
    },
    Wait {
        ms: u16,
    },
    Nonsense {
        vm: u8,
        bytes: [u8; 24],
    },
}

/// Ways in which the table is used wrongly, each as if a rule were left out of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A report is added to the earlier ones instead of replacing them.
    Added,
    /// Figures do not expire.
    Ageless,
    /// An older report replaces a newer one.
    OldOverNew,
    /// A restart is not noticed.
    NoIncarnation,
    /// The age of entries is ignored.
    AlwaysFresh,
}

fn targets() -> Vec<LoadTarget> {
    let target = |n| LoadTarget {
        domain: HOME,
        service: 1,
        token: Token(n),
    };
    (1..=TARGETS).map(target).collect()
}

fn list() -> TargetList {
    TargetList::new((1..=TARGETS).map(Token).collect())
}

fn table(domain: DomainKey, root: bool) -> LoadTable {
    let mut table = LoadTable::new(domain, BUDGET);
    table.set_targets(targets());
    table.set_root(root);
    table
}

fn domain_of(vm: usize) -> DomainKey {
    if vm == VMS - 1 {
        AWAY
    } else {
        HOME
    }
}

/// A report on its way.
#[derive(Debug, Clone)]
struct Message {
    from: Member,
    domain: DomainKey,
    packed: PackedLoad,
}

/// What the VM under test was told, in order, and what it sees itself.
#[derive(Debug, Default)]
struct Oracle {
    told: Vec<(Time, Message)>,
    own: (Time, BTreeMap<Token, TargetLoad>),
}

/// Number of VMs with its time, and figures with theirs.
type Part = (Time, u32, Vec<(Time, Token, TargetLoad)>);

/// Requests, samples, flows and unanswered requests, and the youngest age.
type Total = ([u64; 4], Ms);

impl Oracle {
    /// Reports in the order in which they count: the newest of each VM so far.
    fn accepted(&self) -> Vec<(Time, Member, DomainKey, LoadReport)> {
        let mut newest: BTreeMap<VmId, (Incarnation, u64)> = BTreeMap::new();
        let mut accepted = Vec::new();
        for (at, message) in &self.told {
            let Some(read) = message.packed.unpack(&list()) else {
                continue;
            };
            let number = (message.from.incarnation, read.report.sequence);
            let known = newest.get(&message.from.vm);
            if known.is_none_or(|k| *k < number) {
                newest.insert(message.from.vm, number);
                accepted.push((*at, message.from, message.domain, read.report));
            }
        }
        accepted
    }

    /// The sum over what this VM sees, the last report of each VM below and the newest
    /// sum of the other failure domain.
    fn expected(&self, now: Time) -> (u32, BTreeMap<Token, Total>) {
        let mut parts: BTreeMap<VmId, Part> = BTreeMap::new();
        let own = self
            .own
            .1
            .iter()
            .map(|(t, l)| (self.own.0, *t, *l))
            .collect();
        parts.insert(VmId(0), (self.own.0, 1, own));
        let mut runs: BTreeMap<VmId, Incarnation> = BTreeMap::new();
        for (at, from, domain, report) in self.accepted() {
            // A restart voids what an earlier run reported of its subtree.
            let run = runs.insert(from.vm, from.incarnation);
            if domain == HOME && run.is_some_and(|r| r != from.incarnation) {
                parts.remove(&from.vm);
            }
            let dated = |age: Ms| Time(at.0 - age.0);
            for part in report.parts {
                let entries = part.entries.iter().map(|(t, l)| (dated(l.age), *t, *l));
                let vms = (dated(part.age), part.vms);
                match (part.domain, domain == HOME) {
                    (DomainKey::SUBTREE, true) => {
                        assert!(part.complete);
                        parts.insert(from.vm, (vms.0, vms.1, entries.collect()));
                    }
                    (AWAY, false) => {
                        let sum = parts.entry(VmId(4)).or_default();
                        (sum.0, sum.1) = (sum.0, sum.1).max(vms);
                        for entry in entries {
                            let old = sum.2.iter().position(|e| e.1 == entry.1);
                            match old {
                                Some(n) if order(&sum.2[n]) < order(&entry) => sum.2[n] = entry,
                                Some(_) => {}
                                None => sum.2.push(entry),
                            }
                        }
                    }
                    _ => {}
                }
            }
        }
        let fresh = |at: Time| now.since(at) < LOAD_MAX_AGE;
        let vms = parts.values().filter(|p| fresh(p.0)).map(|p| p.1).sum();
        let mut totals: BTreeMap<Token, Total> = BTreeMap::new();
        for (at, token, load) in parts.into_values().flat_map(|p| p.2) {
            if !fresh(at) {
                continue;
            }
            let (sum, age) = totals.entry(token).or_insert(([0; 4], LOAD_MAX_AGE));
            let counts = [load.rate.0, load.samples, load.flows, load.unanswered.0];
            sum.iter_mut()
                .zip(counts)
                .for_each(|(s, n)| *s += u64::from(n));
            *age = now.since(at).min(*age);
        }
        (vms, totals)
    }
}

/// Order of entries of one target: the newest, or the greater of the same time.
fn order((at, _, load): &(Time, Token, TargetLoad)) -> (Time, [u64; 5]) {
    let counts = [load.samples, load.flows, load.unanswered.0].map(u64::from);
    let [samples, flows, unanswered] = counts;
    let rate = load.rate.0.into();
    (
        *at,
        [rate, samples, flows, unanswered, load.response_time.0],
    )
}

/// Whether the table's result is the oracle's. Zeros stand for targets that no VM sees
/// any more, so they count as absent.
fn agrees(shared: &SharedLoad, expected: &(u32, BTreeMap<Token, Total>)) -> bool {
    let counts = |l: &TargetLoad| [l.rate.0, l.samples, l.flows, l.unanswered.0].map(u64::from);
    let nonzero = |sum: &[u64; 4]| *sum != [0; 4];
    let found = shared
        .targets
        .iter()
        .filter(|(_, l)| nonzero(&counts(l)))
        .count();
    let wanted = expected.1.iter().filter(|(_, (sum, _))| nonzero(sum));
    shared.vms == expected.0
        && wanted.clone().count() == found
        && wanted.clone().all(|(token, (sum, age))| {
            let load = shared.targets.get(token);
            load.is_some_and(|l| counts(l) == *sum && l.age >= *age)
        })
}

/// Plays a case. Returns the step at which table and oracle first differ.
fn play(steps: &[Step], fault: Fault) -> Option<usize> {
    let mut now = Time(1_000_000);
    let mut last_told = now;
    let mut tables: Vec<LoadTable> = (0..VMS)
        .map(|vm| table(domain_of(vm), vm == 0 || domain_of(vm) == AWAY))
        .collect();
    let mut incarnations = [1u64; VMS];
    let mut own: Vec<BTreeMap<Token, TargetLoad>> = vec![BTreeMap::new(); VMS];
    let mut under_way: Vec<Message> = Vec::new();
    let mut oracle = Oracle::default();
    for (n, step) in steps.iter().enumerate() {
        let other = |vm: u8| 1 + vm as usize % (VMS - 1);
        let message = |vm: usize, packed: PackedLoad, incarnations: &[u64; VMS]| Message {
            from: Member {
                vm: VmId(vm as u32),
                incarnation: Incarnation(incarnations[vm]),
            },
            domain: domain_of(vm),
            packed,
        };
        let mut told = None;
        match *step {
            Step::Load {
                vm,
                target,
                rate,
                samples,
                unanswered,
            } => {
                let vm = vm as usize % VMS;
                let load = TargetLoad {
                    rate: RequestRate(rate.into()),
                    response_time: Ms(u64::from(samples) * 3),
                    samples: samples.into(),
                    flows: u32::from(rate) / 100,
                    unanswered: RequestRate(unanswered.into()),
                    age: Ms(0),
                };
                let token = Token(1 + u32::from(target) % TARGETS);
                match rate % 4 {
                    0 => own[vm].remove(&token),
                    _ => own[vm].insert(token, load),
                };
                tables[vm].set_own(now, own[vm].iter().map(|(t, l)| (*t, *l)).collect());
                if vm == 0 {
                    oracle.own = (now, own[0].clone());
                }
            }
            Step::Send { vm } => {
                let vm = other(vm);
                let recipient = match domain_of(vm) {
                    HOME => Recipient::Parent,
                    _ => Recipient::Root,
                };
                tables[vm].shared(now);
                let packed = tables[vm].report(now, VmId(0), recipient).unwrap();
                under_way.push(message(vm, packed, &incarnations));
            }
            Step::Deliver { message, keep } if !under_way.is_empty() => {
                let i = message as usize % under_way.len();
                told = Some(under_way[i].clone());
                if !keep {
                    under_way.remove(i);
                }
            }
            Step::Lose { message } if !under_way.is_empty() => {
                under_way.remove(message as usize % under_way.len());
            }
            Step::Deliver { .. } | Step::Lose { .. } => {}
            Step::Restart { vm } => {
                let vm = other(vm);
                incarnations[vm] += 1;
                own[vm].clear();
                tables[vm] = table(domain_of(vm), domain_of(vm) == AWAY);
            }
            Step::Wait { ms } => now = now + Ms(u64::from(ms) % 2000),
            Step::Nonsense { vm, bytes } => {
                told = Some(message(
                    other(vm),
                    PackedLoad(bytes.to_vec()),
                    &incarnations,
                ));
            }
        }
        if let Some(mut message) = told {
            let readable = message.packed.unpack(&list());
            let honest = readable.is_some_and(|u| u.refused == 0);
            // Nonsense that happens to be a report counts as one only in part.
            if honest || !matches!(step, Step::Nonsense { .. }) {
                oracle.told.push((now, message.clone()));
            } else {
                message.domain = DomainKey(9);
                message.from.vm = VmId(99);
            }
            last_told = now;
            deliver(&mut tables[0], now, n, message, fault);
        }
        let at = if fault == Fault::Ageless {
            last_told
        } else {
            now
        };
        if !agrees(&tables[0].shared(at), &oracle.expected(now)) {
            return Some(n);
        }
    }
    None
}

fn deliver(table: &mut LoadTable, now: Time, n: usize, mut message: Message, fault: Fault) {
    let mut report = message.packed.unpack(&list()).map(|u| u.report);
    match (fault, &mut report) {
        (Fault::Added, _) => message.from.vm = VmId(1000 + n as u32),
        (Fault::NoIncarnation, _) => message.from.incarnation = Incarnation(1),
        (Fault::OldOverNew, Some(report)) => report.sequence = n as u64 + 1,
        (Fault::AlwaysFresh, Some(report)) => {
            let entries = report.parts.iter_mut().flat_map(|p| &mut p.entries);
            entries.for_each(|(_, load)| load.age = Ms(0));
        }
        _ => {}
    }
    if let (Fault::OldOverNew | Fault::AlwaysFresh, Some(report)) = (fault, &report) {
        message.packed = PackedLoad::pack(report, &list(), None);
    }
    table.accept(now, message.from, message.domain, &message.packed);
}

fn cases() -> impl Iterator<Item = (u64, Vec<Step>)> {
    (0..CASES).map(|seed| {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let options = driver::Options::default().with_max_len(BYTES_MAX);
        let mut source = driver::Rng::new(rng, &options);
        let steps = produce_with::<Vec<Step>>().len(STEPS..=STEPS);
        (seed, steps.generate(&mut source).expect("enough bytes"))
    })
}

/// Guards against sums that count a request twice, miss one, or keep an old one.
#[test]
fn sums_are_those_of_the_last_reports() {
    for (seed, steps) in cases() {
        let differs = play(&steps, Fault::None);
        assert_eq!(differs, None, "seed {seed} differs after this step");
    }
}

/// Guards against an oracle that would not notice a missing rule.
#[test]
fn the_oracle_finds_every_fault() {
    let faults = [
        Fault::Added,
        Fault::Ageless,
        Fault::OldOverNew,
        Fault::NoIncarnation,
        Fault::AlwaysFresh,
    ];
    for fault in faults {
        let found = cases()
            .filter(|(_, steps)| play(steps, fault).is_some())
            .count();
        assert!(found > 10, "{fault:?} found in {found} of {CASES} cases");
    }
}
