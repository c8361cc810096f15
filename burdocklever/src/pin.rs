//! Flow pins: the assignment of flows to targets.
//!
//! A VM holds pins of the flows that it owns, of flows whose packets it forwarded, and,
//! as a backup, of flows that it would own if their owner failed. An entry is a 64-bit
//! key, the index of the target, and 32 bits for the time of the last refresh in seconds
//! and four flags.

use std::collections::HashMap;

use wire::HostId;

use crate::msg::FlowKey;
use crate::time::{Ms, Time};

/// Time without packets after which a flow counts as ended.
pub const FLOW_IDLE: Ms = Ms(120_000);
/// Age from which on a VM confirms a pin of a flow that it does not own, by forwarding
/// the next packet to the owner.
pub const PIN_REFRESH: Ms = Ms(20_000);
/// Age at which a backup pin is dropped unless refreshed.
pub(crate) const BACKUP_TTL: Ms = Ms(3_600_000);

/// Index of a target in the table. Never reused while the process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HostIndex(u32);

/// Flag: this VM owns the flow.
const OWNED: u32 = 1;
/// Flag: backup pin, held for the owner of the flow.
const BACKUP: u32 = 2;
/// Flag: the flow has ended. Late packets still follow the pin.
const ENDED: u32 = 4;
/// Flag: backup pin of an owner in another cell.
const REMOTE: u32 = 8;
const FLAG_BITS: u32 = 4;
const FLAGS: u32 = (1 << FLAG_BITS) - 1;

#[derive(Debug, Clone, Copy)]
struct Pin {
    host: HostIndex,
    /// Seconds at the last refresh, above [`FLAG_BITS`] flags.
    stamp: u32,
}

impl Pin {
    fn new(host: HostIndex, now: Time, flags: u32) -> Pin {
        Pin {
            host,
            stamp: ((now.0 / 1000) as u32) << FLAG_BITS | flags,
        }
    }

    fn flags(self) -> u32 {
        self.stamp & FLAGS
    }

    fn is_owned(self) -> bool {
        self.stamp & OWNED != 0
    }

    fn age(self, now: Time) -> Ms {
        now.since(Time(u64::from(self.stamp >> FLAG_BITS) * 1000))
    }

    fn is_fresh(self, now: Time) -> bool {
        let limit = if self.flags() & BACKUP != 0 {
            BACKUP_TTL
        } else {
            FLOW_IDLE
        };
        self.age(now) < limit
    }
}

/// A pin, as read from the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PinInfo {
    /// The flow's target.
    pub host: HostId,
    /// This VM owns the flow.
    pub owned: bool,
    /// This VM holds the pin as a backup for the owner.
    pub backup: bool,
    /// The flow has ended.
    pub ended: bool,
    /// Time since this VM last stored or refreshed the pin.
    pub age: Ms,
}

/// Pins by flow, with the number of owned flows at each target.
#[derive(Debug, Default)]
pub struct Pins {
    map: HashMap<FlowKey, Pin>,
    hosts: Vec<HostId>,
    counts: Vec<u32>,
    index: HashMap<HostId, HostIndex>,
}

impl Pins {
    /// Number of pins.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Whether there is no pin.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Memory size of the table in bytes. Each slot holds a key, a pin and a control
    /// byte, and one slot in eight stays free.
    pub fn bytes(&self) -> usize {
        let slots = (self.map.capacity() * 8 / 7).next_power_of_two();
        slots * (size_of::<(FlowKey, Pin)>() + 1)
    }

    /// The pin of a flow.
    pub fn get(&self, now: Time, key: FlowKey) -> Option<PinInfo> {
        let pin = self.map.get(&key)?;
        Some(PinInfo {
            host: self.hosts[pin.host.0 as usize],
            owned: pin.is_owned(),
            backup: pin.flags() & BACKUP != 0,
            ended: pin.flags() & ENDED != 0,
            age: pin.age(now),
        })
    }

    /// Stores the pin of a flow that this VM owns, or whose packet it forwarded. A pin of
    /// the latter kind stays a backup if it was one.
    pub fn set(&mut self, now: Time, key: FlowKey, host: HostId, owned: bool) {
        let backup = self
            .map
            .get(&key)
            .map_or(0, |p| p.flags() & (BACKUP | REMOTE));
        let flags = if owned { OWNED } else { backup };
        self.insert(now, key, host, flags);
    }

    /// Stores a backup pin. `remote` says that the owner is in another cell.
    pub fn set_backup(&mut self, now: Time, key: FlowKey, host: HostId, remote: bool) {
        let flags = if remote { BACKUP | REMOTE } else { BACKUP };
        self.insert(now, key, host, flags);
    }

