//! Encoding of load figures in messages between VMs, packed into few bytes.
//!
//! A report is its sequence number and its parts, each the sums of one failure domain
//! or of the sender's subtree. An entry takes three bytes, with rates and times in
//! logarithmic steps, plus its token (4 bytes). Between VMs with the same catalogue,
//! entries are in the order of the catalogue's targets and tokens are left out: with 4,096
//! bytes a second, a VM that is polled by 22 others has 2.5 bytes for each of 150
//! targets if all are to be sent within 2 to 3 s.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use wire::{DomainId, ParseError};

use crate::rendezvous;
use crate::target_load::{RequestRate, TargetLoad};
use crate::time::Ms;
use crate::token::Token;

/// Highest rate of a target that is accepted. No target serves more requests.
pub const RATE_MAX: RequestRate = RequestRate(200_000);
/// Longest mean response time that is accepted. Callers wait for at most 10 s.
const RESPONSE_TIME_MAX: Ms = Ms(50_000);
/// Most flows of a target, and most VMs of a part, that are believed.
const COUNT_MAX: u32 = 1_000_000;
/// Bits of an entry for each figure, from the lowest; the last says that unanswered
/// requests follow.
const RATE_BITS: u32 = 7;
const RESPONSE_BITS: u32 = 7;
const SAMPLE_BITS: u32 = 2;
const FLOW_BITS: u32 = 3;
const AGE_BITS: u32 = 4;
/// Steps in which rates and response times double. Rounding errs by 5% at most.
const RATE_STEPS: f64 = 7.0;
const RESPONSE_STEPS: f64 = 8.0;
/// Least numbers of samples that an entry can state. Eight are enough to judge a
/// target's speed.
const SAMPLE_CLASSES: [u32; 4] = [0, 1, 8, 32];
/// Unit in which the age of an entry travels, rounded up. Fifteen of them are the
/// longest age at which figures are used.
const AGE_UNIT: Ms = Ms(400);
/// Bytes of an entry without its token, and of a token.
const ENTRY_LEN: usize = 3;
const TOKEN_LEN: usize = 4;
/// Highest number of parts of a report. There are no more failure domains.
const PARTS_MAX: u64 = 256;

/// Failure domain that a part is about, as a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DomainKey(pub u32);

impl DomainKey {
    /// Marks the part with the sums of the sender and of the VMs below it.
    pub const SUBTREE: DomainKey = DomainKey(0);

    /// Key of a failure domain; never [`DomainKey::SUBTREE`].
    pub fn of(domain: &DomainId) -> DomainKey {
        let hash = rendezvous::hash(domain.as_str().as_bytes());
        DomainKey((hash as u32).max(1))
    }
}

impl fmt::Display for DomainKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for DomainKey {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<DomainKey, ParseError> {
        u32::from_str_radix(s, 16)
            .map(DomainKey)
            .map_err(|_| ParseError {
                expected: "a domain key of 8 hexadecimal digits",
                found: s.into(),
            })
    }
}

/// Sums of a failure domain, or of the sender's subtree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadPart {
    /// What the sums cover.
    pub domain: DomainKey,
    /// Number of VMs that they cover.
    pub vms: u32,
    /// Age of that number.
    pub age: Ms,
    /// Whether no entry was left out for lack of space.
    pub complete: bool,
    /// Sums by target.
    pub entries: Vec<(Token, TargetLoad)>,
}

/// Load of targets as one VM reports it to another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of the report, ascending in each run of the sender.
    pub sequence: u64,
    /// Sums of failure domains and of the subtree.
    pub parts: Vec<LoadPart>,
}

/// Targets of a catalogue in an order that all VMs with this catalogue share.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetList {
    tokens: Vec<Token>,
    positions: BTreeMap<Token, usize>,
    fingerprint: u32,
}

