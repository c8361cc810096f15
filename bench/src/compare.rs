//! Comparisons with simple baselines, on fixed seeds.

use std::collections::BTreeMap;

use burdocklever::{score, Mark};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{DomainState, HostId, Lifecycle};

use crate::fleet::{flow_key, Fleet, Plan};
use crate::output::{csv, Result};

const SEEDS: std::ops::Range<u64> = 0..10;
const FLOWS: u64 = 10_000;
/// Flows opened in one millisecond.
const FLOWS_PER_MS: u64 = 2;
/// Requests a second in the run with a failure domain out.
const RATE: u64 = 800;

/// One measured value over all seeds.
struct Row {
    name: String,
    values: Vec<f64>,
}

impl Row {
    fn line(&self) -> String {
        let mean = self.values.iter().sum::<f64>() / self.values.len().max(1) as f64;
        let least = self.values.iter().copied().fold(f64::MAX, f64::min);
        let most = self.values.iter().copied().fold(f64::MIN, f64::max);
        format!("{},{mean:.4},{least:.4},{most:.4}", self.name)
    }
}

/// Rows by name, in the order of their first value.
#[derive(Default)]
struct Table(Vec<Row>);

impl Table {
    fn add(&mut self, name: &str, value: f64) {
        match self.0.iter_mut().find(|r| r.name == name) {
            Some(row) => row.values.push(value),
            None => self.0.push(Row {
                name: name.into(),
                values: vec![value],
            }),
        }
    }
}

/// Runs all comparisons.
pub(crate) fn run() -> Result<()> {
    let mut table = Table::default();
    for seed in SEEDS {
        balance(seed, &mut table);
        deaths(seed, &mut table);
        domain_out(seed, &mut table);
    }
    let rows: Vec<String> = table.0.iter().map(Row::line).collect();
    let header = "measure,mean,least,most";
    println!("{header}\n{}", rows.join("\n"));
    csv("compare", header, &rows)
}

/// Busiest target against the mean.
fn imbalance(counts: impl Iterator<Item = HostId>, targets: usize) -> f64 {
    let mut by_host: BTreeMap<HostId, u64> = BTreeMap::new();
    let mut all = 0;
    for host in counts {
        *by_host.entry(host).or_default() += 1;
        all += 1;
    }
    let most = by_host.values().max().copied().unwrap_or(0);
    most as f64 * targets as f64 / f64::from(all.max(1))
}

/// Opens flows `range` of a seed through random VMs.
fn open_flows(fleet: &mut Fleet, rng: &mut ChaCha8Rng, seed: u64, range: std::ops::Range<u64>) {
    for n in range {
        let vm = rng.random_range(0..fleet.vms());
        fleet.packet(vm, flow(seed, n), Mark::First);
        if n % FLOWS_PER_MS == 0 {
            fleet.run_for(1);
        }
    }
    fleet.run_for(1000);
}

fn flow(seed: u64, n: u64) -> u64 {
    seed << 32 | n
}

/// Target of a flow by a stateless hash over some targets.
fn hashed(n: u64, targets: &[u64]) -> HostId {
    let key = flow_key(n).0;
    let best = targets.iter().max_by_key(|t| score(key, **t));
    HostId(best.copied().unwrap_or(0))
}

/// Imbalance at rest, after a target joins, and flows that a join or a drain breaks.
fn balance(seed: u64, table: &mut Table) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = Plan::today();
    let targets: usize = plan.hosts.iter().sum();
    let mut fleet = Fleet::open(&plan);
    open_flows(&mut fleet, &mut rng, seed, 0..FLOWS);
    let ours = imbalance(fleet.flows.values().copied(), targets);
    table.add("imbalance of 10000 flows on 14 targets", ours);
    let ids: Vec<u64> = (1..=targets as u64).collect();
    let hash = imbalance((0..FLOWS).map(|n| hashed(flow(seed, n), &ids)), targets);
    table.add("  baseline: stateless hash, imbalance", hash);
    let random = (0..FLOWS).map(|_| HostId(rng.random_range(0..targets as u64)));
    table.add(
        "  baseline: random choice, imbalance",
        imbalance(random, targets),
    );

    let before = fleet.flows.clone();
    let joined = fleet.add_host(2);
    fleet.sync();
    fleet.run_for(20_000);
    open_flows(&mut fleet, &mut rng, seed, FLOWS..FLOWS + 2000);
    send_later(&mut fleet, &mut rng, seed, 0..FLOWS);
    let moved = before
        .iter()
        .filter(|(key, host)| fleet.flows[key] != **host);
    table.add("flows moved by a target that joins", moved.count() as f64);
    let mut more = ids.clone();
    more.push(joined.0);
    let rehashed =
        (0..FLOWS).filter(|n| hashed(flow(seed, *n), &ids) != hashed(flow(seed, *n), &more));
    table.add("  stateless hash, moved by a join", rehashed.count() as f64);

    let leaving = HostId(1);
    fleet.set_host(leaving, 0, Lifecycle::Leaving);
    fleet.sync();
    fleet.run_for(4000);
    let before = fleet.flows.clone();
    let dropped = fleet.dropped;
    send_later(&mut fleet, &mut rng, seed, 0..FLOWS);
    let moved = before
        .iter()
        .filter(|(key, host)| fleet.flows[key] != **host)
        .count();
    let lost = fleet.dropped - dropped;
    table.add(
        "flows moved or dropped by a target that drains",
        moved as f64 + lost as f64,
    );
    let fewer: Vec<u64> = ids[1..].to_vec();
    let rehashed =
        (0..FLOWS).filter(|n| hashed(flow(seed, *n), &ids) != hashed(flow(seed, *n), &fewer));
    table.add(
        "  stateless hash, moved by a drain",
        rehashed.count() as f64,
    );
    open_flows(&mut fleet, &mut rng, seed, FLOWS + 2000..FLOWS + 4000);
    let flows = fleet.flows.values().copied();
    let staying = flows.filter(|host| *host != leaving);
    table.add(
        "imbalance of 14000 flows after a join and a drain",
        imbalance(staying, targets),
    );
}

