//! Steering: each fault that a run has shown, replayed without a network.

use burdocklever::{
    CheckOutcome, Code, Forwarder, ForwarderConfig, Ms, Segment, Stage, Time, Token, Verdict,
};
use wire::{
    Address, Body, DomainState, Host, HostId, Incarnation, Lifecycle, Object, ObjectKey, Pool,
    Route, Share, Version,
};

const ROUTE: &str = "198.18.0.1:443";

struct World {
    forwarder: Forwarder,
    now: Time,
    version: u64,
}

impl World {
    /// A VM in `accra` with one route to the service `ledger`.
    fn new() -> World {
        let config = ForwarderConfig {
            evacuation_time: Ms(4000),
            propagation_delay: Ms(1000),
        };
        let mut world = World {
            forwarder: Forwarder::new("accra".parse().unwrap(), config),
            now: Time(0),
            version: 0,
        };
        world.pool("ledger");
        world.route("main", &["ledger"]);
        world.forwarder.confirm_routes(Time(0));
        world
    }

    fn apply(&mut self, kind: &str, name: &str, body: Body) {
        self.version += 1;
        let object = Object {
            key: ObjectKey::new(kind, name),
            version: Version(self.version),
            change: 0,
            body,
        };
        self.forwarder.apply(self.now, &object);
    }

    fn pool(&mut self, service: &str) {
        let pool = Pool {
            conns: 2000,
            cold_ms: 2000,
            cold_rate: 0,
        };
        self.apply("pool", service, Body::Pool(pool));
    }

    fn route(&mut self, name: &str, services: &[&str]) {
        self.route_of(name, services, false);
    }

    fn route_of(&mut self, name: &str, services: &[&str], once: bool) {
        let shares = services.iter().map(|s| Share {
            service: s.parse().unwrap(),
            weight: 1,
        });
        let route = Route {
            address: ROUTE.parse().unwrap(),
            shares: shares.collect(),
            non_idempotent: once,
            priority: 1,
            deadline_ms: 2000,
            goal_ms: 150,
        };
        self.apply("route", name, Body::Route(route));
    }

    fn host(&mut self, id: u64, service: &str, domain: &str, change: impl FnOnce(&mut Host)) {
        let mut host = Host {
            id: HostId(id),
            service: service.parse().unwrap(),
            domain: domain.parse().unwrap(),
            address: Address::from(([10, 0, 0, id as u8], 80)),
            state: Lifecycle::Live,
            incarnation: Incarnation(1),
            cold_ms: 0,
            slots: 2,
        };
        change(&mut host);
        self.apply("host", &id.to_string(), Body::Host(host));
    }

    fn gone(&mut self, id: u64) {
        self.apply("host", &id.to_string(), Body::Removed);
    }

    fn domain(&mut self, name: &str, state: DomainState) {
        self.apply("domain", name, Body::Domain { state });
    }

    /// Lets time pass in which this VM reads all packets as they come.
    fn pass(&mut self, ms: u64) {
        self.now = self.now + Ms(ms);
        self.forwarder.receive_queue_empty(self.now);
    }

    /// Lets time pass in which packets wait to be read.
    fn lag(&mut self, ms: u64) {
        self.now = self.now + Ms(ms);
    }

    fn packet(&mut self, caller: u16, change: impl FnOnce(&mut Segment)) -> Verdict {
        let mut segment = Segment {
            caller: Address::from(([100, 64, 0, 1], caller)),
            service: ROUTE.parse().unwrap(),
            stage: Stage::Open,
            token: Token::NONE,
            seq: 1000,
            ack: 0,
            len: 0,
        };
        change(&mut segment);
        self.forwarder.handle_packet(self.now, &segment)
    }

    /// Opens a flow and acknowledges the target's answer at once.
    fn open(&mut self, caller: u16) -> Option<HostId> {
        let verdict = self.packet(caller, |_| {});
        let host = target(verdict)?;
        self.later(caller, host, 1, 0);
        Some(host)
    }

