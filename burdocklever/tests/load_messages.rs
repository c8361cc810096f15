//! Compatibility of catalogue messages with builds that do not share load.

use burdocklever::{
    CatalogueRequest, Condition, GatewaySettings, LinkRate, LoadBudget, MemberNews, Ms, PackedLoad,
    Peer, Switch,
};
use serde::{Deserialize, Serialize};
use wire::{Incarnation, Member, Version, VmId};

/// The request as a build without shared load has it.
#[derive(Debug, Serialize, Deserialize)]
struct OldRequest {
    from: [Version; 3],
    wait: Ms,
    cursor: Option<()>,
    sender: MemberNews,
    members: Vec<MemberNews>,
    brief: bool,
}

fn sender() -> MemberNews {
    MemberNews {
        peer: Peer {
            member: Member {
                vm: VmId(1),
                incarnation: Incarnation(2),
            },
            domain: "accra".parse().unwrap(),
            address: "10.0.0.1:80".parse().unwrap(),
            link: LinkRate(20),
        },
        refutations: 0,
        condition: Condition::Alive,
    }
}

/// Guards against an update of one VM after the other in which old and new builds do not
/// understand each other.
#[test]
fn without_load_a_request_is_that_of_an_older_build() {
    let old = OldRequest {
        from: [Version(1); 3],
        wait: Ms(5),
        cursor: None,
        sender: sender(),
        members: vec![sender()],
        brief: true,
    };
    let bytes = rmp_serde::to_vec(&old).unwrap();
    let mut new: CatalogueRequest = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(new.load, None);
    assert_eq!(rmp_serde::to_vec(&new).unwrap(), bytes);
    assert!(rmp_serde::from_slice::<OldRequest>(&bytes).is_ok());
    new.load = Some(PackedLoad(vec![1, 2, 3]));
    let longer = rmp_serde::to_vec(&new).unwrap();
    assert_eq!(longer.len(), bytes.len() + 2 + 3, "a header and the bytes");
    let back: CatalogueRequest = rmp_serde::from_slice(&longer).unwrap();
    assert_eq!(back.load, new.load);
    // So sharing must be off while a fleet is updated.
    assert!(rmp_serde::from_slice::<OldRequest>(&longer).is_err());
}

const SETTINGS: &str = "[vm]
name = a
domain = accra
[listen]
datagram = 127.0.0.1:1
ready = 127.0.0.1:2
[platform]
address = 127.0.0.1:3
";

/// Guards against a wrong setting that passes, or that is reported without its line.
#[test]
fn settings_of_shared_load_are_checked() {
    let parse = |text: &str| GatewaySettings::parse("vm.ini", &format!("{SETTINGS}{text}"));
    let default = parse("").unwrap();
    assert_eq!(
        (default.load_share, default.load_budget),
        (Switch::Auto, LoadBudget(4096))
    );
    let set = parse("[load]\nshare = off\nbudget = 65536\n").unwrap();
    assert_eq!(
        (set.load_share, set.load_budget),
        (Switch::Off, LoadBudget::MAX)
    );
    let problems = |text: &str| {
        let error = parse(text).unwrap_err();
        let lines = error
            .problems()
            .map(|(line, text)| format!("{line}: {text}"));
        lines.collect::<Vec<String>>()
    };
    assert_eq!(
        problems("[load]\nshare = maybe\nbudget = 100\n"),
        [
            "10: expected auto, on or off, found `maybe`",
            "11: expected a number of bytes per second from 512 to 65536, found `100`",
        ]
    );
    assert_eq!(
        problems("[load]\nshare = on\n"),
        ["10: `on` needs `[listen] peer`"]
    );
}
