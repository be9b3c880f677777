//! The share of one workspace at one member.

use std::time::Duration;

use super::{
    Division, Divisions, HandOver, LOAN_REQUEST_INTERVAL, Limits, Loan, LoanRequest,
    MAX_LOAN_DURATION,
    demand::Demand,
    loan::{milliseconds, thousandths},
};
use crate::{
    bucket::TokenBucket,
    clock::{Instant, with_drift},
    name::{Database, MemberId, Workspace},
    position::Term,
};

/// Shortest and longest time after which a refused caller is told to try again.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(1), Duration::from_secs(5));
/// Time after which a caller is told to try again while the home has no lease, which is as long as the lease.
const RETRY_WITHOUT_LEASE: Duration = Duration::from_secs(1);
/// Rate that is kept or asked for beyond the estimated demand, as a factor.
const HEADROOM: f64 = 1.05;
/// Time before the end of a loan at which it no longer counts as cover for the demand, so that it is renewed.
const RENEWAL_LEAD: Duration = Duration::from_millis(300);
/// Demand, as a time, for which tokens are kept or asked for.
const TOKEN_COVER: Duration = Duration::from_millis(150);
/// Tokens that a lender keeps for its first own request.
const KEPT_TOKENS: f64 = 1.0;
/// Longest time between two requests for loans while nothing is lent.
const MAX_LOAN_INTERVAL: Duration = Duration::from_millis(800);
/// Loans with less time left are not passed on.
const MIN_DURATION: Duration = Duration::from_millis(200);
/// Missing rate and tokens below this are not asked for.
const MIN_REQUEST: f64 = 0.1;

/// The term of the database, as far as it matters for the division.
#[derive(Debug, Clone, Copy)]
struct TermMembers {
    term: Term,
    count: usize,
    /// Whether the share's own member is one of them.
    listed: bool,
}

/// A loan, at the lender or the borrower.
#[derive(Debug, Clone, Copy)]
struct Moved {
    limits: Limits,
    until: Instant,
    /// Whether lender and borrower belong to one database, so that the loan ends with its term.
    same_database: bool,
}

/// The share of one workspace at one member, used by the member's home.
///
/// A share lives as long as the advisory lock of its home lease: a home that loses the lock drops its shares, and
/// the next one starts with empty buckets. Lease and gate are given as deadlines and checked at every use, so a
/// process that was paused finds them passed.
#[derive(Debug, Clone)]
pub struct Share {
    workspace: Workspace,
    database: Database,
    member: MemberId,
    divisions: Divisions,
    anchor: TokenBucket,
    /// Filled up to `settled` only, which never passes the end of the gate.
    term_part: TokenBucket,
    settled: Instant,
    /// Next times at which the limits of the buckets change by themselves.
    anchor_change: Instant,
    term_change: Instant,
    term: Option<TermMembers>,
    lease_until: Instant,
    gate_until: Instant,
    /// Until when loans of a predecessor may be in use.
    predecessor_until: Instant,
    lent: Vec<Moved>,
    borrowed: Vec<Moved>,
    demand: Demand,
    /// Tokens that were refused since loans were last asked for.
    missing: f64,
    next_request: Instant,
    request_interval: Duration,
    /// Tokens admitted or lent since the start.
    spent: f64,
    taken_over: bool,
}

impl Share {
    /// Creates the share of a home whose lease is usable from `now` on. The buckets are empty, and the term part
    /// stays unused until the loans of a predecessor have ended.
    pub fn new(
        workspace: Workspace,
        database: Database,
        member: MemberId,
        divisions: Divisions,
        now: Instant,
    ) -> Self {
        let mut share = Self {
            workspace,
            database,
            member,
            divisions,
            anchor: TokenBucket::new(0.0, 0.0, now),
            term_part: TokenBucket::new(0.0, 0.0, now),
            settled: now,
            anchor_change: now,
            term_change: now,
            term: None,
            lease_until: now,
            gate_until: now,
            predecessor_until: now.plus(with_drift(MAX_LOAN_DURATION)),
            lent: Vec::new(),
            borrowed: Vec::new(),
            demand: Demand::new(now),
            missing: 0.0,
            next_request: now,
            request_interval: LOAN_REQUEST_INTERVAL,
            spent: 0.0,
            taken_over: false,
        };
        share.set_limits(now);
        share
    }

    /// Workspace of the share.
    pub const fn workspace(&self) -> &Workspace {
        &self.workspace
    }

    /// Member of the share.
    pub const fn member(&self) -> &MemberId {
        &self.member
    }