    fn later(&mut self, caller: u16, host: HostId, ack: u32, len: u32) -> Verdict {
        self.packet(caller, |s| {
            s.stage = Stage::Within;
            s.token = Token::of(host, Incarnation(1));
            s.ack = ack;
            s.len = len;
        })
    }

    /// Sends a request in bytes 1000 to 1100 of its flow.
    fn ask(&mut self, caller: u16, host: HostId) -> Verdict {
        self.later(caller, host, 1, 100)
    }

    /// Target whose life is in doubt.
    fn doubt(&mut self) -> Option<u64> {
        self.forwarder.take_check_request().map(|d| d.host.0)
    }

    fn judge(&mut self, host: u64, finding: CheckOutcome) {
        self.forwarder.record_check(self.now, HostId(host), finding);
    }

    /// Callers whose flows were reset without a packet of theirs.
    fn resets(&mut self) -> Vec<u16> {
        let all = std::iter::from_fn(|| self.forwarder.take_reset());
        let mut callers: Vec<u16> = all.map(|s| s.caller.port()).collect();
        callers.sort_unstable();
        callers
    }

    fn opened(&mut self, callers: std::ops::Range<u16>) -> Vec<u64> {
        let hosts = callers.filter_map(|c| self.open(c).map(|h| h.0));
        let mut hosts: Vec<u64> = hosts.collect();
        hosts.sort_unstable();
        hosts
    }
}

fn target(verdict: Verdict) -> Option<HostId> {
    match verdict {
        Verdict::Forward { host, .. } => Some(host),
        _ => None,
    }
}

#[test]
fn a_flow_outlives_a_route_change_at_a_vm_that_started_after_it() {
    let mut world = World::new();
    world.pool("desk");
    world.host(1, "ledger", "accra", |_| {});
    world.host(2, "desk", "accra", |_| {});
    // This VM has never seen the route lead to `desk`; another one has.
    let verdict = world.later(1, HostId(2), 77, 10);
    assert_eq!(target(verdict), Some(HostId(2)));
}

#[test]
fn a_token_of_two_services_stays_in_the_routes_own() {
    let mut world = World::new();
    world.host(1, "ledger", "accra", |_| {});
    world.host(2, "ledger", "accra", |_| {});
    world.pool("desk");
    world.host(3, "desk", "accra", |_| {});
    for id in [1, 2] {
        let verdict = world.later(9, HostId(id), 77, 10);
        assert_eq!(target(verdict), Some(HostId(id)));
    }
}

#[test]
fn flows_spread_evenly_over_the_own_failure_domain() {
    let mut world = World::new();
    for id in 1..=3 {
        world.host(id, "ledger", "accra", |_| {});
    }
    world.host(4, "ledger", "tema", |_| {});
    assert_eq!(world.opened(1..10), [1, 1, 1, 2, 2, 2, 3, 3, 3]);
}

#[test]
fn a_cold_target_gets_no_flow_while_a_warm_one_has_room() {
    let mut world = World::new();
    world.host(1, "ledger", "accra", |h| h.cold_ms = 1500);
    world.host(2, "ledger", "tema", |_| {});
    assert_eq!(world.opened(1..4), [2, 2, 2]);
    world.pass(2400);
    assert_eq!(
        world.opened(4..6),
        [2, 2],
        "the list may be a heartbeat old"
    );
    world.pass(200);
    assert_eq!(world.opened(6..8), [1, 1]);
}

#[test]
fn a_returning_failure_domain_counts_as_cold() {
    let mut world = World::new();
    world.host(1, "ledger", "accra", |_| {});
    world.host(2, "ledger", "tema", |_| {});
    world.domain("accra", DomainState::Out);
    world.pass(9000);
    world.domain("accra", DomainState::In);
    assert_eq!(world.opened(1..3), [2, 2]);
    world.pass(3000);
    assert_eq!(world.opened(3..5), [1, 1]);
}

