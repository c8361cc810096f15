//! Objects of other writers at the platform that the product's own daemon reads: whatever one
//! holds, the others are read, and the daemon goes on.

use std::sync::{Arc, Mutex};

use axum::Router;
use burdocklever::{
    Action, Delta, Event, FlowKey, Mark, Ms, Node, Packet, PacketId, PlatformClient, Request,
    RequestId, Time,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use wire::{Body, Incarnation, Member, Object, Version, VmId};

/// Depth of the nested objects. Reading each level with a call would overflow the stack.
const DEPTH: usize = 100_000;

const HOST: &str = r#"{"key":{"kind":"host","name":"7"},"version":5,"change":1,"body":{"host":{"id":7,"service":"ledger","domain":"accra","address":"10.0.0.7:80","state":"live","life":3,"cold_ms":0,"slots":2}}}"#;

/// A platform that answers all calls with the same body.
struct MockPlatform {
    body: Arc<Mutex<Vec<u8>>>,
    client: PlatformClient,
}

impl MockPlatform {
    async fn spawn() -> MockPlatform {
        let body: Arc<Mutex<Vec<u8>>> = Arc::default();
        let answer = body.clone();
        let app = Router::new().fallback(move || {
            let body = answer.lock().unwrap().clone();
            async move { body }
        });
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move { axum::serve(listener, app).await });
        MockPlatform {
            body,
            client: PlatformClient::open(address, 1_000_000).unwrap(),
        }
    }

    /// Objects that a list and a watch return for these.
    async fn read(&self, objects: &[Vec<u8>]) -> [Vec<Object>; 2] {
        let objects = objects.join(&b',');
        let body = [b"{\"version\":9,\"objects\":[", &objects[..], b"]}"].concat();
        *self.body.lock().unwrap() = body;
        let list = self.client.list(Version(1)).await.unwrap();
        let watch = self.client.watch(Version(1)).await.unwrap();
        assert_eq!((list.version, watch.version), (Version(9), Version(9)));
        [list.objects, watch.objects]
    }
}

fn good(name: &str) -> Vec<u8> {
    let key = format!("{{\"kind\":\"domain\",\"name\":\"{name}\"}}");
    format!("{{\"key\":{key},\"version\":4,\"change\":1,\"body\":{{\"domain\":{{\"state\":\"out\"}}}}}}")
        .into_bytes()
}

/// Objects of target 7 that cannot be used.
fn odd_objects() -> Vec<Vec<u8>> {
    let deep = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let replaced = [
        ("\"ledger\"", &*deep),
        ("\"ledger\"", "\"../x\""),
        ("\"10.0.0.7:80\"", "\"10.0.0.7:70000\""),
        ("\"10.0.0.7:80\"", "\"10.0.0.7:\""),
        ("\"slots\":2", "\"slots\":99999999999999999999"),
        ("\"slots\":2", "\"slots\":1e999"),
        ("\"slots\":2", "\"slots\":-1"),
        ("\"life\":3", "\"life\":18446744073709551616"),
        ("\"live\"", "\"asleep\""),
        ("\"id\":7", "\"id\":8"),
        ("\"id\":7", "\"ID\":7"),
        ("\"host\":{", "\"pool\":{"),
        ("\"host\":{", "\"other\":{"),
    ];
    let with = |(from, to): (&str, &str)| {
        assert!(HOST.contains(from), "{from}");
        HOST.replacen(from, to, 1).into_bytes()
    };
    let mut objects: Vec<Vec<u8>> = replaced.into_iter().map(with).collect();
    for body in [
        &b"\"\xff\xfe\""[..],
        b"\xff",
        b"NaN",
        b"null",
        deep.as_bytes(),
    ] {
        let at = HOST.find("{\"host\"").unwrap();
        objects.push([&HOST.as_bytes()[..at], body, b"}"].concat());
    }
    objects
}

/// Guards against daemons that stop following the platform because of one object, and against
/// a target that is used on although its object cannot be read any more.
#[tokio::test]
async fn an_odd_object_does_not_affect_the_others() {
    let platform = MockPlatform::spawn().await;
    for odd in odd_objects() {
        let what: String = odd.escape_ascii().to_string().chars().take(300).collect();
        for objects in platform
            .read(&[good("accra"), odd.clone(), good("tema")])
            .await
        {
            let seen: Vec<(String, bool)> = objects
                .iter()
                .map(|o| (o.key.to_string(), o.body == Body::Removed))
                .collect();
            let expected = [
                ("domain/accra", false),
                ("host/7", true),
                ("domain/tema", false),
            ];
            let expected = expected.map(|(name, removed)| (name.to_string(), removed));
            assert_eq!(seen, expected, "{what}");
        }
    }
}

