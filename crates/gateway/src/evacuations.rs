//! Evacuated data centres as an instance knows them: from the store, and from messages of other instances.
//!
//! The rule is in [`hibiscusladder_core::evacuation`]. Without `bounds.evacuate_ms` in the settings, nothing is read and
//! nothing is sent.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Write},
    rc::Rc,
    time::Duration,
};

use hibiscusladder_core::{
    clock::Instant,
    evacuation::{Change, EvacuatedSet, Evacuations, Notice, Service},
    name::DataCentre,
    roster::Freshness,
    store_version::StoreVersion,
};
use hibiscusladder_io::clock::sleep;
use serde_json::json;
use smol::future::FutureExt;

use crate::{
    adapter::{Collection, Content, Object, Store, StoreChanges, StoreError},
    events::{self, Event},
};

/// Delay after the first failed call; it doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest delay between calls while they fail.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// Longest wait of a short watch for a change, which soon notices that the store no longer answers.
const SHORT_WATCH: Duration = Duration::from_secs(2);
/// Longest wait of the other watches for a change; each call to the store has a cost.
const LONG_WATCH: Duration = Duration::from_secs(20);

/// What the watch of the evacuations needs of its instance.
pub trait EvacuationHost {
    /// Client of the store.
    type Store: Store;

    /// The store that has the collection.
    fn store(&self) -> &Self::Store;

    /// The evacuations that the instance knows.
    fn evacuations(&self) -> &EvacuationState;

    /// The current time.
    fn now(&self) -> Instant;

    /// Whether the instance reads the store itself, and gets the set from no hub.
    fn reads_store(&self) -> bool;

    /// Whether this instance has to notice soon that the store does not answer a watch.
    fn watches_briefly(&self) -> bool;

    /// Counts a call to the store by its result.
    fn count_call(&self, result: &'static str);

    /// Waits until the role of the instance may have changed.
    fn wait_for_role(&self) -> impl Future<Output = ()>;

    /// Applies changes of the set: tells other instances and wakes requests that wait.
    fn evacuations_changed(&self);
}

/// The evacuations that this instance knows, and counts for the metrics.
#[derive(Debug)]
pub struct EvacuationState {
    /// `None` where the feature is off.
    known: Option<RefCell<Evacuations>>,
    /// Data centres of the settings.
    data_centres: BTreeSet<DataCentre>,
    changes: RefCell<BTreeMap<&'static str, u64>>,
    refusals: Cell<u64>,
    /// Names that were last logged as unreadable, with their revisions.
    unreadable: RefCell<BTreeMap<Box<str>, StoreVersion>>,
}

impl EvacuationState {
    /// Creates the state of an instance that starts. `bound` is the time in which work in an evacuated data centre ends;
    /// `None` switches the feature off. `data_centres` are those of the settings.
    pub fn new(bound: Option<Duration>, data_centres: BTreeSet<DataCentre>) -> Self {
        Self {
            known: bound.map(|bound| RefCell::new(Evacuations::new(bound))),
            data_centres,
            changes: RefCell::default(),
            refusals: Cell::new(0),
            unreadable: RefCell::default(),
        }
    }

    /// Whether the settings request the feature.
    pub const fn is_enabled(&self) -> bool {
        self.known.is_some()
    }

    /// Whether no data centre is evacuated, so that no member is treated differently.
    pub fn is_empty(&self) -> bool {
        let is_any = |known: &RefCell<Evacuations>| known.borrow().data_centres().next().is_some();
        !self.known.as_ref().is_some_and(is_any)
    }

    /// Whether the instance may serve clients, as of [`Evacuations::may_serve`].
    pub fn may_serve(&self, now: Instant) -> bool {
        self.known.as_ref().is_none_or(|known| known.borrow().may_serve(now))
    }

    /// Whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        self.known.as_ref().is_some_and(|known| known.borrow().is_evacuated(data_centre))
    }

    /// Time for which a data centre has been evacuated; `None` when it is not.
    pub fn evacuated_for(&self, data_centre: &DataCentre, now: Instant) -> Option<Duration> {
        self.known.as_ref()?.borrow().evacuated_for(data_centre, now)
    }

    /// The new work that a member of a data centre may get, as of [`Evacuations::service`].
    pub fn service(
        &self,
        data_centre: &DataCentre,
        is_primary: bool,
        has_successor: bool,
        now: Instant,
    ) -> Service {
        let Some(known) = &self.known else { return Service::Any };
        known.borrow().service(data_centre, is_primary, has_successor, now)
    }

