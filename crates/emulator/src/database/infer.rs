//! Infers the PostgreSQL types of parameters and result columns, which SQLite does not provide.

use rusqlite::{Connection, OptionalExtension};
use sqlparser::tokenizer::Token;

use super::{
    sql::{self, Statement, is_word, name, word},
    value::{BIGSERIAL_TYPE, PgType},
};

/// A result column.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Column {
    pub(crate) name: String,
    pub(crate) pg_type: PgType,
}

impl Column {
    pub(crate) fn new(name: &str, pg_type: PgType) -> Self {
        Self { name: name.to_owned(), pg_type }
    }
}

/// Types of the parameters and result columns of a statement.
#[derive(Debug, Clone, Default)]
pub(crate) struct StatementTypes {
    pub(crate) params: Vec<PgType>,
    pub(crate) columns: Vec<Column>,
}

/// Types of the parameters; `oids` has the type ids that the client specified, 0 where it left the type open.
pub(crate) fn param_types(conn: &Connection, sql: &Statement, oids: &[u32]) -> Vec<PgType> {
    let tables = Tables::new(conn, &sql.tokens);
    let numbers = sql.tokens.iter().filter_map(placeholder);
    let count = numbers.max().unwrap_or(0).max(oids.len());
    let client_oid = |index: usize| oids.get(index).copied().filter(|oid| *oid != 0);
    (0..count)
        .map(|index| match client_oid(index) {
            Some(oid) => PgType::from_oid(oid),
            None => param_type(&tables, &sql.tokens, index + 1).unwrap_or(PgType::Text),
        })
        .collect()
}

/// Types of the result columns of a prepared statement.
pub(crate) fn result_columns(
    conn: &Connection,
    sql: &Statement,
    prepared: &rusqlite::Statement<'_>,
    params: &[PgType],
) -> Vec<Column> {
    let tables = Tables::new(conn, &sql.tokens);
    let items = select_items(&sql.tokens);
    let items = Some(items).filter(|items| items.len() == prepared.column_count());
    let columns = prepared.columns();
    columns
        .enumerate()
        .map(|(index, column)| {
            let item = items.as_ref().map(|items| strip_alias(items[index]));
            // The declared type `INTEGER` does not distinguish a `BIGSERIAL` column from 32-bit ones.
            let declared = column.decl_type().filter(|name| *name != "INTEGER");
            let pg_type = declared
                .map(PgType::from_name)
                .or_else(|| item.and_then(|item| expression_type(&tables, item, params)))
                .or_else(|| tables.column_type(column.name()))
                .or_else(|| column.decl_type().map(PgType::from_name))
                .unwrap_or(PgType::Text);
            Column::new(&column_name(column.name(), item), pg_type)
        })
        .collect()
}

/// Column name as in PostgreSQL: the function name for a call, `?column?` for other expressions.
fn column_name(name: &str, item: Option<&[Token]>) -> String {
    let plain = name.chars().all(|c| c.is_alphanumeric() || c == '_');
    if plain && !name.starts_with(|c: char| c.is_ascii_digit()) {
        return name.to_owned();
    }
    match item {
        Some([function, Token::LParen, ..]) => word(function).unwrap_or_else(|| name.to_owned()),
        _ => "?column?".to_owned(),
    }
}

/// Number of a placeholder such as `$2`.
pub(crate) fn placeholder(token: &Token) -> Option<usize> {
    match token {
        Token::Placeholder(text) => text.strip_prefix('$')?.parse().ok(),
        _ => None,
    }
}

/// The tables that a statement refers to.
struct Tables<'a> {
    conn: &'a Connection,
    names: Vec<String>,
}

impl<'a> Tables<'a> {
    fn new(conn: &'a Connection, tokens: &[Token]) -> Self {
        let named = tokens.windows(2).filter(|pair| {
            ["from", "join", "into", "update"].iter().any(|keyword| is_word(&pair[0], keyword))
        });
        Self { conn, names: named.filter_map(|pair| name(&pair[1])).collect() }
    }

    /// Type of the first column named `column` in these tables.
    fn column_type(&self, column: &str) -> Option<PgType> {
        self.names.iter().find_map(|table| {
            let query = "SELECT type, EXISTS (SELECT 1 FROM sqlite_master WHERE name = ?1 COLLATE NOCASE \
                         AND sql LIKE '% ' || ?2 || ' ' || ?3 || ' %') \
                         FROM pragma_table_info(?1) WHERE name = ?2 COLLATE NOCASE";
            let mut statement = self.conn.prepare_cached(query).ok()?;
            let found = statement.query_row([table.as_str(), column, BIGSERIAL_TYPE], |row| {
                let declared: String = row.get(0)?;
                Ok(if row.get(1)? { PgType::Int8 } else { PgType::from_name(&declared) })
            });
            found.optional().ok()?
        })
    }

