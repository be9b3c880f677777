//! Choice of members of one database, and the state that it is based on.

use std::sync::{Arc, Mutex, Weak};

use hibiscusladder_core::{
    database::{MemberRecord, UpstreamState},
    name::{DataCentre, Database, MemberId},
    position::Position,
    read_route::{ReadDecision, ReadRequirement, ReadRouter, Replica},
    request::StatementClass,
    term_history::TermHistory,
};

use super::{PositionSource, Request, SharedReadIndex};
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
    read_index: Arc<SharedReadIndex<PrimaryPositionSource>>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    last_view: Weak<GroupView>,
    members: Vec<MemberRecord>,
    read_router: ReadRouter,
    history: TermHistory,
}

impl DatabaseRoute {
    pub(super) fn new(
        node: &Arc<Node>,
        homes: &Arc<Homes>,
        rpc: &Rpc,
        group: Arc<Group>,
    ) -> Arc<Self> {
        let source = PrimaryPositionSource {
            node: Arc::clone(node),
            homes: Arc::clone(homes),
            rpc: rpc.clone(),
            database: group.view().database.clone(),
        };
        let state = State {
            last_view: Weak::new(),
            members: Vec::new(),
            read_router: ReadRouter::new(node.data_centre().clone()),
            history: TermHistory::default(),
        };
        let read_index = SharedReadIndex::new(source);
        Arc::new(Self { group, read_index, state: Mutex::new(state) })
    }

    pub(super) fn is_for(&self, group: &Arc<Group>) -> bool {
        Arc::ptr_eq(&self.group, group)
    }

    pub(super) const fn read_index(&self) -> &Arc<SharedReadIndex<PrimaryPositionSource>> {
        &self.read_index
    }

    /// Starts of the terms that this instance knows.
    pub(super) fn history(&self, node: &Node) -> TermHistory {
        let view = self.group.view();
        let mut state = lock(&self.state);
        state.apply_view(node, &view);
        state.history.clone()
    }

    /// Chooses the member for the next attempt: a replica that is not `excluded`, when one can serve the request, else
    /// the primary. `None` while neither is known.
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
            choose_nearest(node, &view, request)
        };
        let usable = replica.filter(|member| !excluded.contains(member));
        usable.or_else(|| view.primary.clone())
    }

    /// Chooses by the members' reports, when this instance polls the group.
    fn choose_polled(
        &self,
        node: &Node,
        view: &Arc<GroupView>,
        request: &Request,
    ) -> Option<MemberId> {
        let mut state = lock(&self.state);
        state.apply_view(node, view);
        let now = node.now();
        match state.read_router.route_round_robin(read_requirement(request), now, now, request.cancel_token) {
            ReadDecision::Replica { member, .. }
            | ReadDecision::Primary { member, .. }
            // The home of the replica queries the replica's position until the required one is reached.
            | ReadDecision::Wait { member, .. } => Some(member),
            ReadDecision::Refuse(_) => None,
        }
    }
}

impl State {
    /// Updates the state from `view`, unless it was applied before.
    fn apply_view(&mut self, node: &Node, view: &Arc<GroupView>) {
        if std::ptr::eq(self.last_view.as_ptr(), Arc::as_ptr(view)) {
            return;
        }
        self.last_view = Arc::downgrade(view);
        self.history.merge(view.quorum.history());
        let now = node.now();
        let config = node.config();
        if self.members != view.members {
            self.members.clone_from(&view.members);
            self.read_router = ReadRouter::new(node.data_centre().clone())
                .region(region_data_centres(node))
                .replica_wait(node.settings().times.replica_wait);
            for record in &view.members {
                let replica = Replica::new(record.id.clone(), record.data_centre.clone());
                self.read_router.add(replica);
            }
        }
        for record in &view.members {
            let leaving = config.upstream(&record.id) == UpstreamState::Leaving;
            self.read_router.set_leaving(&record.id, leaving, now);
        }
        self.read_router.update(&view.quorum, now);
        if self.read_router.primary().is_none() {
            let primary = view.primary.clone().map(|primary| (primary, view.term));
            self.read_router.set_primary(primary);
        }
    }
}

fn read_requirement(request: &Request) -> ReadRequirement {
    match (request.class, request.position) {
        (_, Some(position)) => ReadRequirement::Position(position),
        (StatementClass::StaleRead { max_age }, None) => ReadRequirement::Age(max_age),
        _ => ReadRequirement::Primary,
    }
}

/// Chooses the nearest replica, when this instance does not poll the group; its home checks the position.
///
/// Equally near replicas are chosen in rotation, as by [`ReadRouter`].
fn choose_nearest(node: &Node, view: &GroupView, request: &Request) -> Option<MemberId> {
    if read_requirement(request) == ReadRequirement::Primary {
        return None;
    }
    let config = node.config();
    let near = region_data_centres(node);
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
    let index = usize::try_from(request.cancel_token % count).unwrap_or(0);
    usable.get(index).map(|record| record.id.clone())
}

/// Data centres of the instance's region.
fn region_data_centres(node: &Node) -> Vec<DataCentre> {
    let settings = node.settings();
    let own = settings.region(node.data_centre());
    let entries = settings.topology.iter();
    let near = entries.filter(|entry| Some(entry.region.as_str()) == own);
    near.map(|entry| entry.data_centre.clone()).collect()
}

/// Requests the primary's position from the home of the primary, which also checks the gate.
#[derive(Debug)]
pub(super) struct PrimaryPositionSource {
    node: Arc<Node>,
    homes: Arc<Homes>,
    rpc: Rpc,
    database: Database,
}

impl PositionSource for PrimaryPositionSource {
    async fn current_position(&self) -> Option<Position> {
        let group = self.node.group(&self.database)?;
        let primary = group.view().primary.clone()?;
        let home = self.node.home_of(&self.database, &primary)?;
        if home.id == *self.node.id() {
            return self.homes.read_index(&self.database).await;
        }
        self.rpc.read_index(&home.rpc, &self.database).await.ok().flatten()
    }
}
