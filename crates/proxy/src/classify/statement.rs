//! Parses a statement text with `sqlparser` and derives its classification.

use std::{ops::ControlFlow, sync::Arc};

use sqlparser::{
    ast::{
        ContextModifier, Expr, ObjectName, Query, Select, Set, SetExpr, Statement, TableFactor,
        TransactionAccessMode, TransactionMode, Visit, Visitor,
    },
    dialect::PostgreSqlDialect,
    parser::Parser,
};

use super::{Classification, Effect, SettingStatement, TransactionEffect, function};

/// Table in which homes record request ids.
const RECORD_TABLE: &str = "hl_requests";
/// Prefix, within a comment, of the request id.
const REQUEST_ID_COMMENT: &str = "hibiscus.request_id=";
/// Longest request id, in bytes.
pub(crate) const MAX_REQUEST_ID_BYTES: usize = 200;
/// Longest text that is parsed, in bytes, which limits the time for parsing; longer ones count as writes.
const MAX_PARSED_BYTES: usize = 256 * 1024;
/// Largest depth of nesting that is parsed; texts with deeper nesting count as writes.
const MAX_DEPTH: usize = 64;

/// Classifies `text` without using the cache.
pub fn classify(text: &str) -> Classification {
    if let Some(setting) = setting_statement(text) {
        return Classification {
            effect: Effect::Nothing,
            transaction_effect: TransactionEffect::Unchanged,
            setting: Some(setting),
            ..Classification::unparsed()
        };
    }
    let mut classification = match parse(text) {
        Some(statements) => classify_statements(&statements),
        None => classify_unparsed(text),
    };
    classification.request_id = comment_request_id(text);
    classification
}

fn parse(text: &str) -> Option<Vec<Statement>> {
    if text.len() > MAX_PARSED_BYTES {
        return None;
    }
    let parser = Parser::new(&PostgreSqlDialect {}).with_recursion_limit(MAX_DEPTH);
    parser.try_with_sql(text).ok()?.parse_statements().ok()
}

fn classify_unparsed(text: &str) -> Classification {
    let mut classification = Classification::unparsed();
    classification.unsupported =
        function::forbidden_feature_in(text).or_else(|| unsupported_keyword(text));
    classification
}

/// The unsupported feature of a text that cannot be parsed, recognised by the table of request ids or by the first word
/// of a statement.
fn unsupported_keyword(text: &str) -> Option<&'static str> {
    let lower = text.to_ascii_lowercase();
    if lower.contains(RECORD_TABLE) {
        return Some("access to the record of request ids");
    }
    lower.split(';').find_map(|part| match part.split_whitespace().next()? {
        "listen" | "unlisten" | "notify" => Some("LISTEN and NOTIFY"),
        "copy" => Some("COPY"),
        "set" | "reset" => Some("session settings"),
        "lock" => Some("LOCK"),
        "prepare" | "execute" | "deallocate" => Some("PREPARE and EXECUTE as statements"),
        "discard" => Some("DISCARD"),
        _ => None,
    })
}

fn classify_statements(statements: &[Statement]) -> Classification {
    let mut reader = StatementReader::default();
    for statement in statements {
        let _ = statement.visit(&mut reader);
        reader.add_top_level(statement);
    }
    Classification {
        effect: reader.effect.unwrap_or(Effect::Nothing),
        transaction_effect: reader.transaction_effect.unwrap_or(TransactionEffect::Unchanged),
        tables: reader.tables,
        tables_known: true,
        setting: None,
        unsupported: reader.unsupported,
        request_id: None,
    }
}

/// Visitor that collects tables, effects and unsupported features of statements.
#[derive(Default)]
struct StatementReader {
    effect: Option<Effect>,
    transaction_effect: Option<TransactionEffect>,
    tables: Vec<Arc<str>>,
    unsupported: Option<&'static str>,
}

impl StatementReader {
    fn add_effect(&mut self, effect: Effect) {
        self.effect = self.effect.max(Some(effect));
    }

    fn set_unsupported(&mut self, feature: &'static str) {
        self.unsupported = self.unsupported.or(Some(feature));
    }

    /// Adds the effects of the statement itself, without those of its parts.
    fn add_top_level(&mut self, statement: &Statement) {
        match statement {
            Statement::Query(_) => self.add_effect(Effect::Read),
            Statement::Explain { analyze: false, .. } => self.add_effect(Effect::Read),
            Statement::ShowVariable { .. } => self.add_effect(Effect::Read),
            Statement::StartTransaction { modes, statements, .. } => {
                if !statements.is_empty() {
                    self.set_unsupported("blocks of statements");
                }
                self.start_transaction(modes);
            }
            Statement::Commit { chain, .. } => {
                self.end_transaction(TransactionEffect::Commit, *chain)
            }
            Statement::Rollback { chain, savepoint, .. } => {
                if savepoint.is_some() {
                    self.add_effect(Effect::Read);
                } else {
                    self.end_transaction(TransactionEffect::Rollback, *chain);
                }
            }
            Statement::Savepoint { .. } | Statement::ReleaseSavepoint { .. } => {
                self.add_effect(Effect::Read);
            }
            _ => self.add_effect(Effect::Write),
        }
        if let Some(feature) = unsupported_statement(statement) {
            self.set_unsupported(feature);
        }
    }

    fn start_transaction(&mut self, modes: &[TransactionMode]) {
        let read_only =
            modes.contains(&TransactionMode::AccessMode(TransactionAccessMode::ReadOnly));
        self.add_effect(if read_only { Effect::Read } else { Effect::Write });
        self.transaction_effect = Some(TransactionEffect::Begin);
    }

