//! Writes records of promotions to the store that it lacks after a restore, and exchanges recent ones with other instances.
//!
//! The load is bounded: after a restore, each hub lists the claims once and writes each missing record at most once a
//! second, later ones after earlier ones in the order of the hubs. Nothing is sent to a store of era 0.

use std::{rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::{Clock, Instant},
    name::Group,
};
use hibiscusladder_io::clock::{BootClock, within};
use serde_json::json;

use crate::{
    adapter::Store,
    claim_table::{FailoverClaims, StoredPromotion},
    events::{self, Event},
    failover_claim::ClaimClient,
    message::{PromotionEntry, PromotionsSection},
    metrics::{Counter, Metrics},
};

/// Longest time between two comparisons with the store's records, and least time between two attempts to write one.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay between two hubs that write a record. It covers a write and the message that shows its effect is not awaited: the
/// second write is refused by the version.
const WRITE_DELAY: Duration = Duration::from_millis(700);
/// Largest number of records in a message, so that it stays within a packet in fleets with many groups.
const MAX_RECORDS: usize = 8;

/// What the task needs of the instance.
pub trait RecordHost {
    /// Client of the store.
    type Store: Store;

    /// Client of the failover claims.
    fn claims(&self) -> ClaimClient<'_, Self::Store>;

    /// Position of this instance among the hubs that may write the record of `group`; `None` unless it is a hub that
    /// knows the fleet.
    fn writer_rank(&self, group: &Group) -> Option<u32>;

    /// Whether this instance is a hub that knows the fleet.
    fn is_writer(&self) -> bool;
}

/// Writes records that the store lacks, for as long as the process runs.
pub async fn run<H>(host: Rc<H>)
where
    H: RecordHost,
{
    loop {
        let claims = host.claims();
        within(CHECK_INTERVAL, claims.era.listen()).await;
        if claims.era.known() > 0 && host.is_writer() {
            write_lacking(&*host, &claims).await;
        }
    }
}

async fn write_lacking<H>(host: &H, claims: &ClaimClient<'_, H::Store>)
where
    H: RecordHost,
{
    if !claims.is_listed() && claims.list().await.is_err() {
        return;
    }
    let now = BootClock.now();
    let Some(learned_at) = claims.era.get().learned_at() else { return };
    let lacking = claims.table.borrow().lacking(claims.instance, claims.era.known(), now);
    for group in lacking {
        let Some(rank) = host.writer_rank(&group) else { continue };
        if now.since(learned_at) < WRITE_DELAY * rank {
            continue;
        }
        let written = claims.write_record(&group).await;
        let label = if written.is_ok() { "written" } else { "write_failed" };
        claims.metrics.count(Counter::PromotionRecords, label);
        let error = written.err().map(|error| error.to_string());
        events::log(
            Event::PromotionRecordWritten,
            json!({
                "group": group.as_str(), "outcome": label, "error": error,
                "era": claims.era.known(),
            }),
        );
    }
}

/// Recent records for a message to another instance; `None` when there is none.
pub fn section(claims: &FailoverClaims, now: Instant) -> Option<PromotionsSection> {
    let recent = claims.records().recent(MAX_RECORDS, now).into_iter();
    let records = recent.map(|(group, record)| PromotionEntry {
        group: group.as_str().into(),
        promotion: StoredPromotion::from(record),
    });
    let records: Vec<_> = records.collect();
    (!records.is_empty()).then_some(PromotionsSection { records })
}

/// Records what another instance sent. `is_group` tells whether a group is configured.
pub fn receive<F>(
    claims: &mut FailoverClaims,
    section: &PromotionsSection,
    is_group: F,
    metrics: &Metrics,
    now: Instant,
) where
    F: Fn(&Group) -> bool,
{
    for entry in section.records.iter().take(MAX_RECORDS) {
        let group = Group::from(&*entry.group);
        if is_group(&group) && claims.learn(&group, &entry.promotion, now) {
            metrics.count(Counter::PromotionRecords, "learned");
        }
    }
}
