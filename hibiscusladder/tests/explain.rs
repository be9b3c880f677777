//! The command `explain`, which lists the log events behind the outcome of a request.

use std::{
    fs,
    process::Command,
    sync::atomic::{AtomicU32, Ordering},
};

use test_case::test_case;

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

const FIRST_LOG: &str = r#"
{"event":"started","instance":"gateway-0","time_ms":1000}
{"event":"configuration_applied","version":3,"replaces":2,"time_ms":9000}
{"event":"request_refused","request":"q1","reason":"not run: the workspace is at the limit of its contract; try again in 100 ms","version":3,"time_ms":10000}
{"event":"failover_started","group":"padron","trigger":"silent","term":1,"time_ms":20500}
{"event":"request_unknown","request":"q2","member":"i-0","what":"commit","term":1,"time_ms":21000}
a line of another program
"#;
const SECOND_LOG: &str = r#"
  20.1000 frontend-b-1 {"event":"member_lost","group":"padron","member":"i-0","time_ms":20100}
  29.0000 frontend-b-1 {"event":"store_lost","collection":"members","reason":"status 503","time_ms":29000}
  30.0000 frontend-b-1 {"event":"request_refused","request":"q3","reason":"no member with recent data","term":1,"waited_ms":4500,"time_ms":30000}
"#;

fn explain(request: &str) -> (bool, String) {
    // Tests of one process run concurrently, so each call gets a folder of its own.
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("explain-{}-{number}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let logs = [("gateway-0.log", FIRST_LOG), ("gateway-1.log", SECOND_LOG)];
    let paths = logs.map(|(name, text)| {
        let path = folder.join(name);
        fs::write(&path, text).expect("a file");
        path
    });
    let output = Command::new(env!("CARGO_BIN_EXE_hibiscusladder"))
        .args(["explain", "--request", request])
        .args(&paths)
        .output()
        .expect("the command runs");
    fs::remove_dir_all(&folder).expect("the folder is removed");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

/// Guards against output for a failed request that does not contain the events of its cause.
#[test_case("q1", &["at the limit of its contract", "configuration_applied"]; "refused by its rate limit")]
#[test_case("q2", &["member_lost", "failover_started", "commit"]; "unknown during a change of primary")]
#[test_case("q3", &["store_lost", "no member with recent data"]; "refused while the store was unreachable")]
fn explain_shows_cause_and_state(request: &str, expected: &[&str]) {
    let (success, text) = explain(request);
    assert!(success, "{text}");
    for part in expected {
        assert!(text.contains(part), "{part} is missing in:\n{text}");
    }
    assert!(text.contains("1 lines could not be read"), "{text}");
}

/// Guards against unrelated events of other times in the output.
#[test]
fn explain_leaves_out_other_times() {
    let (_, text) = explain("q1");
    assert!(!text.contains("started") && !text.contains("member_lost"), "{text}");
}

/// Guards against an unknown id whose output looks like that of a request without problems.
#[test]
fn explain_of_an_unknown_request_fails() {
    let (success, text) = explain("q9");
    assert!(!success);
    assert!(text.contains("q9") && text.contains("check the id"), "{text}");
}
