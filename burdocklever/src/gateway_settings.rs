//! Settings of a gateway: an entry VM whose packets carry tokens.

use std::path::Path;

use log::LevelFilter;
use wire::{Address, DomainId};

use crate::code::Code;
use crate::freshness::Bounds;
use crate::ini_file::{IniFile, KeyRule, Result};
use crate::link_rate::LinkRate;
use crate::load_table::LoadBudget;
use crate::shortage::{Floor, ShortageSettings};
use crate::switch::Switch;
use crate::time::Ms;

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Name of the VM in logs.
    pub name: Box<str>,
    /// Failure domain that the VM runs in.
    pub domain: DomainId,
    /// Address that the fabric sends packets to.
    pub datagram: Address,
    /// Address of the readiness probe, by which the fabric finds out whether the
    /// VM accepts packets.
    pub ready: Address,
    /// Address that other gateways fetch the catalogue from; none if there are no
    /// others.
    pub peer: Option<Address>,
    /// Peer addresses of gateways to contact first; some may no longer exist.
    pub seeds: Vec<Address>,
    /// Whether the whole fleet starts for the first time, from `[peers] first`.
    pub first_start: bool,
    /// Address that metrics are served on; none if they are not served.
    pub metrics: Option<Address>,
    /// Address of the platform's store.
    pub platform: Address,
    /// Times within which changes must be in force, from `[limits] config`, `drain`
    /// and `leave`.
    pub bounds: Bounds,
    /// Capacity of the VM's link, from `[limits] link`.
    pub link: LinkRate,
    /// Time within which a failure domain that goes out of service must be free of
    /// traffic, from `[limits] leave`.
    pub evacuation_time: Ms,
    /// Interval at which a target writes its entry, from `[limits] heartbeat`.
    pub heartbeat_interval: Ms,
    /// Time after which a VM that was told to stop is killed, from `[limits] stop`.
    pub stop_timeout: Ms,
    /// Whether VMs share the load of targets, from `[load] share`.
    pub load_share: Switch,
    /// Bytes per second that the VM may send of it, from `[load] budget`.
    pub load_budget: LoadBudget,
    /// Refusing for lack of room, from `[shortage]`.
    pub shortage: ShortageSettings,
    /// Least severe level that is logged.
    pub level: LevelFilter,
}

/// The smallest link of the users' VMs.
const LINK_DEFAULT: LinkRate = LinkRate(10);
/// The usual interval of the platform's targets.
const HEARTBEAT_DEFAULT: Ms = Ms(1200);
/// The platform's usual grace period.
const STOP_DEFAULT: Ms = Ms(6000);

/// Known keys, and whether they are required.
const KEYS: &[KeyRule] = &[
    KeyRule::new("vm", "name", true),
    KeyRule::new("vm", "domain", true),
    KeyRule::new("listen", "datagram", true),
    KeyRule::new("listen", "ready", true),
    KeyRule::new("listen", "peer", false),
    KeyRule::new("listen", "metrics", false),
    KeyRule::new("peers", "seeds", false),
    KeyRule::new("platform", "address", true),
    KeyRule::new("peers", "first", false),
    KeyRule::new("limits", "config", false),
    KeyRule::new("limits", "drain", false),
    KeyRule::new("limits", "link", false),
    KeyRule::new("limits", "leave", false),
    KeyRule::new("limits", "heartbeat", false),
    KeyRule::new("limits", "stop", false),
    KeyRule::new("load", "share", false),
    KeyRule::new("load", "budget", false),
    KeyRule::new("shortage", "refuse", false),
    KeyRule::new("shortage", "floor", false),
    KeyRule::new("log", "level", false),
];

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`Code::Unreadable`] if the file cannot be read or is not an INI file,
    /// [`Code::BadSettings`] with every invalid, missing, unknown or
    /// contradictory key otherwise.
    pub fn open(path: &Path) -> Result<GatewaySettings> {
        read(IniFile::open(path)?)
    }

    /// Parses and checks settings given as text. Error messages refer to them as
    /// `name`.
    ///
    /// # Errors
    ///
    /// As [`GatewaySettings::open`].
    pub fn parse(name: &str, text: &str) -> Result<GatewaySettings> {
        read(IniFile::parse(name, text)?)
    }
}

