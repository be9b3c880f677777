//! State of a share: admission, loans and handover of one workspace at one member.

use std::time::Duration;

use super::{
    Division, Divisions, HandedOverShare, LOAN_REQUEST_INTERVAL, Limits, Loan, LoanRequest,
    MAX_LOAN_DURATION,
    demand::Demand,
    loan::{floor_to_milliseconds, floor_to_thousandths},
};
use crate::{
    bucket::TokenBucket,
    clock::{Instant, with_drift},
    name::{Database, MemberId, Workspace},
    position::Term,
};

/// Shortest and longest retry time that a refused client is given.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_secs(5));
/// Retry time that a client is given while the home has no lease; the duration of a lease.
const RETRY_WITHOUT_LEASE: Duration = Duration::from_secs(1);
/// Factor on the estimated demand up to which a home keeps rate or requests it.
const DEMAND_HEADROOM: f64 = 1.05;
/// Time before the end of a loan from which it no longer counts as covering the demand, so that it is renewed.
const RENEWAL_LEAD: Duration = Duration::from_millis(300);
/// Time for whose demand tokens are kept or requested.
const TOKEN_RESERVE_TIME: Duration = Duration::from_millis(150);
/// Tokens that a lender keeps for its own first request.
const MIN_RETAINED_TOKENS: f64 = 1.0;
/// Longest time between two requests for loans, reached while nothing is lent.
const MAX_LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(800);
/// Shortest duration of a loan.
const MIN_LOAN_DURATION: Duration = Duration::from_millis(200);
/// Smallest missing rate, in requests per second, and smallest number of missing tokens for which a loan is requested.
const MIN_LOAN_AMOUNT: f64 = 0.1;

/// The term of the database and its members, which divide the term part.
#[derive(Debug, Clone, Copy)]
struct TermMembers {
    term: Term,
    count: usize,
    /// Whether the member of the share is one of them.
    listed: bool,
}

/// Limits that were lent or borrowed until a time.
#[derive(Debug, Clone, Copy)]
struct LoanedLimits {
    limits: Limits,
    until: Instant,
    /// Whether lender and borrower belong to one database, so that a lent part ends with its term. A borrowed part ends
    /// with the term of the borrower in any case.
    same_database: bool,
}

/// The share of one workspace at one member, used by the member's home.
///
/// A share exists as long as the advisory lock of its home lease is held: a home that loses the lock drops its
/// shares, and the next home starts with empty buckets. Lease and gate are deadlines that are checked at every use,
/// so they have expired for a process that was paused beyond them.
#[derive(Debug, Clone)]
pub struct Share {
    workspace: Workspace,
    database: Database,
    member: MemberId,
    divisions: Divisions,
    anchor: TokenBucket,
    /// Refilled up to `filled_until` only, and never for a time in which the gate was not proved open.
    term_part: TokenBucket,
    filled_until: Instant,
    /// Next time at which the limits of the anchor change without another event; `term_change` for the term part.
    anchor_change: Instant,
    term_change: Instant,
    term: Option<TermMembers>,
    lease_until: Instant,
    gate_until: Instant,
    /// Time until which loans by the previous home of the member may be in use.
    predecessor_loans_until: Instant,
    lent: Vec<LoanedLimits>,
    borrowed: Vec<LoanedLimits>,
    demand: Demand,
    /// Cost of the requests that were refused since loans were last requested, in tokens.
    refused_tokens: f64,
    /// Earliest time of the next request for loans.
    next_request: Instant,
    request_interval: Duration,
    /// Tokens that were used for requests or lent since the share was created.
    spent: f64,
    /// Whether a handed-over share has been taken over, which happens only once.
    taken_over: bool,
}

impl Share {
    /// Creates the share of a home whose lease is usable from `now` on. The buckets are empty, and the term part
    /// stays unused until the loans of the previous home have ended.
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
            filled_until: now,
            anchor_change: now,
            term_change: now,
            term: None,
            lease_until: now,
            gate_until: now,
            predecessor_loans_until: now.plus(with_drift(MAX_LOAN_DURATION)),
            lent: Vec::new(),
            borrowed: Vec::new(),
            demand: Demand::new(now),
            refused_tokens: 0.0,
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

    /// Extends the home lease to `until`, which is exclusive. The home has to have held the lock without a gap since
    /// the share was created.
    pub fn renew_lease(&mut self, until: Instant) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Extends the time for which the gate of `term` is proved to be open up to `until`, which is exclusive. Has no
    /// effect when the share is in another term.
    ///
    /// With a majority of `k` members, `until` is the sending time of the `k`-th newest of the members' polls that
    /// reported `term`, plus the window of the gate.
    pub fn set_gate(&mut self, term: Term, until: Instant) {
        if self.current_term() == Some(term) {
            self.gate_until = self.gate_until.max(until);
        }
    }

