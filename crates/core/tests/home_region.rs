//! Where the payload of a request may go.

use std::collections::BTreeSet;

use hibiscusladder_core::{
    home_region::{Guarded, HomeRegions, Outside},
    name::Region,
};
use test_case::test_case;

fn regions(names: &[&str]) -> BTreeSet<Region> {
    names.iter().map(|name| Region::new(name)).collect()
}

/// Guards against a restriction that is dropped where route and workspace both have one, and against one that is made up.
#[test_case(&[], &[], &["a", "b", "c"]; "none")]
#[test_case(&["a"], &[], &["a"]; "of the route")]
#[test_case(&[], &["b"], &["b"]; "of the workspace")]
#[test_case(&["a", "b"], &["b", "c"], &["b"]; "of both")]
#[test_case(&["a"], &["c"], &[]; "that exclude each other")]
fn check_by_region(route: &[&str], workspace: &[&str], allowed: &[&str]) {
    let home = HomeRegions::of(&regions(route), &regions(workspace));
    for name in ["a", "b", "c"] {
        let checked = home.check("m", Some(&Region::new(name)));
        assert_eq!(checked.is_ok(), allowed.contains(&name), "{name}");
    }
    assert_eq!(home.check("m", None).is_ok(), home.is_anywhere());
}

/// Guards against a payload that is taken out with the proof of another request.
#[test]
fn open_needs_a_proof_for_the_same_regions() {
    let (a, b) = (Region::new("a"), Region::new("b"));
    let home = HomeRegions::of(&regions(&["a"]), &regions(&[]));
    let payload = Guarded::new(7, home.clone());
    assert_eq!(payload.open(&home.check("m", Some(&a)).expect("home")), Some(&7));
    let elsewhere = HomeRegions::ANYWHERE.check("m", Some(&b)).expect("anywhere");
    assert_eq!(payload.open(&elsewhere), None);
    assert_eq!(home.check("m", Some(&b)), Err(Outside));
}
