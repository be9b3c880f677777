//! Conversions of loans and of what a leaving home hands over.
//!
//! Rates and tokens travel in thousandths; the core uses whole thousandths in loans.

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
pub struct AddressedRequest {
    /// Member whose home is asked.
    pub lender: MemberId,
    /// The request.
    pub request: LoanRequest,
}

/// Writes a request for a loan.
pub fn write_loan_request(
    addressed: &AddressedRequest,
    mut builder: schema::loan_request::Builder<'_>,
) {
    let request = &addressed.request;
    builder.set_workspace(request.workspace.as_str());
    builder.set_database(request.database.as_str());
    builder.set_borrower(request.borrower.as_str());
    builder.set_lender(addressed.lender.as_str());
    builder.set_rate_per_mille(to_mille(request.rate));
    builder.set_tokens_per_mille(to_mille(request.tokens));
    builder.set_term(request.term.0);
    builder.set_division(request.division);
}

/// Reads a request for a loan.
///
/// # Errors
///
/// Returns an error when the message is not valid.
pub fn read_loan_request(
    reader: schema::loan_request::Reader<'_>,
) -> Result<AddressedRequest, Error> {
    let request = LoanRequest {
        workspace: Workspace::new(required(reader.get_workspace()?, "workspace")?),
        database: Database::new(required(reader.get_database()?, "database")?),
        borrower: MemberId::new(required(reader.get_borrower()?, "borrower")?),
        rate: from_mille(reader.get_rate_per_mille()),
        tokens: from_mille(reader.get_tokens_per_mille()),
        term: Term(reader.get_term()),
        division: reader.get_division(),
    };
    let lender = MemberId::new(required(reader.get_lender()?, "lender")?);
    Ok(AddressedRequest { lender, request })
}

/// Writes the answer to one request; a loan of nothing means that nothing is lent.
pub fn write_loan(loan: Option<&Loan>, mut builder: schema::loan::Builder<'_>) {
    let Some(loan) = loan else { return };
    builder.set_workspace(loan.workspace.as_str());
    builder.set_rate_per_mille(to_mille(loan.rate));
    builder.set_tokens_per_mille(to_mille(loan.tokens));
    builder.set_duration_ms(u32::try_from(millis(loan.duration)).unwrap_or(u32::MAX));
}

/// Reads the answer to one request.
///
/// # Errors
///
/// Returns an error when the message is not valid.
pub fn read_loan(reader: schema::loan::Reader<'_>) -> Result<Option<Loan>, Error> {
    if reader.get_duration_ms() == 0 {
        return Ok(None);
    }
    Ok(Some(Loan {
        workspace: Workspace::new(required(reader.get_workspace()?, "workspace")?),
        rate: from_mille(reader.get_rate_per_mille()),
        tokens: from_mille(reader.get_tokens_per_mille()),
        duration: Duration::from_millis(u64::from(reader.get_duration_ms())),
    }))
}

/// Writes what a leaving home hands over for one workspace.
pub fn write_hand_over(handed: &HandedOverShare, mut builder: schema::bucket::Builder<'_>) {
    builder.set_workspace(handed.workspace.as_str());
    builder.set_member(handed.member.as_str());
    builder.set_tokens_per_mille(to_mille(handed.tokens));
    builder.set_lent_for_ms(u32::try_from(millis(handed.lent_for)).unwrap_or(u32::MAX));
}

/// Reads what a leaving home hands over for one workspace.
///
/// # Errors
///
/// Returns an error when the message is not valid.
pub fn read_hand_over(reader: schema::bucket::Reader<'_>) -> Result<HandedOverShare, Error> {
    Ok(HandedOverShare {
        workspace: Workspace::new(required(reader.get_workspace()?, "workspace")?),
        member: MemberId::new(required(reader.get_member()?, "member")?),
        tokens: from_mille(reader.get_tokens_per_mille()),
        lent_for: Duration::from_millis(u64::from(reader.get_lent_for_ms())),
    })
}

/// The nearest number of thousandths; amounts that the core passes on are whole thousandths already.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the amount is limited to the range before the conversion"
)]
fn to_mille(amount: f64) -> u64 {
    (amount * 1000.0).round().clamp(0.0, MAX_MILLE) as u64
}

#[expect(clippy::cast_precision_loss, reason = "the amount is limited to exact numbers")]
fn from_mille(amount: u64) -> f64 {
    (amount as f64).min(MAX_MILLE) / 1000.0
}

/// Largest number of thousandths that is exact as a floating-point number.
const MAX_MILLE: f64 = 9_007_199_254_740_991.0;
