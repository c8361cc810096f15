//! What all VMs together know about the load of each target.
//!
//! Every VM keeps its own figures, the last report of each VM that polls it, and the
//! newest sums of every failure domain. Sums travel up the tree of a failure domain, its
//! root exchanges them with the other roots, and replies bring them down.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::str::FromStr;

use wire::{Member, ParseError, VmId};

use crate::link_rate::LinkRate;
use crate::load_report::{
    clamp, entry_len, DomainKey, LoadPart, LoadReport, PackedLoad, TargetList,
};
use crate::switch::Switch;
use crate::target_load::{RequestRate, SharedLoad, TargetLoad};
use crate::time::{Ms, Time};
use crate::token::Token;

/// Age above which figures are dropped.
pub const LOAD_MAX_AGE: Ms = Ms(6000);
/// Time for which the number of a VM's last report is kept. A report that is late must
/// not count as new.
const SENDER_MEMORY: Ms = Ms(60_000);
/// Number of VMs of a failure domain from which load is shared by default. With fewer,
/// each sees enough requests itself.
const SHARE_MIN_VMS: usize = 12;
/// Longest time for which a peer's request is held while load is shared. A figure passes
/// three VMs, and must arrive well before it expires.
pub(crate) const LOAD_INTERVAL: Ms = Ms(1000);
/// Part of a link, as a divisor, that shared load may take by default.
const BUDGET_LINK_DIVISOR: u64 = 2048;
/// Time over which the budget holds.
const BUDGET_WINDOW: Ms = Ms(1000);
/// Difference from the mean of a service, in percent, from which entries go first. Those
/// closer to the mean change few decisions, and would delay the others.
const DIFFERENCE_MIN: u64 = 50;
/// Most bytes that MessagePack adds to a report.
const FIELD_HEADER_LEN: usize = 3;
/// Bytes a second that replies leave for the headers of this VM's own requests, of which
/// there are at most three a second.
const REQUEST_RESERVE: usize = 96;
/// Shortest time between two computations of the sums. A large catalogue takes about a
/// hundred times as long.
const REFRESH: Ms = Ms(200);
const LARGE_REFRESH: Ms = Ms(1000);
const LARGE_CATALOGUE: usize = 2000;

/// Whether load is shared in a failure domain of `vms` VMs.
pub fn shares_load(share: Switch, vms: usize) -> bool {
    match share {
        Switch::Auto => vms >= SHARE_MIN_VMS,
        Switch::On => true,
        Switch::Off => false,
    }
}

/// Why load is or is not shared in a failure domain of `vms` VMs, for the log.
pub(crate) fn sharing_reason(share: Switch, vms: usize) -> String {
    let limit = SHARE_MIN_VMS;
    match share {
        Switch::Auto if shares_load(share, vms) => {
            format!("the failure domain has {vms} VMs; {limit} or more share load")
        }
        Switch::Auto => format!(
            "the failure domain has {vms} VMs; with fewer than {limit} each sees enough itself"
        ),
        Switch::On | Switch::Off => format!("`[load] share` is `{share}`"),
    }
}

/// Bytes per second that a VM may send of shared load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadBudget(pub u32);

impl LoadBudget {
    /// Smallest budget: reports without entries must fit.
    pub const MIN: LoadBudget = LoadBudget(512);
    /// Largest budget: 5% of the users' smallest link.
    pub const MAX: LoadBudget = LoadBudget(65_536);
}

impl LoadBudget {
    /// Budget of a VM with this link where the settings name none. VMs with fast links are
    /// polled by the others, and figures must reach those before they expire.
    pub fn of_link(link: LinkRate) -> LoadBudget {
        let bytes = link.bytes_per_s() / BUDGET_LINK_DIVISOR;
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        LoadBudget(bytes).clamp(LoadBudget::default(), LoadBudget::MAX)
    }
}

impl Default for LoadBudget {
    fn default() -> LoadBudget {
        LoadBudget(4096)
    }
}

