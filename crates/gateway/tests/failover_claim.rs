//! Failover claims and records of promotions at a store that is restored from an older copy.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use hibiscusladder_core::{
    clock::{Clock, Instant},
    name::{Group, InstanceId},
    position::{Lsn, Position, Term},
    roster::Freshness,
    store_version::StoreVersion,
    sync_group::{PromotionRecord, RecordedPromotion},
};
use hibiscusladder_gateway::{
    adapter::{Collection, Content, Listing, Object, Store, StoreChanges, StoreError},
    claim_table::{Claim, FailoverClaims, StoredPromotion},
    failover_claim::{ClaimClient, ClaimError},
    message::{PromotionEntry, PromotionsSection},
    metrics::Metrics,
    promotion_records,
    store_era::SharedStoreEra,
};
use hibiscusladder_io::clock::BootClock;
use test_case::test_case;

const ERA: u64 = 1 << 32;

/// What the store does with the next write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Fault {
    #[default]
    None,
    /// The answer is lost after the write.
    AnswerLost,
    /// The answer is lost after the write, and the store is restored from a copy made before it.
    AnswerLostOverRestore,
    /// The store was restored before the write, and another claim has got the revision on which the write is based.
    LateOverRestore,
}

/// A store with one claim.
#[derive(Debug, Default)]
struct OneClaim {
    known: Rc<SharedStoreEra>,
    era: Cell<u64>,
    revision: Cell<u64>,
    claim: RefCell<Option<(u64, String)>>,
    fault: Cell<Fault>,
    calls: Cell<usize>,
}

impl OneClaim {
    fn put(&self, base: Option<u64>, text: &str) -> Result<StoreVersion, StoreError> {
        self.calls.set(self.calls.get() + 1);
        let fault = self.fault.take();
        let copy = self.claim.borrow().clone();
        if fault == Fault::LateOverRestore {
            self.era.set(self.era.get() + 1);
        }
        if copy.as_ref().map(|(revision, _)| *revision) != base {
            return Err(StoreError::Conflict);
        }
        self.revision.set(self.revision.get() + 1);
        *self.claim.borrow_mut() = Some((self.revision.get(), text.into()));
        if fault == Fault::AnswerLostOverRestore {
            *self.claim.borrow_mut() = copy;
            self.era.set(self.era.get() + 1);
        }
        if matches!(fault, Fault::AnswerLost | Fault::AnswerLostOverRestore) {
            return Err(StoreError::NoAnswer { reason: "lost".into() });
        }
        self.known.check_answer(self.era.get(), BootClock.now())?;
        Ok(StoreVersion::new(self.era.get(), self.revision.get()))
    }

    fn stored(&self) -> Claim {
        let claim = self.claim.borrow();
        serde_json::from_str(&claim.as_ref().expect("a claim").1).expect("a claim")
    }
}

impl Store for OneClaim {
    fn era(&self) -> &Rc<SharedStoreEra> {
        &self.known
    }

    async fn list(&self, _: Collection, _: Freshness) -> Result<Listing, StoreError> {
        self.calls.set(self.calls.get() + 1);
        self.known.check_answer(self.era.get(), BootClock.now())?;
        let object = |(revision, text): &(u64, String)| Object {
            name: "g".into(),
            version: StoreVersion::new(self.era.get(), *revision),
            content: Content::GatewayText(text.as_str().into()),
        };
        let objects = self.claim.borrow().iter().map(object).collect();
        Ok(Listing { objects, version: StoreVersion::new(self.era.get(), self.revision.get()) })
    }

    async fn watch(
        &self,
        _: Collection,
        _: StoreVersion,
        _: Duration,
    ) -> Result<StoreChanges, StoreError> {
        Err(StoreError::Compacted)
    }

    async fn create(&self, _: Collection, _: &str, text: &str) -> Result<StoreVersion, StoreError> {
        self.put(None, text)
    }

