//! Splitting of JSON text, compared with a parser that reads it.

use burdocklever::raw_json::{elements, members, value_of};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Map, Value};

fn value(rng: &mut ChaCha8Rng, depth: u32) -> Value {
    let count = rng.random_range(0..5);
    let text = |rng: &mut ChaCha8Rng| -> String {
        let pick = |rng: &mut ChaCha8Rng| {
            ['"', '\\', '{', ']', ',', ':', ' ', '\n', 'é', 'a'][rng.random_range(0..10)]
        };
        (0..count).map(|_| pick(rng)).collect()
    };
    match rng.random_range(0..if depth < 4 { 6 } else { 4 }) {
        0 => Value::Null,
        1 => rng.random::<bool>().into(),
        2 => rng.random::<i64>().into(),
        3 => text(rng).into(),
        4 => (0..count).map(|_| value(rng, depth + 1)).collect(),
        _ => {
            let member = |i| (format!("{i}{}", text(rng)), value(rng, depth + 1));
            Value::Object((0..count).map(member).collect())
        }
    }
}

/// Guards against parts that are cut at the wrong place.
#[test]
fn parts_of_valid_text_are_those_that_a_parser_finds() {
    let mut parts = 0;
    for seed in 0..3000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let value = value(&mut rng, 0);
        let text = match rng.random() {
            true => serde_json::to_vec(&value).unwrap(),
            false => serde_json::to_vec_pretty(&value).unwrap(),
        };
        let read = |part: &[u8]| serde_json::from_slice::<Value>(part).unwrap();
        match &value {
            Value::Array(list) => {
                let found: Vec<Value> = elements(&text).unwrap().into_iter().map(read).collect();
                assert_eq!(found, *list, "seed {seed}");
                parts += list.len();
            }
            Value::Object(map) => {
                let name = |name: &[u8]| -> String {
                    serde_json::from_slice(&[b"\"", name, b"\""].concat()).unwrap()
                };
                let found = members(&text).unwrap();
                let found: Map<String, Value> =
                    found.into_iter().map(|(n, v)| (name(n), read(v))).collect();
                assert_eq!(found, *map, "seed {seed}");
                parts += map.len();
            }
            _ => assert!(
                elements(&text).is_err() && members(&text).is_err(),
                "seed {seed}"
            ),
        }
    }
    assert!(parts > 1000, "only {parts} parts");
}

/// Guards against a panic, and against text without an end that is taken for whole.
#[test]
fn arbitrary_text_is_split_or_refused() {
    for seed in 0..5000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let alphabet = b"[]{}\",:\\ 1a\xff";
        let len = rng.random_range(0..24);
        let mut text: Vec<u8> = (0..len)
            .map(|_| alphabet[rng.random_range(0..alphabet.len())])
            .collect();
        let _ = (elements(&text), members(&text));
        text.insert(0, b'[');
        if let Ok(parts) = elements(&text) {
            assert!(text.ends_with(b"]") || text.trim_ascii_end().ends_with(b"]"));
            assert!(parts.iter().all(|p| !p.is_empty()), "seed {seed}");
        }
    }
}

#[test]
fn the_first_member_with_a_name_counts() {
    let members = members(b" { \"a\" : [1e999, \"]\"] , \"b\":{} , \"a\":2 } ").unwrap();
    assert_eq!(value_of(&members, "a"), Some(&b"[1e999, \"]\"]"[..]));
    assert_eq!(value_of(&members, "c"), None);
}