    /// Marks a flow as ended. Its pin is removed once idle.
    pub fn mark_ended(&mut self, now: Time, key: FlowKey) {
        if let Some(pin) = self.map.get(&key).copied() {
            let host = self.hosts[pin.host.0 as usize];
            self.insert(now, key, host, ENDED);
        }
    }

    /// Gives up the ownership of a flow to another VM and keeps the pin.
    pub fn release_ownership(&mut self, now: Time, key: FlowKey) {
        if let Some(pin) = self.map.get(&key).copied().filter(|p| p.is_owned()) {
            let host = self.hosts[pin.host.0 as usize];
            self.insert(now, key, host, 0);
        }
    }

    /// Refreshes the pin of a flow after a packet.
    pub fn touch(&mut self, now: Time, key: FlowKey) {
        if let Some(pin) = self.map.get_mut(&key) {
            *pin = Pin::new(pin.host, now, pin.flags());
        }
    }

    /// Removes a pin. Returns whether there was one.
    pub fn remove(&mut self, key: FlowKey) -> bool {
        let old = self.map.remove(&key);
        self.decrement_count(old);
        old.is_some()
    }

    /// Removes pins that are idle or whose target fails `serves`. Returns how many.
    pub fn sweep(&mut self, now: Time, serves: impl Fn(HostId) -> bool) -> usize {
        let in_service: Vec<bool> = self.hosts.iter().map(|h| serves(*h)).collect();
        let before = self.map.len();
        let counts = &mut self.counts;
        self.map.retain(|_, pin| {
            let index = pin.host.0 as usize;
            let keep = in_service[index] && pin.is_fresh(now);
            if !keep && pin.is_owned() {
                counts[index] -= 1;
            }
            keep
        });
        before - self.map.len()
    }

    /// Makes this VM the owner of the flows of its backup pins for which `owns` is true,
    /// except those of owners in other cells. Returns these flows in ascending order.
    pub fn promote(&mut self, now: Time, owns: impl Fn(FlowKey) -> bool) -> Vec<FlowKey> {
        let backups = self.map.iter().filter(|(_, pin)| pin.flags() == BACKUP);
        let promoted = backups.filter(|(key, _)| owns(**key));
        let mut keys: Vec<FlowKey> = promoted.map(|(key, _)| *key).collect();
        keys.sort();
        for key in &keys {
            let pin = self.map[key];
            self.insert(now, *key, self.hosts[pin.host.0 as usize], OWNED);
        }
        keys
    }

    /// Flows that this VM owns, in ascending order.
    pub fn owned_keys(&self) -> Vec<FlowKey> {
        self.keys_with(OWNED)
    }

    /// Flows whose pins must be handed over before this VM stops: its own, and backups
    /// of owners in other cells.
    pub(crate) fn handover_keys(&self) -> Vec<FlowKey> {
        self.keys_with(OWNED | REMOTE)
    }

    fn keys_with(&self, flags: u32) -> Vec<FlowKey> {
        let with = self.map.iter().filter(|(_, pin)| pin.flags() & flags != 0);
        let mut keys: Vec<FlowKey> = with.map(|(key, _)| *key).collect();
        keys.sort();
        keys
    }

    /// Targets of the flows that this VM owns, with the number of flows.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (HostId, u32)> + '_ {
        let all = self.hosts.iter().copied().zip(self.counts.iter().copied());
        all.filter(|(_, count)| *count > 0)
    }

    /// Number of flows that this VM owns at a target.
    pub fn count(&self, host: HostId) -> u32 {
        let index = self.index.get(&host);
        index.map_or(0, |index| self.counts[index.0 as usize])
    }

    fn insert(&mut self, now: Time, key: FlowKey, host: HostId, flags: u32) {
        let index = self.host_index(host);
        if flags & OWNED != 0 {
            self.counts[index.0 as usize] += 1;
        }
        let old = self.map.insert(key, Pin::new(index, now, flags));
        self.decrement_count(old);
    }

    fn host_index(&mut self, host: HostId) -> HostIndex {
        *self.index.entry(host).or_insert_with(|| {
            self.hosts.push(host);
            self.counts.push(0);
            HostIndex(self.hosts.len() as u32 - 1)
        })
    }

    fn decrement_count(&mut self, old: Option<Pin>) {
        if let Some(pin) = old.filter(|p| p.is_owned()) {
            self.counts[pin.host.0 as usize] -= 1;
        }
    }
}
