//! Start-time fair queueing of requests for the slots of one member.
//!
//! Each workspace has a tag in virtual time. A free slot goes to the waiting workspace with the lowest tag, and the
//! tag advances by the slot time used, divided by the workspace's weight. The cost of a request is unknown until
//! it ends, so its workspace is first charged the mean of its past costs, which is corrected by the measured time.
//! [`OrderedQueue`] adds priorities and targets to this order.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{clock::Instant, name::Workspace, queue::FairQueue};
//!
//! let mut queue = FairQueue::new(1);
//! let now = Instant::default();
//! let deadline = now.plus(Duration::from_secs(1));
//! let (large, small) = (Workspace::new("large"), Workspace::new("small"));
//! queue.push(&large, 1, "first", deadline, now).unwrap();
//! queue.push(&large, 1, "second", deadline, now).unwrap();
//! queue.push(&small, 1, "third", deadline, now).unwrap();
//!
//! let started = queue.pop(now).unwrap();
//! assert_eq!(started.item, "first");
//! assert!(queue.pop(now).is_none());
//!
//! let now = now.plus(Duration::from_millis(20));
//! queue.finish(started.ticket, now);
//! assert_eq!(queue.pop(now).unwrap().item, "third");
//! ```

mod fair;
mod flow;
mod ordered;

pub use self::{
    fair::{FairQueue, RejectReason, Rejected, Started, Ticket},
    ordered::{
        HEAD_START, NewRequest, OrderedQueue, Refused, RefusedReason, RequestId, Urgency, WorkKind,
    },
};
