//! Replaces hubs that are lost, and has the store read while no hub can; the rules are in [`core::succession`].
//!
//! The load is bounded: an instance lists the registrations in its turn only, a pair of a region at a time, and writes a
//! mark for each instance that it replaces.
//!
//! [`core::succession`]: hibiscusladder_core::succession

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    fmt::{self, Write},
    rc::Rc,
    time::Duration,
};

use hibiscusladder_core::{
    clock::Instant,
    name::InstanceId,
    succession::{ContactAges, Place, Reach, Succession, TakeoverCause},
    topology::Topology,
};
use hibiscusladder_io::clock::sleep;
use serde_json::json;

use crate::{
    adapter::{Collection, Content, Object, Store, StoreError},
    events::{self, Event},
    message::RegistrationEntry,
};

/// Time between two observations of the hubs.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks whether a takeover is due, and after one that has failed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Steps in which the accruing part of the allowances changes, so that it does not change with each message.
const PART_STEPS: f64 = 16.0;

/// What an instance knows about the hubs, the replaced instances and contacts with the store.
#[derive(Debug)]
pub struct SuccessionState {
    rules: RefCell<Succession>,
    /// Registered instances that were replaced as hubs.
    replaced: RefCell<BTreeSet<InstanceId>>,
    /// Part of a hub's allowances that accrues.
    part: Cell<f64>,
    /// When this process was frozen, or began to hear less than half of the others.
    doubted_since: Cell<Option<Instant>>,
    reads_store: Cell<bool>,
    takeovers: Cell<u64>,
    /// Whether the instances of the region have to learn that this one has become a hub.
    has_news: Cell<bool>,
}

impl Default for SuccessionState {
    fn default() -> Self {
        Self {
            rules: RefCell::default(),
            replaced: RefCell::default(),
            part: Cell::new(1.0),
            doubted_since: Cell::default(),
            reads_store: Cell::default(),
            takeovers: Cell::default(),
            has_news: Cell::default(),
        }
    }
}

impl SuccessionState {
    /// Part of a hub's allowances that accrues, from 0 to 1; 1 in a flat fleet.
    pub const fn part(&self) -> f64 {
        self.part.get()
    }

    /// The registered instances that were replaced as hubs.
    pub fn replaced(&self) -> BTreeSet<InstanceId> {
        self.replaced.borrow().clone()
    }

    /// Replaces the set of replaced instances.
    pub fn set_replaced(&self, replaced: BTreeSet<InstanceId>) {
        *self.replaced.borrow_mut() = replaced;
    }

    /// Whether an instance is known as replaced.
    pub fn is_replaced(&self, instance: &InstanceId) -> bool {
        self.replaced.borrow().contains(instance)
    }

    /// Whether the stand-in at `place` reads the store in place of the hubs.
    pub fn reads_store(&self, place: Option<Place>, now: Instant) -> bool {
        self.rules.borrow().reads_store(place, now)
    }

    /// Whether a hub had contact with the store lately.
    pub fn do_hubs_have_store(&self, now: Instant) -> bool {
        self.rules.borrow().do_hubs_have_store(now)
    }

    /// Records that the store answered a call.
    pub fn record_contact(&self, is_hub: bool, now: Instant) {
        self.rules.borrow_mut().record_contact(is_hub, now);
    }

    /// Records the contacts that a message tells, which was not sent before `sent`.
    pub fn record_told(&self, ages: ContactAges, sent: Instant) {
        self.rules.borrow_mut().record_told(ages, sent);
    }

    /// The contacts that a message tells.
    pub fn contact_ages(&self, is_hub: bool, now: Instant) -> ContactAges {
        self.rules.borrow().contact_ages(is_hub, now)
    }

    /// Number of pairs of stand-ins that may have replaced the hubs by now.
    pub fn pairs_to_ask(&self, pairs: usize, now: Instant) -> usize {
        self.rules.borrow().pairs_to_ask(pairs, now)
    }

    /// Whether a takeover was announced since the last call of this method.
    pub fn take_news(&self) -> bool {
        self.has_news.take()
    }

    /// Has all instances of the region get a message that offers the new list.
    pub fn announce(&self) {
        self.has_news.set(true);
    }

