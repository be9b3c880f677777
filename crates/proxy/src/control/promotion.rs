//! Runs the promotion state machine of the core library against the members and the store.

use std::{sync::Arc, time::Duration};

use hibiscusladder_core::{
    clock::{Clock, Instant},
    database::{DatabaseRecord, UpstreamState},
    name::{Database, InstanceId, MemberId},
    position::Term,
    promotion::{
        Promotion, PromotionAction, PromotionEvent, PromotionSettings, Publication, StoreAnswer,
        TermRecord, Timeline,
    },
};
use smol::{
    channel::{Receiver, Sender, unbounded},
    future::FutureExt,
};

use super::{members::Links, statement};
use crate::{
    clock::{BootClock, sleep},
    node::{Group, Node},
    platform::{Expected, PlatformClient, PlatformError},
};

/// Longest time between two events passed to the state machine, which requires one at least this often while an
/// attempt runs.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two requests to replace a primary that is leaving.
const REPLACEMENT_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Name under which this process claims terms: instance and incarnation, so that a restarted process is another
/// claimant.
pub fn claimant(node: &Node) -> InstanceId {
    InstanceId::from(format!("{}.{}", node.id(), node.incarnation()))
}

/// Runs the promotions of one database: replaces its primary when it fails or leaves.
pub(crate) async fn run(
    node: Arc<Node>,
    platform: PlatformClient,
    links: Arc<Links>,
    group: Arc<Group>,
) {
    let (event_sender, event_receiver) = unbounded();
    let database = group.view().database.clone();
    let settings = PromotionSettings::new(claimant(&node), node.data_centre().clone());
    let driver = Driver {
        claimant: claimant(&node),
        node,
        platform,
        links,
        group,
        database,
        event_sender,
        event_receiver,
    };
    driver.run(Promotion::new(settings)).await;
}

/// Resumes delayed writes when the task ends during a planned replacement.
struct ResumeWritesOnDrop(Arc<Group>);

impl Drop for ResumeWritesOnDrop {
    fn drop(&mut self) {
        self.0.hold_writes(false);
    }
}

#[derive(Clone)]
struct Driver {
    node: Arc<Node>,
    platform: PlatformClient,
    links: Arc<Links>,
    group: Arc<Group>,
    database: Database,
    claimant: InstanceId,
    event_sender: Sender<PromotionEvent>,
    event_receiver: Receiver<PromotionEvent>,
}

impl Driver {
    async fn run(self, mut promotion: Promotion) {
        let _resume = ResumeWritesOnDrop(Arc::clone(&self.group));
        let mut last_record: Option<TermRecord> = None;
        let mut replacement_requested: Option<Instant> = None;
        loop {
            let event = self.next_event().await;
            self.handle(&mut promotion, event);
            let record =
                self.node.config().database(&self.database).map(|record| term_record(record));
            if record != last_record {
                last_record.clone_from(&record);
                if let Some(record) = record {
                    self.handle(&mut promotion, PromotionEvent::Record(record));
                }
            }
            let now = BootClock.now();
            let due = replacement_requested
                .is_none_or(|at| now.since(at) >= REPLACEMENT_REQUEST_INTERVAL);
            if due && let Some(event) = self.planned_replacement_event() {
                replacement_requested = Some(now);
                self.handle(&mut promotion, event);
            }
        }
    }

    async fn next_event(&self) -> PromotionEvent {
        let tick = async {
            sleep(TICK_INTERVAL).await;
            PromotionEvent::Tick
        };
        let result = async { self.event_receiver.recv().await.unwrap_or(PromotionEvent::Tick) };
        result.or(tick).await
    }

    /// The request to replace the primary, when the primary is leaving and this instance is its home.
    fn planned_replacement_event(&self) -> Option<PromotionEvent> {
        let view = self.group.view();
        let primary = view.primary.as_ref()?;
        let leaving = self.node.config().upstream(primary) == UpstreamState::Leaving;
        let home = self.node.is_home(&self.database, primary);
        (leaving && home).then_some(PromotionEvent::PlannedReplacement { term: view.term })
    }