impl fmt::Display for LoadBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for LoadBudget {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<LoadBudget, ParseError> {
        let budget = s.parse().ok().map(LoadBudget);
        let in_range = budget.filter(|b| (LoadBudget::MIN..=LoadBudget::MAX).contains(b));
        in_range.ok_or_else(|| ParseError {
            expected: "a number of bytes per second from 512 to 65536",
            found: s.into(),
        })
    }
}

/// Whom a report is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipient {
    /// The VM above this one in its failure domain.
    Parent,
    /// The root of another failure domain.
    Root,
    /// A VM of a failure domain that sent a request.
    Requester(DomainKey),
}

/// A target of the catalogue. The order is that of entries in reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadTarget {
    /// Failure domain of the target. Most requests come from there.
    pub domain: DomainKey,
    /// Hash of the name of its service.
    pub service: u64,
    /// Names the target and its incarnation.
    pub token: Token,
}

/// Figures and the time at which they were made, by this VM's clock. Their age is not
/// used.
type Dated = (Time, TargetLoad);

/// An entry of a part, by its position in the list of targets.
type EntryKey = (DomainKey, usize);

/// Last report of a VM that polls this one.
#[derive(Debug)]
struct Sender {
    member: Member,
    sequence: u64,
    received: Time,
    /// Fingerprint of its list of targets.
    fingerprint: u32,
    /// When its subtree was last reported, and the VMs in it.
    vms: (Time, u32),
    subtree: BTreeMap<Token, Dated>,
}

/// Newest sums of a failure domain.
#[derive(Debug, Default)]
struct Domain {
    vms: (Time, u32),
    targets: BTreeMap<Token, Dated>,
}

impl Domain {
    /// Takes over a newer entry. Of two of the same time the greater counts, so that
    /// the order of merging does not matter.
    fn merge(&mut self, token: Token, new: Dated) {
        let old = self.targets.entry(token).or_insert(new);
        if precedence(old) < precedence(&new) {
            *old = new;
        }
    }
}

fn precedence((at, load): &Dated) -> (Time, [u64; 5]) {
    let counts = [load.samples, load.flows, load.unanswered.0].map(u64::from);
    let [samples, flows, unanswered] = counts;
    let rate = u64::from(load.rate.0);
    (
        *at,
        [rate, samples, flows, unanswered, load.response_time.0],
    )
}

/// Sum of figures of one target.
#[derive(Debug, Default)]
struct Sum {
    rate: u64,
    response_ms: u64,
    samples: u64,
    flows: u64,
    unanswered: u64,
    weight: u64,
    age_ms: u64,
}

impl Sum {
    fn add(&mut self, now: Time, (at, load): &Dated) {
        let rate = u64::from(load.rate.0);
        let samples = u64::from(load.samples);
        self.rate += rate;
        self.response_ms += load.response_time.0 * samples;
        self.samples += samples;
        self.flows += u64::from(load.flows);
        self.unanswered += u64::from(load.unanswered.0);
        self.weight += rate + 1;
        self.age_ms += now.since(*at).0 * (rate + 1);
    }

    /// The sum. Its age is the mean over the requests: one VM that has fallen silent
    /// does not make the figures of all others old.
    fn load(&self) -> TargetLoad {
        let count = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        clamp(TargetLoad {
            rate: RequestRate(count(self.rate)),
            response_time: Ms(self.response_ms.checked_div(self.samples).unwrap_or(0)),
            samples: count(self.samples),
            flows: count(self.flows),
            unanswered: RequestRate(count(self.unanswered)),
            age: Ms(self.age_ms.div_ceil(self.weight.max(1))),
        })
    }
}

/// Sums by target.
fn sums<'a>(
    now: Time,
    figures: impl Iterator<Item = (&'a Token, &'a Dated)>,
) -> BTreeMap<Token, TargetLoad> {
    let mut sums: BTreeMap<Token, Sum> = BTreeMap::new();
    for (token, dated) in figures.filter(|(_, (at, _))| is_fresh(now, *at)) {
        sums.entry(*token).or_default().add(now, dated);
    }
    sums.iter().map(|(t, s)| (*t, s.load())).collect()
}