impl TargetList {
    /// List of targets in the given order. Targets that usually get requests from the
    /// same VMs should be neighbours.
    pub fn new(tokens: Vec<Token>) -> TargetList {
        let bytes: Vec<u8> = tokens.iter().flat_map(|t| t.0.to_le_bytes()).collect();
        let positions = tokens.iter().enumerate().map(|(n, t)| (*t, n)).collect();
        TargetList {
            tokens,
            positions,
            fingerprint: rendezvous::hash(&bytes) as u32,
        }
    }

    /// Identifies the list.
    pub fn fingerprint(&self) -> u32 {
        self.fingerprint
    }

    pub(crate) fn position(&self, token: Token) -> Option<usize> {
        self.positions.get(&token).copied()
    }
}

/// A [`LoadReport`] in bytes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PackedLoad(#[serde_as(as = "serde_with::Bytes")] pub Vec<u8>);

/// A report as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unpacked {
    /// The report, without entries that are impossible or cannot be read.
    pub report: LoadReport,
    /// Fingerprint of the sender's list of targets.
    pub fingerprint: u32,
    /// Number of entries that were left out.
    pub refused: u64,
}

impl PackedLoad {
    /// Packs a report. Tokens are left out if the recipient's list of targets has the
    /// fingerprint `known`. The entries of each part must then be in the order of `list`
    /// and all be in it.
    pub fn pack(report: &LoadReport, list: &TargetList, known: Option<u32>) -> PackedLoad {
        let indexed = known == Some(list.fingerprint);
        let mut bytes = Vec::new();
        put_varint(&mut bytes, report.sequence << 1 | u64::from(indexed));
        bytes.extend(list.fingerprint.to_le_bytes());
        put_varint(&mut bytes, report.parts.len() as u64);
        for part in &report.parts {
            bytes.extend(part.domain.0.to_le_bytes());
            put_varint(&mut bytes, u64::from(part.vms));
            put_varint(&mut bytes, part.age.0.div_ceil(AGE_UNIT.0));
            let count = part.entries.len() as u64;
            put_varint(&mut bytes, count << 1 | u64::from(part.complete));
            match indexed {
                true => put_runs(&mut bytes, part, list),
                false => put_entries(&mut bytes, part),
            }
        }
        PackedLoad(bytes)
    }

    /// Unpacks a report. Of one that ends early, the entries before are kept; none is
    /// returned if it cannot be read at all, or leaves out the tokens of another list.
    pub fn unpack(&self, list: &TargetList) -> Option<Unpacked> {
        let mut bytes = &self.0[..];
        let sequence = take_varint(&mut bytes)?;
        let fingerprint = take_u32(&mut bytes)?;
        let indexed = sequence & 1 == 1;
        let count = take_varint(&mut bytes).filter(|n| *n <= PARTS_MAX)?;
        let mut unpacked = Unpacked {
            report: LoadReport {
                sequence: sequence >> 1,
                parts: Vec::new(),
            },
            fingerprint,
            refused: 0,
        };
        for _ in 0..count {
            let list = indexed.then_some(list);
            if list.is_some_and(|l| l.fingerprint != fingerprint) {
                unpacked.refused += 1;
                break;
            }
            let Some(mut part) = take_part_header(&mut bytes) else {
                unpacked.refused += 1;
                break;
            };
            let count = part.count;
            let read = match list {
                Some(list) => take_runs(&mut bytes, &mut part, list),
                None => take_entries(&mut bytes, &mut part),
            };
            part.part.complete &= read.is_some();
            let left = count.saturating_sub(part.part.entries.len() as u64);
            // The number of entries is the sender's word.
            unpacked.refused += left.min(u64::from(COUNT_MAX));
            unpacked.report.parts.push(part.part);
            if read.is_none() {
                break;
            }
        }
        Some(unpacked)
    }
}

/// A part that is being read, and the number of entries that it announces.
struct PartReader {
    part: LoadPart,
    count: u64,
}

