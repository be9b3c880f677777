//! Reads configuration, members and instances from the store, and registers the instance there.

use std::{rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{InstanceId, MemberId},
    roster::{FleetRole, Freshness, Listed, Step},
    store_era::REWRITE_TIME,
    store_version::StoreVersion,
};
use hibiscusladder_io::clock::{sleep, within};
use serde_json::json;
use smol::future::FutureExt;

use crate::{
    adapter::{Collection, Content, Listing, MemberRecord, Object, Platform, Store, StoreError},
    events::{self, Event},
    member_table::{LAPSE_GRACE, MemberChange},
    message::Registration,
    metrics::Counter,
    monitor::hub_rank,
    node::Node,
    relay,
    succession::decode_entry,
};

/// Delay after the first failed call; it doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest delay between calls while they fail.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// Time without a message after which another instance's registration is removed.
const ABANDONED_AFTER: Duration = Duration::from_secs(60);
/// Number of instances with short watches, so that one of them soon notices when a watch is no longer answered.
const SHORT_WATCHERS: usize = 2;
/// Time between two checks of the role of this instance, and of newer lists at its hubs.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait of a short watch for a change.
const SHORT_WATCH: Duration = Duration::from_secs(2);
/// Longest wait of the other watches for a change; each call to the store has a cost.
const LONG_WATCH: Duration = Duration::from_secs(20);
/// Time between two checks for members whose entries are still missing.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Lists a collection and watches its changes for as long as the process runs.
///
/// An instance that gets the collection from its hubs lists it at its start only.
pub async fn follow<P>(node: Rc<Node<P>>, collection: Collection)
where
    P: Platform,
{
    let mut version = None;
    let mut delay = MIN_RETRY_DELAY;
    let mut store_lost = false;
    loop {
        if !is_read_here(&node, collection) {
            version = None;
            within(ROLE_CHECK_INTERVAL, node.roster_changed.listen()).await;
            continue;
        }
        let result = match version {
            None => list(&node, collection).await,
            Some(since) => watch(&node, collection, since).await,
        };
        match result {
            Ok(current) => {
                version = Some(current);
                delay = MIN_RETRY_DELAY;
                if std::mem::take(&mut store_lost) {
                    events::log(Event::StoreRegained, json!({ "collection": collection.as_str() }));
                }
            }
            Err(StoreError::Compacted | StoreError::Restored { .. }) => version = None,
            Err(error) => {
                if !std::mem::replace(&mut store_lost, true) {
                    events::log(
                        Event::StoreLost,
                        json!({ "collection": collection.as_str(), "reason": error.to_string() }),
                    );
                }
                sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Whether this instance reads the collection from the store.
///
/// A follower gets both collections from its hubs. It lists the members at its start nevertheless: these are few, while
/// a large configuration would fill the links between regions if all instances listed it at once.
fn is_read_here<P>(node: &Node<P>, collection: Collection) -> bool
where
    P: Platform,
{
    let is_first_list =
        collection == Collection::Members && node.members_version() == StoreVersion::default();
    is_first_list || node.reads_store()
}

async fn list<P>(node: &Rc<Node<P>>, collection: Collection) -> Result<StoreVersion, StoreError>
where
    P: Platform,
{
    // A member that has left refuses connections, and the watch or the hubs soon correct the list. An old configuration
    // may contain a withdrawn key.
    let freshness =
        if collection == Collection::Members && node.members_version() == StoreVersion::default() {
            Freshness::Recent
        } else {
            Freshness::Current
        };
    let Listing { objects, version } = call_list(node, collection, freshness).await?;
    let (now, era) = (node.now(), version.era);
    let members: Vec<MemberId> = objects.iter().map(|object| (*object.name).into()).collect();
    for object in objects {
        apply(node, collection, object, now);
    }
    if collection == Collection::Members && freshness == Freshness::Current {
        node.members.borrow_mut().lapse_others(&members, era, now);
    }
    Ok(version)
}

/// Lists the configuration or the members, for an instance that gets neither from others in time.
pub async fn list_now<P>(node: &Rc<Node<P>>, is_directory: bool) -> Result<(), StoreError>
where
    P: Platform,
{
    let collection = if is_directory { Collection::Configuration } else { Collection::Members };
    list(node, collection).await.map(|_| ())
}

async fn call_list<P>(
    node: &Node<P>,
    collection: Collection,
    freshness: Freshness,
) -> Result<Listing, StoreError>
where
    P: Platform,
{
    let listed = node.store.list(collection, freshness).await;
    node.metrics.count(Counter::StoreCalls, if listed.is_ok() { "listed" } else { "list_failed" });
    if listed.is_ok() {
        node.record_store_contact();
    }
    listed
}

async fn watch<P>(
    node: &Rc<Node<P>>,
    collection: Collection,
    since: StoreVersion,
) -> Result<StoreVersion, StoreError>
where
    P: Platform,
{
    // A stand-in has to notice soon that it has lost the store, since others read it then.
    let short = node.role() != FleetRole::Hub
        || hub_rank(node, collection.as_str(), node.now()) < SHORT_WATCHERS;
    let wait = if short { SHORT_WATCH } else { LONG_WATCH };
    let renewal = node.renew_watches.listen();
    let watching = async { Some(node.store.watch(collection, since, wait).await) };
    let renewed = async {
        renewal.await;
        None
    };
    // After a renewal the next watch starts at the same version.
    let Some(watched) = watching.or(renewed).await else { return Ok(since) };
    let label = if watched.is_ok() { "watched" } else { "watch_failed" };
    node.metrics.count(Counter::StoreCalls, label);
    let watched = watched?;
    node.record_store_contact();
    let now = node.now();
    for change in watched.changes {
        if change.deleted && collection == Collection::Members {
            node.record_members_version(change.object.version);
            node.members.borrow_mut().lapse(&change.object.name, watched.version.era, now);
        } else {
            apply(node, collection, change.object, now);
        }
    }
    Ok(watched.version)
}

fn apply<P>(node: &Rc<Node<P>>, collection: Collection, object: Object, now: Instant)
where
    P: Platform,
{
    match (collection, object.content) {
        (_, Content::Unreadable { reason }) => {
            events::log(
                Event::ObjectUnreadable,
                json!({
                    "collection": collection.as_str(), "object": object.name,
                    "version": object.version.to_string(), "reason": reason,
                }),
            );
            if collection == Collection::Members {
                node.members.borrow_mut().lapse(&object.name, object.version.era, now);
            }
        }
        (Collection::Configuration, Content::Directory(directory)) => {
            node.apply_stored_directory(directory);
        }
        (Collection::Members, Content::Member(record)) => {
            node.record_members_version(object.version);
            apply_member(node, MemberId::new(&object.name), record, object.version.era, now);
        }
        _ => {}
    }
}

/// Applies the entry of a member that was read in `era` of the store.
pub fn apply_member<P>(
    node: &Rc<Node<P>>,
    id: MemberId,
    mut record: MemberRecord,
    era: u64,
    now: Instant,
) where
    P: Platform,
{
    let cold_remaining = record.cold_remaining.take();
    let fields = json!({
        "member": id.as_str(), "group": record.group.as_str(), "address": record.address.to_string(),
        "leaving": record.leaving,
        "role": format!("{:?}", record.role), "started_ms": record.started_ms,
        "sequence": record.sequence,
    });
    let group = record.group.clone();
    let report = record.report();
    let change = node.members.borrow_mut().update(id.clone(), record, era, now);
    if change == MemberChange::Restarted {
        node.cold.record_restart(&id, now);
    }
    // An older entry shows nothing.
    let is_newest = node.member(&id).is_some_and(|member| member.record.report() == report);
    if is_newest {
        node.cold.record_entry(&id, report, cold_remaining, now);
    }
    if change == MemberChange::None {
        return;
    }
    events::log(Event::MemberChanged, fields);
    if change == MemberChange::Restarted {
        node.drop_pool(&id);
        if let Some(group) = node.group(&group) {
            group.view.borrow_mut().reset_member(&id, now);
        }
    }
    node.update_pool(&id);
    node.update_groups(now);
}

/// Removes members whose entries are missing for too long, for as long as the process runs.
pub async fn expire_members<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let now = node.now();
        // Members write entries again that a restored store lacks.
        if node.store_era.may_lack_writes(REWRITE_TIME, now) {
            continue;
        }
        let expired = node.members.borrow_mut().expire(now);
        if expired.is_empty() {
            continue;
        }
        for id in &expired {
            events::log(Event::MemberGone, json!({ "member": id.as_str() }));
            node.drop_pool(id);
            node.cold.remove(id);
        }
        node.update_groups(now.minus(LAPSE_GRACE));
    }
}

/// Lists and watches again whenever the store was restored, for as long as the process runs.
pub async fn follow_restores<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    loop {
        node.store_era.listen().await;
        node.roster.borrow_mut().store_restored();
        node.roster_changed.notify(usize::MAX);
        node.renew_watches.notify(usize::MAX);
        node.announce();
    }
}

/// Registers the instance and keeps the list of the others up to date, for as long as the process runs.
pub async fn maintain_roster<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    // Version of the entry under this instance's name, which an earlier process may have written.
    let mut own_entry = None;
    loop {
        let changed = node.roster_changed.listen();
        let step = node.roster.borrow().next_step(node.roster_role(), node.now());
        let result = match step {
            Step::List(freshness) => {
                list_instances(&node, freshness, &mut own_entry).await.map(|_| ())
            }
            Step::Register => register_self(&node, &mut own_entry).await,
            Step::Wait(due) => {
                let left = due.map_or(ROLE_CHECK_INTERVAL, |due| due.since(node.now()));
                within(left.min(ROLE_CHECK_INTERVAL), changed).await;
                follow_roster(&node).await;
                Ok(())
            }
        };
        if result.is_err() {
            node.roster.borrow_mut().failed(node.now());
        }
    }
}