    /// Name of the column at `index` of the first table, which is the one that an `INSERT` writes.
    fn column_name_at(&self, index: usize) -> Option<String> {
        let query = "SELECT name FROM pragma_table_info(?1) WHERE cid = ?2";
        let mut statement = self.conn.prepare_cached(query).ok()?;
        let table = self.names.first()?;
        let index = i64::try_from(index).ok()?;
        statement.query_row((table.as_str(), index), |row| row.get(0)).optional().ok()?
    }
}

/// Type of the parameter `number`, inferred from the tokens around one of its occurrences.
fn param_type(tables: &Tables<'_>, tokens: &[Token], number: usize) -> Option<PgType> {
    let mut occurrences = (0..tokens.len()).filter(|at| placeholder(&tokens[*at]) == Some(number));
    occurrences.find_map(|at| param_type_at(tables, tokens, at))
}

fn param_type_at(tables: &Tables<'_>, tokens: &[Token], at: usize) -> Option<PgType> {
    let before = |count: usize| at.checked_sub(count).map(|index| &tokens[index]);
    if tokens.get(at + 1) == Some(&Token::DoubleColon) {
        return sql::type_name(&tokens[at + 2..]).map(|(pg_type, _)| pg_type);
    }
    if tokens.get(at + 1).is_some_and(|token| is_word(token, "as"))
        && before(2).is_some_and(|token| is_word(token, "cast"))
    {
        return sql::type_name(&tokens[at + 2..]).map(|(pg_type, _)| pg_type);
    }
    if before(1).is_some_and(|token| is_word(token, "limit") || is_word(token, "offset")) {
        return Some(PgType::Int8);
    }
    let left = before(1).filter(|token| is_operator(token)).and(before(2));
    let left = left.and_then(name).and_then(|column| tables.column_type(&column));
    let right = || {
        tokens.get(at + 1).filter(|token| is_operator(token))?;
        tables.column_type(&name(tokens.get(at + 2)?)?)
    };
    left.or_else(right)
        .or_else(|| values_column_type(tables, tokens, at))
        .or_else(|| list_column_type(tables, tokens, at))
}

fn is_operator(token: &Token) -> bool {
    matches!(
        token,
        Token::Eq
            | Token::Neq
            | Token::Lt
            | Token::Gt
            | Token::LtEq
            | Token::GtEq
            | Token::Plus
            | Token::Minus
            | Token::Mul
            | Token::Div
            | Token::StringConcat
    ) || ["like", "ilike", "between"].iter().any(|keyword| is_word(token, keyword))
}

/// Type of the column that a parameter in `INSERT INTO t (…) VALUES (…)` is written to.
fn values_column_type(tables: &Tables<'_>, tokens: &[Token], at: usize) -> Option<PgType> {
    let values = tokens.iter().position(|token| is_word(token, "values"))?;
    if !is_word(tokens.first()?, "insert") || at < values {
        return None;
    }
    let mut depth = 0usize;
    let mut index = 0;
    for token in &tokens[values..at] {
        match token {
            Token::LParen if depth == 0 => {
                depth = 1;
                index = 0;
            }
            Token::LParen => depth += 1,
            Token::RParen => depth = depth.saturating_sub(1),
            Token::Comma if depth == 1 => index += 1,
            _ => {}
        }
    }
    if depth == 0 {
        return None;
    }
    let list_start = tokens[..values].iter().position(|token| *token == Token::LParen);
    let column = match list_start {
        Some(start) => {
            let names = tokens[start + 1..values].iter().filter_map(name);
            names.into_iter().nth(index)?
        }
        None => tables.column_name_at(index)?,
    };
    tables.column_type(&column)
}

/// Type of the column in `column IN (…)` or `column BETWEEN … AND …` that a parameter is compared with.
fn list_column_type(tables: &Tables<'_>, tokens: &[Token], at: usize) -> Option<PgType> {
    let keyword =
        tokens[..at].iter().rposition(|token| is_word(token, "in") || is_word(token, "between"))?;
    let plain = |token: &Token| {
        matches!(token, Token::LParen | Token::Comma | Token::Placeholder(_) | Token::Number(..))
            || is_word(token, "and")
    };
    if !tokens[keyword + 1..at].iter().all(plain) {
        return None;
    }
    let column = tokens[..keyword].iter().rev().find(|token| !is_word(token, "not"))?;
    tables.column_type(&name(column)?)
}