    /// Whether open transactions at members of a data centre end now, as of [`Evacuations::ends_transactions`].
    pub fn ends_transactions(
        &self,
        data_centre: &DataCentre,
        drain: Duration,
        now: Instant,
    ) -> bool {
        let Some(known) = &self.known else { return false };
        known.borrow().ends_transactions(data_centre, drain, now)
    }

    /// What other instances are told; `None` while no set is known or the feature is off.
    pub fn notice(&self, now: Instant) -> Option<Notice> {
        self.known.as_ref()?.borrow().notice(now)
    }

    /// Records the notice of another instance, which was not sent before `told_at`. Returns whether anything has changed.
    pub fn receive(&self, notice: &Notice, told_at: Option<Instant>, now: Instant) -> bool {
        let Some(known) = &self.known else { return false };
        let changes = known.borrow_mut().notified(notice, told_at, now);
        self.record(&changes, "instance")
    }

    /// Ends evacuations from an earlier era of the store whose time is over. Returns whether there were any.
    pub fn expire(&self, now: Instant) -> bool {
        let Some(known) = &self.known else { return false };
        let changes = known.borrow_mut().expire(now);
        self.record(&changes, "time")
    }

    /// Counts a request that was refused because only evacuated members could run it.
    pub fn count_refusal(&self) {
        self.refusals.set(self.refusals.get() + 1);
    }

    fn version(&self) -> Option<StoreVersion> {
        self.known.as_ref()?.borrow().version()
    }

    /// Applies a list of the collection. Returns whether anything has changed.
    fn listed(&self, objects: &[Object], version: StoreVersion, now: Instant) -> bool {
        let Some(known) = &self.known else { return false };
        // The state of a data centre whose object cannot be read stays as it was.
        let is_in_force = |object: &&Object| {
            self.is_readable(object) || self.is_evacuated(&DataCentre::new(&object.name))
        };
        let listed = objects.iter().filter(is_in_force).map(|object| (&*object.name).into());
        let set = EvacuatedSet::new(version, listed);
        let changes = known.borrow_mut().replace(set, now);
        self.record(&changes, "store")
    }

    /// Applies the changes of a watch. Returns whether anything has changed.
    fn watched(&self, watched: &StoreChanges, version: StoreVersion, now: Instant) -> bool {
        let Some(known) = &self.known else { return false };
        if self.version().is_some_and(|known| known >= version) {
            return false;
        }
        let known_names: BTreeSet<DataCentre> = {
            let stored = known.borrow();
            stored.data_centres().filter(|name| !stored.is_kept(name)).cloned().collect()
        };
        let mut names = known_names;
        let mut is_changed = false;
        for change in &watched.changes {
            let name = DataCentre::new(&change.object.name);
            if change.deleted {
                names.remove(&name);
                let ended = known.borrow_mut().withdraw(&name);
                is_changed |= self.record(ended.as_slice(), "store");
            } else if self.is_readable(&change.object) {
                names.insert(name);
            }
        }
        let changes = known.borrow_mut().replace(EvacuatedSet::new(version, names), now);
        is_changed | self.record(&changes, "store")
    }

    /// Whether an object has a name and a content that can be read; logs one that has not, once for each revision.
    fn is_readable(&self, object: &Object) -> bool {
        let reason = match &object.content {
            Content::Evacuation if !object.name.is_empty() => return true,
            Content::Unreadable { reason } => reason,
            _ => "it has no name",
        };
        let mut logged = self.unreadable.borrow_mut();
        if logged.insert(object.name.clone(), object.version) != Some(object.version) {
            events::log(
                Event::ObjectUnreadable,
                json!({
                    "collection": Collection::Evacuations.as_str(), "object": object.name,
                    "version": object.version.to_string(), "reason": reason,
                    "remedy": "write an object with the name of the data centre and the content {}",
                }),
            );
        }
        false
    }

    /// Logs and counts changes; returns whether there are any.
    fn record(&self, changes: &[Change], source: &'static str) -> bool {
        let version = self.version().unwrap_or_default().to_string();
        for change in changes {
            let (event, kind, data_centre) = match change {
                Change::Begun(data_centre) => (Event::EvacuationBegun, "begun", data_centre),
                Change::Kept(data_centre) => (Event::EvacuationKept, "kept", data_centre),
                Change::Ended(data_centre) => (Event::EvacuationEnded, "ended", data_centre),
            };
            *self.changes.borrow_mut().entry(kind).or_default() += 1;
            let is_known = self.data_centres.contains(data_centre);
            let mut fields = json!({
                "data_centre": data_centre.as_str(), "known": is_known, "source": source,
                "version": version,
            });
            if !is_known {
                let remedy = "no such data centre is in the settings; check the name of the object";
                events::extend(&mut fields, json!({ "remedy": remedy }));
            }
            events::log(event, fields);
        }
        !changes.is_empty()
    }

