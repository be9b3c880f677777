//! Conversions of loans and of the shares that a leaving home hands over.
//!
//! Messages hold rates and tokens in thousandths; the amounts of loans in the core are whole thousandths.

use std::time::Duration;

use capnp::Error;
use hibiscusladder_core::{
    name::{Database, MemberId, Workspace},
    position::Term,
    share::{HandedOverShare, Loan, LoanRequest},
};

use crate::{
    instance_capnp as schema,
    request::{millis, required},
};

/// A request for a loan, addressed to the home of one member.
#[derive(Debug, Clone, PartialEq)]
pub struct AddressedLoanRequest {
    /// Member whose home receives the request.
    pub lender: MemberId,
    /// Request of the borrower.
    pub request: LoanRequest,
}

/// Writes a request for a loan to `builder`.
pub fn write_loan_request(
    addressed: &AddressedLoanRequest,
    mut builder: schema::loan_request::Builder<'_>,
) {
    let request = &addressed.request;
    builder.set_workspace(request.workspace.as_str());
    builder.set_database(request.database.as_str());
    builder.set_borrower(request.borrower.as_str());
    builder.set_lender(addressed.lender.as_str());
    builder.set_rate_per_mille(to_thousandths(request.rate));
    builder.set_tokens_per_mille(to_thousandths(request.tokens));
    builder.set_term(request.term.0);
    builder.set_division(request.division);
}

/// Reads a request for a loan.
///
/// # Errors
///
/// Returns an error when the message is malformed or a required field is empty.
pub fn read_loan_request(
    reader: schema::loan_request::Reader<'_>,
) -> Result<AddressedLoanRequest, Error> {
    let request = LoanRequest {
        workspace: Workspace::new(required(reader.get_workspace()?, "workspace")?),
        database: Database::new(required(reader.get_database()?, "database")?),
        borrower: MemberId::new(required(reader.get_borrower()?, "borrower")?),
        rate: from_thousandths(reader.get_rate_per_mille()),
        tokens: from_thousandths(reader.get_tokens_per_mille()),
        term: Term(reader.get_term()),
        division: reader.get_division(),
    };
    let lender = MemberId::new(required(reader.get_lender()?, "lender")?);
    Ok(AddressedLoanRequest { lender, request })
}

/// Writes the answer to one request for a loan; `None`, when nothing is lent, leaves the message empty.
pub fn write_loan(loan: Option<&Loan>, mut builder: schema::loan::Builder<'_>) {
    let Some(loan) = loan else { return };
    builder.set_workspace(loan.workspace.as_str());
    builder.set_rate_per_mille(to_thousandths(loan.rate));
    builder.set_tokens_per_mille(to_thousandths(loan.tokens));
    builder.set_duration_ms(u32::try_from(millis(loan.duration)).unwrap_or(u32::MAX));
}

/// Reads the answer to one request for a loan; `None` when nothing is lent, which a duration of zero indicates.
///
/// # Errors
///
/// Returns an error when the message is malformed or a required field is empty.
pub fn read_loan(reader: schema::loan::Reader<'_>) -> Result<Option<Loan>, Error> {
    if reader.get_duration_ms() == 0 {
        return Ok(None);
    }
    Ok(Some(Loan {
        workspace: Workspace::new(required(reader.get_workspace()?, "workspace")?),
        rate: from_thousandths(reader.get_rate_per_mille()),
        tokens: from_thousandths(reader.get_tokens_per_mille()),
        duration: Duration::from_millis(u64::from(reader.get_duration_ms())),
    }))
}

/// Writes the share of one workspace that a leaving home hands over.
pub fn write_hand_over(hand_over: &HandedOverShare, mut builder: schema::bucket::Builder<'_>) {
    builder.set_workspace(hand_over.workspace.as_str());
    builder.set_member(hand_over.member.as_str());
    builder.set_tokens_per_mille(to_thousandths(hand_over.tokens));
    builder.set_lent_for_ms(u32::try_from(millis(hand_over.lent_for)).unwrap_or(u32::MAX));
}

/// Reads the share of one workspace that a leaving home hands over.
///
/// # Errors
///
/// Returns an error when the message is malformed or a required field is empty.
pub fn read_hand_over(reader: schema::bucket::Reader<'_>) -> Result<HandedOverShare, Error> {
    Ok(HandedOverShare {
        workspace: Workspace::new(required(reader.get_workspace()?, "workspace")?),
        member: MemberId::new(required(reader.get_member()?, "member")?),
        tokens: from_thousandths(reader.get_tokens_per_mille()),
        lent_for: Duration::from_millis(u64::from(reader.get_lent_for_ms())),
    })
}

/// Converts an amount to the nearest number of thousandths, which is exact for amounts in whole thousandths.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the amount is limited to the range before the conversion"
)]
fn to_thousandths(amount: f64) -> u64 {
    (amount * 1000.0).round().clamp(0.0, MAX_THOUSANDTHS) as u64
}

#[expect(clippy::cast_precision_loss, reason = "the amount is limited to exact numbers")]
fn from_thousandths(amount: u64) -> f64 {
    (amount as f64).min(MAX_THOUSANDTHS) / 1000.0
}

/// Largest number of thousandths that is exact as a floating-point number.
const MAX_THOUSANDTHS: f64 = 9_007_199_254_740_991.0;
