//! Questions for the present position of a primary, shared by all readers that arrive before one is sent.

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

/// Asks for the primary's present position.
pub trait Question: Send + Sync + 'static {
    /// The position, when the gate of its term was open after the answer arrived.
    fn ask(&self) -> impl Future<Output = Option<Position>> + Send;
}

/// Shares questions between readers.
#[derive(Debug)]
pub struct SharedIndex<Q> {
    question: Q,
    index: Mutex<ReadIndex<oneshot::Sender<ReadIndexAnswer>>>,
}

impl<Q> SharedIndex<Q>
where
    Q: Question,
{
    /// Creates the index of one database.
    pub fn new(question: Q) -> Arc<Self> {
        Arc::new(Self { question, index: Mutex::new(ReadIndex::new()) })
    }

    /// A position that the primary had after this call, or `None` when none could be confirmed.
    pub async fn position(self: &Arc<Self>) -> Option<Position> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.index).add_reader(sender);
        self.send_next();
        match receiver.await {
            Ok(ReadIndexAnswer::Position(position)) => Some(position),
            Ok(ReadIndexAnswer::Unconfirmed) | Err(_) => None,
        }
    }

    /// Sends a question when readers wait for one.
    fn send_next(self: &Arc<Self>) {
        let Some(id) = lock(&self.index).start_query(BootClock.now()) else { return };
        let index = Arc::clone(self);
        smol::spawn(async move {
            let timeout = async {
                Timer::after(READ_INDEX_TIMEOUT).await;
                None
            };
            let answer = index.question.ask().or(timeout).await;
            let answered = match answer {
                Some(position) => lock(&index.index).answered(id, position, Gate::Open),
                None => lock(&index.index).failed(id),
            };
            for (reader, answer) in answered {
                let _ = reader.send(answer);
            }
            index.send_next();
        })
        .detach();
    }
}
