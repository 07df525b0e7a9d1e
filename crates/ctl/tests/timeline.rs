//! Timelines of requests, built from log lines of VMs whose clocks differ.

use pimento_ctl::timeline::Event;
use pimento_ctl::timeline::VmLog;
use pimento_ctl::timeline::build;
use serde_json::Value;
use serde_json::json;

fn line(steady: i64, message: &str, fields: &Value) -> String {
    let line = json!({
        "timestamp": "2026-01-01T00:00:00+00:00", "level": "INFO", "message": message,
        "kvs": fields, "diags": {"steady_ms": steady}
    });
    line.to_string() + "\n"
}

fn summary(events: &[Event]) -> Vec<(i64, &str, &str)> {
    let events = events.iter();
    let summaries = events.map(|e| (e.at_ms, e.vm.as_str(), e.what.as_str()));
    summaries.collect()
}

/// The serving VM, which booted a thousand seconds before.
fn serving() -> VmLog {
    let text = [
        line(1_000_000, "started", &json!({"node": "vm-1"})),
        line(
            1_000_100,
            "entry",
            &json!({"topic": "endpoints", "offset": 7, "endpoint": "i-1"}),
        ),
        line(
            1_002_000,
            "other",
            &json!({"request": "r-2", "endpoint": "i-1"}),
        ),
        line(
            1_003_000,
            "sent",
            &json!({"request": "r-1", "endpoint": "i-1"}),
        ),
        line(1_003_400, "out of touch", &json!({"topic": "operators"})),
        line(
            1_003_500,
            "refused",
            &json!({"request": "r-1", "cause": "stale"}),
        ),
        line(1_099_000, "much later", &json!({"topic": "operators"})),
    ];
    VmLog::parse("file-a", &text.concat())
}

/// Another VM, which booted later and read the same record of the log.
fn other() -> VmLog {
    let text = [
        line(
            5_100,
            "entry",
            &json!({"topic": "endpoints", "offset": 7, "endpoint": "i-1"}),
        ),
        line(
            8_200,
            "broken",
            &json!({"request": "r-9", "endpoint": "i-1"}),
        ),
        line(8_300, "gone", &json!({"endpoint": "i-1"})),
        line(8_300, "gone", &json!({"endpoint": "i-5"})),
        "not in the log format\n".to_string(),
    ];
    VmLog::parse("vm-2", &text.concat())
}

/// Events of VMs whose clocks are far apart must be in the order in which they happened. Of other
/// VMs only lines about the same endpoints belong to the timeline, and no lines of other requests.
#[test]
fn events_are_in_order_although_clocks_differ() {
    let events = build(&[other(), serving()], "r-1");
    assert_eq!(
        summary(&events),
        [
            (-3_000, "vm-1", "started"),
            (-2_900, "vm-2", "entry"),
            (-2_900, "vm-1", "entry"),
            (0, "vm-1", "sent"),
            (300, "vm-2", "gone"),
            (400, "vm-1", "out of touch"),
            (500, "vm-1", "refused"),
        ]
    );
    let own: Vec<bool> = events.iter().map(|event| event.own).collect();
    assert_eq!(own, [false, false, false, true, false, false, true]);
    assert_eq!(events[6].fields["cause"], "stale");
    assert_eq!(other().malformed, 1);
}

/// The clock of a VM that has no log record in common with the serving VM can't be aligned. Its
/// lines must be left out rather than placed at a wrong time.
#[test]
fn a_vm_that_cannot_be_compared_is_left_out() {
    let text = line(8_300, "gone", &json!({"endpoint": "i-1"}));
    let unrelated = VmLog::parse("vm-3", &text);
    let events = build(&[unrelated, serving()], "r-1");
    assert!(events.iter().all(|event| event.vm == "vm-1"));
}

#[test]
fn a_request_that_no_line_names_has_no_timeline() {
    assert!(build(&[serving()], "r-404").is_empty());
}