    /// Writes the state in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// `out` returned an error.
    pub fn write_metrics<W>(&self, out: &mut W) -> fmt::Result
    where
        W: Write,
    {
        writeln!(out, "hibiscus_evacuations_enabled {}", u8::from(self.is_enabled()))?;
        let Some(known) = &self.known else { return Ok(()) };
        let known = known.borrow();
        writeln!(out, "hibiscus_evacuations_known {}", u8::from(known.version().is_some()))?;
        writeln!(out, "hibiscus_evacuations_kept {}", known.kept())?;
        for data_centre in known.data_centres() {
            writeln!(out, "hibiscus_evacuated{{data_centre=\"{}\"}} 1", escape(data_centre))?;
        }
        for (kind, count) in self.changes.borrow().iter() {
            writeln!(out, "hibiscus_evacuation_changes_total{{kind=\"{kind}\"}} {count}")?;
        }
        writeln!(out, "hibiscus_evacuation_refusals_total {}", self.refusals.get())
    }
}

/// A name that another writer chose, as the value of a label.
fn escape(data_centre: &DataCentre) -> String {
    let text = data_centre.as_str();
    text.replace('\\', r"\\").replace('"', "\\\"").replace('\n', r"\n")
}

/// Reads the collection and watches it while this instance gets the set from no hub, for as long as the process runs. Each
/// instance that has not been told the set lists it at its start.
pub async fn follow<H>(host: Rc<H>)
where
    H: EvacuationHost,
{
    let mut cursor = None;
    let mut delay = MIN_RETRY_DELAY;
    let mut store_lost = false;
    loop {
        if host.evacuations().version().is_some() && !host.reads_store() {
            cursor = None;
            host.wait_for_role().await;
            continue;
        }
        let result = match cursor {
            None => list(&*host).await,
            Some(since) => watch(&*host, since).await,
        };
        match result {
            Ok(version) => {
                cursor = Some(version);
                delay = MIN_RETRY_DELAY;
                if std::mem::take(&mut store_lost) {
                    log_store(Event::StoreRegained, None);
                }
            }
            Err(StoreError::Compacted | StoreError::Restored { .. }) => cursor = None,
            Err(error) => {
                if let Some(known) = &host.evacuations().known {
                    known.borrow_mut().store_failed(host.now());
                }
                if !std::mem::replace(&mut store_lost, true) {
                    log_store(Event::StoreLost, Some(&error));
                }
                sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

fn log_store(event: Event, error: Option<&StoreError>) {
    let mut fields = json!({ "collection": Collection::Evacuations.as_str() });
    if let Some(error) = error {
        events::extend(&mut fields, json!({ "reason": error.to_string() }));
    }
    events::log(event, fields);
}

async fn list<H>(host: &H) -> Result<StoreVersion, StoreError>
where
    H: EvacuationHost,
{
    // A list that may be old could lack a request of the last seconds.
    let listed = host.store().list(Collection::Evacuations, Freshness::Current).await;
    host.count_call(if listed.is_ok() { "listed" } else { "list_failed" });
    let listing = listed?;
    let version = listing.version;
    if host.evacuations().listed(&listing.objects, version, host.now()) {
        host.evacuations_changed();
    }
    Ok(version)
}

async fn watch<H>(host: &H, since: StoreVersion) -> Result<StoreVersion, StoreError>
where
    H: EvacuationHost,
{
    let wait = if host.watches_briefly() { SHORT_WATCH } else { LONG_WATCH };
    let restored = host.store().era().listen();
    let watching = async { Some(host.store().watch(Collection::Evacuations, since, wait).await) };
    let restoring = async {
        restored.await;
        None
    };
    // A watch of an earlier era would wait for changes that the restored store may not have.
    let Some(watched) = watching.or(restoring).await else { return Err(StoreError::Compacted) };
    host.count_call(if watched.is_ok() { "watched" } else { "watch_failed" });
    let watched = watched?;
    let version = watched.version;
    if host.evacuations().watched(&watched, version, host.now()) {
        host.evacuations_changed();
    }
    Ok(version)
}
