//! Queries for the present position of a primary, each shared by all readers that arrive before it is sent.

use std::sync::{Arc, Mutex};

use futures::channel::oneshot;
use hibiscusladder_core::{
    clock::Clock,
    position::Position,
    quorum::Gate,
    read_index::{READ_INDEX_TIMEOUT, ReadIndex, ReadIndexAnswer},
};
use smol::{Timer, future::FutureExt};

use crate::{clock::BootClock, node::lock};

/// Source of the primary's present position.
pub trait PositionSource: Send + Sync + 'static {
    /// A position that the primary had after this call; `None` when it could not be obtained.
    ///
    /// The position counts only if the gate of its term was open after the answer arrived. The source checks that, or
    /// the user of the [`SharedReadIndex`] does.
    fn current_position(&self) -> impl Future<Output = Option<Position>> + Send;
}

/// Shares the queries to one source among concurrent readers.
#[derive(Debug)]
pub struct SharedReadIndex<S> {
    source: S,
    index: Mutex<ReadIndex<oneshot::Sender<ReadIndexAnswer>>>,
}

impl<S> SharedReadIndex<S>
where
    S: PositionSource,
{
    /// Creates the read index of the database whose primary `source` queries.
    pub fn new(source: S) -> Arc<Self> {
        Arc::new(Self { source, index: Mutex::new(ReadIndex::new()) })
    }

    /// A position that the primary had after this call; `None` when the source returned none or did not answer within
    /// [`READ_INDEX_TIMEOUT`].
    pub async fn position(self: &Arc<Self>) -> Option<Position> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.index).add_reader(sender);
        self.send_next();
        match receiver.await {
            Ok(ReadIndexAnswer::Position(position)) => Some(position),
            Ok(ReadIndexAnswer::Unconfirmed) | Err(_) => None,
        }
    }

    /// Sends a query when readers wait for one and not too many are unanswered.
    fn send_next(self: &Arc<Self>) {
        let Some(id) = lock(&self.index).start_query(BootClock.now()) else { return };
        let shared = Arc::clone(self);
        smol::spawn(async move {
            let timeout = async {
                Timer::after(READ_INDEX_TIMEOUT).await;
                None
            };
            let answer = shared.source.current_position().or(timeout).await;
            let answered = match answer {
                Some(position) => lock(&shared.index).answered(id, position, Gate::Open),
                None => lock(&shared.index).failed(id),
            };
            for (reader, answer) in answered {
                let _ = reader.send(answer);
            }
            shared.send_next();
        })
        .detach();
    }
}
