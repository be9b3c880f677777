//! Evacuations as an instance reads them from a store that is restored from an older copy.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use hibiscusladder_core::{clock::Instant, roster::Freshness, store_version::StoreVersion};
use hibiscusladder_gateway::{
    adapter::{Collection, Content, Listing, Object, Store, StoreChange, StoreChanges, StoreError},
    evacuations::{EvacuationHost, EvacuationState, follow},
    message::{SectionKind, Sections},
    store_era::SharedStoreEra,
};
use smol::future::FutureExt;

const BOUND: Duration = Duration::from_secs(4);

/// Answer of the store to the next call: the version, the names in a list, and the names that are removed in a watch.
type Answer = Result<(StoreVersion, Vec<&'static str>, Vec<&'static str>), StoreError>;

/// Store that gives prepared answers, and none after the last.
struct Script {
    era: Rc<SharedStoreEra>,
    lists: RefCell<VecDeque<Answer>>,
    watches: RefCell<VecDeque<Answer>>,
}

fn object(name: &str, version: StoreVersion) -> Object {
    Object { name: name.into(), version, content: Content::Evacuation }
}

impl Store for Script {
    fn era(&self) -> &Rc<SharedStoreEra> {
        &self.era
    }

    async fn list(&self, _: Collection, freshness: Freshness) -> Result<Listing, StoreError> {
        assert_eq!(freshness, Freshness::Current, "an old list may lack a request");
        let next = self.lists.borrow_mut().pop_front();
        let Some(answer) = next else { return smol::future::pending().await };
        let (version, names, _) = answer?;
        let objects = names.iter().map(|name| object(name, version)).collect();
        Ok(Listing { objects, version })
    }

    async fn watch(
        &self,
        _: Collection,
        _: StoreVersion,
        _: Duration,
    ) -> Result<StoreChanges, StoreError> {
        let next = self.watches.borrow_mut().pop_front();
        let Some(answer) = next else { return smol::future::pending().await };
        let (version, created, removed) = answer?;
        let change =
            |deleted| move |name: &&str| StoreChange { object: object(name, version), deleted };
        let changes = removed.iter().map(change(true)).chain(created.iter().map(change(false)));
        Ok(StoreChanges { changes: changes.collect(), version })
    }

    async fn create(&self, _: Collection, _: &str, _: &str) -> Result<StoreVersion, StoreError> {
        Err(StoreError::Conflict)
    }

    async fn replace(
        &self,
        _: Collection,
        _: &str,
        _: StoreVersion,
        _: &str,
    ) -> Result<StoreVersion, StoreError> {
        Err(StoreError::Conflict)
    }

    async fn remove(&self, _: Collection, _: &str, _: StoreVersion) -> Result<(), StoreError> {
        Err(StoreError::Conflict)
    }
}

struct Host {
    store: Script,
    evacuations: EvacuationState,
    now: Cell<Instant>,
    changes: Cell<usize>,
}

impl EvacuationHost for Host {
    type Store = Script;

    fn store(&self) -> &Script {
        &self.store
    }

    fn evacuations(&self) -> &EvacuationState {
        &self.evacuations
    }

    fn now(&self) -> Instant {
        self.now.get()
    }

    fn reads_store(&self) -> bool {
        true
    }

    fn watches_briefly(&self) -> bool {
        true
    }

    fn count_call(&self, _: &'static str) {}

    async fn wait_for_role(&self) {
        smol::future::pending().await
    }

    fn evacuations_changed(&self) {
        self.changes.set(self.changes.get() + 1);
    }
}

fn host(lists: Vec<Answer>, watches: Vec<Answer>) -> Rc<Host> {
    let (lists, watches) = (RefCell::new(lists.into()), RefCell::new(watches.into()));
    Rc::new(Host {
        store: Script { era: Rc::default(), lists, watches },
        evacuations: EvacuationState::new(Some(BOUND), ["north".into()].into()),
        now: Cell::new(Instant::new(Duration::from_secs(100))),
        changes: Cell::new(0),
    })
}

/// Follows the collection until the store gives no more answers.
fn run(host: &Rc<Host>) {
    smol::block_on(follow(host.clone()).or(async {
        for _ in 0..100 {
            smol::future::yield_now().await;
        }
    }));
}

fn at(era: u64, revision: u64) -> StoreVersion {
    StoreVersion::new(era, revision)
}

/// Guards against an evacuation that ends because the store was restored from a copy without it, before the operator has
/// written it again; and against one that goes on when he does not.
#[test]
fn follow_keeps_an_evacuation_over_a_restore() {
    let north = "north".into();
    let lists = vec![Ok((at(0, 5), vec!["north"], vec![])), Ok((at(1, 3), vec![], vec![]))];
    let host = host(lists, vec![Err(StoreError::Restored { era: 1 })]);
    run(&host);
    assert!(host.evacuations.is_evacuated(&north));
    assert_eq!(host.changes.get(), 2, "it began, and is kept");
    let later = host.now.get().plus(Duration::from_secs(60));
    assert!(host.evacuations.expire(later));
    assert!(!host.evacuations.is_evacuated(&north));
}

/// Guards against a rewritten evacuation that ends with the time for the rewrite, or one that is withdrawn after that and stays.
#[test]
fn follow_after_the_rewrite() {
    let north = "north".into();
    let lists = vec![Ok((at(0, 5), vec!["north"], vec![])), Ok((at(1, 3), vec![], vec![]))];
    let restored = || Err(StoreError::Restored { era: 1 });
    let rewritten = || Ok((at(1, 4), vec!["north"], vec![]));
    let host_after = host(lists, vec![restored(), rewritten()]);
    run(&host_after);
    assert!(!host_after.evacuations.expire(host_after.now.get().plus(Duration::from_secs(60))));
    assert!(host_after.evacuations.is_evacuated(&north));
    host_after.store.watches.borrow_mut().push_back(Ok((at(1, 6), vec![], vec!["north"])));
    host_after.store.lists.borrow_mut().push_back(Ok((at(1, 5), vec!["north"], vec![])));
    run(&host_after);
    assert!(!host_after.evacuations.is_evacuated(&north));
}

/// Guards against a section that other instances cannot read, and one that is sent before the set is known.
#[test]
fn notice_passes_through_a_message() {
    let reader = host(vec![Ok((at(2, 5), vec!["north"], vec![]))], vec![]);
    assert_eq!(reader.evacuations.notice(reader.now.get()), None);
    run(&reader);
    let mut sections = Sections::default();
    let notice = reader.evacuations.notice(reader.now.get()).expect("the set is known");
    sections.insert(SectionKind::Evacuations, &notice).expect("names and numbers");
    let told = host(vec![], vec![]);
    let received = sections.get(SectionKind::Evacuations).expect("the section");
    assert!(told.evacuations.receive(&received, None, told.now.get()));
    assert!(told.evacuations.is_evacuated(&"north".into()));
}