    /// Writes the metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Writing to `out` fails.
    pub fn write_metrics<W>(&self, out: &mut W) -> fmt::Result
    where
        W: Write,
    {
        writeln!(out, "hibiscus_hubs_replaced {}", self.replaced.borrow().len())?;
        writeln!(out, "hibiscus_hub_takeovers_total {}", self.takeovers.get())?;
        writeln!(out, "hibiscus_allowance_part {}", self.part.get())?;
        writeln!(out, "hibiscus_reads_store_for_hubs {}", u8::from(self.reads_store.get()))
    }
}

/// What the tasks need of the instance.
pub trait SuccessionHost {
    /// Client of the store.
    type Store: Store;

    /// Client of the store.
    fn store(&self) -> &Self::Store;

    /// The state.
    fn succession(&self) -> &SuccessionState;

    /// The current time.
    fn now(&self) -> Instant;

    /// Name of this instance.
    fn instance(&self) -> &InstanceId;

    /// Roles of the registered instances.
    fn topology(&self) -> Rc<Topology>;

    /// Whether a message of another instance came lately.
    fn is_live(&self, instance: &InstanceId) -> bool;

    /// Numbers of the other instances whose regular messages are expected, and of those that were heard lately.
    fn expected_and_heard(&self) -> (usize, usize);

    /// Whether the registrations were listed at `since` or later.
    fn is_listed_since(&self, since: Instant) -> bool;

    /// Requests a list of the registrations at once.
    fn list_soon(&self);

    /// Lists the registrations and applies the list.
    fn list_instances(&self) -> impl Future<Output = Result<Vec<Object>, StoreError>>;

    /// Counts a write to the store.
    fn count_write(&self, is_written: bool);

    /// Updates what depends on [`SuccessionState::part`].
    fn part_changed(&self);

    /// Sends the instances of the region a message that offers the new list.
    fn announce_takeover(&self);
}

/// Observes the hubs, for as long as the process runs.
pub async fn observe<H>(host: Rc<H>)
where
    H: SuccessionHost,
{
    loop {
        sleep(OBSERVE_INTERVAL).await;
        observe_once(&*host);
    }
}

fn observe_once<H>(host: &H)
where
    H: SuccessionHost,
{
    let (state, now, topology) = (host.succession(), host.now(), host.topology());
    let own = host.instance();
    let hubs = other_hubs(host, &topology);
    let any_live = hubs.iter().any(|hub| host.is_live(hub));
    let was_frozen = state.rules.borrow_mut().observe(&hubs, any_live, now);
    let part = if topology.is_flat() || !topology.is_hub(own) {
        state.doubted_since.set(None);
        1.0
    } else {
        let reach = reach(host, &topology, was_frozen, now);
        (reach.part() * PART_STEPS).floor() / PART_STEPS
    };
    if state.part.replace(part) != part {
        events::log(Event::AllowancePartChanged, json!({ "part": part }));
        host.part_changed();
    }
    let reads_store = !topology.is_flat() && state.reads_store(topology.place(own), now);
    if state.reads_store.replace(reads_store) != reads_store {
        events::log(Event::StoreReaderChanged, json!({ "reads_store": reads_store }));
    }
}

/// The hubs of the region of this instance, without itself.
fn other_hubs<H>(host: &H, topology: &Topology) -> Vec<InstanceId>
where
    H: SuccessionHost,
{
    let own = host.instance();
    topology.regional_hubs(own).filter(|hub| *hub != own).cloned().collect()
}

fn reach<H>(host: &H, topology: &Topology, was_frozen: bool, now: Instant) -> Reach
where
    H: SuccessionHost,
{
    let (state, own) = (host.succession(), host.instance());
    let (expected, heard) = host.expected_and_heard();
    let is_silent = |name: &InstanceId| {
        name != own && topology.is_same_region(name, own) && !host.is_live(name)
    };
    let mut reach = Reach {
        expected,
        heard,
        has_silent_replaced: state.replaced.borrow().iter().any(is_silent),
        has_store: state.do_hubs_have_store(now),
        is_doubted: false,
    };
    let since = state.doubted_since.get();
    if was_frozen || since.is_none() && reach.is_minority() {
        state.doubted_since.set(Some(now));
    } else if since.is_some_and(|since| host.is_listed_since(since)) && !reach.is_minority() {
        state.doubted_since.set(None);
    }
    reach.is_doubted = state.doubted_since.get().is_some_and(|since| !host.is_listed_since(since));
    if reach.is_doubted {
        host.list_soon();
    }
    reach
}