fn is_fresh(now: Time, at: Time) -> bool {
    now.since(at) < LOAD_MAX_AGE
}

/// Bytes of reports that were sent in the last second.
#[derive(Debug, Default)]
struct Spending {
    sent: VecDeque<(Time, usize)>,
}

impl Spending {
    /// Bytes that the next report may take, given those that are kept for others: what is
    /// left, but no more than its share if as many reports follow as were sent in the
    /// last second.
    fn available(&mut self, now: Time, budget: LoadBudget, reserve: usize) -> usize {
        while self
            .sent
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= BUDGET_WINDOW)
        {
            self.sent.pop_front();
        }
        let spent: usize = self.sent.iter().map(|(_, bytes)| bytes).sum();
        let budget = budget.0 as usize;
        // One more than there were, or the last requester would get only the remainder.
        let share = budget.saturating_sub(REQUEST_RESERVE) / (self.sent.len() + 2);
        budget.saturating_sub(spent + reserve).min(share)
    }
}

/// Counters and gauges of a [`LoadTable`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadStats {
    /// Targets with shared figures.
    pub targets: u64,
    /// VMs that the sums cover.
    pub vms: u64,
    /// Mean age of the figures.
    pub age: Ms,
    /// Bytes of reports sent since the start.
    pub bytes_sent: u64,
    /// Entries refused since the start.
    pub entries_refused: u64,
}

/// The load of all targets as one VM knows it.
#[derive(Debug)]
pub struct LoadTable {
    domain: DomainKey,
    budget: LoadBudget,
    /// Whether this VM is the root of its failure domain.
    root: bool,
    /// Targets of the catalogue, and the service of each.
    list: TargetList,
    services: BTreeMap<Token, u64>,
    target_domains: BTreeSet<DomainKey>,
    /// This VM's figures, and when they were last set.
    own: BTreeMap<Token, Dated>,
    own_set: Time,
    senders: BTreeMap<VmId, Sender>,
    domains: BTreeMap<DomainKey, Domain>,
    /// What may be sent to others, and when it was computed.
    outgoing: Vec<Outgoing>,
    refreshed: Time,
    /// Last entry that each peer got in turn, and when.
    turns: BTreeMap<VmId, (Time, EntryKey)>,
    sequence: u64,
    spending: Spending,
    stats: LoadStats,
}

impl LoadTable {
    /// Table of a VM in a failure domain, without figures.
    pub fn new(domain: DomainKey, budget: LoadBudget) -> LoadTable {
        LoadTable {
            domain,
            budget,
            root: false,
            list: TargetList::default(),
            services: BTreeMap::new(),
            target_domains: BTreeSet::new(),
            own: BTreeMap::new(),
            own_set: Time(0),
            senders: BTreeMap::new(),
            domains: BTreeMap::new(),
            outgoing: Vec::new(),
            refreshed: Time(0),
            turns: BTreeMap::new(),
            sequence: 0,
            spending: Spending::default(),
            stats: LoadStats::default(),
        }
    }

    /// Sets the budget.
    pub fn set_budget(&mut self, budget: LoadBudget) {
        self.budget = budget;
    }

    /// Sets whether this VM is the root of its failure domain.
    pub fn set_root(&mut self, root: bool) {
        self.root = root;
    }

    /// Whether this VM is the root of its failure domain.
    pub fn is_root(&self) -> bool {
        self.root
    }

