//! Keys, their records and their redaction.

use hibiscusladder_core::{
    key::{Key, KeyRecord, ParseKeyError, contains_key, redact},
    name::Workspace,
};
use test_case::test_case;

fn key(seed: u8) -> Key {
    let mut random = [seed; Key::RANDOM_BYTES];
    random.iter_mut().zip(0..).for_each(|(byte, step)| *byte = byte.wrapping_add(step));
    Key::from_random(&random)
}

fn secret(key: &Key) -> String {
    key.expose().rsplit('_').next().expect("a key has a secret").to_owned()
}

/// Guards against a key that changes when it is formatted and parsed, and against a wrong key that is accepted.
#[test]
fn verify_accepts_only_the_key() {
    let record = KeyRecord::new(&key(1), Workspace::new("w"));
    let parsed: Key = key(1).expose().parse().expect("valid");
    assert!(record.verify(&parsed));
    assert!(!record.verify(&key(2)));
    let same_id = format!("hlk_{}_{}", key(1).id(), secret(&key(2)));
    assert!(!record.verify(&same_id.parse().expect("valid")));
    assert!(!KeyRecord { withdrawn: true, ..record }.verify(&parsed));
}

/// Guards against a record that contains the secret, and against one that older or newer versions cannot read.
#[test]
fn record_holds_the_hash() {
    let record = KeyRecord::new(&key(1), Workspace::new("w"));
    let json = serde_json::to_string(&record).expect("valid");
    assert!(!json.contains(&secret(&key(1))));
    assert_eq!(serde_json::from_str::<KeyRecord>(&json).expect("valid"), record);
    let hash = "31bc88f88e0aa3a6c68ca7e9ca42d15f6bf2a0c9a4b8ca2c5bd24fa6aa2bcee1";
    let fixed = format!(r#"{{"id":"a","workspace":"w","hash":"{hash}"}}"#);
    assert!(!serde_json::from_str::<KeyRecord>(&fixed).expect("valid").withdrawn);
    assert!(serde_json::from_str::<KeyRecord>(&fixed.replace(hash, "31bc")).is_err());
}

/// Guards against secrets in logs and errors.
#[test]
fn debug_and_errors_hide_the_secret() {
    let text = secret(&key(1));
    let record = KeyRecord::new(&key(1), Workspace::new("w"));
    let error = format!("{text}x").parse::<Key>().expect_err("not a key");
    let shown = format!("{:?} {} {record:?} {error} {error:?}", key(1), key(1));
    assert!(!shown.contains(&text), "{shown}");
}

/// Guards against a malformed text that is accepted as a key.
#[test_case("hlk_a"; "no secret")]
#[test_case("hlk__00"; "no id")]
#[test_case("hlk_a_00"; "short secret")]
#[test_case("hlk_A_0000000000000000000000000000000000000000000000000000000000000000"; "upper-case id")]
#[test_case("key_a_0000000000000000000000000000000000000000000000000000000000000000"; "other prefix")]
fn parse_refuses(text: &str) {
    assert_eq!(text.parse::<Key>().expect_err("not a key"), ParseKeyError);
}

/// Guards against a secret that remains in a text because it was cut, repeated or written in another case.
#[test_case("password is hlk_ab-1_0123, again hlk_c_ff.", "password is hlk_ab-1_***, again hlk_c_***."; "two")]
#[test_case("HLK_AB_00FFx=1", "HLK_AB_***=1"; "other case")]
#[test_case("hlk_hlk_a_b", "hlk_hlk_***_b"; "prefix as id")]
#[test_case("äöhlk_a_12ü", "äöhlk_a_***ü"; "next to other letters")]
#[test_case("hlk_ and hlk_x_ and _", "hlk_ and hlk_x_ and _"; "no secret")]
fn redact_replaces(text: &str, expected: &str) {
    assert_eq!(redact(text), expected);
    assert_eq!(contains_key(text.as_bytes()), text != expected);
}

/// Guards against a secret that reaches an upstream in a statement or a parameter.
#[test]
fn detector_finds_the_secret() {
    let (key, other) = (key(1), key(128));
    let text = secret(&key);
    let bytes: Vec<u8> = (0..32).map(|index| 1 + 8 + index).collect();
    let hex: String = text.bytes().map(|byte| format!("{byte:02X}")).collect();
    let found = |bytes: &[u8]| key.detector().found_in(bytes);
    assert!(found(format!("SELECT '{}'", key.expose()).as_bytes()));
    assert!(found(text.to_uppercase().as_bytes()));
    assert!(found(format!("SELECT '\\x{hex}'").as_bytes()));
    assert!(found(&[&[0, 1], &bytes[..], &[2]].concat()));
    // A piece of 31 digits contains an aligned quarter.
    assert!(found(&text.as_bytes()[9..40]));
    assert!(!found(other.expose().as_bytes()));
    assert!(!found(format!("SELECT '{}'", key.id()).as_bytes()));
}
