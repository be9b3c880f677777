//! Periodic work of the homes: opening connections in advance and requesting loans from other homes.

use std::{
    collections::HashMap,
    sync::{Arc, Weak},
};

use hibiscusladder_core::{
    name::InstanceId,
    share::{LOAN_REQUEST_INTERVAL, LoanRequest},
};
use hibiscusladder_proto::share::AddressedLoanRequest;
use smol::Timer;

use super::{Homes, Member};
use crate::{rpc::Rpc, settings::LimitPolicy};

/// A loan request with the home that makes it.
struct Pending {
    member: Arc<Member>,
    addressed: AddressedLoanRequest,
}

/// Runs until `homes` are dropped.
pub(super) async fn run(homes: Weak<Homes>, rpc: Rpc) {
    loop {
        Timer::after(LOAN_REQUEST_INTERVAL).await;
        let Some(homes) = homes.upgrade() else { return };
        for member in homes.own_members() {
            member.keep_ready();
        }
        if homes.node.settings().policy.limits != LimitPolicy::Loans {
            continue;
        }
        for (home, pending) in due_requests(&homes) {
            smol::spawn(request_loans(Arc::clone(&homes), rpc.clone(), home, pending)).detach();
        }
    }
}

/// The loan requests that are due, by the instance to which they are sent.
fn due_requests(homes: &Homes) -> HashMap<InstanceId, Vec<Pending>> {
    let mut by_home: HashMap<InstanceId, Vec<Pending>> = HashMap::new();
    for member in homes.own_members() {
        for request in member.shares.due_loan_requests() {
            for (home, addressed) in address_requests(homes, &request) {
                let pending = Pending { member: Arc::clone(&member), addressed };
                by_home.entry(home).or_default().push(pending);
            }
        }
    }
    by_home
}

/// The request for each other member of the workspace's databases, with the instance that is the member's home.
fn address_requests(
    homes: &Homes,
    request: &LoanRequest,
) -> Vec<(InstanceId, AddressedLoanRequest)> {
    let node = &homes.node;
    let config = node.config();
    let Some(contract) = config.contract(&request.workspace) else { return Vec::new() };
    let mut found = Vec::new();
    for database in &contract.databases {
        let Some(record) = config.database(database) else { continue };
        for lender in record.members.iter().filter(|member| member.id != request.borrower) {
            let Some(home) = node.home_of(database, &lender.id) else { continue };
            let addressed =
                AddressedLoanRequest { lender: lender.id.clone(), request: request.clone() };
            found.push((home.id, addressed));
        }
    }
    found
}

/// Sends all due loan requests for the homes of one instance, and applies the loans that they grant.
async fn request_loans(homes: Arc<Homes>, rpc: Rpc, home: InstanceId, pending: Vec<Pending>) {
    let requested_at = homes.node.now();
    let requests: Vec<_> = pending.iter().map(|pending| pending.addressed.clone()).collect();
    let loans = if home == *homes.node.id() {
        requests.iter().map(|addressed| homes.lend(addressed)).collect()
    } else {
        let peers = homes.node.peers();
        let Some(address) = peers.get(&home).map(|peer| Arc::clone(&peer.rpc)) else { return };
        match rpc.borrow(&address, requests).await {
            Ok(loans) => loans,
            Err(error) => {
                spdlog::debug!("home: requesting loans from instance {home} failed: {error}");
                return;
            }
        }
    };
    for (pending, loan) in pending.iter().zip(loans) {
        if let Some(loan) = loan {
            pending.member.shares.accept(&pending.addressed.request, &loan, requested_at);
        }
    }
}
