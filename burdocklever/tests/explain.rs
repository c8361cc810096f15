//! Explaining a flow from logs as a log pipeline hands them over.

use burdocklever::explain;

const FLOW: &str = "100.64.0.7:40001-198.18.0.1:443";

fn line(vm: &str, ms: u64, part: &str, event: &str, fields: &str) -> String {
    format!(
        "{{\"unix_ms\":{ms},\"at_vm\":\"{vm}\",\"level\":\"INFO\",\"part\":\"{part}\",\
         \"event\":\"{event}\"{fields}}}"
    )
}

/// A flow that edge-1 drops, on a day on which edge-2 starts and sees changes too.
fn lines() -> Vec<String> {
    let flow = format!(",\"flow\":\"{FLOW}\"");
    let code = ",\"code\":\"BL120\",\"reason\":\"entry VM not ready\"";
    vec![
        line("edge-1", 1000, "daemon", "started", ",\"vm\":\"edge-1\""),
        line("edge-2", 1100, "daemon", "started", ",\"vm\":\"edge-2\""),
        line(
            "edge-1",
            1120,
            "flow",
            "packet waits for the catalogue",
            &flow,
        ),
        line(
            "edge-2",
            1150,
            "store",
            "store lost, going on with what is known",
            "",
        ),
        line(
            "edge-1",
            1520,
            "flow",
            "packet dropped",
            &format!("{flow}{code}"),
        ),
    ]
}

fn explained(logs: &[(Box<str>, Box<str>)]) -> (String, Vec<Box<str>>) {
    let explanation = explain(FLOW, logs);
    assert_eq!(explanation.unreadable, 0);
    (explanation.cause.into(), explanation.lines)
}

#[test]
fn merged_unsorted_and_separate_logs_give_the_same_answer() {
    let all = lines();
    let of = |vm: &str| {
        let own = all
            .iter()
            .filter(|l| l.contains(&format!("\"at_vm\":\"{vm}\"")));
        own.cloned().collect::<Vec<String>>().join("\n")
    };
    let separate = [
        ("a.log".into(), of("edge-1").into()),
        ("b.log".into(), of("edge-2").into()),
    ];
    let merged = [("all.log".into(), all.join("\n").into())];
    let mut reversed = all.clone();
    reversed.reverse();
    // Rotated: the line that says who started is in another file, or gone.
    let rotated = [
        ("old.log".into(), reversed[3..].join("\n").into()),
        ("new.log".into(), reversed[..3].join("\n").into()),
    ];
    let expected = explained(&separate);
    assert_eq!(
        expected.0,
        "edge-1 had started 520 ms before and had no catalogue yet"
    );
    assert_eq!(explained(&merged), expected);
    assert_eq!(explained(&rotated), expected);
}

#[test]
fn lines_of_vms_that_never_saw_the_flow_are_left_out() {
    let merged = [("all.log".into(), lines().join("\n").into())];
    let (_, lines) = explained(&merged);
    assert_eq!(lines.len(), 3);
    assert!(lines.iter().all(|l| l.contains("edge-1")), "{lines:#?}");
}