    async fn replace(
        &self,
        _: Collection,
        _: &str,
        version: StoreVersion,
        text: &str,
    ) -> Result<StoreVersion, StoreError> {
        let written = self.put(Some(version.revision), text);
        SharedStoreEra::check_base(version, self.known.known()).and(written)
    }

    async fn remove(&self, _: Collection, _: &str, _: StoreVersion) -> Result<(), StoreError> {
        Err(StoreError::Missing)
    }
}

/// Instance `i` with a store of `era`, which it has known for 10 s.
struct Fixture {
    store: OneClaim,
    table: RefCell<FailoverClaims>,
    metrics: Metrics,
    instance: InstanceId,
    group: Group,
}

impl Fixture {
    fn new(era: u64, claim: Option<&Claim>) -> Self {
        let store = OneClaim::default();
        store.era.set(era);
        store.revision.set(40);
        let text = claim.map(|claim| serde_json::to_string(claim).expect("JSON"));
        *store.claim.borrow_mut() = text.map(|text| (40, text));
        let (metrics, instance, group) = (Metrics::default(), "i".into(), "g".into());
        store.known.record_told(era, long_ago());
        let fixture = Self { store, table: RefCell::default(), metrics, instance, group };
        let list =
            smol::block_on(fixture.store.list(Collection::FailoverClaims, Freshness::Current));
        fixture.table.borrow_mut().record_list(&list.expect("a list"), long_ago());
        fixture.store.calls.set(0);
        fixture
    }

    fn client(&self) -> ClaimClient<'_, OneClaim> {
        ClaimClient {
            store: &self.store,
            era: &self.store.known,
            table: &self.table,
            metrics: &self.metrics,
            instance: &self.instance,
        }
    }

    fn lacking(&self) -> Vec<Group> {
        let era = self.store.known.known();
        self.table.borrow().lacking(&self.instance, era, BootClock.now())
    }
}

fn long_ago() -> Instant {
    BootClock.now().minus(Duration::from_secs(10))
}

fn claim(generation: u64, promotion: Option<StoredPromotion>) -> Claim {
    Claim { claimant: "other".into(), generation, fence: Some(2), promotion }
}

fn promotion(replaced: u64, generation: u64) -> StoredPromotion {
    let position = Position::new(Term(replaced), Lsn(9));
    let replaced = Term(replaced);
    let promotion = PromotionRecord { replaced, member: "b".into(), members: 3, position };
    StoredPromotion::from(&RecordedPromotion { promotion, generation })
}

/// Guards against a claim beside one that the store has lost, other numbers or more calls without a data loss, and confirmations
/// for a term that count after a data loss.
#[test_case(0, 0, None, Some((1, false)); "no data loss")]
#[test_case(0, 0, Some(claim(7, None)), Some((8, false)); "other claim has ended")]
#[test_case(0, 1, Some(claim(7, None)), None; "data loss just now")]
#[test_case(1, 1, Some(claim(7, None)), Some((ERA + 41, true)); "data loss long ago")]
#[test_case(1, 1, Some(claim(ERA + 7, Some(promotion(1, ERA + 7)))), Some((ERA + 41, false)); "promotion since")]
fn claim_after_a_data_loss(
    listed: u64,
    era: u64,
    stored: Option<Claim>,
    granted: Option<(u64, bool)>,
) {
    let fixture = Fixture::new(listed, stored.as_ref());
    fixture.store.era.set(era);
    fixture.store.known.record_told(era, BootClock.now());
    let claimed = smol::block_on(fixture.client().claim(&fixture.group, Term(3)));
    let found = claimed.as_ref().ok().map(|claim| (claim.grant.generation, claim.repeats_term));
    assert_eq!(found, granted, "{claimed:?}");
    match claimed {
        Ok(claimed) => {
            assert_eq!(claimed.may_lack_records, era > 0);
            assert_eq!(fixture.store.calls.get(), 1, "only the write");
        }
        Err(error) => assert!(matches!(error, ClaimError::Waiting), "{error}"),
    }
}

