//! Shares: the part of a workspace's rate and burst that is used at one member, and loans between members.
//!
//! Rate and burst of a contract are divided over the members of its databases. The home of a member admits requests
//! against its share locally, so admission costs no message. 30% of the share is the anchor, usable under the home
//! lease alone. The rest is the term part, usable only while the gate of the database's term is open as well; a home
//! lends the part of it that it does not need to homes with more demand.
//!
//! At every instant the shares in use and the loans in transit sum to no more than the contract, and tokens arise
//! only by accrual over time, so the requests admitted in any interval `t` are at most `rate * t + burst`.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     position::Term,
//!     share::{Division, Divisions, Share},
//! };
//!
//! let start = Instant::default();
//! let members = ["padron-1".into(), "padron-2".into()];
//! let division = Division::new(100.0, 40.0).database("padron".into(), 2);
//! let home = |member: &str| {
//!     let divisions = Divisions::for_new_contract(division.clone());
//!     let mut share =
//!         Share::new("club-andino".into(), "padron".into(), member.into(), divisions, start);
//!     share.set_term(Term(1), &members, start);
//!     share
//! };
//! let mut busy = home("padron-1");
//! let mut idle = home("padron-2");
//!
//! // Five seconds later both hold their full part of the burst, 20 requests.
//! let now = start.plus(Duration::from_secs(5));
//! for share in [&mut busy, &mut idle] {
//!     share.renew_lease(now.plus(Duration::from_secs(1)));
//!     share.set_gate(Term(1), now.plus(Duration::from_secs(1)));
//! }
//! let admitted = (0..30).filter(|_| busy.try_admit(1.0, now).is_ok()).count();
//! assert_eq!(admitted, 20);
//!
//! let request = busy.loan_request(now).expect("ten requests were refused");
//! let loan = idle.lend(&request, now).expect("the other home is idle");
//! assert!(busy.accept(&request, &loan, now, now));
//! let admitted = (0..10).filter(|_| busy.retry_admit(1.0, now).is_ok()).count();
//! assert_eq!(admitted, 10);
//! ```

mod allotment;
mod demand;
mod division;
mod loan;
mod state;

pub use self::{
    allotment::{Allotment, AllotmentPart, TokenRequest},
    division::{DIVISION_GRACE, DatabasePart, Division, Divisions, Limits},
    loan::{HandedOverShare, LOAN_REQUEST_INTERVAL, Loan, LoanRequest, MAX_LOAN_DURATION},
    state::Share,
};
