//! Decides whether requests with a key may be served when the proof of the configuration's age is old.

use std::{collections::BTreeMap, time::Duration};

use super::ConfigView;
use crate::{clock::Instant, name::DataCentre};

/// Default age up to which a proof suffices without answers of other data centres.
const MAX_CONFIG_AGE: Duration = Duration::from_secs(5);
/// Default age up to which the answer of a data centre counts as evidence.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(2);

/// Whether an instance may rely on its copy of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigValidity {
    /// The proof is recent.
    Fresh,
    /// The proof is old, but every other data centre answered recently and none has a newer revision, so the store
    /// counts as unreachable for all.
    Outage,
    /// The store may have accepted a change that this instance does not have.
    Unconfirmed,
}

impl ConfigValidity {
    /// Whether requests that need a valid key may be served.
    pub const fn allows_keyed_requests(self) -> bool {
        !matches!(self, Self::Unconfirmed)
    }
}

/// Decides by the age of the proof, and by answers of the other data centres as evidence of an outage of the store.
///
/// The age of an answer counts from when its request was sent. An answer with a newer revision than this instance has
/// contradicts an outage. An answer with the same revision and a newer proof is a proof for this instance as well;
/// apply it with [`ConfigView::merge_proof`].
#[derive(Debug, Clone)]
pub struct FreshnessPolicy {
    own_data_centre: DataCentre,
    max_config_age: Duration,
    evidence_window: Duration,
    answers: BTreeMap<DataCentre, Vec<Answer>>,
}

#[derive(Debug, Clone, Copy)]
struct Answer {
    sent: Instant,
    revision: u64,
}

impl FreshnessPolicy {
    /// Creates the policy of an instance in `own_data_centre`, in a topology of `data_centres`.
    pub fn new<I>(own_data_centre: DataCentre, data_centres: I) -> Self
    where
        I: IntoIterator<Item = DataCentre>,
    {
        let answers = data_centres.into_iter().map(|name| (name, Vec::new())).collect();
        Self {
            own_data_centre,
            max_config_age: MAX_CONFIG_AGE,
            evidence_window: EVIDENCE_WINDOW,
            answers,
        }
    }

    /// Sets the age up to which a proof suffices without answers of other data centres; 5 s by default.
    #[must_use]
    pub const fn max_config_age(mut self, age: Duration) -> Self {
        self.max_config_age = age;
        self
    }

    /// Sets the age up to which the answer of a data centre counts as evidence; 2 s by default.
    #[must_use]
    pub const fn evidence_window(mut self, window: Duration) -> Self {
        self.evidence_window = window;
        self
    }

    /// Records that an instance of `data_centre` had `revision` when it answered a request sent at `sent`.
    ///
    /// Answers from data centres outside the topology are ignored.
    pub fn record_answer(&mut self, data_centre: &DataCentre, revision: u64, sent: Instant) {
        let window = self.evidence_window;
        let Some(answers) = self.answers.get_mut(data_centre) else { return };
        answers.retain(|answer| answer.revision > revision && sent.since(answer.sent) <= window);
        answers.push(Answer { sent, revision });
    }

    /// Decides whether an instance with the copy `view` may rely on it.
    pub fn validity(&self, view: &ConfigView, now: Instant) -> ConfigValidity {
        let age = view.freshness().age(now);
        if age.is_some_and(|age| age <= self.max_config_age) {
            return ConfigValidity::Fresh;
        }
        // Without any proof the copy may be of any age.
        if age.is_some() && self.proves_outage(view.revision(), now) {
            return ConfigValidity::Outage;
        }
        ConfigValidity::Unconfirmed
    }

    /// The other data centres of the topology that have not answered within the evidence window, to show to the
    /// operator.
    pub fn unresponsive_data_centres(&self, now: Instant) -> Vec<DataCentre> {
        let unresponsive = self.answers.iter().filter(|(name, answers)| {
            **name != self.own_data_centre && self.recent(answers, now).next().is_none()
        });
        unresponsive.map(|(name, _)| name.clone()).collect()
    }

    fn proves_outage(&self, revision: u64, now: Instant) -> bool {
        // The only data centre of a topology cannot distinguish an outage of the store from a partition.
        let has_other_data_centres = self.answers.keys().any(|name| *name != self.own_data_centre);
        let mut recent = self.answers.values().flat_map(|answers| self.recent(answers, now));
        has_other_data_centres
            && self.unresponsive_data_centres(now).is_empty()
            && recent.all(|answer| answer.revision <= revision)
    }

    fn recent<'a>(
        &'a self,
        answers: &'a [Answer],
        now: Instant,
    ) -> impl Iterator<Item = &'a Answer> {
        let window = self.evidence_window;
        answers.iter().filter(move |answer| now.since(answer.sent) <= window)
    }
}