/// Sends one more packet of each flow through a random live VM.
fn send_later(fleet: &mut Fleet, rng: &mut ChaCha8Rng, seed: u64, range: std::ops::Range<u64>) {
    for n in range {
        let vm = loop {
            let vm = rng.random_range(0..fleet.vms());
            if fleet.node(vm).is_some() {
                break vm;
            }
        };
        fleet.packet(vm, flow(seed, n), Mark::Later);
        if n % FLOWS_PER_MS == 0 {
            fleet.run_for(1);
        }
    }
    fleet.run_for(1000);
}

/// Flows that break when VMs die without warning.
fn deaths(seed: u64, table: &mut Table) {
    let plan = Plan::today();
    // The two VMs of the second failure domain.
    for (name, dead) in [
        ("one VM's death", vec![3]),
        ("a failure domain's VMs dying", vec![3, 4]),
    ] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::open(&plan);
        open_flows(&mut fleet, &mut rng, seed, 0..FLOWS);
        let before = fleet.flows.clone();
        for vm in &dead {
            fleet.kill(*vm);
        }
        send_later(&mut fleet, &mut rng, seed, 0..FLOWS);
        let gone = fleet.targets_beside(&dead);
        let broken = before
            .iter()
            .filter(|(key, host)| fleet.flows[key] != **host || fleet.lost.contains(key));
        let (near, far): (Vec<_>, Vec<_>) = broken.partition(|(_, host)| gone.contains(host));
        table.add(
            &format!("flows broken by {name}"),
            (near.len() + far.len()) as f64,
        );
        table.add(
            &format!("  of these to targets elsewhere, {name}"),
            far.len() as f64,
        );
    }
}

/// Requests served while a failure domain leaves and returns, against what the
/// survivors bear.
fn domain_out(seed: u64, table: &mut Table) {
    const LENGTH_MS: u64 = 20_000;
    const OUT_MS: u64 = 5000;
    const BACK_MS: u64 = 12_000;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = Plan::today();
    let mut fleet = Fleet::open(&plan);
    for _ in 0..2000 {
        let vm = rng.random_range(0..fleet.vms());
        fleet.request(vm);
        fleet.run_for(3);
    }
    let before = fleet.replies;
    fleet.busiest = 0;
    let mut gap = 0;
    let mut last = fleet.now;
    let mut seen = fleet.replies.answered;
    for ms in 0..LENGTH_MS {
        if ms == OUT_MS {
            fleet.set_domain(0, DomainState::Out);
            fleet.sync();
        }
        if ms == BACK_MS {
            fleet.set_domain(0, DomainState::In);
            fleet.sync();
        }
        if rng.random_range(0..1000) < RATE {
            let vm = rng.random_range(0..fleet.vms());
            fleet.request(vm);
        }
        fleet.run_for(1);
        if fleet.replies.answered > seen {
            gap = gap.max(fleet.now - last);
            last = fleet.now;
            seen = fleet.replies.answered;
        }
    }
    fleet.run_for(2000);
    let answered = (fleet.replies.answered - before.answered) as f64;
    let refused = (fleet.replies.refused - before.refused) as f64;
    let unknown = (fleet.replies.unknown - before.unknown) as f64;
    let all = answered + refused + unknown;
    table.add(
        "share served, failure domain out and back, 800 requests/s",
        answered / all,
    );
    table.add("  requests refused", refused);
    table.add("  requests unknown", unknown);
    table.add("  longest gap between answers, ms", gap as f64);
    table.add(
        "  most requests in progress at one target",
        f64::from(fleet.busiest),
    );
    table.add(
        "  baseline: random choice without a look at load",
        random_share(&mut rng, &plan),
    );
}

/// Share served by a random choice among the targets in service, each refusing
/// what comes over its slots.
fn random_share(rng: &mut ChaCha8Rng, plan: &Plan) -> f64 {
    const LENGTH_MS: u64 = 20_000;
    const WORK_MS: u64 = 20;
    let out = 5000..12_000u64;
    let targets: usize = plan.hosts.iter().sum();
    let mut ends: Vec<Vec<u64>> = vec![Vec::new(); targets];
    let (mut served, mut all) = (0u64, 0u64);
    for ms in 0..LENGTH_MS {
        if rng.random_range(0..1000) >= RATE {
            continue;
        }
        all += 1;
        let first = if out.contains(&ms) { plan.hosts[0] } else { 0 };
        let target = &mut ends[rng.random_range(first..targets)];
        target.retain(|end| *end > ms);
        if target.len() < plan.limits.slots as usize {
            target.push(ms + WORK_MS);
            served += 1;
        }
    }
    served as f64 / all.max(1) as f64
}
