//! Classification of statements: what they read and write, and whether the proxy supports them.
//!
//! Statements that cannot be read count as writes. Results are kept by text in a bounded cache.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_proxy::classify::{Classifier, Effect};
//!
//! let classifier = Classifier::default();
//! let query = classifier.classify("SELECT name FROM clubs WHERE id = 3");
//! assert_eq!(query.effect, Effect::Read);
//! ```

mod cache;
mod function;
mod statement;

use std::sync::Arc;

pub(crate) use self::statement::MAX_REQUEST_ID_BYTES;
pub use self::{cache::Classifier, statement::classify};

/// What a query text does to the database.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Effect {
    /// Nothing; the text is empty.
    Nothing,
    /// Reads tables.
    Read,
    /// May write.
    Write,
}

/// What a query text does to the transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TransactionEffect {
    /// It neither starts nor ends one.
    Unchanged,
    /// It may start one that stays open.
    Begin,
    /// It ends one by commit.
    Commit,
    /// It ends one by rollback.
    Rollback,
}

/// A session setting that the proxy answers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingStatement {
    /// `SET hibiscus.position = '…'`
    SetPosition(String),
    /// `SET hibiscus.request_id = '…'`
    SetRequestId(String),
    /// `SHOW hibiscus.position`
    ShowPosition,
    /// `SHOW hibiscus.request_id`
    ShowRequestId,
}

/// What is known about one query text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Classification {
    /// Strictest effect of its statements.
    pub effect: Effect,
    /// Effect on the transaction.
    pub transaction_effect: TransactionEffect,
    /// Tables that it names, in lower case without schema; empty also when unknown.
    pub tables: Vec<Arc<str>>,
    /// Whether the list of tables is complete.
    pub tables_known: bool,
    /// Setting that the proxy answers itself.
    pub setting: Option<SettingStatement>,
    /// Why the proxy does not run it.
    pub unsupported: Option<&'static str>,
    /// Request id in a leading comment.
    pub request_id: Option<Arc<str>>,
}

impl Classification {
    /// A text of which only the effect is known.
    pub(crate) const fn unparsed() -> Self {
        Self {
            effect: Effect::Write,
            transaction_effect: TransactionEffect::Begin,
            tables: Vec::new(),
            tables_known: false,
            setting: None,
            unsupported: None,
            request_id: None,
        }
    }
}
