//! Settings files and the errors that are reported for them.

use std::time::Duration;

use hibiscusladder_proxy::settings::{
    LogLevel, Settings, SettingsErrors, duration_text, parse_duration,
};
use test_case::test_case;

const VALID: &str = r#"
[instance]
id = "i1"
data_centre = "stgo-a"
listen = "127.0.0.1:5432"
rpc = "127.0.0.1:7301"
health = "127.0.0.1:7302"
seeds = ["127.0.0.1:7311"]

[platform]
url = "http://127.0.0.1:7300"

[[topology]]
data_centre = "stgo-a"
region = "stgo"

[times]
queue_wait = "750ms"

[log]
level = "warn"

[upstream]
user = "proxy"
password = "s3cret"
"#;

fn parse_errors(text: &str) -> SettingsErrors {
    Settings::parse("proxy.toml", text).expect_err("the settings have an error")
}

/// A value that is parsed but not used would leave the default in effect.
#[test]
fn settings_take_values_and_defaults() {
    let settings = Settings::parse("proxy.toml", VALID).unwrap();
    assert_eq!(settings.platform.address, "127.0.0.1:7300");
    assert_eq!(settings.times.queue_wait, Duration::from_millis(750));
    assert_eq!(settings.times.admit_wait, Duration::from_millis(500));
    assert_eq!(settings.log, LogLevel::Warn);
    assert_eq!(settings.instance.seeds.len(), 1);
    assert_eq!(settings.region(&"stgo-a".into()), Some("stgo"));
}

/// A password in the debug output would be written to logs.
#[test]
fn debug_output_hides_the_password() {
    let settings = Settings::parse("proxy.toml", VALID).unwrap();
    assert!(!format!("{settings:?}").contains("s3cret"));
}

/// An error without its line or a remedy would make the user search for the mistake.
#[test_case("id = \"i1\"", "id = 1", 3, "`id` is not a text", "in quotes"; "number in place of a text")]
#[test_case("id = \"i1\"", "id = \"\"", 3, "`id` is empty", "not empty"; "empty text")]
#[test_case("\"stgo-a\"\nlisten", "\"stgo-x\"\nlisten", 4, "not in the topology", "[[topology]]"; "data centre outside the topology")]
#[test_case("\"127.0.0.1:5432\"", "\"localhost:5432\"", 5, "not an IP address", "127.0.0.1:5432"; "host name as address")]
#[test_case("[\"127.0.0.1:7311\"]", "[7311]", 8, "not an IP address", "seeds ="; "number as seed")]
#[test_case("http://127.0.0.1:7300", "https://platform", 11, "not a URL", "with the port"; "url of another scheme")]
#[test_case("queue_wait", "queue_wate", 18, "`queue_wate` is not a known key of [times]", "queue_wait"; "misspelt key")]
#[test_case("\"750ms\"", "\"750\"", 18, "has no unit", "ms, s, min, h"; "duration without unit")]
#[test_case("\"750ms\"", "\"750 ms\"", 18, "not a unit", "ms, s, min, h"; "duration with a blank")]
#[test_case("\"750ms\"", "750", 18, "not a duration text", "\"250ms\""; "duration as number")]
#[test_case("\"750ms\"", "\"2h\"", 18, "outside its range", "1ms to 1min"; "duration past its range")]
#[test_case("queue_wait = \"750ms\"", "max_config_age = \"6s\"", 18, "outside its range", "1s to 5500ms"; "config age past the grace period of divisions")]
#[test_case("[times]", "[tines]", 17, "`tines` is not a known section", "times"; "misspelt section")]
#[test_case("\"warn\"", "\"loud\"", 21, "not a log level", "error, warn, info, debug"; "unknown log level")]
#[test_case("[log]", "[log", 20, "", "TOML syntax"; "broken syntax")]
fn error_has_line_and_remedy(from: &str, to: &str, line: usize, message: &str, remedy: &str) {
    let errors = parse_errors(&VALID.replacen(from, to, 1));
    let error = errors.errors().iter().find(|error| error.line() == line);
    let error = error.unwrap_or_else(|| panic!("no error in line {line}: {:?}", errors.errors()));
    assert!(error.message().contains(message), "{}", error.message());
    assert!(error.remedy().contains(remedy), "{}", error.remedy());
}

/// A missing section that is not reported would cause a failure at run time.
#[test_case("instance")]
#[test_case("platform")]
#[test_case("topology")]
#[test_case("upstream")]
fn missing_section_is_reported(section: &str) {
    let renamed = VALID.replacen(&format!("[{section}]"), "[limits]", 1);
    let expected = format!("the section `{section}` is missing");
    let errors = parse_errors(&renamed);
    assert!(errors.errors().iter().any(|error| error.message() == expected), "{errors:?}");
}

/// Ranges in messages are written as durations, so the texts must be valid in a settings file.
#[test_case("250ms", 250)]
#[test_case("2s", 2_000)]
#[test_case("5min", 300_000)]
#[test_case("1h", 3_600_000)]
fn duration_text_is_parsed_and_formatted(text: &str, millis: u64) {
    let duration = parse_duration(text).expect("a valid text");
    assert_eq!(duration, Duration::from_millis(millis));
    assert_eq!(duration_text(duration), text);
}

/// A duration that overflows or is negative must not wrap into a short one.
#[test_case("-1s")]
#[test_case("1.5s")]
#[test_case("ms")]
#[test_case("18446744073709551615h")]
fn invalid_duration_is_refused(text: &str) {
    assert!(parse_duration(text).is_err());
}
