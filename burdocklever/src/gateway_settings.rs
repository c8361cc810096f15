//! Settings of a gateway: an entry VM whose packets carry tokens.

use std::path::Path;

use log::LevelFilter;
use wire::{Address, DomainId};

use crate::code::Code;
use crate::ini_file::{IniFile, KeyRule, Result};
use crate::time::Ms;

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Name of the VM in logs.
    pub name: Box<str>,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Where the fabric sends packets.
    pub datagram: Address,
    /// Where the fabric asks whether the VM takes packets.
    pub ready: Address,
    /// Where other gateways ask for the catalogue; none if the VM is alone.
    pub peer: Option<Address>,
    /// Gateways to ask first; some may be gone.
    pub seeds: Vec<Address>,
    /// Where metrics are served; none if not given.
    pub metrics: Option<Address>,
    /// Address of the platform's store.
    pub platform: Address,
    /// Time within which a failure domain that goes out must be empty.
    pub leave: Ms,
    /// Time between two writes of a target's entry.
    pub heartbeat: Ms,
    /// Time after which a VM that was told to stop is killed.
    pub stop: Ms,
    /// Least severe log level.
    pub level: LevelFilter,
}

/// The brief's "a few seconds".
const LEAVE_DEFAULT: Ms = Ms(5000);
/// The platform's usual interval.
const HEARTBEAT_DEFAULT: Ms = Ms(1200);
/// The platform's usual patience.
const STOP_DEFAULT: Ms = Ms(6000);

const RULES: &[KeyRule] = &[
    KeyRule::new("vm", "name", true),
    KeyRule::new("vm", "domain", true),
    KeyRule::new("listen", "datagram", true),
    KeyRule::new("listen", "ready", true),
    KeyRule::new("listen", "peer", false),
    KeyRule::new("listen", "metrics", false),
    KeyRule::new("peers", "seeds", false),
    KeyRule::new("platform", "address", true),
    KeyRule::new("limits", "leave", false),
    KeyRule::new("limits", "heartbeat", false),
    KeyRule::new("limits", "stop", false),
    KeyRule::new("log", "level", false),
];

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`Code::Unreadable`] if the file cannot be read or is no INI file,
    /// [`Code::BadSettings`] with every wrong, missing, unknown or
    /// contradictory key otherwise.
    pub fn open(path: &Path) -> Result<GatewaySettings> {
        read(IniFile::open(path)?)
    }

    /// Checks settings given as text; `name` is used in messages.
    ///
    /// # Errors
    ///
    /// As [`GatewaySettings::open`].
    pub fn parse(name: &str, text: &str) -> Result<GatewaySettings> {
        read(IniFile::parse(name, text)?)
    }
}

fn read(mut ini: IniFile) -> Result<GatewaySettings> {
    ini.check_names(RULES);
    ini.check_sections(RULES);
    let settings = values(&mut ini);
    ini.finish(Code::BadSettings, settings)
}

fn values(ini: &mut IniFile) -> Option<GatewaySettings> {
    let time = "a time such as 30s";
    let name = ini.text("vm", "name");
    let domain = ini.value("vm", "domain", "a name of a-z, 0-9 and -");
    let datagram = ini.address("listen", "datagram");
    let ready = ini.address("listen", "ready");
    let peer = ini.address("listen", "peer");
    let metrics = ini.address("listen", "metrics");
    let seeds = seeds(ini);
    let platform = ini.address("platform", "address");
    let leave = ini.value("limits", "leave", time);
    let heartbeat = ini.value("limits", "heartbeat", time);
    let stop = ini.value("limits", "stop", time);
    let level = ini.value("log", "level", "off, error, warn, info, debug or trace");
    if ready.is_some() && ready == metrics {
        ini.report("listen", "metrics", "same address as `ready`");
    }
    if peer.is_some() && (peer == ready || peer == metrics) {
        ini.report("listen", "peer", "same address as `ready` or `metrics`");
    }
    Some(GatewaySettings {
        name: name?,
        domain: domain?,
        datagram: datagram?,
        ready: ready?,
        peer,
        seeds,
        metrics,
        platform: platform?,
        leave: leave.unwrap_or(LEAVE_DEFAULT),
        heartbeat: heartbeat.unwrap_or(HEARTBEAT_DEFAULT),
        stop: stop.unwrap_or(STOP_DEFAULT),
        level: level.unwrap_or(LevelFilter::Info),
    })
}

/// Addresses separated by commas.
fn seeds(ini: &mut IniFile) -> Vec<Address> {
    let text = ini.text("peers", "seeds").unwrap_or_default();
    let parts = text.split(',').map(str::trim).filter(|s| !s.is_empty());
    let parsed: Vec<Option<Address>> = parts.map(|s| s.parse().ok()).collect();
    if parsed.iter().any(Option::is_none) {
        let fault = format!("expected IP addresses and ports with commas between, found `{text}`");
        ini.report("peers", "seeds", &fault);
    }
    parsed.into_iter().flatten().collect()
}
