//! What the router keeps about one database.

use std::sync::{Arc, Mutex, Weak};

use hibiscusladder_core::{
    database::{MemberRecord, UpstreamState},
    name::{DataCentre, Database, MemberId},
    position::Position,
    read_route::{ReadDecision, ReadRequirement, ReadRouter, Replica},
    request::StatementClass,
    term_history::TermHistory,
};

use super::{Question, Request, SharedIndex};
use crate::{
    home::Homes,
    node::{Group, GroupView, Node, lock},
    rpc::Rpc,
    settings::ReadPolicy,
};

/// Routing state of one database.
#[derive(Debug)]
pub(super) struct DatabaseRoute {
    group: Arc<Group>,
    index: Arc<SharedIndex<PrimaryQuestion>>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    seen: Weak<GroupView>,
    members: Vec<MemberRecord>,
    reader: ReadRouter,
    history: TermHistory,
}

impl DatabaseRoute {
    pub(super) fn new(
        node: &Arc<Node>,
        homes: &Arc<Homes>,
        rpc: &Rpc,
        group: Arc<Group>,
    ) -> Arc<Self> {
        let question = PrimaryQuestion {
            node: Arc::clone(node),
            homes: Arc::clone(homes),
            rpc: rpc.clone(),
            database: group.view().database.clone(),
        };
        let state = State {
            seen: Weak::new(),
            members: Vec::new(),
            reader: ReadRouter::new(node.data_centre().clone()),
            history: TermHistory::default(),
        };
        let index = SharedIndex::new(question);
        Arc::new(Self { group, index, state: Mutex::new(state) })
    }

    pub(super) fn is_for(&self, group: &Arc<Group>) -> bool {
        Arc::ptr_eq(&self.group, group)
    }

    pub(super) const fn index(&self) -> &Arc<SharedIndex<PrimaryQuestion>> {
        &self.index
    }

    /// Starts of the terms that the instance heard of.
    pub(super) fn history(&self, node: &Node) -> TermHistory {
        let view = self.group.view();
        let mut state = lock(&self.state);
        state.follow(node, &view);
        state.history.clone()
    }

    /// The member that serves the request next.
    pub(super) fn choose(
        &self,
        node: &Node,
        request: &Request,
        excluded: &[MemberId],
    ) -> Option<MemberId> {
        let view = self.group.view();
        let primary_only = node.settings().policy.reads == ReadPolicy::Primary;
        if primary_only || request.class.needs_primary() {
            return view.primary.clone();
        }
        let polled = view.quorum.reports().next().is_some();
        let replica = if polled {
            self.choose_polled(node, &view, request)
        } else {
            choose_near(node, &view, request)
        };
        let usable = replica.filter(|member| !excluded.contains(member));
        usable.or_else(|| view.primary.clone())
    }

    /// Chooses by the reports, when this instance polls the group.
    fn choose_polled(
        &self,
        node: &Node,
        view: &Arc<GroupView>,
        request: &Request,
    ) -> Option<MemberId> {
        let mut state = lock(&self.state);
        state.follow(node, view);
        let now = node.now();
        match state.reader.route_round_robin(need(request), now, now, request.cancel_token) {
            ReadDecision::Replica { member, .. }
            | ReadDecision::Primary { member, .. }
            // The home of the replica asks it for its position while it waits.
            | ReadDecision::Wait { member, .. } => Some(member),
            ReadDecision::Refuse(_) => None,
        }
    }
}

impl State {
    /// Takes over a new view of the group.
    fn follow(&mut self, node: &Node, view: &Arc<GroupView>) {
        if std::ptr::eq(self.seen.as_ptr(), Arc::as_ptr(view)) {
            return;
        }
        self.seen = Arc::downgrade(view);
        self.history.merge(view.quorum.history());
        let now = node.now();
        let config = node.config();
        if self.members != view.members {
            self.members.clone_from(&view.members);
            self.reader = ReadRouter::new(node.data_centre().clone())
                .region(region(node))
                .replica_wait(node.settings().times.replica_wait);
            for record in &view.members {
                let replica = Replica::new(record.id.clone(), record.data_centre.clone());
                self.reader.add(replica);
            }
        }
        for record in &view.members {
            let leaving = config.upstream(&record.id) == UpstreamState::Leaving;
            self.reader.set_leaving(&record.id, leaving, now);
        }
        self.reader.update(&view.quorum, now);
        if self.reader.primary().is_none() {
            let primary = view.primary.clone().map(|primary| (primary, view.term));
            self.reader.set_primary(primary);
        }
    }
}

fn need(request: &Request) -> ReadRequirement {
    match (request.class, request.position) {
        (_, Some(position)) => ReadRequirement::Position(position),
        (StatementClass::StaleRead { max_age }, None) => ReadRequirement::Age(max_age),
        _ => ReadRequirement::Primary,
    }
}

/// Chooses the nearest replica, when this instance does not poll the group; the home checks the position.
///
/// Equally near replicas take turns, as in the core's router.
fn choose_near(node: &Node, view: &GroupView, request: &Request) -> Option<MemberId> {
    if need(request) == ReadRequirement::Primary {
        return None;
    }
    let config = node.config();
    let near = region(node);
    let distance = |record: &MemberRecord| {
        let data_centre = &record.data_centre;
        (data_centre != node.data_centre(), !near.contains(data_centre))
    };
    let replicas = view.members.iter().filter(|record| view.primary.as_ref() != Some(&record.id));
    let mut usable: Vec<&MemberRecord> =
        replicas.filter(|record| config.upstream(&record.id) == UpstreamState::Live).collect();
    let nearest = usable.iter().map(|record| distance(record)).min()?;
    usable.retain(|record| distance(record) == nearest);
    let count = u64::try_from(usable.len()).unwrap_or(u64::MAX);
    let turn = usize::try_from(request.cancel_token % count).unwrap_or(0);
    usable.get(turn).map(|record| record.id.clone())
}

/// Data centres of the instance's region.
fn region(node: &Node) -> Vec<DataCentre> {
    let settings = node.settings();
    let own = settings.region(node.data_centre());
    let places = settings.topology.iter();
    let near = places.filter(|place| Some(place.region.as_str()) == own);
    near.map(|place| place.data_centre.clone()).collect()
}

/// Asks the home of the primary for the primary's position.
#[derive(Debug)]
pub(super) struct PrimaryQuestion {
    node: Arc<Node>,
    homes: Arc<Homes>,
    rpc: Rpc,
    database: Database,
}

impl Question for PrimaryQuestion {
    async fn ask(&self) -> Option<Position> {
        let group = self.node.group(&self.database)?;
        let primary = group.view().primary.clone()?;
        let home = self.node.home_of(&self.database, &primary)?;
        if home.id == *self.node.id() {
            return self.homes.read_index(&self.database).await;
        }
        self.rpc.read_index(&home.rpc, &self.database).await.ok().flatten()
    }
}
