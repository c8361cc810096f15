//! Settings of an entry VM, read from an INI file and checked as a whole.

use std::path::Path;

use log::LevelFilter;
use wire::{Address, DomainId, VmId};

use crate::code::Code;
use crate::ini_file::{IniFile, KeyRule, Result};
use crate::time::Ms;

/// Settings of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Identity of the VM.
    pub vm: VmId,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Where the fabric sends datagrams.
    pub datagram: Address,
    /// Where callers, peers and operators send HTTP requests.
    pub http: Address,
    /// Where peers send remote calls.
    pub peer: Address,
    /// Base address of the platform's object API.
    pub platform: Address,
    /// Platform calls that this VM makes a second at most.
    pub calls: u32,
    /// Time that a stop may take before requests in progress are cut.
    pub stop: Ms,
    /// Least severe log level.
    pub level: LevelFilter,
    /// Log file; standard error if none.
    pub log: Option<Box<str>>,
    /// File that spans are appended to; none if not traced.
    pub trace: Option<Box<str>>,
}

/// Largest number of platform calls a second that one VM may be allowed.
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
    /// [`Code::Unreadable`] if the file cannot be read or is no INI file,
    /// [`Code::BadSettings`] with every wrong, missing, unknown or
    /// contradictory key otherwise.
    pub fn open(path: &Path) -> Result<Settings> {
        read(IniFile::open(path)?)
    }

    /// Checks settings given as text; `name` is used in messages.
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
    let settings = values(&mut ini);
    ini.finish(Code::BadSettings, settings)
}

fn values(ini: &mut IniFile) -> Option<Settings> {
    let vm = ini.value("vm", "id", "a VM number");
    let domain = ini.value("vm", "domain", "a name of a-z, 0-9 and -");
    let datagram = ini.address("listen", "datagram");
    let http = ini.address("listen", "http");
    let peer = ini.address("listen", "peer");
    let platform = ini.address("platform", "address");
    let calls = ini.value("platform", "calls-per-second", "a number");
    let stop = ini.value("stop", "timeout", "a time such as 30s");
    let level = ini.value("log", "level", "off, error, warn, info, debug or trace");
    check_calls(ini, calls);
    check_clashes(ini, http, peer, platform);
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

/// Finds addresses that are used for two things over TCP.
fn check_clashes(
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