    /// Records that `members` divide the term part in `term`, to which a primary was promoted. Has no effect unless
    /// `term` is higher than the term of the share.
    ///
    /// Loans within the database become void with the old term, as do all borrowed ones, and the gate stays closed
    /// until it is proved to be open in the new term.
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
        self.skip_term_refill(now);
        self.set_limits(now);
    }

    /// Records a new division of the contract. Borrowed loans become void, since they are parts of the old division.
    pub fn set_division(&mut self, division: Division, now: Instant) {
        if division == *self.divisions.current() {
            return;
        }
        self.advance(now);
        self.borrowed.clear();
        self.divisions.record(division, now);
        self.skip_term_refill(now);
        self.set_limits(now);
    }

    /// Admits a request that costs `n` tokens and arrives now, or returns the time after which a retry makes sense.
    ///
    /// # Errors
    ///
    /// Approximately the time until enough tokens have accrued without a loan, at most 5 s.
    pub fn try_admit(&mut self, n: f64, now: Instant) -> Result<(), Duration> {
        self.demand.record(n, now);
        let admitted = self.retry_admit(n, now);
        if admitted.is_err() {
            self.refused_tokens += n;
        }
        admitted
    }

    /// Like [`Share::try_admit`] for a request that was refused before, is counted in the demand and waits for a loan.
    ///
    /// # Errors
    ///
    /// As for [`Share::try_admit`].
    pub fn retry_admit(&mut self, n: f64, now: Instant) -> Result<(), Duration> {
        self.advance(now);
        if now >= self.lease_until {
            return Err(RETRY_WITHOUT_LEASE);
        }
        let is_gate_open = now < self.gate_until;
        let from_term = if is_gate_open { self.term_part.tokens(now).min(n) } else { 0.0 };
        if self.anchor.try_take(n - from_term, now).is_err() {
            return Err(self.retry_after(n - from_term, is_gate_open, now));
        }
        self.term_part.remove(from_term, self.filled_until);
        self.spent += n;
        Ok(())
    }

    /// Returns the request for loans that is due when the share does not cover the demand; `None` when none is due.
    ///
    /// Send it to every other home of the workspace's databases; each lends what it can spare with [`Share::lend`].
    pub fn loan_request(&mut self, now: Instant) -> Option<LoanRequest> {
        let term = self.current_term()?;
        self.advance(now);
        if now < self.next_request || !self.is_term_part_usable(now) {
            return None;
        }
        let demand = self.expected_demand(now);
        let term_limits = self.term_limits_with_loans(now.plus(RENEWAL_LEAD));
        let rate = demand - term_limits.rate;
        let lacks_tokens = self.refused_tokens > 0.0 || rate >= MIN_LOAN_AMOUNT;
        let tokens = if lacks_tokens { self.missing_tokens(demand, now) } else { 0.0 };
        if rate < MIN_LOAN_AMOUNT && tokens < MIN_LOAN_AMOUNT {
            return None;
        }
        self.refused_tokens = 0.0;
        self.next_request = now.plus(self.request_interval);
        // Doubled until a loan is accepted; a workspace above its total rate would otherwise request loans at this pace
        // forever.
        self.request_interval =
            self.request_interval.saturating_mul(2).min(MAX_LOAN_REQUEST_INTERVAL);
        Some(LoanRequest {
            workspace: self.workspace.clone(),
            database: self.database.clone(),
            borrower: self.member.clone(),
            rate: floor_to_thousandths(rate),
            tokens: floor_to_thousandths(tokens),
            term,
            division: self.divisions.current().fingerprint(),
        })
    }

    /// Lends the rate and tokens that this share can spare, which it does not use from now on; `None` when it cannot
    /// lend.
    ///
    /// A loan to a home of the same database is void in another term. A home of another database does not learn this
    /// database's term, so a loan to it ends with the proof that the gate is open.
    pub fn lend(&mut self, request: &LoanRequest, now: Instant) -> Option<Loan> {
        self.advance(now);
        let same_database = request.database == self.database;
        if !self.may_lend(request, same_database, now) {
            return None;
        }
        let (spare, duration) = self.spare_limits(request, same_database, now);
        let limits = Limits {
            rate: floor_to_thousandths(request.rate.min(spare.rate)),
            capacity: floor_to_thousandths(request.tokens.min(spare.capacity)),
        };
        let duration = floor_to_milliseconds(duration);
        if limits == Limits::default() || duration < MIN_LOAN_DURATION {
            return None;
        }
        let tokens = self.term_part.remove(limits.capacity, now);
        self.spent += tokens;
        let until = now.plus(with_drift(duration));
        self.lent.push(LoanedLimits { limits, until, same_database });
        self.set_limits(now);
        let workspace = self.workspace.clone();
        Some(Loan { workspace, rate: limits.rate, tokens: limits.capacity, duration })
    }

    /// Adds a loan that answers `request`, which was sent at `sent`; returns false when the loan is void.
    ///
    /// Call it at most once for each answer.
    pub fn accept(
        &mut self,
        request: &LoanRequest,
        loan: &Loan,
        sent: Instant,
        now: Instant,
    ) -> bool {
        self.advance(now);
        let same_term = self.current_term() == Some(request.term);
        let same_division = request.division == self.divisions.current().fingerprint();
        let until = sent.plus(loan.duration.min(MAX_LOAN_DURATION));
        if !same_term || !same_division || !self.is_term_part_usable(now) || until <= now {
            return false;
        }
        let limits = Limits { rate: loan.rate, capacity: loan.tokens };
        self.borrowed.push(LoanedLimits { limits, until, same_database: true });
        self.set_limits(now);
        self.term_part.add(loan.tokens, now);
        self.request_interval = LOAN_REQUEST_INTERVAL;
        true
    }

    /// Ends the share of a leaving home and returns its state for the next home; `None` when the lease has expired.
    pub fn hand_over(mut self, now: Instant) -> Option<HandedOverShare> {
        self.advance(now);
        if now >= self.lease_until {
            return None;
        }
        let own_capacity = self.own_term_limits(now).capacity;
        let term_tokens =
            if now < self.gate_until { self.term_part.tokens(now).min(own_capacity) } else { 0.0 };
        let lent = self.lent.iter().map(|lent| lent.until).max().unwrap_or(now);
        Some(HandedOverShare {
            workspace: self.workspace,
            member: self.member,
            tokens: floor_to_thousandths(self.anchor.tokens(now) + term_tokens),
            lent_for: lent.max(self.predecessor_loans_until).since(now),
        })
    }

    /// Takes over the share of the home that left; returns false when this share took over before or `handed` belongs
    /// to another share.
    ///
    /// A late message adds only the tokens that the share could also hold had the message arrived at the start.
    pub fn take_over(&mut self, handed: &HandedOverShare, now: Instant) -> bool {
        if self.taken_over || handed.member != self.member || handed.workspace != self.workspace {
            return false;
        }
        self.advance(now);
        self.taken_over = true;
        let until = now.plus(with_drift(handed.lent_for));
        self.predecessor_loans_until = self.predecessor_loans_until.min(until);
        self.skip_term_refill(now);
        self.set_limits(now);
        let capacity = self.anchor.capacity() + self.term_part.capacity();
        let gained =
            self.spent + self.anchor.tokens(now) + self.term_part.tokens(self.filled_until);
        let tokens = handed.tokens.min(capacity - gained).max(0.0);
        let before = self.anchor.tokens(now);
        self.anchor.add(tokens, now);
        let rest = tokens - (self.anchor.tokens(now) - before);
        self.term_part.add(rest, self.filled_until);
        true
    }

    /// Rate and capacity that may be used at `now`; zero without a lease, the anchor alone while the gate is closed.
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

    fn is_term_part_usable(&self, now: Instant) -> bool {
        now < self.lease_until && now < self.gate_until
    }

    /// Limits of the term part at `at`, without loans.
    fn own_term_limits(&self, at: Instant) -> Limits {
        match self.term {
            Some(members) if members.listed && at >= self.predecessor_loans_until => {
                self.divisions.part(&self.database, at).term.divided_by(members.count)
            }
            _ => Limits::default(),
        }
    }

    /// Limits of the term part at `at`, with borrowed loans added and lent ones subtracted.
    fn term_limits_with_loans(&self, at: Instant) -> Limits {
        let (own, lent, borrowed) =
            (self.own_term_limits(at), sum_loans(&self.lent, at), sum_loans(&self.borrowed, at));
        Limits {
            rate: (own.rate + borrowed.rate - lent.rate).max(0.0),
            capacity: (own.capacity + borrowed.capacity - lent.capacity).max(0.0),
        }
    }

    /// Refills both buckets up to `now`, in steps between the times at which their limits change.
    ///
    /// The term part is refilled only up to the time for which the gate is proved open. When the proof is extended for
    /// the same term, that term was in force in the meantime, and the term part is refilled for that time as well.
    fn advance(&mut self, now: Instant) {
        while self.anchor_change <= now {
            self.set_anchor_limits(self.anchor_change);
        }
        let end = now.min(self.gate_until).max(self.filled_until);
        while self.term_change <= end {
            self.filled_until = self.term_change;
            self.set_term_part_limits();
        }
        self.filled_until = end;
    }

    /// Continues the refill of the term part from `now`, without the tokens for the time in which the gate was not
    /// proved open.
    fn skip_term_refill(&mut self, now: Instant) {
        self.term_part.refill(self.filled_until);
        self.term_part.skip_to(now);
        self.filled_until = now;
    }

    fn set_limits(&mut self, now: Instant) {
        self.set_anchor_limits(now);
        self.set_term_part_limits();
    }

    fn set_anchor_limits(&mut self, at: Instant) {
        let anchor = self.divisions.part(&self.database, at).anchor;
        self.anchor.set_limits(anchor.rate, anchor.capacity, at);
        self.anchor_change = earliest_after(at, self.divisions.change_times());
    }

    /// Sets the limits of the term part as they are at `filled_until`.
    fn set_term_part_limits(&mut self) {
        let at = self.filled_until;
        let term_limits = self.term_limits_with_loans(at);
        self.term_part.set_limits(term_limits.rate, term_limits.capacity, at);
        self.lent.retain(|lent| lent.until > at);
        self.borrowed.retain(|borrowed| borrowed.until > at);
        let loans = self.lent.iter().chain(&self.borrowed).map(|loaned| loaned.until);
        let others = self.divisions.change_times().chain([self.predecessor_loans_until]);
        self.term_change = earliest_after(at, loans.chain(others));
    }

    fn expected_demand(&self, now: Instant) -> f64 {
        let total = self.divisions.current().total().rate;
        (self.demand.rate(now) * DEMAND_HEADROOM).min(total)
    }

    fn missing_tokens(&self, demand: f64, now: Instant) -> f64 {
        let held = self.anchor.tokens(now) + self.term_part.tokens(now);
        let needed = self.refused_tokens + demand * TOKEN_RESERVE_TIME.as_secs_f64();
        needed.min(self.divisions.current().total().capacity) - held
    }

    fn may_lend(&self, request: &LoanRequest, same_database: bool, now: Instant) -> bool {
        let same_term = !same_database || self.current_term() == Some(request.term);
        let same_division = request.division == self.divisions.current().fingerprint();
        let is_other_home = request.borrower != self.member && request.workspace == self.workspace;
        is_other_home && same_term && same_division && self.is_term_part_usable(now)
    }

    /// Limits of the term part that can be lent, and for how long. A part that includes borrowed limits can be lent
    /// only until the first of them ends.
    fn spare_limits(
        &self,
        request: &LoanRequest,
        same_database: bool,
        now: Instant,
    ) -> (Limits, Duration) {
        let demand = self.expected_demand(now);
        let retained = MIN_RETAINED_TOKENS.max(demand * TOKEN_RESERVE_TIME.as_secs_f64());
        let term_limits = self.term_limits_with_loans(now);
        let tokens = self.term_part.tokens(now) - retained;
        let spare = Limits {
            rate: term_limits.rate - demand,
            capacity: tokens.min(term_limits.capacity - MIN_RETAINED_TOKENS),
        };
        let proved = if same_database { MAX_LOAN_DURATION } else { self.gate_until.since(now) };
        let longest = proved.min(MAX_LOAN_DURATION);
        let (own, lent) = (self.own_term_limits(now), sum_loans(&self.lent, now));
        let unlent = Limits { rate: own.rate - lent.rate, capacity: own.capacity - lent.capacity };
        let from_own = request.rate.min(spare.rate) <= unlent.rate
            && request.tokens.min(spare.capacity) <= unlent.capacity;
        if from_own {
            return (spare, longest);
        }
        let shortest = self.borrowed.iter().map(|borrowed| borrowed.until.since(now)).min();
        match shortest {
            Some(left) if left >= MIN_LOAN_DURATION => (spare, left.min(longest)),
            _ => {
                let rate = spare.rate.min(unlent.rate);
                let capacity = spare.capacity.min(unlent.capacity);
                (Limits { rate, capacity }, longest)
            }
        }
    }

    fn retry_after(&self, lacking: f64, is_gate_open: bool, now: Instant) -> Duration {
        let term_rate = if is_gate_open { self.term_part.rate() } else { 0.0 };
        let rate = self.anchor.rate() + term_rate;
        let seconds = (lacking - self.anchor.tokens(now)) / rate;
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }
}

fn earliest_after<I>(at: Instant, times: I) -> Instant
where
    I: Iterator<Item = Instant>,
{
    let later = times.filter(|time| *time > at);
    later.min().unwrap_or(Instant::new(Duration::MAX))
}

fn sum_loans(loaned: &[LoanedLimits], at: Instant) -> Limits {
    let current = loaned.iter().filter(|loaned| loaned.until > at);
    current.fold(Limits::default(), |sum, loaned| Limits {
        rate: sum.rate + loaned.limits.rate,
        capacity: sum.capacity + loaned.limits.capacity,
    })
}