    /// Sets the targets of the catalogue. Figures of other targets are dropped.
    pub fn set_targets(&mut self, mut targets: Vec<LoadTarget>) {
        targets.sort_unstable();
        self.services = targets.iter().map(|t| (t.token, t.service)).collect();
        self.target_domains = targets.iter().map(|t| t.domain).collect();
        let mut tokens: Vec<Token> = targets.iter().map(|t| t.token).collect();
        // Two targets may have one token.
        let mut seen = BTreeSet::new();
        tokens.retain(|t| seen.insert(*t));
        self.list = TargetList::new(tokens);
        self.outgoing.clear();
        self.refreshed = Time(0);
        let known = |token: &Token, _: &mut Dated| self.services.contains_key(token);
        self.own.retain(known);
        for sender in self.senders.values_mut() {
            sender.subtree.retain(known);
        }
        for domain in self.domains.values_mut() {
            domain.targets.retain(known);
        }
    }

    /// Sets this VM's own figures.
    pub fn set_own(&mut self, now: Time, figures: Vec<(Token, TargetLoad)>) {
        let dated = |(token, load): (Token, TargetLoad)| (token, (date(now, load.age), load));
        let known = figures
            .into_iter()
            .filter(|(t, _)| self.services.contains_key(t));
        self.own = known.map(dated).collect();
        self.own_set = now;
    }

    /// Drops all figures, since load is no longer shared.
    pub fn clear(&mut self) {
        self.own.clear();
        self.senders.clear();
        self.domains.clear();
        self.outgoing.clear();
        self.turns.clear();
        (self.stats.targets, self.stats.vms, self.stats.age) = Default::default();
    }

    /// Takes over a report of VM `from` in failure domain `domain`. Returns whether it
    /// could be read. One that is late, or that came before, changes nothing.
    pub fn accept(
        &mut self,
        now: Time,
        from: Member,
        domain: DomainKey,
        packed: &PackedLoad,
    ) -> bool {
        let Some(unpacked) = packed.unpack(&self.list) else {
            self.stats.entries_refused += 1;
            return false;
        };
        let report = unpacked.report;
        self.stats.entries_refused += unpacked.refused;
        if !self.is_next(now, from, report.sequence) {
            return true;
        }
        if let Some(sender) = self.senders.get_mut(&from.vm) {
            sender.fingerprint = unpacked.fingerprint;
        }
        for mut part in report.parts {
            let count = part.entries.len();
            part.entries.retain(|(t, _)| self.services.contains_key(t));
            self.stats.entries_refused += (count - part.entries.len()) as u64;
            match part.domain {
                DomainKey::SUBTREE if domain == self.domain => self.set_subtree(now, from.vm, part),
                // Only VMs of this failure domain are summed up here.
                DomainKey::SUBTREE => {}
                key if key == domain || self.is_known_domain(key) => self.merge_domain(now, part),
                _ => self.stats.entries_refused += 1,
            }
        }
        true
    }

    /// Whether a report is the newest of its sender. The reports of a VM that has
    /// restarted begin anew.
    fn is_next(&mut self, now: Time, from: Member, sequence: u64) -> bool {
        let known = self.senders.get_mut(&from.vm);
        if let Some(sender) = known.filter(|s| s.member.incarnation >= from.incarnation) {
            let next = sender.member == from && sequence > sender.sequence;
            if next {
                sender.sequence = sequence;
                sender.received = now;
            }
            return next;
        }
        let sender = Sender {
            member: from,
            sequence,
            received: now,
            fingerprint: 0,
            vms: (Time(0), 0),
            subtree: BTreeMap::new(),
        };
        self.senders.insert(from.vm, sender);
        true
    }

    fn set_subtree(&mut self, now: Time, from: VmId, part: LoadPart) {
        let Some(sender) = self.senders.get_mut(&from) else {
            return;
        };
        if part.complete {
            sender.subtree.clear();
        }
        sender.vms = (date(now, part.age), part.vms);
        let dated = |(token, load): (Token, TargetLoad)| (token, (date(now, load.age), load));
        sender.subtree.extend(part.entries.into_iter().map(dated));
    }

    /// Whether it is this VM's failure domain, or one with targets.
    fn is_known_domain(&self, domain: DomainKey) -> bool {
        domain == self.domain || self.target_domains.contains(&domain)
    }