    /// Extends the home lease to `until`, which is exclusive. The lock has been held without a gap since the share
    /// was created.
    pub fn renew_lease(&mut self, until: Instant) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Extends the time up to which the gate of `term` is proved to be open to `until`, which is exclusive. Another
    /// term than the share's has no effect.
    ///
    /// With a majority of `k` members, `until` is the sending time of the `k`-th newest of the members' polls that
    /// reported `term`, plus the window of the gate.
    pub fn set_gate(&mut self, term: Term, until: Instant) {
        if self.current_term() == Some(term) {
            self.gate_until = self.gate_until.max(until);
        }
    }

    /// Records that `members` divide the term part in `term`, which a primary has been promoted to. An older or
    /// the same term has no effect.
    ///
    /// All loans of the database in the old term are void, and the gate is closed until it is opened for the new
    /// one.
    pub fn set_term(&mut self, term: Term, members: &[MemberId], now: Instant) {
        if self.current_term() >= Some(term) {
            return;
        }
        self.advance(now);
        self.borrowed.clear();
        self.lent.retain(|lent| !lent.same_database);
        let listed = members.contains(&self.member);
        self.term = Some(TermMembers { term, count: members.len(), listed });
        self.gate_until = now;
        self.skip_to(now);
        self.set_limits(now);
    }

    /// Records a new division of the contract. Borrowed loans are void, since they are parts of the old one.
    pub fn set_division(&mut self, division: Division, now: Instant) {
        if division == *self.divisions.current() {
            return;
        }
        self.advance(now);
        self.borrowed.clear();
        self.divisions.record(division, now);
        self.skip_to(now);
        self.set_limits(now);
    }

    /// Admits a request of cost `n` that arrives now, or returns the time after which another try makes sense.
    ///
    /// # Errors
    ///
    /// About the time until there are enough tokens without a loan, at most 5 s.
    pub fn try_admit(&mut self, n: f64, now: Instant) -> Result<(), Duration> {
        self.demand.record(n, now);
        let admitted = self.retry_admit(n, now);
        if admitted.is_err() {
            self.missing += n;
        }
        admitted
    }

    /// Like [`Share::try_admit`] for a request that was refused before and waits for a loan.
    ///
    /// # Errors
    ///
    /// About the time until there are enough tokens without a loan, at most 5 s.
    pub fn retry_admit(&mut self, n: f64, now: Instant) -> Result<(), Duration> {
        self.advance(now);
        if now >= self.lease_until {
            return Err(RETRY_WITHOUT_LEASE);
        }
        let open = now < self.gate_until;
        let from_term = if open { self.term_part.tokens(now).min(n) } else { 0.0 };
        if self.anchor.try_take(n - from_term, now).is_err() {
            return Err(self.retry_after(n - from_term, open, now));
        }
        self.term_part.remove(from_term, self.settled);
        self.spent += n;
        Ok(())
    }

    /// The request for loans that is due, when the present part does not cover the demand.
    ///
    /// It is meant for every other home of the workspace's databases; each answers with what it can spare.
    pub fn loan_request(&mut self, now: Instant) -> Option<LoanRequest> {
        let term = self.current_term()?;
        self.advance(now);
        if now < self.next_request || !self.is_open(now) {
            return None;
        }
        let demand = self.expected_demand(now);
        let covered = self.covered(now.plus(RENEWAL_LEAD));
        let rate = demand - covered.rate;
        let lacks = self.missing > 0.0 || rate >= MIN_REQUEST;
        let tokens = if lacks { self.missing_tokens(demand, now) } else { 0.0 };
        if rate < MIN_REQUEST && tokens < MIN_REQUEST {
            return None;
        }
        self.missing = 0.0;
        self.next_request = now.plus(self.request_interval);
        // Doubled until something is lent; a workspace past its whole rate would otherwise ask forever.
        self.request_interval = self.request_interval.saturating_mul(2).min(MAX_LOAN_INTERVAL);
        Some(LoanRequest {
            workspace: self.workspace.clone(),
            database: self.database.clone(),
            borrower: self.member.clone(),
            rate: thousandths(rate),
            tokens: thousandths(tokens),
            term,
            division: self.divisions.current().fingerprint(),
        })
    }

    /// Lends what this share can spare, and no longer uses it from now on.
    ///
    /// A loan to a home of the same database is void in another term. One to a home of another database, which
    /// does not see this database's term, ends with the proof that the gate is open.
    pub fn lend(&mut self, request: &LoanRequest, now: Instant) -> Option<Loan> {
        self.advance(now);
        let same_database = request.database == self.database;
        if !self.may_lend(request, same_database, now) {
            return None;
        }
        let (spare, duration) = self.spare(request, same_database, now);
        let limits = Limits {
            rate: thousandths(request.rate.min(spare.rate)),
            capacity: thousandths(request.tokens.min(spare.capacity)),
        };
        let duration = milliseconds(duration);
        if limits == Limits::default() || duration < MIN_DURATION {
            return None;
        }
        let tokens = self.term_part.remove(limits.capacity, now);
        self.spent += tokens;
        let until = now.plus(with_drift(duration));
        self.lent.push(Moved { limits, until, same_database });
        self.set_limits(now);
        let workspace = self.workspace.clone();
        Some(Loan { workspace, rate: limits.rate, tokens: limits.capacity, duration })
    }