/// Lists the registrations and applies the list. `own_entry` gets the version of the entry under this instance's name.
pub async fn list_instances<P>(
    node: &Node<P>,
    freshness: Freshness,
    own_entry: &mut Option<StoreVersion>,
) -> Result<Vec<Object>, StoreError>
where
    P: Platform,
{
    let sent = node.now();
    let Listing { objects, version } = call_list(node, Collection::Instances, freshness).await?;
    // A registration that cannot be decoded was written by another version. Its instance is known from its messages.
    let entries = || {
        let named = |object: &Object| Some((InstanceId::new(&object.name), decode_entry(object)?));
        objects.iter().filter_map(named)
    };
    let registrations: Vec<(InstanceId, Registration)> =
        entries().map(|(name, entry)| (name, entry.registration)).collect();
    let replaced = entries().filter(|(_, entry)| entry.replaced).map(|(name, _)| name).collect();
    let name = node.instance();
    let entry = objects.iter().find(|object| *object.name == *name.as_str());
    *own_entry = entry.map(|entry| entry.version);
    let own = node.registration();
    let has_own =
        registrations.iter().any(|(listed, registration)| listed == name && *registration == own);
    let listed = Listed { sent, freshness, has_own, version };
    node.roster.borrow_mut().listed(listed, node.now());
    node.register(&registrations, replaced);
    if node.role() == FleetRole::Hub && freshness == Freshness::Current {
        remove_abandoned(node, &objects, node.now()).await?;
    }
    Ok(objects)
}