    fn merge_domain(&mut self, now: Time, part: LoadPart) {
        let domain = self.domains.entry(part.domain).or_default();
        domain.vms = domain.vms.max((date(now, part.age), part.vms));
        for (token, load) in part.entries {
            domain.merge(token, (date(now, load.age), load));
        }
    }

    /// Drops figures that are too old.
    fn expire(&mut self, now: Time) {
        let fresh = |_: &Token, (at, _): &mut Dated| is_fresh(now, *at);
        self.senders
            .retain(|_, s| now.since(s.received) < SENDER_MEMORY);
        for sender in self.senders.values_mut() {
            sender.subtree.retain(fresh);
        }
        self.domains.retain(|_, domain| {
            domain.targets.retain(fresh);
            !domain.targets.is_empty() || is_fresh(now, domain.vms.0)
        });
        self.turns.retain(|_, (at, _)| is_fresh(now, *at));
    }

    /// Sums of this VM and of those below it, without what VM `except` reported: of two
    /// VMs that each take the other for their parent, neither may count itself twice.
    fn subtree(&self, now: Time, except: Option<VmId>) -> Outgoing {
        let below = self
            .senders
            .values()
            .filter(|s| Some(s.member.vm) != except);
        let reported = below.clone().flat_map(|s| &s.subtree);
        let vms = below.map(|s| s.vms).chain([(self.own_set, 1)]);
        let fresh = vms.filter(|(at, _)| is_fresh(now, *at));
        let vms = fresh.fold(0u32, |sum, (_, n)| sum.saturating_add(n));
        let targets: BTreeMap<Token, Dated> = sums(now, self.own.iter().chain(reported))
            .into_iter()
            .map(|(token, load)| (token, (date(now, load.age), load)))
            .collect();
        let (list, services) = (&self.list, &self.services);
        Outgoing::new(
            DomainKey::SUBTREE,
            (now, vms),
            targets.iter(),
            list,
            services,
        )
    }

    /// At the root, sets the sums of its failure domain. Targets that have none any more
    /// get zeros, which replace the earlier sums at the other VMs.
    fn sum_domain(&mut self, now: Time) {
        if !self.root {
            return;
        }
        let subtree = self.subtree(now, None);
        let domain = self.domains.entry(self.domain).or_default();
        domain.vms = subtree.vms;
        let summed = subtree.entries.iter().map(|e| (e.token, e.dated));
        let before = std::mem::replace(&mut domain.targets, summed.collect());
        let zero = TargetLoad::default();
        for (token, (at, load)) in before {
            let at = if load == zero { at } else { now };
            domain.targets.entry(token).or_insert((at, zero));
        }
    }

    /// Brings sums and what may be sent up to date, unless that was done a moment ago.
    fn refresh(&mut self, now: Time) {
        let large = self.services.len() > LARGE_CATALOGUE;
        let interval = if large { LARGE_REFRESH } else { REFRESH };
        if now.since(self.refreshed) >= interval {
            self.refresh_now(now);
        }
    }

    fn refresh_now(&mut self, now: Time) {
        self.refreshed = now;
        self.expire(now);
        self.sum_domain(now);
        let outgoing = |(key, domain): (&DomainKey, &Domain)| {
            let targets = domain.targets.iter();
            Outgoing::new(*key, domain.vms, targets, &self.list, &self.services)
        };
        self.outgoing = self.domains.iter().map(outgoing).collect();
    }

