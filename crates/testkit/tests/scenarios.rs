//! Scripted scenarios of the coordination components.

use std::{io, path::Path};

use hibiscusladder_testkit::scenario::Scenario;
use test_case::test_case;

/// Guards against changed decisions: each script contains the correct output of its commands.
#[test_case("gate"; "gate")]
#[test_case("lost_write"; "lost_write")]
#[test_case("fair_queue"; "fair_queue")]
#[test_case("bucket"; "bucket")]
fn scenario_matches_its_script(name: &str) -> io::Result<()> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    goldenscript::run(&mut Scenario::default(), folder.join(name))
}

/// Guards against a misspelt command or argument that is ignored.
#[test_case("advnce 1s\n---\n"; "command")]
#[test_case("bucket rate=1 capacity=1 burst=2\n---\n"; "argument")]
fn scenario_rejects_unknown(script: &str) {
    assert!(goldenscript::generate(&mut Scenario::default(), script).is_err());
}