#[test]
fn a_failure_domain_that_is_out_gets_no_packet_after_its_time_to_leave() {
    let mut world = World::new();
    world.host(1, "ledger", "accra", |_| {});
    world.host(2, "ledger", "tema", |_| {});
    assert_eq!(world.open(1), Some(HostId(1)));
    world.domain("accra", DomainState::Out);
    assert_eq!(world.open(2), Some(HostId(2)), "no new flows at once");
    world.pass(3900);
    assert_eq!(target(world.later(1, HostId(1), 50, 10)), Some(HostId(1)));
    world.pass(100);
    assert_eq!(target(world.later(1, HostId(1), 60, 10)), None);
}

#[test]
fn a_copy_of_an_opening_packet_goes_to_another_target() {
    let mut world = World::new();
    world.host(1, "ledger", "accra", |_| {});
    world.host(2, "ledger", "accra", |_| {});
    let first = target(world.packet(1, |_| {}));
    world.pass(200);
    let second = target(world.packet(1, |s| s.ack = 1));
    assert!(second.is_some());
    assert_ne!(first, second);
}

#[test]
fn a_target_that_does_not_accept_gets_no_new_flows() {
    let mut world = World::new();
    world.host(1, "ledger", "accra", |_| {});
    world.host(2, "ledger", "accra", |_| {});
    let silent = target(world.packet(1, |_| {})).unwrap();
    world.pass(100);
    let other = HostId(3 - silent.0);
    for caller in 2..8 {
        assert_eq!(world.open(caller), Some(other));
    }
    // An answer clears it.
    world.later(1, silent, 1, 0);
    assert_eq!(world.open(9), Some(silent));
}

#[test]
fn a_target_that_left_the_list_keeps_its_flows() {
    let mut world = World::new();
    world.host(1, "ledger", "accra", |_| {});
    world.host(2, "ledger", "accra", |_| {});
    world.host(1, "ledger", "accra", |h| h.state = Lifecycle::Leaving);
    assert_eq!(world.opened(1..3), [2, 2]);
    world.gone(1);
    assert_eq!(world.opened(3..5), [2, 2]);
    world.pass(30_000);
    assert_eq!(target(world.later(9, HostId(1), 5, 5)), Some(HostId(1)));
}

#[test]
fn without_any_target_a_flow_is_refused_at_once() {
    let mut world = World::new();
    assert_eq!(world.packet(1, |_| {}), Verdict::Reset(Code::NoRoom));
}

#[test]
fn an_unknown_service_is_refused_only_on_fresh_knowledge() {
    let mut world = World::new();
    let other = |s: &mut Segment| s.service = "198.18.0.9:443".parse().unwrap();
    assert_eq!(world.packet(1, other), Verdict::Reset(Code::NoService));
    world.pass(2000);
    assert_eq!(world.packet(1, other), Verdict::Drop(Code::NoService));
    let config = ForwarderConfig {
        evacuation_time: Ms(4000),
        propagation_delay: Ms(1000),
    };
    let mut new = Forwarder::new("accra".parse().unwrap(), config);
    let segment = Segment {
        caller: "100.64.0.1:1".parse().unwrap(),
        service: ROUTE.parse().unwrap(),
        stage: Stage::Open,
        token: Token::NONE,
        seq: 1,
        ack: 0,
        len: 0,
    };
    let verdict = new.handle_packet(Time(0), &segment);
    assert_eq!(verdict, Verdict::Drop(Code::NotReady), "no catalogue yet");
}

#[test]
fn a_removed_route_ends_its_flows() {
    let mut world = World::new();
    world.host(1, "ledger", "accra", |_| {});
    assert_eq!(world.open(1), Some(HostId(1)));
    world.apply("route", "main", Body::Removed);
    let verdict = world.later(1, HostId(1), 50, 10);
    assert_eq!(verdict, Verdict::Reset(Code::NoService));
}