    /// Report to send to a peer now, as far as the budget allows. A request always has
    /// one, since a reply has one only if the request had.
    pub fn report(&mut self, now: Time, to: VmId, recipient: Recipient) -> Option<PackedLoad> {
        self.refresh(now);
        let reserve = match recipient {
            Recipient::Requester(_) => REQUEST_RESERVE,
            Recipient::Parent | Recipient::Root => 0,
        };
        let available = self.spending.available(now, self.budget, reserve);
        let subtree;
        let parts: Vec<&Outgoing> = match recipient {
            Recipient::Parent => {
                subtree = self.subtree(now, Some(to));
                vec![&subtree]
            }
            Recipient::Root => self.outgoing_of(|d| d == self.domain),
            Recipient::Requester(domain) => {
                self.outgoing_of(|d| d != domain || domain == self.domain)
            }
        };
        let known = self.senders.get(&to).map(|s| s.fingerprint);
        let indexed = known == Some(self.list.fingerprint());
        let turn = self.turns.get(&to).map(|(_, key)| *key);
        let mut report = LoadReport {
            sequence: self.sequence + 1,
            parts: Vec::new(),
        };
        let mut space = available;
        let (packed, turn) = loop {
            let (chosen, next) = choose(&parts, turn, space, indexed);
            report.parts = parts.iter().map(|p| p.part(now, &chosen)).collect();
            let packed = PackedLoad::pack(&report, &self.list, known);
            let excess = (packed.0.len() + FIELD_HEADER_LEN).saturating_sub(available);
            if excess == 0 {
                break (packed, next);
            }
            if space == 0 {
                if matches!(recipient, Recipient::Requester(_)) {
                    // Counts as a report, so that others leave space for this peer.
                    self.spending.sent.push_back((now, 0));
                    return None;
                }
                report.parts.clear();
                break (PackedLoad::pack(&report, &self.list, known), turn);
            }
            space = space.saturating_sub(excess);
        };
        if let Some(key) = turn {
            self.turns.insert(to, (now, key));
        }
        self.sequence += 1;
        let bytes = packed.0.len() + FIELD_HEADER_LEN;
        self.spending.sent.push_back((now, bytes));
        self.stats.bytes_sent += bytes as u64;
        Some(packed)
    }

    fn outgoing_of(&self, included: impl Fn(DomainKey) -> bool) -> Vec<&Outgoing> {
        self.outgoing
            .iter()
            .filter(|o| included(o.domain))
            .collect()
    }

    /// The load of each target over all VMs. Figures that are too old are left out.
    pub fn shared(&mut self, now: Time) -> SharedLoad {
        self.refresh_now(now);
        let targets = sums(now, self.domains.values().flat_map(|d| &d.targets));
        let fresh = self.domains.values().filter(|d| is_fresh(now, d.vms.0));
        let vms = fresh.fold(0u32, |sum, d| sum.saturating_add(d.vms.1));
        let ages: u64 = targets.values().map(|l| l.age.0).sum();
        self.stats.targets = targets.len() as u64;
        self.stats.vms = u64::from(vms);
        self.stats.age = Ms(ages.checked_div(targets.len() as u64).unwrap_or(0));
        SharedLoad {
            at: now,
            vms,
            targets: targets.into_iter().collect(),
        }
    }

    /// Counters, and gauges as of the last call of [`LoadTable::shared`].
    pub fn stats(&self) -> LoadStats {
        self.stats
    }
}

fn date(now: Time, age: Ms) -> Time {
    Time(now.0.saturating_sub(age.0))
}

/// An entry that may be sent.
#[derive(Debug, Clone, Copy)]
struct Entry {
    position: usize,
    token: Token,
    dated: Dated,
    /// Difference from the mean of its service, in percent of it.
    difference: u64,
}

/// Sums that may be sent, in the order of the list of targets.
#[derive(Debug)]
struct Outgoing {
    domain: DomainKey,
    vms: (Time, u32),
    entries: Vec<Entry>,
    /// Indices of entries that differ from the mean of their service, most different
    /// first.
    differing: Vec<usize>,
}

