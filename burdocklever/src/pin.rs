//! Flow pins: which target each flow goes to.
//!
//! Owners hold the pins of their flows, entry VMs those of the flows whose
//! packets they passed on, and each owner's next-ranked member keeps its pins
//! in case it ends. An entry is a 64-bit key, the index of the target's
//! identity, and the second of the last packet with two flags.

use std::collections::HashMap;

use wire::HostId;

use crate::msg::FlowKey;
use crate::time::{Ms, Time};

/// Silence after which a flow counts as ended.
pub const FLOW_IDLE: Ms = Ms(120_000);
/// Age at which an entry VM's pin is confirmed by the owner with the next packet.
pub const PIN_REFRESH: Ms = Ms(20_000);
/// Age at which a pin kept for its owner is dropped, if not refreshed.
pub(crate) const BACKUP_TTL: Ms = Ms(3_600_000);

/// Index of a target's identity. Never reused within one life of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HostIx(u32);

/// Flag of a pin whose flow this VM owns.
const OWN: u32 = 1;
/// Flag of a pin that this VM keeps for the owner.
const KEPT: u32 = 2;
/// Flag of a pin whose flow has ended; stragglers still follow it.
const ENDED: u32 = 4;
/// Flag of a pin kept for a VM of another cell.
const FAR: u32 = 8;
const FLAG_BITS: u32 = 4;
const FLAGS: u32 = (1 << FLAG_BITS) - 1;

#[derive(Debug, Clone, Copy)]
struct Pin {
    host: HostIx,
    stamp: u32,
}

impl Pin {
    fn new(host: HostIx, now: Time, flags: u32) -> Pin {
        Pin {
            host,
            stamp: ((now.0 / 1000) as u32) << FLAG_BITS | flags,
        }
    }

    fn flags(self) -> u32 {
        self.stamp & FLAGS
    }

    fn own(self) -> bool {
        self.stamp & OWN != 0
    }

    fn age(self, now: Time) -> Ms {
        now.since(Time(u64::from(self.stamp >> FLAG_BITS) * 1000))
    }

    fn is_fresh(self, now: Time) -> bool {
        let limit = if self.flags() & KEPT != 0 {
            BACKUP_TTL
        } else {
            FLOW_IDLE
        };
        self.age(now) < limit
    }
}

/// A pin as read from the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PinInfo {
    /// The flow's target.
    pub host: HostId,
    /// This VM owns the flow.
    pub own: bool,
    /// This VM keeps the pin for the owner.
    pub kept: bool,
    /// The flow has ended.
    pub ended: bool,
    /// Time since this VM last stored or confirmed the pin.
    pub age: Ms,
}

/// Pins by flow, with the number of own flows at each target.
#[derive(Debug, Default)]
pub struct Pins {
    map: HashMap<FlowKey, Pin>,
    hosts: Vec<HostId>,
    counts: Vec<u32>,
    index: HashMap<HostId, HostIx>,
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

    /// Bytes that the table takes: each slot holds a key, a pin and a byte of
    /// control, and one slot in eight stays free.
    pub fn bytes(&self) -> usize {
        let slots = (self.map.capacity() * 8 / 7).next_power_of_two();
        slots * (size_of::<(FlowKey, Pin)>() + 1)
    }

    /// The pin of a flow.
    pub fn get(&self, now: Time, key: FlowKey) -> Option<PinInfo> {
        let pin = self.map.get(&key)?;
        Some(PinInfo {
            host: self.hosts[pin.host.0 as usize],
            own: pin.own(),
            kept: pin.flags() & KEPT != 0,
            ended: pin.flags() & ENDED != 0,
            age: pin.age(now),
        })
    }

    /// Stores an owner's pin, or an entry VM's.
    pub fn set(&mut self, now: Time, key: FlowKey, host: HostId, own: bool) {
        let kept = self.map.get(&key).map_or(0, |p| p.flags() & (KEPT | FAR));
        let flags = if own { OWN } else { kept };
        self.put(now, key, host, flags);
    }

    /// Stores a pin for the sake of its owner, which may be `far`: of another cell.
    pub fn keep(&mut self, now: Time, key: FlowKey, host: HostId, far: bool) {
        let flags = if far { KEPT | FAR } else { KEPT };
        self.put(now, key, host, flags);
    }