/// One target that goes silent with four flows open, of which the first asks
/// something; and one target that lives on.
fn a_silent_target() -> World {
    let mut world = World::new();
    world.host(1, "ledger", "accra", |_| {});
    for caller in 1..=4 {
        assert_eq!(world.open(caller), Some(HostId(1)));
    }
    world.host(2, "ledger", "accra", |_| {});
    world.pass(1000);
    world.ask(1, HostId(1));
    assert_eq!(world.doubt(), None);
    world
}

#[test]
fn flows_to_a_target_whose_process_is_gone_are_reset_after_one_repeat() {
    let mut world = a_silent_target();
    world.pass(200);
    assert_eq!(target(world.ask(1, HostId(1))), Some(HostId(1)));
    assert_eq!(world.doubt(), Some(1));
    assert_eq!(world.doubt(), None, "one check is enough");
    assert!(world.resets().is_empty(), "one packet may have been lost");
    world.judge(1, CheckOutcome::Refused);
    assert_eq!(
        world.resets(),
        [1, 2, 3, 4],
        "quiet flows need not find out"
    );
    // A flow that another VM had forwarded so far.
    let verdict = world.ask(9, HostId(1));
    assert_eq!(verdict, Verdict::Reset(Code::FlowEnded));
    assert_eq!(world.open(10), Some(HostId(2)));
}

#[test]
fn flows_to_a_target_that_cannot_be_reached_are_reset_at_the_second_repeat() {
    let mut world = a_silent_target();
    world.pass(200);
    world.ask(1, HostId(1));
    assert_eq!(world.doubt(), Some(1));
    world.pass(300);
    world.judge(1, CheckOutcome::Unreachable);
    assert!(world.resets().is_empty(), "the check may have been lost");
    world.pass(100);
    let verdict = world.ask(1, HostId(1));
    assert_eq!(verdict, Verdict::Reset(Code::FlowEnded));
    assert_eq!(world.resets(), [2, 3, 4]);
}

#[test]
fn a_check_that_ends_after_the_second_repeat_counts_too() {
    let mut world = a_silent_target();
    world.pass(200);
    world.ask(1, HostId(1));
    assert_eq!(world.doubt(), Some(1));
    world.pass(400);
    assert_eq!(target(world.ask(1, HostId(1))), Some(HostId(1)));
    world.judge(1, CheckOutcome::Unreachable);
    assert_eq!(world.resets(), [1, 2, 3, 4]);
}

/// A VM of a large fleet sees a packet a second: another VM had the flow before,
/// and the list has lost the target.
#[test]
fn a_flow_to_a_target_that_left_and_cannot_be_reached_is_reset_at_once() {
    let mut world = World::new();
    world.host(1, "ledger", "accra", |_| {});
    world.gone(1);
    world.pass(1000);
    assert_eq!(target(world.ask(1, HostId(1))), Some(HostId(1)));
    assert_eq!(world.doubt(), Some(1));
    world.pass(300);
    world.judge(1, CheckOutcome::Unreachable);
    assert_eq!(world.resets(), [1]);
}

/// Addresses of targets that ended go to others, which take connections there.
#[test]
fn flows_to_a_target_whose_address_has_gone_to_another_are_reset() {
    let mut world = a_silent_target();
    world.gone(1);
    world.host(3, "ledger", "tema", |h| {
        h.address = Address::from(([10, 0, 0, 1], 80));
        h.incarnation = Incarnation(2);
    });
    world.pass(200);
    let verdict = world.ask(1, HostId(1));
    assert_eq!(verdict, Verdict::Reset(Code::FlowEnded));
    assert_eq!(world.resets(), [2, 3, 4]);
    assert_eq!(world.doubt(), None);
}

