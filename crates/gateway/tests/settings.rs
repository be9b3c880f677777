//! Margins over the limits of a workspace that follow from the settings of an instance.

use std::time::Duration;

use hibiscusladder_core::share::Limits;
use hibiscusladder_gateway::settings::Tolerance;
use test_case::test_case;

const TOLERANCE: Tolerance =
    Tolerance { overage: 0.1, slack: 20.0, window: Duration::from_secs(5) };
/// Number of starts of all instances within one window.
const STARTS: f64 = 2.0;

/// Guards against start-up tokens that, together with the tokens that accrue, exceed the tolerated overage when all
/// processes are killed twice within a window.
#[test_case(0.5, 0.5; "small")]
#[test_case(7.0, 7.0; "usual")]
#[test_case(230.0, 230.0; "large")]
#[test_case(10.0, 400.0; "bursty")]
fn startup_tokens_keep_the_limits(rate: f64, burst: f64) {
    let limits = Limits { rate, capacity: burst };
    let enforced = TOLERANCE.enforced_limits(limits);
    let window = TOLERANCE.window.as_secs_f64();
    let used =
        enforced.capacity + enforced.rate * window + STARTS * TOLERANCE.startup_tokens(limits);
    let allowed = (rate * window + burst) * (1.0 + TOLERANCE.overage) + TOLERANCE.slack;
    assert!(used <= allowed, "{used} > {allowed}");
    assert!(TOLERANCE.startup_tokens(limits) > 0.0);
}
