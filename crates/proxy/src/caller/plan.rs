//! Plans the execution of a batch: its effects and the messages that are sent to the upstream.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use bytes::{Bytes, BytesMut};
use hibiscusladder_core::outcome::{Refusal, RefusalKind};

use super::{frame::Frame, ledger::Charge, message::ClientMessage};
use crate::classify::{Classification, Classifier, Effect, SettingStatement, TransactionEffect};

/// Largest number of prepared statements of one client.
const MAX_STATEMENTS: usize = 1_000;
/// Largest size of the prepared statements of one client, in bytes, unless a single batch may be larger.
const MAX_STATEMENT_BYTES: usize = 4 << 20;
/// Number of times that a prepared statement is in memory: its message, and its classification.
const STATEMENT_COPIES: usize = 2;
/// The `Sync` message.
const SYNC: &[u8] = &[b'S', 0, 0, 0, 4];

/// A prepared statement of the client.
#[derive(Debug, Clone)]
pub(super) struct Statement {
    /// The client's `Parse` message.
    parse: Bytes,
    classification: Arc<Classification>,
}

/// Prepared statements of one client by name; the unnamed statement has the empty name.
///
/// An upstream connection is reset after each transaction, which drops its prepared statements. The entry therefore
/// keeps the client's statements and prepares them again when a batch uses them.
#[derive(Debug)]
pub(super) struct Statements {
    by_name: HashMap<String, Statement>,
    /// Bytes of the statements with their names.
    bytes: usize,
    max_bytes: usize,
    charge: Charge,
}

/// Effects of a batch and its messages to the upstream.
#[derive(Debug)]
pub(super) struct Plan {
    /// Messages to the upstream.
    pub(super) data: Bytes,
    /// Strongest effect of the statements.
    pub(super) effect: Effect,
    /// Combined effect of the statements on the transaction.
    pub(super) transaction_effect: TransactionEffect,
    /// Tables that the statements use, each once.
    pub(super) tables: Vec<Arc<str>>,
    /// Whether the list of tables is complete.
    pub(super) tables_known: bool,
    /// Whether statements are executed, and not only prepared or described.
    pub(super) executes: bool,
    /// Request id from a comment in a statement; the first one counts.
    pub(super) request_id: Option<Arc<str>>,
    /// Indexes of the `Parse` messages that the entry added, among all `Parse` messages in `data`.
    pub(super) added_parses: HashSet<usize>,
    /// Names of the statements that the batch prepares, in the order of the `Parse` messages in `data`.
    pub(super) prepared: Vec<String>,
    /// Settings that the entry answers itself; when there are any, nothing is sent to the upstream.
    pub(super) settings: Vec<SettingStatement>,
}

/// Builds a plan from the messages of a batch.
struct Planner<'a> {
    plan: Plan,
    messages: BytesMut,
    /// Number of `Parse` messages in `messages`, including those that the entry added.
    parse_count: usize,
    /// Number of statements whose effects were added.
    statement_count: usize,
    on_upstream: &'a HashSet<String>,
}

/// Plans a simple query.
pub(super) fn simple(classifier: &Classifier, frame: &Frame) -> Result<Plan, Refusal> {
    let Some(ClientMessage::Query { text }) = ClientMessage::parse(frame) else {
        return Err(Refusal::not_run(RefusalKind::Protocol));
    };
    let on_upstream = HashSet::new();
    let mut planner = Planner::new(&on_upstream);
    planner.add_statement(&classifier.classify(text))?;
    planner.plan.executes = true;
    planner.messages.extend_from_slice(frame.raw());
    Ok(planner.finish())
}

/// Plans a batch of the extended protocol; `on_upstream` has the names of the statements that are prepared on the
/// upstream connection.
pub(super) fn extended(
    classifier: &Classifier,
    statements: &mut Statements,
    on_upstream: &HashSet<String>,
    frames: &[Frame],
) -> Result<Plan, Refusal> {
    let mut planner = Planner::new(on_upstream);
    for frame in frames {
        let message = ClientMessage::parse(frame);
        match message.ok_or_else(|| Refusal::not_run(RefusalKind::Protocol))? {
            ClientMessage::Parse { name, text } => {
                let classification = classifier.classify(text);
                planner.add_statement(&classification)?;
                statements.insert(name, frame, classification)?;
                planner.record_parse(name);
            }
            ClientMessage::Bind { statement } => planner.use_statement(statements, statement)?,
            ClientMessage::DescribeStatement { name } => planner.use_statement(statements, name)?,
            ClientMessage::CloseStatement { name } => statements.remove(name),
            ClientMessage::Execute => planner.plan.executes = true,
            _ => {}
        }
        planner.messages.extend_from_slice(frame.raw());
    }
    planner.messages.extend_from_slice(SYNC);
    Ok(planner.finish())
}

