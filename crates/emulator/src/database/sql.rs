//! Splits query texts into statements and translates them to SQLite's dialect.

use std::{sync::Arc, time::Duration};

use sqlparser::{
    dialect::PostgreSqlDialect,
    tokenizer::{Token, Tokenizer},
};

use super::{
    control::Call,
    error::SqlError,
    value::{BIGSERIAL_TYPE, PgType},
};

/// Kind of a statement, as far as sessions distinguish them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StatementKind {
    Begin,
    Commit,
    Rollback,
    Savepoint(String),
    RollbackTo(String),
    Release(String),
    Set,
    Show(String),
    Discard,
    /// Removes the named prepared statement, or all when no name is given.
    Deallocate(Option<String>),
    Control(Call),
    /// Reads or writes data.
    Data {
        write: bool,
        tag: CommandTag,
    },
    Unsupported(String),
}

/// Command tag, which confirms to the client that a data statement has completed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CommandTag {
    Select,
    Insert,
    Update,
    Delete,
    Other(String),
}

impl CommandTag {
    /// Text of the tag for a number of rows returned or changed.
    pub(crate) fn text(&self, returned: usize, changed: u64) -> String {
        match self {
            Self::Select => format!("SELECT {returned}"),
            Self::Insert => format!("INSERT 0 {changed}"),
            Self::Update => format!("UPDATE {changed}"),
            Self::Delete => format!("DELETE {changed}"),
            Self::Other(tag) => tag.clone(),
        }
    }
}

/// One statement of a client.
#[derive(Debug, Clone)]
pub(crate) struct Statement {
    /// Text for SQLite.
    pub(crate) text: Arc<str>,
    /// Tokens of the client's text without white space.
    pub(crate) tokens: Vec<Token>,
    pub(crate) kind: StatementKind,
    /// Duration in the first call of `pg_sleep` with a literal number; `None` without such a call.
    pub(crate) sleep: Option<Duration>,
}

impl Statement {
    /// Whether the statement has no clause that could make it slow on tables of the size that tests use.
    pub(crate) fn is_short(&self) -> bool {
        const SLOW_KEYWORDS: [&str; 3] = ["recursive", "join", "union"];
        !self.tokens.iter().any(|token| SLOW_KEYWORDS.iter().any(|keyword| is_word(token, keyword)))
    }
}

/// Splits a text into statements.
pub(crate) fn parse(text: &str) -> Result<Vec<Statement>, SqlError> {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, text)
        .with_unescape(false)
        .tokenize()
        .map_err(|error| SqlError::new("42601", format!("syntax error: {error}")))?;
    let significant: Vec<Token> =
        tokens.into_iter().filter(|token| !matches!(token, Token::Whitespace(_))).collect();
    significant
        .split(|token| *token == Token::SemiColon)
        .filter(|tokens| !tokens.is_empty())
        .map(parse_statement)
        .collect()
}

/// The word in lower case, when the token is an unquoted word.
pub(crate) fn word(token: &Token) -> Option<String> {
    match token {
        Token::Word(word) if word.quote_style.is_none() => Some(word.value.to_ascii_lowercase()),
        _ => None,
    }
}

/// The identifier in a token: the text of a quoted word, or an unquoted word in lower case.
pub(crate) fn name(token: &Token) -> Option<String> {
    match token {
        Token::Word(word) if word.quote_style.is_some() => Some(word.value.clone()),
        other => word(other),
    }
}

/// Whether the token is the unquoted word `expected`, in any case.
pub(crate) fn is_word(token: &Token, expected: &str) -> bool {
    matches!(token, Token::Word(word)
        if word.quote_style.is_none() && word.value.eq_ignore_ascii_case(expected))
}

fn parse_statement(tokens: &[Token]) -> Result<Statement, SqlError> {
    let kind = parse_kind(tokens)?;
    Ok(Statement {
        text: Arc::from(translate(tokens)),
        kind,
        sleep: sleep_time(tokens),
        tokens: tokens.to_vec(),
    })
}

fn parse_kind(tokens: &[Token]) -> Result<StatementKind, SqlError> {
    let words: Vec<String> =
        tokens.iter().take(4).map(|token| word(token).unwrap_or_default()).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let last_name = || tokens.last().and_then(name).unwrap_or_default();
    Ok(match words.as_slice() {
        ["begin", ..] | ["start", "transaction", ..] => StatementKind::Begin,
        ["rollback", "to", ..] | ["rollback", _, "to", ..] => {
            StatementKind::RollbackTo(last_name())
        }
        ["commit" | "end", ..] => StatementKind::Commit,
        ["rollback" | "abort", ..] => StatementKind::Rollback,
        ["savepoint", ..] => StatementKind::Savepoint(last_name()),
        ["release", ..] => StatementKind::Release(last_name()),
        ["set" | "reset", ..] => StatementKind::Set,
        ["show", ..] => StatementKind::Show(last_name()),
        ["discard", ..] => StatementKind::Discard,
        ["deallocate", ..] => {
            StatementKind::Deallocate(Some(last_name()).filter(|name| name != "all"))
        }
        [
            "listen" | "notify" | "unlisten" | "copy" | "lock" | "declare" | "fetch" | "prepare"
            | "execute",
            ..,
        ] => StatementKind::Unsupported(words[0].to_ascii_uppercase()),
        ["vacuum" | "pragma" | "attach" | "detach", ..] => {
            return Err(SqlError::new(
                "42601",
                format!("syntax error at or near \"{}\"", words[0]),
            ));
        }
        ["select", ..] => match Call::parse(tokens)? {
            Some(call) => StatementKind::Control(call),
            None => StatementKind::Data { write: locks_rows(tokens), tag: CommandTag::Select },
        },
        ["values" | "table" | "explain", ..] => {
            StatementKind::Data { write: false, tag: CommandTag::Select }
        }
        ["insert", ..] => StatementKind::Data { write: true, tag: CommandTag::Insert },
        ["update", ..] => StatementKind::Data { write: true, tag: CommandTag::Update },
        ["delete", ..] => StatementKind::Data { write: true, tag: CommandTag::Delete },
        ["with", ..] => parse_with_kind(tokens),
        [first, second, ..] => {
            let tag = format!("{first} {second}").to_ascii_uppercase();
            StatementKind::Data { write: true, tag: CommandTag::Other(tag) }
        }
        _ => StatementKind::Data {
            write: true,
            tag: CommandTag::Other(words[0].to_ascii_uppercase()),
        },
    })
}