/// A failure domain returns: its targets are cold and get the requests that waited
/// meanwhile all at once. One with a full queue takes no more, and answers nobody
/// for a second. Traced on vcc-takeback, lost-zones, seed 207511945494.
#[test]
fn a_cold_target_with_a_full_queue_loses_no_flow() {
    for left in [false, true] {
        let mut world = a_silent_target();
        if left {
            world.gone(1);
        }
        for caller in [1, 2, 3] {
            world.ask(caller, HostId(1));
        }
        for pause in [200, 400, 800, 1600] {
            world.pass(pause);
            for caller in [1, 2, 3] {
                let verdict = world.ask(caller, HostId(1));
                assert_eq!(target(verdict), Some(HostId(1)));
            }
            while let Some(host) = world.doubt() {
                world.judge(host, CheckOutcome::Alive);
            }
        }
        assert!(world.resets().is_empty());
        assert_ne!(world.open(9), Some(HostId(1)), "it stays suspect");
    }
}

#[test]
fn a_target_that_answers_others_loses_no_flow() {
    let mut world = a_silent_target();
    for pause in [200, 400, 800] {
        world.pass(pause / 2);
        world.later(2, HostId(1), 5 + pause as u32, 0);
        world.pass(pause / 2);
        assert_eq!(target(world.ask(1, HostId(1))), Some(HostId(1)));
        assert_eq!(world.doubt(), None);
    }
    assert!(world.resets().is_empty());
}

#[test]
fn a_target_that_answers_during_its_check_loses_no_flow() {
    let mut world = a_silent_target();
    for pause in [200, 400] {
        world.pass(pause);
        world.ask(1, HostId(1));
    }
    world.later(2, HostId(1), 7, 0);
    world.judge(1, CheckOutcome::Unreachable);
    assert!(world.resets().is_empty());
}

#[test]
fn packets_out_of_order_are_no_repeats() {
    let mut world = a_silent_target();
    for _ in 0..5 {
        world.pass(10);
        assert_eq!(target(world.ask(1, HostId(1))), Some(HostId(1)));
    }
    assert_eq!(world.doubt(), None);
    assert!(
        world.opened(5..15).contains(&1),
        "the target is not suspect"
    );
}

#[test]
fn a_vm_that_was_frozen_blames_no_target() {
    let mut world = a_silent_target();
    // The queue holds the repeats of the whole time.
    world.lag(3000);
    for _ in 0..4 {
        assert_eq!(target(world.ask(1, HostId(1))), Some(HostId(1)));
    }
    assert_eq!(world.doubt(), None);
}

/// A VM with a small share of a core that reads a configuration of a thousand
/// routes while packets come in.
#[test]
fn a_vm_that_is_late_blames_no_target() {
    let mut world = a_silent_target();
    for _ in 0..6 {
        world.lag(250);
        for caller in 1..=4 {
            let verdict = world.ask(caller, HostId(1));
            assert_eq!(target(verdict), Some(HostId(1)));
        }
    }
    // The acknowledgements were behind the repeats.
    world.later(1, HostId(1), 5, 0);
    assert_eq!(world.doubt(), None);
}

/// A VM whose link is full of other traffic: every packet takes long, and its
/// checks reach neither the target nor a peer.
#[test]
fn a_vm_with_a_full_link_blames_no_target() {
    let mut world = a_silent_target();
    for pause in [200, 400, 800] {
        world.pass(pause);
        for caller in 1..=4 {
            let verdict = world.ask(caller, HostId(1));
            assert_eq!(target(verdict), Some(HostId(1)));
        }
        while let Some(host) = world.doubt() {
            world.judge(host, CheckOutcome::Inconclusive);
        }
    }
    assert!(world.resets().is_empty());
}

#[test]
fn a_request_that_may_not_be_repeated_waits_while_an_answer_may_come() {
    for finding in [CheckOutcome::Unreachable, CheckOutcome::Refused] {
        let mut world = World::new();
        world.route_of("main", &["ledger"], true);
        world.host(1, "ledger", "accra", |_| {});
        world.open(1);
        world.open(2);
        world.ask(1, HostId(1));
        for pause in [200, 400] {
            world.pass(pause);
            assert_eq!(target(world.ask(1, HostId(1))), Some(HostId(1)));
        }
        assert_eq!(world.doubt(), Some(1));
        world.judge(1, finding);
        let ended: &[u16] = match finding {
            CheckOutcome::Refused => &[1, 2],
            _ => &[2],
        };
        assert_eq!(world.resets(), ended);
    }
}