/// Guards against two instances with the same right: the answer to the claim is lost, or the store is restored while it is
/// written.
#[test_case(Fault::None, true; "no fault")]
#[test_case(Fault::AnswerLost, true; "answer lost")]
#[test_case(Fault::AnswerLostOverRestore, false; "answer lost, and the claim as well")]
#[test_case(Fault::LateOverRestore, false; "revision assigned again")]
fn claim_written_over_a_restore(fault: Fault, is_granted: bool) {
    let fixture = Fixture::new(1, Some(&claim(ERA + 7, None)));
    fixture.store.fault.set(fault);
    let claimed = smol::block_on(fixture.client().claim(&fixture.group, Term(3)));
    assert_eq!(claimed.is_ok(), is_granted, "{claimed:?}");
    let renewed = smol::block_on(fixture.client().renew(&fixture.group, None));
    assert_eq!(renewed.is_some(), is_granted, "{renewed:?}");
    if !is_granted {
        let again = smol::block_on(fixture.client().claim(&fixture.group, Term(3)));
        assert!(matches!(again, Err(ClaimError::Waiting)), "{again:?}");
    }
}

/// Guards against a renewal of a claim that was made before a data loss.
#[test]
fn renew_after_a_data_loss() {
    let fixture = Fixture::new(0, None);
    let claimed = smol::block_on(fixture.client().claim(&fixture.group, Term(3)));
    assert!(claimed.is_ok(), "{claimed:?}");
    fixture.store.era.set(1);
    fixture.store.known.record_told(1, BootClock.now());
    fixture.store.calls.set(0);
    assert!(smol::block_on(fixture.client().renew(&fixture.group, None)).is_none());
    smol::block_on(fixture.client().list()).expect("a list");
    assert!(smol::block_on(fixture.client().renew(&fixture.group, None)).is_none());
    assert_eq!(fixture.store.calls.get(), 1, "nothing is written");
}

/// Guards against the loss of a record: another instance knows it, and the copy has an older one or none. A claim repeats it.
#[test_case(None; "no claim in the copy")]
#[test_case(Some(claim(7, Some(promotion(1, 5)))); "older record in the copy")]
fn write_record_that_the_store_lacks(stored: Option<Claim>) {
    let fixture = Fixture::new(1, stored.as_ref());
    assert!(fixture.lacking().is_empty());
    let known = promotion(2, 6);
    let entry = PromotionEntry { group: "g".into(), promotion: known.clone() };
    let unknown = PromotionEntry { group: "x".into(), promotion: known.clone() };
    let section = PromotionsSection { records: vec![unknown, entry] };
    let now = BootClock.now();
    let is_group = |group: &Group| *group == fixture.group;
    let mut table = fixture.table.borrow_mut();
    promotion_records::receive(&mut table, &section, is_group, &fixture.metrics, now);
    assert_eq!(
        promotion_records::section(&table, now).map(|section| section.records.len()),
        Some(1)
    );
    drop(table);
    assert_eq!(fixture.lacking(), std::slice::from_ref(&fixture.group));
    smol::block_on(fixture.client().write_record(&fixture.group)).expect("written");
    assert!(fixture.lacking().is_empty());
    let written = fixture.store.stored();
    assert_eq!(written.promotion, Some(known), "{written:?}");
    assert_eq!(written.generation, ERA);
    assert_eq!(*written.claimant.as_str(), *stored.map_or("i", |_| "other"));
}

/// Guards against claims that earlier versions cannot read, and the other way round.
#[test]
fn claim_of_both_versions() {
    let earlier = r#"{"holder":"i","generation":7,"fence":2,"promotion":{"replaced":1,"member":"b","members":3,"position":[1,9]}}"#;
    let read: Claim = serde_json::from_str(earlier).expect("a claim");
    assert_eq!(read.promotion, Some(promotion(1, 0)));
    let written = serde_json::to_value(claim(7, Some(promotion(1, 5)))).expect("JSON");
    for field in ["replaced", "member", "members", "position"] {
        assert!(written["promotion"].get(field).is_some(), "{written}");
    }
}