/// The same for objects that do not even have a key, and for arbitrary bytes.
#[tokio::test]
async fn objects_of_arbitrary_bytes_do_not_affect_the_others() {
    let platform = MockPlatform::spawn().await;
    let deep = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let mut odd: Vec<Vec<u8>> = vec![
        deep.into(),
        b"7".to_vec(),
        b"{}".to_vec(),
        b"{\"key\":7}".to_vec(),
    ];
    for seed in 0..1000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let plain = |rng: &mut ChaCha8Rng| loop {
            let byte: u8 = rng.random();
            if !b"\"\\[]{},:".contains(&byte) && !byte.is_ascii_whitespace() {
                return byte;
            }
        };
        let (from, to) = (rng.random_range(0..HOST.len()), rng.random_range(1..9));
        let mut object = HOST.as_bytes().to_vec();
        for byte in object.iter_mut().skip(from).take(to) {
            if !b"\"\\[]{},:".contains(byte) {
                *byte = plain(&mut rng);
            }
        }
        odd.push(object);
    }
    for odd in odd {
        let what: String = odd.escape_ascii().to_string().chars().take(300).collect();
        for objects in platform.read(&[good("accra"), odd, good("tema")]).await {
            let names: Vec<&str> = objects.iter().map(|o| &*o.key.name).collect();
            assert_eq!(names.first(), Some(&"accra"), "{what}");
            assert_eq!(names.last(), Some(&"tema"), "{what}");
        }
    }
}

/// An object with figures at the ends of their ranges.
fn extreme_object(rng: &mut ChaCha8Rng, version: u64) -> Value {
    let big =
        |rng: &mut ChaCha8Rng, max: u64| [0, 1, 2, max / 2, max - 1, max][rng.random_range(0..6)];
    let small = |rng: &mut ChaCha8Rng| big(rng, u64::from(u32::MAX));
    let domain = ["accra", "tema"][rng.random_range(0..2)];
    let address = format!(
        "10.0.0.{}:{}",
        rng.random_range(0..4),
        rng.random_range(0..=u16::MAX)
    );
    let id = big(rng, u64::MAX);
    let (kind, name, body) = match rng.random_range(0..5) {
        0 => (
            "service",
            "ledger".into(),
            json!({ "service": {
            "owner": "", "class": "bulk", "address": address, "once": rng.random::<bool>(),
            "limits": { "slots": small(rng), "conns": small(rng), "cold_slots": small(rng), "cold_conns": small(rng) },
            "deadline_ms": big(rng, u64::MAX)
        } }),
        ),
        1 => (
            "domain",
            domain.into(),
            json!({ "domain": { "state": "out" } }),
        ),
        2 => (
            "view",
            domain.into(),
            json!({ "view": {
            "number": big(rng, u64::MAX - 1), "members": [{ "vm": 1, "life": 1 }], "old": []
        } }),
        ),
        3 => (
            "vm",
            "2".to_string(),
            json!({ "vm": {
            "member": { "vm": 2, "life": big(rng, u64::MAX) }, "domain": domain, "datagram": address,
            "peer": address, "http": address, "state": "live"
        } }),
        ),
        _ => (
            "host",
            id.to_string(),
            json!({ "host": {
            "id": id, "service": "ledger", "domain": domain, "address": address, "state": "live",
            "life": big(rng, u64::MAX), "cold_ms": big(rng, u64::MAX), "slots": small(rng)
        } }),
        ),
    };
    json!({ "key": { "kind": kind, "name": name }, "version": version, "change": 0, "body": body })
}

/// Guards against a daemon that ends because of an object that it accepts.
#[test]
fn a_node_handles_objects_with_figures_at_the_ends_of_their_ranges() {
    let mut forwarded = 0;
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let me = Member {
            vm: VmId(1),
            incarnation: Incarnation(1),
        };
        let mut node = Node::new(Time(1000), me, "accra".parse().unwrap());
        let mut now = Time(1000);
        for version in 1..40 {
            now = now + Ms(rng.random_range(1..3000));
            let object: Object = serde_json::from_value(extreme_object(&mut rng, version)).unwrap();
            assert!(object.is_consistent(), "{object:?}");
            let service = match &object.body {
                Body::Service(service) => service.address,
                _ => "10.0.0.1:80".parse().unwrap(),
            };
            node.feed(
                now,
                Event::CatalogueDelta(Delta {
                    from: Version(version - 1),
                    through: Version(version),
                    objects: vec![object],
                }),
            );
            node.feed(now, Event::Tick);
            let key = FlowKey(rng.random());
            let packet = Packet {
                key,
                service,
                mark: Mark::First,
            };
            node.feed(now, Event::Packet(PacketId(version), packet));
            let request = Request {
                service: "ledger".parse().unwrap(),
                key: None,
                deadline: Ms(u64::MAX),
            };
            node.feed(now, Event::Request(RequestId(version), request));
            while let Some(action) = node.pull() {
                forwarded += u64::from(matches!(action, Action::Deliver(..)));
            }
        }
    }
    assert!(forwarded > 100, "only {forwarded} packets were delivered");
}