#[test]
fn a_target_given_up_by_mistake_is_found_again() {
    let mut world = a_silent_target();
    for pause in [200, 400] {
        world.pass(pause);
        world.ask(1, HostId(1));
    }
    assert_eq!(world.doubt(), Some(1));
    world.judge(1, CheckOutcome::Unreachable);
    world.pass(900);
    // The next packet asks for a check; until it ends, all are let through.
    for caller in [9, 8] {
        assert_eq!(target(world.ask(caller, HostId(1))), Some(HostId(1)));
    }
    assert_eq!(world.doubt(), Some(1));
    world.pass(10);
    world.judge(1, CheckOutcome::Unreachable);
    assert_eq!(target(world.ask(7, HostId(1))), None, "still dead");
    world.pass(900);
    world.ask(6, HostId(1));
    world.pass(10);
    world.judge(1, CheckOutcome::Alive);
    world.pass(400);
    assert_eq!(target(world.ask(5, HostId(1))), Some(HostId(1)));
}

/// A failure domain is cut off and comes back; a VM that gave its targets up hears
/// nothing of them until a flow of another VM comes, seconds later. Traced on
/// mtmg-lever, mix, seed 440080419412.
#[test]
fn a_target_given_up_long_ago_loses_no_flow() {
    let mut world = a_silent_target();
    for pause in [200, 400] {
        world.pass(pause);
        world.ask(1, HostId(1));
    }
    assert_eq!(world.doubt(), Some(1));
    world.judge(1, CheckOutcome::Unreachable);
    world.resets();
    world.pass(8000);
    let verdict = world.packet(9, |s| {
        s.stage = Stage::Within;
        s.token = Token::of(HostId(1), Incarnation(1));
        s.ack = 500;
        s.len = 100;
    });
    assert_eq!(target(verdict), Some(HostId(1)));
    assert!(world.resets().is_empty());
}

/// Callers come back together after all VMs were lost: every VM starts with
/// empty tables, and each failure domain has its own share of callers.
#[test]
fn a_returning_herd_spills_before_the_own_failure_domain_queues() {
    let mut world = World::new();
    for id in 1..=3 {
        world.host(id, "ledger", "accra", |_| {});
    }
    for id in 4..=8 {
        world.host(id, "ledger", "tema", |_| {});
    }
    let mut waiting = [0; 9];
    for caller in 1..=32 {
        let host = world.open(caller).unwrap();
        world.ask(caller, host);
        waiting[host.0 as usize] += 1;
    }
    assert_eq!(waiting[1..], [4; 8], "each target runs two at once");
    // Fifteen VMs of the failure domain see as much each.
    let mut world = World::new();
    world.forwarder.set_domain_size(15);
    world.host(1, "ledger", "accra", |_| {});
    world.host(2, "ledger", "tema", |_| {});
    for caller in 1..=2 {
        let host = world.open(caller).unwrap();
        world.ask(caller, host);
    }
    assert_eq!(world.opened(5..7), [1, 2]);
}

/// A configuration sends half of a large route to a small service.
#[test]
fn flows_of_a_full_service_go_to_the_routes_other_one() {
    let mut world = World::new();
    world.pool("desk");
    world.route("main", &["ledger", "desk"]);
    for id in 1..=6 {
        world.host(id, "ledger", "accra", |_| {});
    }
    world.host(7, "desk", "accra", |_| {});
    let mut waiting = [0; 8];
    for caller in 1..=28 {
        let host = world.open(caller).unwrap();
        world.ask(caller, host);
        waiting[host.0 as usize] += 1;
    }
    assert_eq!(
        waiting[1..],
        [4; 7],
        "no target queues more than the others"
    );
}