impl<'a> Planner<'a> {
    fn new(on_upstream: &'a HashSet<String>) -> Self {
        let plan = Plan {
            data: Bytes::new(),
            effect: Effect::Nothing,
            transaction_effect: TransactionEffect::Unchanged,
            tables: Vec::new(),
            tables_known: true,
            executes: false,
            request_id: None,
            added_parses: HashSet::new(),
            prepared: Vec::new(),
            settings: Vec::new(),
        };
        Self { plan, messages: BytesMut::new(), parse_count: 0, statement_count: 0, on_upstream }
    }

    /// Adds the effects of a statement.
    fn add_statement(&mut self, classification: &Classification) -> Result<(), Refusal> {
        if let Some(feature) = classification.unsupported {
            return Err(Refusal::not_run(RefusalKind::Unsupported).detail(feature));
        }
        self.statement_count += 1;
        self.plan.settings.extend(classification.setting.clone());
        let mixed =
            !self.plan.settings.is_empty() && self.plan.settings.len() != self.statement_count;
        if mixed {
            return Err(Refusal::not_run(RefusalKind::Unsupported)
                .detail("settings of hibiscus together with other statements"));
        }
        self.plan.effect = self.plan.effect.max(classification.effect);
        self.plan.tables_known &= classification.tables_known || classification.setting.is_some();
        for table in &classification.tables {
            if !self.plan.tables.contains(table) {
                self.plan.tables.push(Arc::clone(table));
            }
        }
        if self.plan.request_id.is_none() {
            self.plan.request_id.clone_from(&classification.request_id);
        }
        self.plan.transaction_effect = combine_transaction_effects(
            self.plan.transaction_effect,
            classification.transaction_effect,
        );
        Ok(())
    }

    fn record_parse(&mut self, name: &str) {
        self.parse_count += 1;
        self.plan.prepared.push(name.to_owned());
    }

    /// Adds the effects of a prepared statement, and its `Parse` message when it is not prepared on the upstream
    /// connection.
    fn use_statement(&mut self, statements: &Statements, name: &str) -> Result<(), Refusal> {
        // The upstream answers with the error for a name that is not prepared.
        let Some(statement) = statements.by_name.get(name) else { return Ok(()) };
        if self.plan.prepared.iter().any(|prepared| prepared == name) {
            return Ok(());
        }
        self.add_statement(&statement.classification)?;
        if !self.on_upstream.contains(name) {
            self.messages.extend_from_slice(&statement.parse);
            self.plan.added_parses.insert(self.parse_count);
            self.record_parse(name);
        }
        Ok(())
    }

    fn finish(mut self) -> Plan {
        self.plan.data = self.messages.freeze();
        self.plan
    }
}

impl Statements {
    /// Creates a client without prepared statements; those that it prepares are charged to `charge`. One batch of
    /// `batch_bytes` fits in any case.
    pub(super) fn new(charge: Charge, batch_bytes: usize) -> Self {
        let max_bytes = MAX_STATEMENT_BYTES.max(batch_bytes);
        Self { by_name: HashMap::new(), bytes: 0, max_bytes, charge }
    }

    /// Classification of the prepared statement `name`; `None` when there is no such statement.
    pub(super) fn get(&self, name: &str) -> Option<&Classification> {
        self.by_name.get(name).map(|statement| &*statement.classification)
    }

    fn insert(
        &mut self,
        name: &str,
        frame: &Frame,
        classification: Arc<Classification>,
    ) -> Result<(), Refusal> {
        if self.by_name.len() >= MAX_STATEMENTS && !self.by_name.contains_key(name) {
            return Err(Refusal::not_run(RefusalKind::Unsupported)
                .detail(format!("more than {MAX_STATEMENTS} prepared statements")));
        }
        let replaced = self.by_name.get(name).map_or(0, |statement| statement.parse.len());
        let bytes = self.bytes - replaced + frame.size();
        if bytes > self.max_bytes || !self.charge.resize(bytes * STATEMENT_COPIES) {
            return Err(Refusal::not_run(RefusalKind::Unsupported)
                .detail("prepared statements that are too large together; close some"));
        }
        self.bytes = bytes;
        // A part of the receive buffer would keep the whole buffer.
        let parse = Bytes::copy_from_slice(frame.raw());
        self.by_name.insert(name.to_owned(), Statement { parse, classification });
        Ok(())
    }

    fn remove(&mut self, name: &str) {
        if let Some(removed) = self.by_name.remove(name) {
            self.bytes -= removed.parse.len();
            self.charge.resize(self.bytes * STATEMENT_COPIES);
        }
    }
}

/// Combines the effects of two consecutive statement texts; `Begin` has precedence, as the transaction may stay open.
const fn combine_transaction_effects(
    first: TransactionEffect,
    second: TransactionEffect,
) -> TransactionEffect {
    match (first, second) {
        (TransactionEffect::Begin, _) | (_, TransactionEffect::Begin) => TransactionEffect::Begin,
        (transaction_effect, TransactionEffect::Unchanged) => transaction_effect,
        (_, transaction_effect) => transaction_effect,
    }
}
