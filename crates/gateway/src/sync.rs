//! Reads configuration, members and instances from the store, and registers the instance there.

use std::{rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{InstanceId, MemberId},
};
use hibiscusladder_io::clock::{sleep, within};
use serde_json::json;
use smol::future::FutureExt;

use crate::{
    adapter::{Collection, Content, Listing, MemberRecord, Object, Platform, Store, StoreError},
    events::{self, Event},
    member_table::MemberChange,
    message::Registration,
    metrics::Counter,
    monitor::hub_rank,
    node::Node,
};

/// Delay after the first failed call; it doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest delay between calls while they fail.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// Time from the first listing of the instances to the second; instances that start at the same time have registered by
/// then.
const SECOND_LIST_DELAY: Duration = Duration::from_millis(900);
/// Time between two listings of the instances; a message of an unknown instance causes one earlier.
const LIST_INTERVAL: Duration = Duration::from_secs(25);
/// Time without a message after which another instance's registration is removed.
const ABANDONED_AFTER: Duration = Duration::from_secs(60);
/// Number of instances with short watches, so that one of them soon notices when a watch is no longer answered.
const SHORT_WATCHERS: usize = 2;
/// Time between two checks whether an instance that is no hub still receives messages from a hub.
const HUB_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait of a short watch for a change.
const SHORT_WATCH: Duration = Duration::from_secs(2);
/// Longest wait of the other watches for a change; each call to the store has a cost.
const LONG_WATCH: Duration = Duration::from_secs(20);
/// Time between two checks for members whose entries are still missing.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Lists a collection and watches its changes for as long as the process runs.
pub async fn follow<P>(node: Rc<Node<P>>, collection: Collection)
where
    P: Platform,
{
    let mut revision = None;
    let mut delay = MIN_RETRY_DELAY;
    let mut store_lost = false;
    loop {
        if !is_watcher(&node) {
            revision = None;
            sleep(HUB_CHECK_INTERVAL).await;
            continue;
        }
        let result = match revision {
            None => list(&node, collection).await,
            Some(since) => watch(&node, collection, since).await,
        };
        match result {
            Ok(current) => {
                revision = Some(current);
                delay = MIN_RETRY_DELAY;
                if std::mem::take(&mut store_lost) {
                    events::log(Event::StoreRegained, json!({ "collection": collection.as_str() }));
                }
            }
            Err(StoreError::Compacted) => revision = None,
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

/// Whether this instance watches the store itself. Hubs do, and other instances after a start and while no hub is live.
fn is_watcher<P>(node: &Node<P>) -> bool
where
    P: Platform,
{
    let topology = node.topology();
    if !node.has_registrations() {
        return true;
    }
    let live = node.peers.borrow().live(node.now());
    topology.is_hub(node.instance()) || !live.iter().any(|name| topology.is_hub(name))
}

async fn list<P>(node: &Rc<Node<P>>, collection: Collection) -> Result<u64, StoreError>
where
    P: Platform,
{
    let listed = node.store.list(collection).await;
    node.metrics.count(Counter::StoreCalls, if listed.is_ok() { "listed" } else { "list_failed" });
    let Listing { objects, revision } = listed?;
    let now = node.now();
    let members: Vec<MemberId> = objects.iter().map(|object| (*object.name).into()).collect();
    for object in objects {
        apply(node, collection, object, now);
    }
    if collection == Collection::Members {
        node.members.borrow_mut().lapse_others(&members, now);
    }
    Ok(revision)
}

async fn watch<P>(node: &Rc<Node<P>>, collection: Collection, since: u64) -> Result<u64, StoreError>
where
    P: Platform,
{
    let short = hub_rank(node, collection.as_str(), node.now()) < SHORT_WATCHERS;
    let wait = if short { SHORT_WATCH } else { LONG_WATCH };
    let renewal = node.renew_watches.listen();
    let watching = async { Some(node.store.watch(collection, since, wait).await) };
    let renewed = async {
        renewal.await;
        None
    };
    // After a renewal the next watch starts at the same revision.
    let Some(watched) = watching.or(renewed).await else { return Ok(since) };
    let label = if watched.is_ok() { "watched" } else { "watch_failed" };
    node.metrics.count(Counter::StoreCalls, label);
    let watched = watched?;
    let now = node.now();
    for change in watched.changes {
        if change.deleted && collection == Collection::Members {
            node.members.borrow_mut().lapse(&change.object.name, now);
        } else {
            apply(node, collection, change.object, now);
        }
    }
    Ok(watched.revision)
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
                    "revision": object.revision, "reason": reason,
                }),
            );
            if collection == Collection::Members {
                node.members.borrow_mut().lapse(&object.name, now);
            }
        }
        (Collection::Configuration, Content::Directory(directory)) => {
            node.apply_directory(directory, "store");
        }
        (Collection::Members, Content::Member(record)) => {
            node.record_members_revision(object.revision);
            apply_member(node, MemberId::new(&object.name), record, now);
        }
        _ => {}
    }
}