/// Replaces the hubs of the region when it is this instance's turn, and asks to be a hub again after others have replaced
/// it, for as long as the process runs.
pub async fn run<H>(host: Rc<H>)
where
    H: SuccessionHost,
{
    loop {
        sleep(CHECK_INTERVAL).await;
        let (state, topology, own) = (host.succession(), host.topology(), host.instance());
        let Some(place) = topology.place(own) else { continue };
        let hubs = other_hubs(&*host, &topology);
        let (cause, may_return) = {
            let rules = state.rules.borrow();
            (rules.takeover(&hubs, place, host.now()), rules.may_return(host.now()))
        };
        let result = match cause {
            Some(cause) => take_over(&*host, (&hubs, place), cause).await,
            None if may_return && state.is_replaced(own) => ask_to_return(&*host).await,
            None => continue,
        };
        if let Err(error) = result {
            let reason = error.to_string();
            events::log(Event::HubTakeover, json!({ "outcome": "failed", "reason": reason }));
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Marks `hubs`, those of the region, as replaced, and the stand-ins whose turn has passed before `place`.
///
/// Each mark is written on the version that was listed, so that of two instances that replace the same one only one
/// succeeds, and an instance that has registered again meanwhile is not replaced.
async fn take_over<H>(
    host: &H,
    (hubs, place): (&[InstanceId], Place),
    cause: TakeoverCause,
) -> Result<(), StoreError>
where
    H: SuccessionHost,
{
    let objects = host.list_instances().await?;
    let topology = host.topology();
    // Another instance was faster, or the hubs have changed and have their time first.
    if other_hubs(host, &topology) != hubs || topology.place(host.instance()) != Some(place) {
        return Ok(());
    }
    let passed = topology.first_standins(host.instance(), place.pair);
    let replaced: Vec<&InstanceId> = hubs.iter().chain(passed).collect();
    let mut marked = 0_usize;
    for object in &objects {
        if !replaced.iter().any(|name| name.as_str() == &*object.name) {
            continue;
        }
        let Some(entry) = decode_entry(object).filter(|entry| !entry.replaced) else { continue };
        let entry = RegistrationEntry { replaced: true, ..entry };
        write_entry(host, &object.name, object, &entry).await?;
        marked += 1;
    }
    let state = host.succession();
    state.takeovers.set(state.takeovers.get() + 1);
    let names: Vec<&str> = replaced.iter().map(|name| name.as_str()).collect();
    events::log(
        Event::HubTakeover,
        json!({
            "outcome": "replaced", "replaced": names, "marked": marked,
            "cause": cause.as_str(),
        }),
    );
    host.list_instances().await?;
    host.announce_takeover();
    Ok(())
}

/// Writes the own registration without the mark.
async fn ask_to_return<H>(host: &H) -> Result<(), StoreError>
where
    H: SuccessionHost,
{
    let objects = host.list_instances().await?;
    let own = objects.iter().find(|object| *object.name == *host.instance().as_str());
    let Some(object) = own else { return Ok(()) };
    let Some(entry) = decode_entry(object).filter(|entry| entry.replaced) else { return Ok(()) };
    let entry = RegistrationEntry { replaced: false, ..entry };
    write_entry(host, &object.name, object, &entry).await?;
    events::log(Event::HubTakeover, json!({ "outcome": "returned" }));
    host.list_instances().await?;
    Ok(())
}

async fn write_entry<H>(
    host: &H,
    name: &str,
    base: &Object,
    entry: &RegistrationEntry,
) -> Result<(), StoreError>
where
    H: SuccessionHost,
{
    // Names, addresses and numbers can always be encoded.
    let Ok(text) = serde_json::to_string(entry) else { return Ok(()) };
    let written = host.store().replace(Collection::Instances, name, base.version, &text).await;
    host.count_write(written.is_ok());
    match written {
        // The instance has written its entry, or another stand-in was faster; the next list tells.
        Ok(_) | Err(StoreError::Conflict | StoreError::Missing) => Ok(()),
        Err(error) => Err(error),
    }
}

/// The entry of an instance; `None` for one that was written by another version and cannot be decoded.
pub fn decode_entry(object: &Object) -> Option<RegistrationEntry> {
    let Content::GatewayText(text) = &object.content else { return None };
    serde_json::from_str(text).ok()
}
