//! Settings of an entry VM, read from an INI file.

use std::path::Path;

use log::LevelFilter;
use wire::{Address, DomainId, VmId};

use crate::code::Code;
use crate::ini_file::{IniFile, KeyRule, Result};
use crate::time::Ms;

/// Settings of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Number of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Address that receives datagrams from the fabric.
    pub datagram: Address,
    /// Address that receives HTTP requests of callers, peers and operators.
    pub http: Address,
    /// Address that receives remote calls of peers.
    pub peer: Address,
    /// Address of the platform's object API.
    pub platform: Address,
    /// Largest number of platform calls per second.
    pub calls: u32,
    /// Time allowed for requests in progress to complete at shutdown.
    pub stop: Ms,
    /// Least severe log level.
    pub level: LevelFilter,
    /// Log file. Standard error if none.
    pub log: Option<Box<str>>,
    /// File to which spans are appended. No tracing if none.
    pub trace: Option<Box<str>>,
}

/// Largest `calls-per-second` that is accepted.
const CALLS_MAX: u32 = 200;
const CALLS_DEFAULT: u32 = 10;
const STOP_DEFAULT: Ms = Ms(30_000);

const RULES: &[KeyRule] = &[
    KeyRule::new("vm", "id", true),
    KeyRule::new("vm", "domain", true),
    KeyRule::new("listen", "datagram", true),
    KeyRule::new("listen", "http", true),
    KeyRule::new("listen", "peer", true),
    KeyRule::new("platform", "address", true),
    KeyRule::new("platform", "calls-per-second", false),
    KeyRule::new("stop", "timeout", false),
    KeyRule::new("log", "level", false),
    KeyRule::new("log", "file", false),
    KeyRule::new("trace", "file", false),
];

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`Code::Unreadable`] if the file cannot be read or is not an INI file,
    /// [`Code::BadSettings`] with all invalid, missing, unknown and conflicting keys
    /// otherwise.
    pub fn open(path: &Path) -> Result<Settings> {
        read(IniFile::open(path)?)
    }

    /// Parses and checks settings given as text; `name` is used in messages.
    ///
    /// # Errors
    ///
    /// As [`Settings::open`].
    pub fn parse(name: &str, text: &str) -> Result<Settings> {
        read(IniFile::parse(name, text)?)
    }
}

fn read(mut ini: IniFile) -> Result<Settings> {
    ini.check_names(RULES);
    ini.check_sections(RULES);
    let settings = read_values(&mut ini);
    ini.finish(Code::BadSettings, settings)
}

fn read_values(ini: &mut IniFile) -> Option<Settings> {
    let vm = ini.value("vm", "id", "a VM number");
    let domain = ini.value("vm", "domain", "a name of a-z, 0-9 and -");
    let datagram = ini.address("listen", "datagram");
    let http = ini.address("listen", "http");
    let peer = ini.address("listen", "peer");
    let platform = ini.address("platform", "address");
    let calls = ini.value("platform", "calls-per-second", "a number");
    let stop = ini.value("stop", "timeout", "a duration such as 30s");
    let level = ini.value("log", "level", "off, error, warn, info, debug or trace");
    check_calls(ini, calls);
    check_address_conflicts(ini, http, peer, platform);
    Some(Settings {
        vm: vm?,
        domain: domain?,
        datagram: datagram?,
        http: http?,
        peer: peer?,
        platform: platform?,
        calls: calls.unwrap_or(CALLS_DEFAULT),
        stop: stop.unwrap_or(STOP_DEFAULT),
        level: level.unwrap_or(LevelFilter::Info),
        log: ini.text("log", "file"),
        trace: ini.text("trace", "file"),
    })
}

fn check_calls(ini: &mut IniFile, calls: Option<u32>) {
    let Some(calls) = calls.filter(|n| *n == 0 || *n > CALLS_MAX) else {
        return;
    };
    let text = format!("expected 1 to {CALLS_MAX}, found `{calls}`");
    ini.report("platform", "calls-per-second", &text);
}

/// Reports TCP addresses that are used twice.
fn check_address_conflicts(
    ini: &mut IniFile,
    http: Option<Address>,
    peer: Option<Address>,
    platform: Option<Address>,
) {
    if http.is_some() && http == peer {
        ini.report("listen", "peer", "same address as `http`");
    }
    if http.is_some() && http == platform {
        ini.report("listen", "http", "same address as the platform's");
    }
    if peer.is_some() && peer == platform {
        ini.report("listen", "peer", "same address as the platform's");
    }
}
