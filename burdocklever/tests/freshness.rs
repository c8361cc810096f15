//! Intervals that follow from the deployment's bounds, and the settings that give them.

use burdocklever::{Bounds, Feed, GatewaySettings, LinkRate, Ms};

const SETTINGS: &str = "[vm]
name = edge-1
domain = accra
[listen]
datagram = 10.0.0.1:1
ready = 10.0.0.1:2
[platform]
address = 10.9.0.1:1
";

fn bounds(ms: u64) -> Bounds {
    Bounds {
        routes: Ms(ms),
        hosts: Ms(ms),
        domains: Ms(ms),
    }
}

/// Between two confirmations a peer hears of every confirmation, so what it knows
/// ages little beyond one interval; reading the store must fit into the rest.
#[test]
fn a_change_is_in_force_in_time_at_all_bounds() {
    for ms in [1000, 1500, 3000, 5000, 6000, 30_000] {
        let bounds = bounds(ms);
        for feed in Feed::ALL {
            let age = bounds.max_age(feed);
            assert!(bounds.watch_interval() + Ms(100) < age, "{ms} ms");
            assert!(age + Ms(200) < Ms(ms), "{ms} ms");
        }
        assert!(bounds.long_poll() > bounds.watch_interval());
    }
}

#[test]
fn longer_bounds_take_proportionally_fewer_calls() {
    assert_eq!(bounds(3000).watch_interval(), Ms(1200));
    assert_eq!(bounds(6000).watch_interval(), Ms(2400));
    let mixed = Bounds {
        domains: Ms(2000),
        ..bounds(6000)
    };
    assert_eq!(
        mixed.watch_interval(),
        Ms(800),
        "the shortest bound decides"
    );
    assert_eq!(mixed.max_age(Feed::Hosts), Ms(4500));
}

#[test]
fn settings_give_bounds_and_link() {
    let text = format!(
        "{SETTINGS}[peers]\nfirst = true\n[limits]\nconfig = 6000ms\ndrain = 4s\nleave = 5s\n\
         link = 200.0mbit\n"
    );
    let settings = GatewaySettings::parse("vm.ini", &text).unwrap();
    let expected = Bounds {
        routes: Ms(6000),
        hosts: Ms(4000),
        domains: Ms(5000),
    };
    assert_eq!(settings.bounds, expected);
    assert_eq!((settings.link, settings.first_start), (LinkRate(200), true));
    let default = GatewaySettings::parse("vm.ini", SETTINGS).unwrap();
    assert_eq!(default.bounds, Bounds::default());
    assert!(!default.first_start);
}

#[test]
fn bounds_that_cannot_be_kept_are_refused() {
    let text = format!("{SETTINGS}[limits]\nconfig = 999ms\nlink = 0mbit\ndrain = 1s\n");
    let error = GatewaySettings::parse("vm.ini", &text).unwrap_err();
    let problems: Vec<String> = error.problems().map(|(n, t)| format!("{n}: {t}")).collect();
    insta::assert_snapshot!(problems.join("\n"));
}
