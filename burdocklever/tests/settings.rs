//! Settings and catalogue files: every problem is reported with its line.

use burdocklever::{catalogue_file, IniError, Settings};

const VALID: &str = "[vm]
id = 1
domain = accra

[listen]
datagram = 127.0.0.1:21101
http = 127.0.0.1:21201
peer = 127.0.0.1:21301

[platform]
address = 127.0.0.1:21000
";

fn problems(error: &IniError) -> String {
    let lines = error
        .problems()
        .map(|(line, text)| format!("{line}: {text}\n"));
    format!("{error}\n{}", lines.collect::<String>())
}

#[test]
fn shipped_settings_are_valid() {
    for deployment in ["gh-south", "mu-island"] {
        let folder = format!("{}/../settings/{deployment}", env!("CARGO_MANIFEST_DIR"));
        for n in 1..=9 {
            Settings::open(format!("{folder}/vm-{n}.ini").as_ref()).unwrap();
        }
        let catalogue = catalogue_file::open(format!("{folder}/catalogue.ini").as_ref()).unwrap();
        assert_eq!(catalogue.len(), 2);
    }
}

#[test]
fn valid_settings_get_defaults() {
    let settings = Settings::parse("vm.ini", VALID).unwrap();
    insta::assert_debug_snapshot!(settings);
}

#[test]
fn every_problem_is_reported_with_its_line() {
    let text = VALID
        .replace("id = 1", "id = one")
        .replace("domain = accra", "domian = accra")
        .replace(
            "peer = 127.0.0.1:21301",
            "peer = 127.0.0.1:21201\nhttp = 127.0.0.1:1",
        )
        .replace(
            "address = 127.0.0.1:21000",
            "calls-per-second = 0\n[lgo]\nlevel = info",
        );
    let error = Settings::parse("vm.ini", &text).unwrap_err();
    insta::assert_snapshot!(problems(&error));
}

#[test]
fn text_that_is_not_ini_is_rejected() {
    let error = Settings::parse("vm.ini", "[vm\nid = 1\n").unwrap_err();
    insta::assert_snapshot!(problems(&error));
}

#[test]
fn invalid_catalogue_entries_are_rejected() {
    let entry = |name: &str, class: &str, slots: &str, cold: &str| {
        format!(
            "[service {name}]\nowner = desk\nclass = {class}\naddress = 127.0.0.1:9000\n\
             slots = {slots}\nconns = 10\ncold-slots = {cold}\ncold-conns = 1\nonce = true\n\
             deadline = 5s\n"
        )
    };
    let text = [
        entry("one", "critical", "2", "1"),
        entry("two", "urgent", "0", "1"),
        entry("three", "bulk", "2", "3"),
        entry("Four", "bulk", "2", "1"),
        entry("five", "bulk", "2", "1").replace("owner = desk\n", ""),
    ];
    let error = catalogue_file::parse("catalogue.ini", &text.concat()).unwrap_err();
    insta::assert_snapshot!(problems(&error));
}
