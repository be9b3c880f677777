//! Classification of statements: whether they read or write, which tables they use, and whether the proxy supports
//! them.
//!
//! Statements that cannot be parsed count as writes. Results are cached by text in a bounded cache.
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

/// Effect of a statement text on the database, from the weakest to the strongest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Effect {
    /// No effect on tables: the text is empty, or a `SET` or `SHOW` of a setting of the proxy.
    Nothing,
    /// Does not write; it may run on a replica.
    Read,
    /// May write, so that it needs the primary.
    Write,
}

/// Effect of a statement text on the transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TransactionEffect {
    /// Neither starts nor ends a transaction.
    Unchanged,
    /// May start a transaction that stays open after the text.
    Begin,
    /// Ends the transaction by a commit.
    Commit,
    /// Ends the transaction by a rollback.
    Rollback,
}

/// A `SET` or `SHOW` statement for a session setting of the proxy, which answers it itself.
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

/// Classification of a statement text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Classification {
    /// Strongest effect of the statements in the text.
    pub effect: Effect,
    /// Effect of the whole text on the transaction.
    pub transaction_effect: TransactionEffect,
    /// Tables in the text, in lower case and without schema, each once; incomplete unless `tables_known` is set.
    pub tables: Vec<Arc<str>>,
    /// Whether `tables` is complete; `false` for a text that could not be parsed.
    pub tables_known: bool,
    /// The setting statement, when the text consists of one.
    pub setting: Option<SettingStatement>,
    /// Name of an unsupported feature that the text uses; the proxy refuses such texts.
    pub unsupported: Option<&'static str>,
    /// Request id from a comment `/* hibiscus.request_id='…' */` at the start of the text.
    pub request_id: Option<Arc<str>>,
}

impl Classification {
    /// Classification of a text that cannot be parsed: it may write, and may leave a transaction open.
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