    /// Passes an event to the state machine and starts the actions that it returns.
    fn handle(&self, promotion: &mut Promotion, event: PromotionEvent) {
        let view = self.group.view();
        let before = promotion.timeline().map(|timeline| timeline.promoted);
        let actions = promotion.handle(event, &view.quorum, BootClock.now());
        if let Some(timeline) = promotion.timeline()
            && before != Some(timeline.promoted)
        {
            self.report_gap(timeline);
        }
        self.group.hold_writes(promotion.holds_writes());
        for action in actions {
            let driver = self.clone();
            smol::spawn(async move { driver.execute(action).await }).detach();
        }
    }

    /// Reports the time from [`Timeline::unresponsive_since`], usually the last poll that the old primary answered, to
    /// the promotion of the new one.
    fn report_gap(&self, timeline: &Timeline) {
        let gap = timeline.promoted.since(timeline.unresponsive_since);
        self.node.metrics().time("promotion.gap", gap);
        spdlog::info!(
            "promotion: {} has a new primary after a gap of {} ms",
            self.database,
            gap.as_millis()
        );
    }

    async fn execute(self, action: PromotionAction) {
        let event = match action {
            PromotionAction::Claim { term } => {
                spdlog::info!("promotion: claiming term {term} of {}", self.database);
                let claimant = self.claimant.clone();
                let allowed = |record: &DatabaseRecord| may_claim(record, term, &self.claimant);
                let answer = self
                    .update(allowed, move |record| {
                        record.term = term;
                        record.primary = None;
                        record.claimant = Some(claimant);
                        record.term_start = None;
                        record.term_members.clear();
                    })
                    .await;
                Some(PromotionEvent::Claimed { term, answer })
            }
            PromotionAction::ReadBack => {
                let record = self.read().await.ok().flatten();
                Some(PromotionEvent::ReadBack(record.map(|(_, record)| term_record(&record))))
            }
            PromotionAction::Raise { member, term } => self.raise(member, term).await,
            PromotionAction::Promote { member, term, term_members } => {
                self.promote(member, term, &term_members).await
            }
            PromotionAction::Poll { member } => {
                self.poll(&member).await;
                Some(PromotionEvent::Tick)
            }
            PromotionAction::Follow { member, primary, term } => {
                self.follow(&member, &primary, term).await;
                None
            }
            PromotionAction::Publish(publication) => Some(self.publish(publication).await),
            PromotionAction::Abandoned { term, reason } => {
                spdlog::warn!("promotion: abandoned term {term} of {}: {reason:?}", self.database);
                None
            }
        };
        if let Some(event) = event {
            let _ = self.event_sender.try_send(event);
        }
    }

    async fn poll(&self, member: &MemberId) {
        let Some(link) = self.links.get(member) else { return };
        if let Ok(Some(report)) = statement::poll(&link, member, || BootClock.now()).await {
            self.group.apply_report(report);
        }
    }

    async fn raise(&self, member: MemberId, term: Term) -> Option<PromotionEvent> {
        let link = self.links.get(&member)?;
        match statement::raise_term(&link, term, &self.claimant).await {
            Ok(Some((term, claimant))) => Some(PromotionEvent::Raised { member, term, claimant }),
            Ok(None) => None,
            Err(error) => {
                spdlog::warn!("promotion: raising member {member} to term {term} failed: {error}");
                None
            }
        }
    }

