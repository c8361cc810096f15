//! Catalogue files: INI files with service entries, validated before they are written
//! to the platform.

use std::collections::BTreeMap;
use std::path::Path;

use wire::{Address, Class, Limits, Service, ServiceId};

use crate::code::Code;
use crate::ini_file::{IniFile, KeyRule, Result};
use crate::time::Ms;

const RULES: &[KeyRule] = &[
    rule("owner"),
    rule("class"),
    rule("address"),
    rule("slots"),
    rule("conns"),
    rule("cold-slots"),
    rule("cold-conns"),
    rule("once"),
    rule("deadline"),
];

const fn rule(key: &'static str) -> KeyRule {
    KeyRule {
        section: "service",
        key,
        required: true,
    }
}

/// Reads the entries of a file with one `[service NAME]` section each.
///
/// # Errors
///
/// [`Code::Unreadable`] if the file cannot be read or is not an INI file,
/// [`Code::BadEntry`] with every invalid value otherwise.
pub fn open(path: &Path) -> Result<BTreeMap<ServiceId, Service>> {
    read(IniFile::open(path)?)
}

/// Parses the text of a catalogue file. `name` is the file name in error messages.
///
/// # Errors
///
/// The same as [`open`].
pub fn parse(name: &str, text: &str) -> Result<BTreeMap<ServiceId, Service>> {
    read(IniFile::parse(name, text)?)
}

fn read(mut ini: IniFile) -> Result<BTreeMap<ServiceId, Service>> {
    ini.check_names(RULES);
    let mut entries = BTreeMap::new();
    let mut addresses: BTreeMap<Address, ServiceId> = BTreeMap::new();
    for section in ini.sections() {
        let name = section.strip_prefix("service ").unwrap_or_default();
        let Ok(id) = name.trim().parse::<ServiceId>() else {
            ini.report(&section, "", "expected `[service NAME]`");
            continue;
        };
        let Some(service) = service(&mut ini, &section) else {
            continue;
        };
        if let Some(other) = addresses.insert(service.address, id.clone()) {
            let text = format!("address is already used by service {other}");
            ini.report(&section, "address", &text);
        }
        entries.insert(id, service);
    }
    ini.finish(Code::BadEntry, Some(entries))
}

fn service(ini: &mut IniFile, section: &str) -> Option<Service> {
    let owner = ini.text(section, "owner");
    if owner.as_deref().is_some_and(|o| o.trim().is_empty()) {
        ini.report(
            section,
            "owner",
            "expected the person or team responsible for the service",
        );
    }
    let class: Option<Class> = ini.value(section, "class", "critical, normal or bulk");
    let address = ini.address(section, "address");
    let limits = limits(ini, section);
    let once = ini.value(section, "once", "true or false");
    let deadline: Option<Ms> = ini.value(section, "deadline", "a duration such as 10s");
    if deadline == Some(Ms(0)) {
        ini.report(section, "deadline", "expected more than 0");
    }
    Some(Service {
        owner: owner?,
        class: class?,
        address: address?,
        limits: limits?,
        non_idempotent: once?,
        deadline_ms: deadline?.0,
    })
}

fn limits(ini: &mut IniFile, section: &str) -> Option<Limits> {
    let mut number = |key: &str| {
        let value: Option<u32> = ini.value(section, key, "a number");
        if value == Some(0) {
            ini.report(section, key, "expected at least 1");
        }
        value
    };
    let slots = number("slots");
    let conns = number("conns");
    let cold_slots = number("cold-slots");
    let cold_conns = number("cold-conns");
    if slots.is_some() && cold_slots > slots {
        ini.report(section, "cold-slots", "expected at most `slots`");
    }
    if conns.is_some() && cold_conns > conns {
        ini.report(section, "cold-conns", "expected at most `conns`");
    }
    Some(Limits {
        slots: slots?,
        conns: conns?,
        cold_slots: cold_slots?,
        cold_conns: cold_conns?,
    })
}