impl Outgoing {
    fn new<'a>(
        domain: DomainKey,
        vms: (Time, u32),
        targets: impl Iterator<Item = (&'a Token, &'a Dated)> + Clone,
        list: &TargetList,
        services: &BTreeMap<Token, u64>,
    ) -> Outgoing {
        let mut means: BTreeMap<u64, [u64; 3]> = BTreeMap::new();
        let service = |token: &Token| services.get(token).copied().unwrap_or_default();
        for (token, (_, load)) in targets.clone() {
            let [count, rate, response] = means.entry(service(token)).or_default();
            *count += 1;
            *rate += u64::from(load.rate.0);
            *response += load.response_time.0;
        }
        let entry = |(token, dated): (&Token, &Dated)| {
            let [count, rate, response] = means[&service(token)];
            let percent = |value: u64, sum: u64| (value * count).abs_diff(sum) * 100 / sum.max(1);
            let load = &dated.1;
            Some(Entry {
                position: list.position(*token)?,
                token: *token,
                dated: *dated,
                difference: percent(u64::from(load.rate.0), rate)
                    .max(percent(load.response_time.0, response))
                    + u64::from(load.unanswered.0),
            })
        };
        let mut entries: Vec<Entry> = targets.filter_map(entry).collect();
        entries.sort_by_key(|e| e.position);
        let differs = |i: &usize| entries[*i].difference >= DIFFERENCE_MIN;
        let mut differing: Vec<usize> = (0..entries.len()).filter(differs).collect();
        differing.sort_by_key(|i| Reverse(entries[*i].difference));
        Outgoing {
            domain,
            vms,
            entries,
            differing,
        }
    }

    fn key(&self, entry: &Entry) -> EntryKey {
        (self.domain, entry.position)
    }

    /// The part with the chosen entries.
    fn part(&self, now: Time, chosen: &BTreeMap<EntryKey, Entry>) -> LoadPart {
        let all = (self.domain, 0)..=(self.domain, usize::MAX);
        let aged = |(_, entry): (&EntryKey, &Entry)| {
            let (at, load) = entry.dated;
            let age = now.since(at);
            (entry.token, TargetLoad { age, ..load })
        };
        let entries: Vec<_> = chosen.range(all).map(aged).collect();
        LoadPart {
            domain: self.domain,
            vms: self.vms.1,
            age: now.since(self.vms.0),
            complete: entries.len() == self.entries.len(),
            entries,
        }
    }
}

/// Chooses entries for `space` bytes: half of it goes to those that differ most from the
/// mean of their service, the rest to the others in turn. The turn is the last entry that
/// was chosen so; also returns the new one.
fn choose(
    parts: &[&Outgoing],
    turn: Option<EntryKey>,
    space: usize,
    indexed: bool,
) -> (BTreeMap<EntryKey, Entry>, Option<EntryKey>) {
    let mut left = space / 2;
    let take = |left: &mut usize, entry: &Entry| {
        let len = entry_len(&entry.dated.1, indexed);
        let fits = len <= *left;
        *left -= if fits { len } else { 0 };
        fits
    };
    let mut differing: Vec<(EntryKey, Entry)> = Vec::new();
    for part in parts {
        let first = part.differing.iter().take(space).map(|i| part.entries[*i]);
        differing.extend(first.map(|e| (part.key(&e), e)));
    }
    differing.sort_by_key(|(key, e)| (Reverse(e.difference), *key));
    let differing = differing
        .into_iter()
        .take_while(|(_, e)| take(&mut left, e));
    let mut chosen: BTreeMap<EntryKey, Entry> = differing.collect();
    left += space - space / 2;
    let split = |part: &Outgoing| part.entries.partition_point(|e| Some(part.key(e)) <= turn);
    let after = parts.iter().map(|p| (*p, &p.entries[split(p)..]));
    let before = parts.iter().map(|p| (*p, &p.entries[..split(p)]));
    let mut last = turn;
    for (part, entry) in after
        .chain(before)
        .flat_map(|(p, all)| all.iter().map(move |e| (p, e)))
    {
        let key = part.key(entry);
        if chosen.contains_key(&key) {
            continue;
        }
        if !take(&mut left, entry) {
            break;
        }
        chosen.insert(key, *entry);
        last = Some(key);
    }
    (chosen, last)
}