    async fn promote(
        &self,
        member: MemberId,
        term: Term,
        term_members: &[MemberId],
    ) -> Option<PromotionEvent> {
        let link = self.links.get(&member)?;
        match statement::promote(&link, term, term_members).await {
            Ok(accepted) => {
                spdlog::info!(
                    "promotion: member {member} answered the promotion for term {term} of {}: accepted {accepted}",
                    self.database
                );
                Some(PromotionEvent::Promoted { member, term, accepted })
            }
            Err(error) => {
                spdlog::warn!(
                    "promotion: member {member} did not answer the promotion for term {term}: {error}"
                );
                None
            }
        }
    }

    async fn follow(&self, member: &MemberId, primary: &MemberId, term: Term) {
        let view = self.group.view();
        let Some(record) = view.member(primary) else { return };
        let Some(link) = self.links.get(member) else { return };
        if let Err(error) = statement::follow(&link, &record.address, term).await {
            spdlog::warn!("promotion: making member {member} follow {primary} failed: {error}");
        }
    }

    async fn publish(&self, publication: Publication) -> PromotionEvent {
        let term = publication.term;
        let claimant = self.claimant.clone();
        let allowed = |record: &DatabaseRecord| may_publish(record, term);
        let answer = self
            .update(allowed, move |record| {
                record.term = publication.term;
                record.primary = Some(publication.primary);
                record.claimant = Some(claimant);
                record.term_start = publication.term_start;
                record.term_members = publication.term_members;
            })
            .await;
        if answer == StoreAnswer::Stored {
            spdlog::info!("promotion: published term {term} of {}", self.database);
        }
        PromotionEvent::Published { term, answer }
    }

    /// Reads the record and writes it to the store with `change` applied. Returns a conflict when `allowed` does not
    /// accept the record, or when it was changed since it was read.
    async fn update<A, F>(&self, allowed: A, change: F) -> StoreAnswer
    where
        A: FnOnce(&DatabaseRecord) -> bool,
        F: FnOnce(&mut DatabaseRecord),
    {
        let (version, mut record) = match self.read().await {
            Ok(Some(found)) => found,
            Ok(None) | Err(_) => return StoreAnswer::Unavailable,
        };
        if !allowed(&record) {
            return StoreAnswer::Conflict(term_record(&record));
        }
        change(&mut record);
        let Ok(value) = serde_json::to_value(&record) else {
            return StoreAnswer::Unavailable;
        };
        let name = self.database.as_str();
        match self.platform.put("databases", name, Expected::Version(version), &value).await {
            Ok(_) => StoreAnswer::Stored,
            Err(PlatformError::Conflict { current: Some(current), .. }) => {
                match serde_json::from_value(current.value) {
                    Ok(record) => StoreAnswer::Conflict(term_record(&record)),
                    Err(_) => StoreAnswer::Unavailable,
                }
            }
            Err(PlatformError::NoAnswer { .. }) => StoreAnswer::Unknown,
            Err(_) => StoreAnswer::Unavailable,
        }
    }

    /// Reads the record with its version; `None` when it is absent or cannot be parsed.
    async fn read(&self) -> Result<Option<(u64, DatabaseRecord)>, PlatformError> {
        let object = self.platform.get("databases", self.database.as_str()).await?;
        let record = object.and_then(|object| {
            let record = serde_json::from_value(object.value).ok()?;
            Some((object.version, record))
        });
        Ok(record)
    }
}

/// Whether `claimant` may write its claim of `term` over the record; another claimant's claim of the term is kept.
pub fn may_claim(record: &DatabaseRecord, term: Term, claimant: &InstanceId) -> bool {
    let own = record.claimant.as_ref() == Some(claimant);
    record.term < term || (record.term == term && record.primary.is_none() && own)
}

/// Whether the primary of `term` may be written over the record, regardless of which instance claimed the term.
pub fn may_publish(record: &DatabaseRecord, term: Term) -> bool {
    record.term < term || (record.term == term && record.primary.is_none())
}

fn term_record(record: &DatabaseRecord) -> TermRecord {
    TermRecord {
        term: record.term,
        claimant: record.claimant.clone(),
        primary: record.primary.clone(),
    }
}