async fn register_self<P>(
    node: &Rc<Node<P>>,
    own_entry: &mut Option<StoreVersion>,
) -> Result<(), StoreError>
where
    P: Platform,
{
    let Ok(text) = serde_json::to_string(&node.registration()) else { return Ok(()) };
    let name = node.instance().as_str();
    // The entry of an earlier era may be gone. If it is not, the store refuses to create it.
    let base = own_entry.filter(|version| version.era == node.store_era.known());
    let written = match base {
        Some(version) => node.store.replace(Collection::Instances, name, version, &text).await,
        None => node.store.create(Collection::Instances, name, &text).await,
    };
    node.metrics
        .count(Counter::StoreCalls, if written.is_ok() { "written" } else { "write_failed" });
    match written {
        Ok(version) => {
            node.roster.borrow_mut().registered(version, node.now());
            *own_entry = Some(version);
            node.roster_changed.notify(usize::MAX);
            Ok(())
        }
        // The list was too old to have the entry, or a call without an answer has written it.
        Err(StoreError::Conflict | StoreError::Missing | StoreError::Restored { .. }) => {
            list_instances(node, Freshness::Current, own_entry).await.map(|_| ())
        }
        Err(error) => Err(error),
    }
}

/// Watches the registrations at a hub for as long as the process runs, and lists them when an instance was replaced or has
/// returned.
pub async fn watch_registrations<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let mut since = None;
    loop {
        if node.role() != FleetRole::Hub || node.topology().is_flat() || !node.knows_fleet() {
            since = None;
            within(ROLE_CHECK_INTERVAL, node.roster_changed.listen()).await;
            continue;
        }
        let from = *since.get_or_insert_with(|| node.roster_version().version);
        let watched = node.store.watch(Collection::Instances, from, LONG_WATCH).await;
        let label = if watched.is_ok() { "watched" } else { "watch_failed" };
        node.metrics.count(Counter::StoreCalls, label);
        match watched {
            Ok(watched) => {
                node.record_store_contact();
                since = Some(watched.version);
                let is_changed = |object: &Object| {
                    decode_entry(object).is_some_and(|entry| {
                        entry.replaced != node.succession.is_replaced(&(*object.name).into())
                    })
                };
                let mut changes = watched.changes.iter().filter(|change| !change.deleted);
                if changes.any(|change| is_changed(&change.object)) {
                    node.roster.borrow_mut().list_now();
                    node.roster_changed.notify(usize::MAX);
                }
                if !watched.changes.is_empty() {
                    sleep(MAX_RETRY_DELAY).await;
                }
            }
            Err(error) => {
                // The list that follows shows what the watch has missed.
                if matches!(error, StoreError::Compacted | StoreError::Restored { .. }) {
                    node.roster.borrow_mut().request_list();
                }
                since = None;
                sleep(MAX_RETRY_DELAY).await;
            }
        }
    }
}