    /// Notes that a flow has ended. Its pin goes once idle.
    pub fn end(&mut self, now: Time, key: FlowKey) {
        if let Some(pin) = self.map.get(&key).copied() {
            let host = self.hosts[pin.host.0 as usize];
            self.put(now, key, host, ENDED);
        }
    }

    /// Notes that another VM owns a flow now.
    pub fn yield_to_owner(&mut self, now: Time, key: FlowKey) {
        if let Some(pin) = self.map.get(&key).copied().filter(|p| p.own()) {
            let host = self.hosts[pin.host.0 as usize];
            self.put(now, key, host, 0);
        }
    }

    /// Notes a packet of a flow that this VM owns.
    pub fn touch(&mut self, now: Time, key: FlowKey) {
        if let Some(pin) = self.map.get_mut(&key) {
            *pin = Pin::new(pin.host, now, pin.flags());
        }
    }

    /// Removes a pin. Returns whether there was one.
    pub fn remove(&mut self, key: FlowKey) -> bool {
        let old = self.map.remove(&key);
        self.uncount(old);
        old.is_some()
    }

    /// Removes pins that are idle or whose target fails `serves`. Returns how many.
    pub fn sweep(&mut self, now: Time, serves: impl Fn(HostId) -> bool) -> usize {
        let ok: Vec<bool> = self.hosts.iter().map(|h| serves(*h)).collect();
        let before = self.map.len();
        let counts = &mut self.counts;
        self.map.retain(|_, pin| {
            let ix = pin.host.0 as usize;
            let keep = ok[ix] && pin.is_fresh(now);
            if !keep && pin.own() {
                counts[ix] -= 1;
            }
            keep
        });
        before - self.map.len()
    }

    /// Makes this VM the owner of kept pins that `owns` says it owns now.
    /// Returns the flows taken on, in ascending order.
    pub fn promote(&mut self, now: Time, owns: impl Fn(FlowKey) -> bool) -> Vec<FlowKey> {
        let kept = self.map.iter().filter(|(_, pin)| pin.flags() == KEPT);
        let mine = kept.filter(|(key, _)| owns(**key));
        let mut keys: Vec<FlowKey> = mine.map(|(key, _)| *key).collect();
        keys.sort();
        for key in &keys {
            let pin = self.map[key];
            self.put(now, *key, self.hosts[pin.host.0 as usize], OWN);
        }
        keys
    }

    /// Flows that this VM owns, in ascending order.
    pub fn own_keys(&self) -> Vec<FlowKey> {
        self.keys_with(OWN)
    }

    /// Flows that would be forgotten if this VM stopped: its own, and those that
    /// it keeps for VMs of other cells.
    pub(crate) fn handover_keys(&self) -> Vec<FlowKey> {
        self.keys_with(OWN | FAR)
    }

    fn keys_with(&self, flags: u32) -> Vec<FlowKey> {
        let with = self.map.iter().filter(|(_, pin)| pin.flags() & flags != 0);
        let mut keys: Vec<FlowKey> = with.map(|(key, _)| *key).collect();
        keys.sort();
        keys
    }

    /// Targets that this VM's own flows go to, with the number of flows.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (HostId, u32)> + '_ {
        let all = self.hosts.iter().copied().zip(self.counts.iter().copied());
        all.filter(|(_, count)| *count > 0)
    }

    /// Own flows at a target.
    pub fn count(&self, host: HostId) -> u32 {
        let ix = self.index.get(&host);
        ix.map_or(0, |ix| self.counts[ix.0 as usize])
    }

    fn put(&mut self, now: Time, key: FlowKey, host: HostId, flags: u32) {
        let ix = self.host_ix(host);
        if flags & OWN != 0 {
            self.counts[ix.0 as usize] += 1;
        }
        let old = self.map.insert(key, Pin::new(ix, now, flags));
        self.uncount(old);
    }

    fn host_ix(&mut self, host: HostId) -> HostIx {
        *self.index.entry(host).or_insert_with(|| {
            self.hosts.push(host);
            self.counts.push(0);
            HostIx(self.hosts.len() as u32 - 1)
        })
    }

    fn uncount(&mut self, old: Option<Pin>) {
        if let Some(pin) = old.filter(|p| p.own()) {
            self.counts[pin.host.0 as usize] -= 1;
        }
    }
}