fn read(mut ini: IniFile) -> Result<GatewaySettings> {
    ini.check_names(KEYS);
    ini.check_sections(KEYS);
    let settings = values(&mut ini);
    ini.finish(Code::BadSettings, settings)
}

fn values(ini: &mut IniFile) -> Option<GatewaySettings> {
    let duration = "a duration such as 30s";
    let name = ini.text("vm", "name");
    let domain = ini.value("vm", "domain", "a name of a-z, 0-9 and -");
    let datagram = ini.address("listen", "datagram");
    let ready = ini.address("listen", "ready");
    let peer = ini.address("listen", "peer");
    let metrics = ini.address("listen", "metrics");
    let seeds = seeds(ini);
    let platform = ini.address("platform", "address");
    let first_start = ini.value("peers", "first", "true or false");
    let bounds = bounds(ini);
    let link = ini.value("limits", "link", "a link rate such as 200mbit");
    let link = link.unwrap_or(LINK_DEFAULT);
    let heartbeat_interval = ini.value("limits", "heartbeat", duration);
    let stop_timeout = ini.value("limits", "stop", duration);
    let load_share = ini.value("load", "share", "auto, on or off");
    let load_budget = ini.value(
        "load",
        "budget",
        "a number of bytes per second from 512 to 65536",
    );
    if load_share == Some(Switch::On) && peer.is_none() {
        ini.report("load", "share", "`on` needs `[listen] peer`");
    }
    let refuse: Option<Switch> = ini.value("shortage", "refuse", "auto, on or off");
    let floor: Option<Floor> = ini.value("shortage", "floor", "a percentage from 1 to 50");
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
        first_start: first_start.unwrap_or(false),
        bounds,
        link,
        evacuation_time: bounds.domains,
        heartbeat_interval: heartbeat_interval.unwrap_or(HEARTBEAT_DEFAULT),
        stop_timeout: stop_timeout.unwrap_or(STOP_DEFAULT),
        load_share: load_share.unwrap_or_default(),
        load_budget: load_budget.unwrap_or(LoadBudget::of_link(link)),
        shortage: ShortageSettings {
            refuse: refuse.unwrap_or_default(),
            floor: floor.unwrap_or_default(),
        },
        level: level.unwrap_or(LevelFilter::Info),
    })
}

/// Reads the bounds. Shorter ones than [`Bounds::MIN`] are reported.
fn bounds(ini: &mut IniFile) -> Bounds {
    let mut bound = |key, default| {
        let value: Option<Ms> = ini.value("limits", key, "a duration such as 30s");
        if value.is_some_and(|v| v < Bounds::MIN) {
            let problem = format!(
                "expected at least {}, the shortest bound that can be kept",
                Bounds::MIN
            );
            ini.report("limits", key, &problem);
        }
        value.unwrap_or(default)
    };
    let default = Bounds::default();
    Bounds {
        routes: bound("config", default.routes),
        hosts: bound("drain", default.hosts),
        domains: bound("leave", default.domains),
    }
}

/// Parses the addresses in `[peers] seeds`, separated by commas.
fn seeds(ini: &mut IniFile) -> Vec<Address> {
    let text = ini.text("peers", "seeds").unwrap_or_default();
    let parts = text.split(',').map(str::trim).filter(|s| !s.is_empty());
    let parsed: Vec<Option<Address>> = parts.map(|s| s.parse().ok()).collect();
    if parsed.iter().any(Option::is_none) {
        let problem =
            format!("expected IP addresses with ports, separated by commas, found `{text}`");
        ini.report("peers", "seeds", &problem);
    }
    parsed.into_iter().flatten().collect()
}