/// Applies the entry of a member.
pub fn apply_member<P>(node: &Rc<Node<P>>, id: MemberId, record: MemberRecord, now: Instant)
where
    P: Platform,
{
    let fields = json!({
        "member": id.as_str(), "group": record.group.as_str(), "leaving": record.leaving,
        "role": format!("{:?}", record.role), "started_ms": record.started_ms,
    });
    let group = record.group.clone();
    let change = node.members.borrow_mut().update(id.clone(), record, now);
    if change == MemberChange::None {
        return;
    }
    events::log(Event::MemberChanged, fields);
    if change == MemberChange::Restarted {
        node.drop_pool(&id);
        if let Some(group) = node.group(&group) {
            group.view.borrow_mut().reset_member(&id);
        }
    }
    node.update_groups();
}

/// Removes members whose entries are missing for too long, for as long as the process runs.
pub async fn expire_members<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let expired = node.members.borrow_mut().expire(node.now());
        if expired.is_empty() {
            continue;
        }
        for id in &expired {
            events::log(Event::MemberGone, json!({ "member": id.as_str() }));
            node.drop_pool(id);
        }
        node.update_groups();
    }
}

/// Registers the instance and lists the other instances, for as long as the process runs.
pub async fn register<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let mut delay = SECOND_LIST_DELAY;
    loop {
        match list_instances(&node).await {
            Ok(()) => {
                within(delay, node.unknown_peers.listen()).await;
                delay = LIST_INTERVAL;
            }
            Err(_) => sleep(MAX_RETRY_DELAY).await,
        }
    }
}

async fn list_instances<P>(node: &Rc<Node<P>>) -> Result<(), StoreError>
where
    P: Platform,
{
    let listed = node.store.list(Collection::Instances).await;
    node.metrics.count(Counter::StoreCalls, if listed.is_ok() { "listed" } else { "list_failed" });
    let Listing { objects, .. } = listed?;
    let now = node.now();
    let registrations: Vec<(InstanceId, Registration)> = objects
        .iter()
        .filter_map(|object| {
            // A registration that cannot be decoded was written by another version. Its instance is known from its
            // messages.
            let Content::GatewayText(text) = &object.content else { return None };
            Some((InstanceId::new(&object.name), serde_json::from_str(text).ok()?))
        })
        .collect();
    node.register(&registrations);
    register_self(node, &objects, &registrations).await?;
    remove_abandoned(node, &objects, now).await
}

async fn register_self<P>(
    node: &Node<P>,
    objects: &[Object],
    registrations: &[(InstanceId, Registration)],
) -> Result<(), StoreError>
where
    P: Platform,
{
    let own = node.registration();
    if registrations
        .iter()
        .any(|(name, registration)| name == node.instance() && *registration == own)
    {
        return Ok(());
    }
    let Ok(text) = serde_json::to_string(&own) else { return Ok(()) };
    let name = node.instance().as_str();
    let written = match objects.iter().find(|object| *object.name == *name) {
        Some(entry) => node.store.replace(Collection::Instances, name, entry.revision, &text).await,
        None => node.store.create(Collection::Instances, name, &text).await,
    };
    node.metrics
        .count(Counter::StoreCalls, if written.is_ok() { "written" } else { "write_failed" });
    written.map(|_| ())
}

/// Removes registrations of instances that have sent no message for [`ABANDONED_AFTER`].
async fn remove_abandoned<P>(
    node: &Node<P>,
    objects: &[Object],
    now: Instant,
) -> Result<(), StoreError>
where
    P: Platform,
{
    let unresponsive = node.peers.borrow().unresponsive(ABANDONED_AFTER, now);
    for object in objects {
        if unresponsive.iter().any(|name| name.as_str() == &*object.name) {
            node.store.remove(Collection::Instances, &object.name, object.revision).await?;
        }
    }
    Ok(())
}
