//! Checks the bound `admitted <= rate * t + burst` over every interval in one pass.

/// With `a(t)` the number of admitted requests and `f(t)` the integral of the rate, the bound over all intervals is
/// `a(e) - f(e) <= min over s <= e of (a(s) - f(s) + burst(s))`.
#[derive(Debug, Default)]
pub(crate) struct Bound {
    admitted: f64,
    entitled: f64,
    /// The minimum on the right side of the bound so far.
    lowest: Option<f64>,
}

/// Tolerance in tokens for the rounding of sums of fractions, far below one request.
const ROUNDING_TOLERANCE: f64 = 1e-3;

impl Bound {
    /// Advances by `seconds` in which the contract allowed `rate`, with `burst` at their end.
    pub(crate) fn advance(&mut self, seconds: f64, rate: f64, burst: f64) {
        self.entitled += seconds * rate;
        let here = self.admitted - self.entitled + burst;
        self.lowest = Some(self.lowest.map_or(here, |lowest| lowest.min(here)));
    }

    /// Counts one admitted request.
    pub(crate) fn admit(&mut self) -> Result<(), String> {
        self.admitted += 1.0;
        let excess = self.admitted - self.entitled - self.lowest.unwrap_or(0.0);
        if excess > ROUNDING_TOLERANCE {
            Err(format!("{excess:.3} requests past the contract"))
        } else {
            Ok(())
        }
    }

    pub(crate) fn admitted(&self) -> f64 {
        self.admitted
    }
}