/// Kind of a `WITH` statement, by the command that follows the common table expressions.
fn parse_with_kind(tokens: &[Token]) -> StatementKind {
    let tag = at_depth_zero(tokens).find_map(|token| match word(token)?.as_str() {
        "insert" => Some(CommandTag::Insert),
        "update" => Some(CommandTag::Update),
        "delete" => Some(CommandTag::Delete),
        "select" => Some(CommandTag::Select),
        _ => None,
    });
    let tag = tag.unwrap_or(CommandTag::Select);
    StatementKind::Data { write: tag != CommandTag::Select, tag }
}

/// Tokens outside of all parentheses.
pub(crate) fn at_depth_zero(tokens: &[Token]) -> impl Iterator<Item = &Token> {
    let mut depth = 0usize;
    tokens.iter().filter(move |token| {
        match token {
            Token::LParen => depth += 1,
            Token::RParen => depth = depth.saturating_sub(1),
            _ => {}
        }
        depth == 0
    })
}

fn locks_rows(tokens: &[Token]) -> bool {
    row_lock_start(tokens).is_some()
}

/// Index of a row-locking clause such as `FOR UPDATE` or `FOR SHARE`, which SQLite does not support.
fn row_lock_start(tokens: &[Token]) -> Option<usize> {
    tokens.windows(2).position(|pair| {
        is_word(&pair[0], "for")
            && ["update", "share", "no", "key"].iter().any(|clause| is_word(&pair[1], clause))
    })
}

fn sleep_time(tokens: &[Token]) -> Option<Duration> {
    tokens.windows(3).find_map(|window| match window {
        [function, Token::LParen, Token::Number(seconds, _)] if is_word(function, "pg_sleep") => {
            Duration::try_from_secs_f64(seconds.parse().ok()?).ok()
        }
        _ => None,
    })
}

/// Type that the name at the start of `tokens` denotes, and the number of tokens of the name.
pub(crate) fn type_name(tokens: &[Token]) -> Option<(PgType, usize)> {
    let first = word(tokens.first()?)?;
    let mut len = 1;
    let second = tokens.get(1).and_then(word);
    if matches!(
        (first.as_str(), second.as_deref()),
        ("double", Some("precision")) | ("character", Some("varying"))
    ) {
        len += 1;
    }
    if tokens.get(len) == Some(&Token::LParen) {
        let close = tokens[len..].iter().position(|token| *token == Token::RParen)?;
        len += close + 1;
    }
    Some((PgType::from_name(&first), len))
}

fn translate(tokens: &[Token]) -> String {
    let tokens = row_lock_start(tokens).map_or(tokens, |start| &tokens[..start]);
    let mut parts: Vec<String> = Vec::with_capacity(tokens.len());
    let mut index = 0;
    while index < tokens.len() {
        index += translate_token(&tokens[index..], &mut parts);
    }
    parts.join(" ")
}

/// Translates the first tokens of `rest` and returns the number of tokens consumed.
fn translate_token(rest: &[Token], parts: &mut Vec<String>) -> usize {
    if rest[0] == Token::DoubleColon
        && let Some((pg_type, len)) = type_name(&rest[1..])
    {
        cast_last(parts, pg_type);
        return len + 1;
    }
    let Some(word) = word(&rest[0]) else {
        parts.push(translate_literal(&rest[0]));
        return 1;
    };
    match word.as_str() {
        "serial" => parts.push("INTEGER".to_owned()),
        "bigserial" => parts.push(BIGSERIAL_TYPE.to_owned()),
        "ilike" => parts.push("LIKE".to_owned()),
        "current_timestamp" => parts.push("now ( )".to_owned()),
        "default" if rest.len() > 3 && rest[2] == Token::LParen && rest[3] == Token::RParen => {
            parts.push(format!("DEFAULT ( {} ( ) )", rest[1]));
            return 4;
        }
        "default" if rest.len() > 1 && is_word(&rest[1], "current_timestamp") => {
            parts.push("DEFAULT ( now ( ) )".to_owned());
            return 2;
        }
        _ => parts.push(rest[0].to_string()),
    }
    1
}

fn translate_literal(token: &Token) -> String {
    match token {
        // The tokenizer keeps the escapes; only doubled backslashes are common in bytea literals.
        Token::EscapedStringLiteral(text) => format!("'{}'", text.replace("\\\\", "\\")),
        Token::DollarQuotedString(text) => format!("'{}'", text.value.replace('\'', "''")),
        other => other.to_string(),
    }
}

/// Applies a cast to the last part if that is a complete operand.
fn cast_last(parts: &mut [String], pg_type: PgType) {
    let qualified = parts.len() > 1 && parts[parts.len() - 2] == ".";
    let Some(last) = parts.last_mut() else { return };
    // SQLite numbers parameters itself and they are bound with their type, so only other operands need a cast.
    if !qualified && last != ")" && !last.starts_with('$') {
        *last = format!("CAST({last} AS {})", pg_type.sqlite_name());
    }
}
