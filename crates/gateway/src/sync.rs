//! Keeps an instance in line with the store: configuration, members, instances and claims.

use std::{rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{InstanceId, MemberId},
};
use hibiscusladder_io::clock::sleep;
use serde_json::json;

use crate::{
    adapter::{Collection, Content, Listing, MemberRecord, Object, Platform, Store, StoreError},
    events::{self, Event},
    metrics::Counter,
    monitor,
    node::Node,
    peers::Registration,
    roster::RosterChange,
};

/// Pause after a call that had no success.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between calls while the store does not answer.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1000);
/// Time between two renewals of the own registration.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);
/// Time without a renewal after which another instance's registration is removed.
const ABANDONED_AFTER: Duration = Duration::from_secs(45);
/// Time between two looks for members whose entries stayed away.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Follows a collection for as long as the process runs.
pub async fn follow<P>(node: Rc<Node<P>>, collection: Collection)
where
    P: Platform,
{
    let mut revision = None;
    let mut pause = RETRY_PAUSE;
    let mut lost = false;
    loop {
        let result = match revision {
            None => list(&node, collection).await,
            Some(since) => watch(&node, collection, since).await,
        };
        match result {
            Ok(seen) => {
                revision = Some(seen);
                pause = RETRY_PAUSE;
                if std::mem::take(&mut lost) {
                    events::note(
                        Event::StoreRegained,
                        json!({ "collection": collection.as_str() }),
                    );
                }
            }
            Err(StoreError::HistoryGone) => revision = None,
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    events::note(
                        Event::StoreLost,
                        json!({ "collection": collection.as_str(), "reason": error.to_string() }),
                    );
                }
                sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
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
    let instances: Vec<InstanceId> = objects.iter().map(|object| (*object.name).into()).collect();
    for object in objects {
        apply(node, collection, object, now);
    }
    match collection {
        Collection::Members => node.roster.borrow_mut().lapse_others(&members, now),
        Collection::Instances => {
            node.peers.borrow_mut().keep(&instances);
            node.update_limits();
        }
        Collection::Configuration | Collection::Duties => {}
    }
    Ok(revision)
}

async fn watch<P>(node: &Rc<Node<P>>, collection: Collection, since: u64) -> Result<u64, StoreError>
where
    P: Platform,
{
    let watched = node.store.watch(collection, since).await;
    let label = if watched.is_ok() { "watched" } else { "watch_failed" };
    node.metrics.count(Counter::StoreCalls, label);
    let watched = watched?;
    let now = node.now();
    for change in watched.changes {
        if change.deleted {
            remove(node, collection, &change.object.name, now);
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
            events::note(
                Event::ObjectUnreadable,
                json!({
                    "collection": collection.as_str(), "object": object.name,
                    "revision": object.revision, "reason": reason,
                }),
            );
            if collection == Collection::Members {
                node.roster.borrow_mut().lapse(&object.name, now);
            }
        }
        (Collection::Configuration, Content::Directory(directory)) => {
            node.apply_directory(directory, "store");
        }
        (Collection::Members, Content::Member(record)) => {
            apply_member(node, MemberId::new(&object.name), record, now);
        }
        (Collection::Instances, Content::Own(text)) => {
            // A registration that cannot be read was written by another version; it is replaced or removed there.
            if let Ok(registration) = serde_json::from_str::<Registration>(&text) {
                let name = InstanceId::new(&object.name);
                node.peers.borrow_mut().register(name, &registration);
                node.update_limits();
            }
        }
        (Collection::Duties, content) => {
            let object = Object { name: object.name, revision: object.revision, content };
            node.duties.borrow_mut().note(&object, now);
        }
        _ => {}
    }
}

fn apply_member<P>(node: &Rc<Node<P>>, id: MemberId, record: MemberRecord, now: Instant)
where
    P: Platform,
{
    let known = node.member(&id).is_some();
    let fields = json!({
        "member": id.as_str(), "group": record.group.as_str(), "leaving": record.leaving,
        "role": format!("{:?}", record.role), "started_ms": record.started_ms,
    });
    let group = record.group.clone();
    let change = node.roster.borrow_mut().update(id.clone(), record, now);
    if change == RosterChange::None {
        return;
    }
    events::note(Event::MemberChanged, fields);
    if change == RosterChange::Restarted {
        node.drop_pool(&id);
        if let Some(state) = node.group(&group) {
            state.view.borrow_mut().forget(&id);
        }
    }
    node.update_groups();
    if !known {
        node.spawn(monitor::poll_member(node.clone(), group, id));
    }
}

fn remove<P>(node: &Node<P>, collection: Collection, name: &str, now: Instant)
where
    P: Platform,
{
    match collection {
        Collection::Members => node.roster.borrow_mut().lapse(name, now),
        Collection::Instances => {
            node.peers.borrow_mut().unregister(name);
            node.update_limits();
        }
        Collection::Configuration | Collection::Duties => {}
    }
}

/// Removes members whose entries stayed away, for as long as the process runs.
pub async fn expire_members<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let expired = node.roster.borrow_mut().expire(node.now());
        if expired.is_empty() {
            continue;
        }
        for id in &expired {
            events::note(Event::MemberGone, json!({ "member": id.as_str() }));
            node.drop_pool(id);
        }
        node.update_groups();
    }
}

/// Renews the own registration, and removes abandoned ones, for as long as the process runs.
pub async fn register<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let mut renewals = 0;
    let mut others = Vec::new();
    loop {
        renewals += 1;
        match renew(&node, renewals, &mut others).await {
            Ok(()) => sleep(RENEWAL_INTERVAL).await,
            Err(_) => sleep(MAX_RETRY_PAUSE).await,
        }
    }
}

/// A registration of another instance, and since when it has had its revision.
type Seen = (Box<str>, u64, Instant);

async fn renew<P>(node: &Node<P>, renewals: u64, others: &mut Vec<Seen>) -> Result<(), StoreError>
where
    P: Platform,
{
    let registration = Registration {
        address: node.settings.peers,
        renewals,
        started: node.peers.borrow().started(),
    };
    let Ok(text) = serde_json::to_string(&registration) else { return Ok(()) };
    let Listing { objects, .. } = node.store.list(Collection::Instances).await?;
    let name = node.instance().as_str();
    let own = objects.iter().find(|object| *object.name == *name);
    match own {
        Some(own) => {
            node.store.replace(Collection::Instances, name, own.revision, &text).await?;
        }
        None => {
            node.store.create(Collection::Instances, name, &text).await?;
        }
    }
    remove_abandoned(node, &objects, others).await
}

async fn remove_abandoned<P>(
    node: &Node<P>,
    objects: &[Object],
    others: &mut Vec<Seen>,
) -> Result<(), StoreError>
where
    P: Platform,
{
    let now = node.now();
    let seen = |object: &Object| {
        let known = others
            .iter()
            .find(|(name, revision, _)| *name == object.name && *revision == object.revision);
        (object.name.clone(), object.revision, known.map_or(now, |(_, _, since)| *since))
    };
    *others = objects.iter().map(seen).collect();
    let live = node.peers.borrow().live(now);
    for (name, revision, since) in others.iter() {
        let heard = live.iter().any(|live| live.as_str() == &**name);
        if now.since(*since) >= ABANDONED_AFTER && !heard && **name != *node.instance().as_str() {
            node.store.remove(Collection::Instances, name, *revision).await?;
        }
    }
    Ok(())
}