/// Gets the list of the instances from a hub that has a newer one. A hub that has the store reads it there instead.
async fn follow_roster<P>(node: &Rc<Node<P>>)
where
    P: Platform,
{
    if let Some(from) = node.unmerged_roster() {
        relay::merge_roster(node, &from).await;
    }
    node.update_fleet_knowledge();
    let offered = node.peers.borrow().newest_roster(node.now());
    let Some((offered, from)) = offered else { return };
    let own = node.roster_version();
    // An equal list of a later era may tell that the own registration was lost.
    let is_same = offered.digest == own.digest && offered.version.era == own.version.era;
    if is_same || offered.version <= own.version {
        return;
    }
    if node.role() == FleetRole::Hub && !node.roster.borrow().is_failing() {
        node.roster.borrow_mut().request_list();
    } else {
        relay::fetch_roster(node, &from).await;
    }
}

/// Removes registrations of instances that have sent no message for [`ABANDONED_AFTER`], and those that a restore has
/// brought back.
///
/// While most of the others seem to be silent, the fault is more likely here, and nothing is removed.
async fn remove_abandoned<P>(
    node: &Node<P>,
    objects: &[Object],
    now: Instant,
) -> Result<(), StoreError>
where
    P: Platform,
{
    let unresponsive = node.peers.borrow().unresponsive(ABANDONED_AFTER, now);
    if 2 * unresponsive.len() > node.peers.borrow().expected() {
        return Ok(());
    }
    for object in objects {
        let is_leftover = node.peers.borrow().is_leftover(&object.name, now);
        if is_leftover || unresponsive.iter().any(|name| name.as_str() == &*object.name) {
            node.store.remove(Collection::Instances, &object.name, object.version).await?;
        }
    }
    Ok(())
}