    /// Takes a loan that was asked for by `request` at `asked`; false when it is void.
    ///
    /// Each answer may be given at most once.
    pub fn accept(
        &mut self,
        request: &LoanRequest,
        loan: &Loan,
        asked: Instant,
        now: Instant,
    ) -> bool {
        self.advance(now);
        let same_term = self.current_term() == Some(request.term);
        let same_division = request.division == self.divisions.current().fingerprint();
        let until = asked.plus(loan.duration.min(MAX_LOAN_DURATION));
        if !same_term || !same_division || !self.is_open(now) || until <= now {
            return false;
        }
        let limits = Limits { rate: loan.rate, capacity: loan.tokens };
        self.borrowed.push(Moved { limits, until, same_database: true });
        self.set_limits(now);
        self.term_part.add(loan.tokens, now);
        self.request_interval = LOAN_REQUEST_INTERVAL;
        true
    }

    /// Ends the share of a home that leaves, for the next home; `None` when the lease is not held any more.
    pub fn hand_over(mut self, now: Instant) -> Option<HandOver> {
        self.advance(now);
        if now >= self.lease_until {
            return None;
        }
        let own = self.own(now).capacity;
        let term_tokens =
            if now < self.gate_until { self.term_part.tokens(now).min(own) } else { 0.0 };
        let lent = self.lent.iter().map(|lent| lent.until).max().unwrap_or(now);
        Some(HandOver {
            workspace: self.workspace,
            member: self.member,
            tokens: thousandths(self.anchor.tokens(now) + term_tokens),
            lent_for: lent.max(self.predecessor_until).since(now),
        })
    }

    /// Takes over from the home that left; false when this share took over before.
    ///
    /// A late message adds only what the share could also hold if it had come at the start.
    pub fn take_over(&mut self, handed: &HandOver, now: Instant) -> bool {
        if self.taken_over || handed.member != self.member || handed.workspace != self.workspace {
            return false;
        }
        self.advance(now);
        self.taken_over = true;
        let until = now.plus(with_drift(handed.lent_for));
        self.predecessor_until = self.predecessor_until.min(until);
        self.skip_to(now);
        self.set_limits(now);
        let capacity = self.anchor.capacity() + self.term_part.capacity();
        let gained = self.spent + self.anchor.tokens(now) + self.term_part.tokens(self.settled);
        let tokens = handed.tokens.min(capacity - gained).max(0.0);
        let before = self.anchor.tokens(now);
        self.anchor.add(tokens, now);
        let rest = tokens - (self.anchor.tokens(now) - before);
        self.term_part.add(rest, self.settled);
        true
    }

    /// Rate and capacity that may be used at `now`.
    pub fn limits(&mut self, now: Instant) -> Limits {
        self.advance(now);
        if now >= self.lease_until {
            return Limits::default();
        }
        let anchor = Limits { rate: self.anchor.rate(), capacity: self.anchor.capacity() };
        if now >= self.gate_until {
            return anchor;
        }
        Limits {
            rate: anchor.rate + self.term_part.rate(),
            capacity: anchor.capacity + self.term_part.capacity(),
        }
    }

    fn current_term(&self) -> Option<Term> {
        self.term.map(|members| members.term)
    }

    fn is_open(&self, now: Instant) -> bool {
        now < self.lease_until && now < self.gate_until
    }

    /// The share's own term part at `at`, before loans.
    fn own(&self, at: Instant) -> Limits {
        match self.term {
            Some(members) if members.listed && at >= self.predecessor_until => {
                self.divisions.part(&self.database, at).term.divided_by(members.count)
            }
            _ => Limits::default(),
        }
    }

    /// The term part with loans at `at`.
    fn covered(&self, at: Instant) -> Limits {
        let (own, lent, borrowed) = (self.own(at), sum(&self.lent, at), sum(&self.borrowed, at));
        Limits {
            rate: (own.rate + borrowed.rate - lent.rate).max(0.0),
            capacity: (own.capacity + borrowed.capacity - lent.capacity).max(0.0),
        }
    }

