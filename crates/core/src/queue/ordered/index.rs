//! The workspaces with waiting requests, by level and virtual time.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    urgency::Level,
    workspace::{Flow, Tag},
};
use crate::name::Workspace;

#[derive(Debug, Default)]
struct LevelIndex {
    /// By the virtual time of the workspace; equal times are ordered by name.
    by_key: BTreeSet<(Tag, Workspace)>,
    /// By the virtual time at which the last request of the workspace in this level is expected to end.
    by_end: BTreeSet<(Tag, Workspace)>,
}

/// Index of the workspaces with waiting requests. A workspace is in it once for each level in which it has any.
#[derive(Debug, Default)]
pub(super) struct Index(BTreeMap<Level, LevelIndex>);

impl Index {
    /// Adds the lines of a workspace.
    pub(super) fn insert(&mut self, name: &Workspace, flow: &mut Flow) {
        let key = flow.key();
        let ends: Vec<Tag> = flow.lines.keys().map(|level| flow.end(*level)).collect();
        for ((level, line), end) in flow.lines.iter_mut().zip(ends) {
            let entry = self.0.entry(*level).or_default();
            entry.by_key.insert((key, name.clone()));
            entry.by_end.insert((end, name.clone()));
            line.indexed = Some((key, end));
        }
    }

    /// Removes the lines of a workspace, before any of its values changes.
    pub(super) fn remove(&mut self, name: &Workspace, flow: &mut Flow) {
        for (level, line) in &mut flow.lines {
            let Some((key, end)) = line.indexed.take() else { continue };
            let Some(entry) = self.0.get_mut(level) else { continue };
            entry.by_key.remove(&(key, name.clone()));
            entry.by_end.remove(&(end, name.clone()));
            if entry.by_key.is_empty() {
                self.0.remove(level);
            }
        }
    }

    /// Levels with waiting requests, the most urgent first.
    pub(super) fn levels(&self) -> impl Iterator<Item = Level> {
        self.0.keys().copied()
    }

    /// Lowest virtual time of all workspaces that have waiting requests.
    pub(super) fn lowest_key(&self) -> Option<Tag> {
        let firsts = self.0.values().filter_map(|entry| entry.by_key.first());
        firsts.map(|(key, _)| *key).min()
    }

    /// Lowest virtual time in a level.
    pub(super) fn first_key(&self, level: Level) -> Option<Tag> {
        self.0.get(&level)?.by_key.first().map(|(key, _)| *key)
    }

    /// The first workspace of a level, or the first for which `is_preferred` is true and whose virtual time is not above
    /// `max_preferred`.
    pub(super) fn choose<F>(
        &self,
        level: Level,
        max_preferred: Tag,
        is_preferred: F,
    ) -> Option<Workspace>
    where
        F: Fn(&Workspace) -> bool,
    {
        let by_key = &self.0.get(&level)?.by_key;
        let mut near = by_key.iter().take_while(|(key, _)| *key <= max_preferred);
        let chosen = near.find(|(_, name)| is_preferred(name)).or_else(|| by_key.first())?;
        Some(chosen.1.clone())
    }

    /// The workspace whose requests of a level end last.
    pub(super) fn last_to_end(&self, level: Level) -> Option<Workspace> {
        self.0.get(&level)?.by_end.last().map(|(_, name)| name.clone())
    }
}
