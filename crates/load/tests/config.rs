//! Configurations of runs that must be rejected before any load is sent.

use hibiscusladder_load::config::LoadConfig;
use test_case::test_case;

fn load_file(run: &str, workspace: &str) -> String {
    format!(
        "[run]\nseconds = 5\ntargets = [\"127.0.0.1:1\"]\n{run}\n[[workspace]]\nname = \"w\"\ndatabase = \"d\"\nkey = \
         \"k\"\nsessions = 1\noffered_rate = 1.0\ncontract_rate = 1.0\ncontract_burst = 1.0\n{workspace}"
    )
}

/// Guards against a setting that is silently ignored, load that leaves the machine, and a mix without any request.
#[test_case("sedonds = 5", "", "sedonds" ; "unknown_key")]
#[test_case("database_admin = [\"10.0.0.1:80\"]", "", "loopback" ; "foreign_address")]
#[test_case("", "[workspace.mix]\nread = 0\nstale_read = 0\nwrite = 0", "share" ; "empty_mix")]
fn config_rejects(run: &str, workspace: &str, remedy: &str) {
    let error =
        load_file(run, workspace).parse::<LoadConfig>().expect_err("the file must be rejected");
    assert!(error.to_string().contains(remedy), "{error}");
}

/// Guards against a run that never ends.
#[test]
fn config_rejects_endless_run() {
    let text = load_file("", "").replace("seconds = 5", "seconds = 999999");
    assert!(text.parse::<LoadConfig>().unwrap_err().to_string().contains("3600"));
}