    /// Fills both buckets up to `now`, step by step over the times at which their limits change.
    ///
    /// The term part is filled no further than the gate is proved open. When the proof is extended for the same
    /// term, that term was in force meanwhile and the time is made up for.
    fn advance(&mut self, now: Instant) {
        while self.anchor_change <= now {
            self.set_anchor(self.anchor_change);
        }
        let end = now.min(self.gate_until).max(self.settled);
        while self.term_change <= end {
            self.settled = self.term_change;
            self.set_term_part();
        }
        self.settled = end;
    }

    /// Gives up the filling of the term part since the gate was last proved open.
    fn skip_to(&mut self, now: Instant) {
        self.term_part.refill(self.settled);
        self.term_part.skip_to(now);
        self.settled = now;
    }

    fn set_limits(&mut self, now: Instant) {
        self.set_anchor(now);
        self.set_term_part();
    }

    fn set_anchor(&mut self, at: Instant) {
        let anchor = self.divisions.part(&self.database, at).anchor;
        self.anchor.set_limits(anchor.rate, anchor.capacity, at);
        self.anchor_change = earliest_after(at, self.divisions.changes());
    }

    /// Sets the limits of the term part as they are at `settled`.
    fn set_term_part(&mut self) {
        let at = self.settled;
        let covered = self.covered(at);
        self.term_part.set_limits(covered.rate, covered.capacity, at);
        self.lent.retain(|lent| lent.until > at);
        self.borrowed.retain(|borrowed| borrowed.until > at);
        let loans = self.lent.iter().chain(&self.borrowed).map(|moved| moved.until);
        let others = self.divisions.changes().chain([self.predecessor_until]);
        self.term_change = earliest_after(at, loans.chain(others));
    }

    fn expected_demand(&self, now: Instant) -> f64 {
        let total = self.divisions.current().total().rate;
        (self.demand.rate(now) * HEADROOM).min(total)
    }

    fn missing_tokens(&self, demand: f64, now: Instant) -> f64 {
        let held = self.anchor.tokens(now) + self.term_part.tokens(now);
        let needed = self.missing + demand * TOKEN_COVER.as_secs_f64();
        needed.min(self.divisions.current().total().capacity) - held
    }

    fn may_lend(&self, request: &LoanRequest, same_database: bool, now: Instant) -> bool {
        let same_term = !same_database || self.current_term() == Some(request.term);
        let same_division = request.division == self.divisions.current().fingerprint();
        let other = request.borrower != self.member && request.workspace == self.workspace;
        other && same_term && same_division && self.is_open(now)
    }

    /// What can be lent of the term part, and for how long. What was borrowed is lent on for its own time.
    fn spare(
        &self,
        request: &LoanRequest,
        same_database: bool,
        now: Instant,
    ) -> (Limits, Duration) {
        let demand = self.expected_demand(now);
        let kept = KEPT_TOKENS.max(demand * TOKEN_COVER.as_secs_f64());
        let covered = self.covered(now);
        let tokens = self.term_part.tokens(now) - kept;
        let spare = Limits {
            rate: covered.rate - demand,
            capacity: tokens.min(covered.capacity - KEPT_TOKENS),
        };
        let proved = if same_database { MAX_LOAN_DURATION } else { self.gate_until.since(now) };
        let longest = proved.min(MAX_LOAN_DURATION);
        let (own, lent) = (self.own(now), sum(&self.lent, now));
        let unlent = Limits { rate: own.rate - lent.rate, capacity: own.capacity - lent.capacity };
        let from_own = request.rate.min(spare.rate) <= unlent.rate
            && request.tokens.min(spare.capacity) <= unlent.capacity;
        if from_own {
            return (spare, longest);
        }
        let shortest = self.borrowed.iter().map(|borrowed| borrowed.until.since(now)).min();
        match shortest {
            Some(left) if left >= MIN_DURATION => (spare, left.min(longest)),
            _ => {
                let rate = spare.rate.min(unlent.rate);
                let capacity = spare.capacity.min(unlent.capacity);
                (Limits { rate, capacity }, longest)
            }
        }
    }

    fn retry_after(&self, lacking: f64, open: bool, now: Instant) -> Duration {
        let term_rate = if open { self.term_part.rate() } else { 0.0 };
        let rate = self.anchor.rate() + term_rate;
        let seconds = (lacking - self.anchor.tokens(now)) / rate;
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1)
    }
}

fn earliest_after<I>(at: Instant, changes: I) -> Instant
where
    I: Iterator<Item = Instant>,
{
    let later = changes.filter(|change| *change > at);
    later.min().unwrap_or(Instant::new(Duration::MAX))
}

fn sum(moved: &[Moved], at: Instant) -> Limits {
    let current = moved.iter().filter(|moved| moved.until > at);
    current.fold(Limits::default(), |sum, moved| Limits {
        rate: sum.rate + moved.limits.rate,
        capacity: sum.capacity + moved.limits.capacity,
    })
}