    fn end_transaction(&mut self, transaction_effect: TransactionEffect, chain: bool) {
        if chain {
            self.set_unsupported("AND CHAIN");
        }
        self.add_effect(Effect::Read);
        // A text that both starts and ends transactions may leave one open.
        self.transaction_effect =
            Some(if self.transaction_effect == Some(TransactionEffect::Begin) {
                TransactionEffect::Begin
            } else {
                transaction_effect
            });
    }

    fn add_function(&mut self, name: &ObjectName) {
        let Some(name) = unqualified_name(name) else {
            return;
        };
        if let Some(feature) = function::forbidden_feature(&name) {
            self.set_unsupported(feature);
        }
        if !function::is_read(&name) {
            self.add_effect(Effect::Write);
        }
    }
}

impl Visitor for StatementReader {
    type Break = ();

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        if let Some(name) = unqualified_name(relation) {
            if &*name == RECORD_TABLE {
                self.set_unsupported("access to the record of request ids");
            }
            if !self.tables.contains(&name) {
                self.tables.push(name);
            }
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table { name, args: Some(_), .. } => self.add_function(name),
            TableFactor::Function { name, .. } => self.add_function(name),
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        if let Expr::Function(function) = expr {
            self.add_function(&function.name);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if !query.locks.is_empty() || is_write(&query.body) {
            self.add_effect(Effect::Write);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        if select.into.is_some() {
            self.add_effect(Effect::Write);
        }
        ControlFlow::Continue(())
    }
}

/// Whether the body of a query, such as that in a WITH clause, modifies data.
fn is_write(body: &SetExpr) -> bool {
    matches!(body, SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_))
}

/// The feature of a statement that transaction pooling does not support.
fn unsupported_statement(statement: &Statement) -> Option<&'static str> {
    match statement {
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } | Statement::NOTIFY { .. } => {
            Some("LISTEN and NOTIFY")
        }
        Statement::Copy { .. } => Some("COPY"),
        Statement::Lock(_) | Statement::LockTables { .. } => Some("LOCK"),
        Statement::Prepare { .. } | Statement::Execute { .. } | Statement::Deallocate { .. } => {
            Some("PREPARE and EXECUTE as statements")
        }
        Statement::Declare { .. } | Statement::Fetch { .. } => Some("cursors"),
        Statement::Discard { .. } => Some("DISCARD"),
        Statement::Reset(_) => Some("session settings"),
        Statement::CreateTable(table) if table.temporary => Some("temporary tables"),
        Statement::CreateView(view) if view.temporary => Some("temporary views"),
        Statement::CreateSequence { temporary: true, .. } => Some("temporary sequences"),
        Statement::Set(set) => unsupported_set(set),
        _ => None,
    }
}

fn unsupported_set(set: &Set) -> Option<&'static str> {
    match set {
        Set::SingleAssignment { scope: Some(ContextModifier::Local), .. }
        | Set::SetTimeZone { local: true, .. }
        | Set::SetTransaction { session: false, .. }
        | Set::SetRole { context_modifier: Some(ContextModifier::Local), .. } => None,
        _ => Some("session settings"),
    }
}

/// Name without schema, in lower case; `None` when its last part is not an identifier.
fn unqualified_name(name: &ObjectName) -> Option<Arc<str>> {
    let ident = name.0.last()?.as_ident()?;
    Some(Arc::from(ident.value.to_ascii_lowercase()))
}

/// Parses `SET hibiscus.… = '…'` and `SHOW hibiscus.…`; `None` for any other text.
fn setting_statement(text: &str) -> Option<SettingStatement> {
    let text = text.trim().trim_end_matches(';').trim_end();
    let (verb, rest) = text.split_once(char::is_whitespace)?;
    let rest = rest.trim_start();
    if verb.eq_ignore_ascii_case("show") {
        return match rest.to_ascii_lowercase().as_str() {
            "hibiscus.position" => Some(SettingStatement::ShowPosition),
            "hibiscus.request_id" => Some(SettingStatement::ShowRequestId),
            _ => None,
        };
    }
    if !verb.eq_ignore_ascii_case("set") {
        return None;
    }
    let (name, value) = assignment(rest)?;
    match name.to_ascii_lowercase().as_str() {
        "hibiscus.position" => Some(SettingStatement::SetPosition(value)),
        "hibiscus.request_id" => Some(SettingStatement::SetRequestId(value)),
        _ => None,
    }
}

/// Splits `name = 'value'` or `name TO 'value'`; quotes within the value are not accepted.
fn assignment(text: &str) -> Option<(&str, String)> {
    let end = text.find(|c: char| c.is_whitespace() || c == '=')?;
    let (name, rest) = text.split_at(end);
    let rest = rest.trim_start();
    let value = match rest.strip_prefix('=') {
        Some(value) => value,
        None => rest.get(..2).filter(|word| word.eq_ignore_ascii_case("to")).map(|_| &rest[2..])?,
    };
    let value = value.trim().strip_prefix('\'')?.strip_suffix('\'')?;
    if value.contains('\'') { None } else { Some((name, value.to_owned())) }
}

/// Parses a comment `/* hibiscus.request_id='…' */` at the start of a text.
fn comment_request_id(text: &str) -> Option<Arc<str>> {
    let comment = text.trim_start().strip_prefix("/*")?;
    let (comment, _) = comment.split_once("*/")?;
    let value = comment.trim().strip_prefix(REQUEST_ID_COMMENT)?;
    let value = value.strip_prefix('\'')?.strip_suffix('\'')?;
    let fits = !value.is_empty() && value.len() <= MAX_REQUEST_ID_BYTES && !value.contains('\'');
    fits.then(|| Arc::from(value))
}