fn take_part_header(bytes: &mut &[u8]) -> Option<PartReader> {
    let domain = DomainKey(take_u32(bytes)?);
    let vms = take_varint(bytes)?.min(u64::from(COUNT_MAX)) as u32;
    let age = Ms(take_varint(bytes)?.saturating_mul(AGE_UNIT.0));
    let header = take_varint(bytes)?;
    let part = LoadPart {
        domain,
        vms,
        age,
        complete: header & 1 == 1,
        entries: Vec::new(),
    };
    Some(PartReader {
        part,
        count: header >> 1,
    })
}

fn put_entries(bytes: &mut Vec<u8>, part: &LoadPart) {
    for (token, load) in &part.entries {
        bytes.extend(token.0.to_le_bytes());
        put_load(bytes, load);
    }
}

fn take_entries(bytes: &mut &[u8], reader: &mut PartReader) -> Option<()> {
    for _ in 0..reader.count {
        let token = Token(take_u32(bytes)?);
        let load = take_load(bytes)?;
        if token != Token::NONE {
            reader.part.entries.extend(load.map(|l| (token, l)));
        }
    }
    Some(())
}

/// Packs entries as runs of neighbours: the number of targets that are skipped, the
/// length of the run, and its loads.
fn put_runs(bytes: &mut Vec<u8>, part: &LoadPart, list: &TargetList) {
    let mut next = 0;
    let mut rest = &part.entries[..];
    while let Some((token, _)) = rest.first() {
        let first = list.position(*token).unwrap_or(next);
        let is_next =
            |(n, (t, _)): &(usize, &(Token, TargetLoad))| list.position(*t) == Some(first + n);
        let len = rest.iter().enumerate().take_while(is_next).count().max(1);
        put_varint(bytes, first.saturating_sub(next) as u64);
        put_varint(bytes, len as u64);
        for (_, load) in &rest[..len] {
            put_load(bytes, load);
        }
        rest = &rest[len..];
        next = first + len;
    }
}

fn take_runs(bytes: &mut &[u8], reader: &mut PartReader, list: &TargetList) -> Option<()> {
    let mut left = reader.count;
    let mut next = 0;
    while left > 0 {
        let skipped = usize::try_from(take_varint(bytes)?).ok()?;
        let len = take_varint(bytes)?;
        if len == 0 || len > left {
            return None;
        }
        next = skipped.checked_add(next)?;
        for _ in 0..len {
            let token = *list.tokens.get(next)?;
            let load = take_load(bytes)?;
            reader.part.entries.extend(load.map(|l| (token, l)));
            next += 1;
        }
        left -= len;
    }
    Some(())
}

/// Bytes of an entry, without the headers of runs.
pub(crate) fn entry_len(load: &TargetLoad, indexed: bool) -> usize {
    let mut extra = Vec::new();
    if load.unanswered.0 > 0 {
        put_varint(&mut extra, u64::from(load.unanswered.0));
    }
    ENTRY_LEN + if indexed { 0 } else { TOKEN_LEN } + extra.len()
}

fn put_load(bytes: &mut Vec<u8>, load: &TargetLoad) {
    let samples = SAMPLE_CLASSES
        .iter()
        .rposition(|least| load.samples >= *least);
    let age_max = (1 << AGE_BITS) - 1;
    let codes = [
        (u64::from(load.unanswered.0 > 0), 1),
        (load.age.0.div_ceil(AGE_UNIT.0).min(age_max), AGE_BITS),
        (flow_code(load.flows), FLOW_BITS),
        (samples.unwrap_or(0) as u64, SAMPLE_BITS),
        (
            log_code(load.response_time.0, RESPONSE_STEPS, RESPONSE_BITS),
            RESPONSE_BITS,
        ),
        (
            log_code(load.rate.0.into(), RATE_STEPS, RATE_BITS),
            RATE_BITS,
        ),
    ];
    let word = codes
        .iter()
        .fold(0, |word, (code, bits)| word << bits | code);
    bytes.extend(&word.to_le_bytes()[..ENTRY_LEN]);
    if load.unanswered.0 > 0 {
        put_varint(bytes, load.unanswered.0.into());
    }
}