/// The expressions of the select list or of `RETURNING`.
fn select_items(tokens: &[Token]) -> Vec<&[Token]> {
    let returning = tokens.iter().position(|token| is_word(token, "returning"));
    let start = match returning {
        Some(at) => at + 1,
        None if tokens.first().is_some_and(|token| is_word(token, "select")) => 1,
        None => return Vec::new(),
    };
    let start =
        start + usize::from(tokens.get(start).is_some_and(|token| is_word(token, "distinct")));
    let mut items = Vec::new();
    let mut depth = 0usize;
    let mut item_start = start;
    let mut end = tokens.len();
    for (at, token) in tokens.iter().enumerate().skip(start) {
        match token {
            Token::LParen => depth += 1,
            Token::RParen => depth = depth.saturating_sub(1),
            Token::Comma if depth == 0 => {
                items.push(&tokens[item_start..at]);
                item_start = at + 1;
            }
            other if depth == 0 && is_clause(other) => {
                end = at;
                break;
            }
            _ => {}
        }
    }
    items.push(&tokens[item_start..end]);
    items
}

fn is_clause(token: &Token) -> bool {
    ["from", "where", "group", "order", "limit", "union", "for"]
        .iter()
        .any(|word| is_word(token, word))
}

fn strip_alias(item: &[Token]) -> &[Token] {
    match item {
        [expression @ .., keyword, _] if is_word(keyword, "as") => expression,
        other => other,
    }
}

/// Type of an expression, if it can be inferred.
fn expression_type(tables: &Tables<'_>, item: &[Token], params: &[PgType]) -> Option<PgType> {
    if let Some(cast) = item.iter().rposition(|token| *token == Token::DoubleColon) {
        let (pg_type, len) = sql::type_name(&item[cast + 1..])?;
        if cast + 1 + len == item.len() {
            return Some(pg_type);
        }
    }
    let is_case = item.first().is_some_and(|token| is_word(token, "case"));
    if !is_case && sql::at_depth_zero(item).any(is_condition) {
        return Some(PgType::Bool);
    }
    match item {
        [Token::Number(digits, _)] => Some(number_type(digits)),
        [Token::Minus, Token::Number(digits, _)] => Some(number_type(digits)),
        [Token::SingleQuotedString(_)] => Some(PgType::Text),
        [token] if placeholder(token).is_some() => {
            params.get(placeholder(token)?.checked_sub(1)?).copied()
        }
        [function, Token::LParen, args @ .., Token::RParen] => {
            function_type(tables, &word(function)?, args, params)
        }
        [.., column] if item.len() <= 3 && name(column).is_some() => {
            tables.column_type(&name(column)?)
        }
        _ => operand_type(tables, item, params),
    }
}

fn number_type(digits: &str) -> PgType {
    if digits.contains(['.', 'e', 'E']) {
        PgType::Float8
    } else if digits.parse::<i32>().is_ok() {
        PgType::Int4
    } else {
        PgType::Int8
    }
}

fn is_condition(token: &Token) -> bool {
    let comparison =
        matches!(token, Token::Eq | Token::Neq | Token::Lt | Token::Gt | Token::LtEq | Token::GtEq);
    let words = ["exists", "not", "and", "or", "true", "false", "is", "in", "like", "between"];
    comparison || words.iter().any(|keyword| is_word(token, keyword))
}

fn function_type(
    tables: &Tables<'_>,
    function: &str,
    args: &[Token],
    params: &[PgType],
) -> Option<PgType> {
    match function {
        "count" => Some(PgType::Int8),
        "sum" => match expression_type(tables, args, params) {
            Some(PgType::Float4 | PgType::Float8) => Some(PgType::Float8),
            _ => Some(PgType::Int8),
        },
        "avg" | "random" => Some(PgType::Float8),
        "length" | "octet_length" => Some(PgType::Int4),
        "cast" => {
            let keyword = args.iter().rposition(|token| is_word(token, "as"))?;
            sql::type_name(&args[keyword + 1..]).map(|(pg_type, _)| pg_type)
        }
        "min" | "max" | "coalesce" | "abs" | "nullif" => operand_type(tables, args, params),
        _ => None,
    }
}

/// Type of the operands of an expression: that of a column, else a parameter, a function or a number among them.
fn operand_type(tables: &Tables<'_>, item: &[Token], params: &[PgType]) -> Option<PgType> {
    let columns = item.iter().filter_map(name).find_map(|column| tables.column_type(&column));
    let placeholders = || {
        let numbers = item.iter().filter_map(placeholder);
        numbers.filter_map(|number| params.get(number.checked_sub(1)?).copied()).next()
    };
    let numbers = || {
        item.iter().find_map(|token| match token {
            Token::Number(digits, _) => Some(number_type(digits)),
            _ => None,
        })
    };
    let function = || {
        let call = item.windows(2).find(|pair| pair[1] == Token::LParen)?;
        function_type(tables, &word(&call[0])?, &[], params)
    };
    columns.or_else(placeholders).or_else(function).or_else(numbers)
}