/// Reads the load of an entry; it is none if it is impossible.
fn take_load(bytes: &mut &[u8]) -> Option<Option<TargetLoad>> {
    let (packed, rest) = bytes.split_first_chunk::<ENTRY_LEN>()?;
    *bytes = rest;
    let mut word = u32::from_le_bytes([packed[0], packed[1], packed[2], 0]);
    let mut field = |bits: u32| {
        let code = word & ((1 << bits) - 1);
        word >>= bits;
        code
    };
    let rate = log_value(field(RATE_BITS), RATE_STEPS);
    let response_time = log_value(field(RESPONSE_BITS), RESPONSE_STEPS);
    let samples = SAMPLE_CLASSES[field(SAMPLE_BITS) as usize];
    let flows = flow_value(field(FLOW_BITS));
    let age = Ms(u64::from(field(AGE_BITS)) * AGE_UNIT.0);
    let unanswered = match field(1) {
        0 => 0,
        _ => take_varint(bytes)?,
    };
    let rate_max = u64::from(RATE_MAX.0);
    // Rounding may exceed a limit by half a step.
    let rounded = |max: u64| max + max / 20;
    let possible = rate <= rounded(rate_max)
        && unanswered <= rate_max
        && response_time <= rounded(RESPONSE_TIME_MAX.0);
    Some(possible.then(|| {
        clamp(TargetLoad {
            rate: RequestRate(rate as u32),
            response_time: Ms(response_time),
            samples,
            flows,
            unanswered: RequestRate(unanswered as u32),
            age,
        })
    }))
}

/// Nearest logarithmic step of a value; 0 for 0.
fn log_code(value: u64, steps: f64, bits: u32) -> u64 {
    let max = (1 << bits) - 1;
    match value {
        0 => 0,
        _ => (((value as f64).log2() * steps).round() as u64 + 1).min(max),
    }
}

fn log_value(code: u32, steps: f64) -> u64 {
    match code {
        0 => 0,
        _ => (f64::from(code - 1) / steps).exp2().round() as u64,
    }
}

/// Flows in powers of four, rounded down.
fn flow_code(flows: u32) -> u64 {
    let max = (1 << FLOW_BITS) - 1;
    flows
        .checked_ilog(4)
        .map_or(0, |n| u64::from(n) + 1)
        .min(max)
}

fn flow_value(code: u32) -> u32 {
    code.checked_sub(1).map_or(0, |n| 4u32.pow(n))
}

/// Limits figures to what other VMs believe.
pub(crate) fn clamp(load: TargetLoad) -> TargetLoad {
    TargetLoad {
        rate: load.rate.min(RATE_MAX),
        response_time: load.response_time.min(RESPONSE_TIME_MAX),
        samples: load.samples.min(COUNT_MAX),
        flows: load.flows.min(COUNT_MAX),
        unanswered: load.unanswered.min(RATE_MAX),
        age: load.age,
    }
}

fn take_u32(bytes: &mut &[u8]) -> Option<u32> {
    let (first, rest) = bytes.split_first_chunk::<4>()?;
    *bytes = rest;
    Some(u32::from_le_bytes(*first))
}

/// Appends a number in groups of seven bits, the lowest first.
fn put_varint(bytes: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

fn take_varint(bytes: &mut &[u8]) -> Option<u64> {
    let mut value = 0;
    for shift in (0..u64::BITS).step_by(7) {
        let (first, rest) = bytes.split_first()?;
        *bytes = rest;
        let group = u64::from(first & 0x7f);
        if group << shift >> shift != group {
            return None;
        }
        value |= group << shift;
        if first & 0x80 == 0 {
            return Some(value);
        }
    }
    None
}
