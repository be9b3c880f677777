//! Control functions of a member: status, terms, roles, advisory locks and backends. They use no slot.

use hibiscusladder_core::{name::MemberId, position::Term};
use rusqlite::types::Value;
use sqlparser::tokenizer::Token;

use super::{
    error::SqlError,
    infer::{Column, placeholder},
    log::Role,
    member::Member,
    replication,
    sql::{is_word, word},
    sqlite::Rows,
    value::{PgType, as_integer, as_text},
};

/// Argument of a control function: a literal or the number of a parameter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Arg {
    Literal(String),
    Param(usize),
}

impl Arg {
    fn parse(tokens: &[Token]) -> Option<Self> {
        match tokens {
            [Token::SingleQuotedString(text)] => Some(Self::Literal(text.replace("''", "'"))),
            [Token::Number(digits, _)] => Some(Self::Literal(digits.clone())),
            [Token::Minus, Token::Number(digits, _)] => Some(Self::Literal(format!("-{digits}"))),
            [token, ..] => placeholder(token).map(Self::Param),
            [] => None,
        }
    }

    fn text(&self, params: &[Value]) -> Result<String, SqlError> {
        match self {
            Self::Literal(text) => Ok(text.clone()),
            Self::Param(number) => {
                let value = number.checked_sub(1).and_then(|index| params.get(index));
                value
                    .map(as_text)
                    .ok_or_else(|| SqlError::new("08P01", "a parameter was not bound"))
            }
        }
    }

    fn integer(&self, params: &[Value]) -> Result<i64, SqlError> {
        as_integer(&Value::Text(self.text(params)?))
    }

    fn term(&self, params: &[Value]) -> Result<Term, SqlError> {
        let invalid = |_| SqlError::new("22023", "a term is not negative");
        u64::try_from(self.integer(params)?).map(Term).map_err(invalid)
    }
}

/// Control function that a statement calls. Error messages to clients contain the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Function {
    Status,
    RaiseTerm,
    Promote,
    Follow,
    Position,
    TryLock,
    Unlock,
    Terminate,
    LockHolder,
    Activity,
    BackendPid,
    InRecovery,
}

/// Call of a control function.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Call {
    function: Function,
    args: Vec<Arg>,
}

/// The backend that makes a call, with the position of its last commit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallingBackend {
    pub(crate) pid: i32,
    pub(crate) last_commit: Option<hibiscusladder_core::position::Position>,
}

impl Call {
    /// Parses a call; `None` when the statement calls no control function.
    pub(crate) fn parse(tokens: &[Token]) -> Result<Option<Self>, SqlError> {
        let Some(function) = parse_function(tokens) else { return Ok(None) };
        let args = match function {
            Function::LockHolder | Function::Activity => {
                let equal = tokens.iter().position(|token| *token == Token::Eq);
                equal.and_then(|at| Arg::parse(&tokens[at + 1..])).into_iter().collect()
            }
            _ => parenthesised_args(tokens),
        };
        let call = Self { function, args };
        let min_args = call.param_types().len();
        if call.args.len() < min_args && function != Function::Activity {
            return Err(SqlError::new("42883", format!("{function:?} takes {min_args} arguments")));
        }
        Ok(Some(call))
    }

    /// Types of the parameters, in the order of the arguments.
    pub(crate) const fn param_types(&self) -> &'static [PgType] {
        match self.function {
            Function::Status | Function::Position | Function::BackendPid | Function::InRecovery => {
                &[]
            }
            Function::RaiseTerm | Function::Promote => &[PgType::Int8, PgType::Text],
            Function::Follow => &[PgType::Text, PgType::Int8],
            Function::TryLock | Function::Unlock | Function::LockHolder => &[PgType::Int8],
            Function::Terminate | Function::Activity => &[PgType::Int4],
        }
    }

    /// Types of the parameters by number, `$1` first.
    pub(crate) fn numbered_param_types(&self) -> Vec<PgType> {
        let mut types = Vec::new();
        for (arg, pg_type) in self.args.iter().zip(self.param_types()) {
            if let Arg::Param(number) = arg {
                types.resize((*number).max(types.len()), PgType::Text);
                types[number - 1] = *pg_type;
            }
        }
        types
    }

    /// Columns of the result.
    pub(crate) fn columns(&self) -> Vec<Column> {
        const STATUS_COLUMNS: [&str; 9] = [
            "member",
            "role",
            "term",
            "claimant",
            "promoted_term",
            "position",
            "term_start",
            "term_members",
            "source_silent_ms",
        ];
        match self.function {
            Function::Status => {
                STATUS_COLUMNS.iter().map(|name| Column::new(name, PgType::Text)).collect()
            }
            Function::RaiseTerm => {
                vec![Column::new("term", PgType::Text), Column::new("claimant", PgType::Text)]
            }
            Function::Promote => vec![Column::new("group_promote", PgType::Bool)],
            Function::Follow => vec![Column::new("group_follow", PgType::Bool)],
            Function::Position => vec![Column::new("group_position", PgType::Text)],
            Function::TryLock => vec![Column::new("pg_try_advisory_lock", PgType::Bool)],
            Function::Unlock => vec![Column::new("pg_advisory_unlock", PgType::Bool)],
            Function::Terminate => vec![Column::new("pg_terminate_backend", PgType::Bool)],
            Function::LockHolder => vec![Column::new("pid", PgType::Int4)],
            Function::Activity => {
                vec![Column::new("pid", PgType::Int4), Column::new("state", PgType::Text)]
            }
            Function::BackendPid => vec![Column::new("pg_backend_pid", PgType::Int4)],
            Function::InRecovery => vec![Column::new("pg_is_in_recovery", PgType::Bool)],
        }
    }

    /// Runs the call on `member`.
    pub(crate) fn run(
        &self,
        member: &Member,
        backend: CallingBackend,
        params: &[Value],
    ) -> Result<Rows, SqlError> {
        let rows = self.rows(member, backend, params)?;
        Ok(Rows { columns: self.columns(), rows, changes: 0 })
    }

    fn rows(
        &self,
        member: &Member,
        backend: CallingBackend,
        params: &[Value],
    ) -> Result<Vec<Vec<Value>>, SqlError> {
        let single_value = |value: Value| Ok(vec![vec![value]]);
        match self.function {
            Function::Status => Ok(vec![status(member)]),
            Function::RaiseTerm => {
                let mut log = member.log();
                log.raise_term(self.args[0].term(params)?, &self.args[1].text(params)?);
                Ok(vec![vec![text(log.term), text(log.claimant.as_deref().unwrap_or(""))]])
            }
            Function::Promote => {
                let members = self.args[1].text(params)?;
                let members = members.split(',').map(str::trim).filter(|id| !id.is_empty());
                let members = members.map(MemberId::new).collect();
                member.log().promote(self.args[0].term(params)?, members)?;
                spdlog::info!("emulator: member {} was promoted to primary", member.id());
                single_value(boolean(true))
            }
            Function::Follow => {
                follow(member, &self.args[0].text(params)?, self.args[1].term(params)?)?;
                single_value(boolean(true))
            }
            Function::Position => {
                single_value(text(backend.last_commit.unwrap_or_else(|| member.log().position())))
            }
            Function::TryLock => single_value(boolean(
                member.backends().try_lock(self.args[0].integer(params)?, backend.pid),
            )),
            Function::Unlock => single_value(boolean(
                member.backends().unlock(self.args[0].integer(params)?, backend.pid),
            )),
            Function::Terminate => {
                let pid = i32::try_from(self.args[0].integer(params)?).unwrap_or_default();
                single_value(boolean(member.terminate(pid)))
            }
            Function::LockHolder => {
                let holder = member.backends().lock_holder(self.args[0].integer(params)?);
                Ok(holder.map(|pid| vec![Value::Integer(pid.into())]).into_iter().collect())
            }
            Function::Activity => {
                let pid_filter = self.args.first().map(|arg| arg.integer(params)).transpose()?;
                let backends = member.backends();
                let matching = backends.activity().filter(|(pid, _)| {
                    pid_filter.is_none_or(|pid_filter| pid_filter == i64::from(*pid))
                });
                Ok(matching
                    .map(|(pid, state)| vec![Value::Integer(pid.into()), text(state)])
                    .collect())
            }
            Function::BackendPid => single_value(Value::Integer(backend.pid.into())),
            Function::InRecovery => single_value(boolean(member.log().role != Role::Primary)),
        }
    }
}

fn follow(member: &Member, address: &str, term: Term) -> Result<(), SqlError> {
    let unknown =
        || SqlError::new("22023", format!("no member of the group has the address {address}"));
    let source = member.peer_by_address(address).ok_or_else(unknown)?;
    if source.id() == member.id() {
        return Err(SqlError::new("22023", "a member cannot follow itself"));
    }
    if member.log().follows(source.id(), term) {
        return Ok(());
    }
    member.log().follow(source.id().clone(), term)?;
    // A transaction that wrote under the earlier term can never commit, so its backend is ended.
    member.backends().stop_writers();
    replication::copy_due_entries(member);
    spdlog::info!("emulator: member {} follows {} in term {term}", member.id(), source.id());
    Ok(())
}

fn status(member: &Member) -> Vec<Value> {
    let log = member.log();
    let start = log.term_start();
    let members = start.map(|start| {
        let names: Vec<&str> = start.members.iter().map(MemberId::as_str).collect();
        names.join(",")
    });
    let source_silent_ms = match log.role {
        Role::Replica => log.source_last_reached.elapsed().as_millis(),
        Role::Primary | Role::Fenced => 0,
    };
    vec![
        text(member.id()),
        text(log.role.name()),
        text(log.term),
        text(log.claimant.as_deref().unwrap_or("")),
        text(log.promoted_term.map(|term| term.to_string()).unwrap_or_default()),
        text(log.position()),
        text(start.map(|start| start.position.to_string()).unwrap_or_default()),
        text(members.unwrap_or_default()),
        text(source_silent_ms),
    ]
}

fn text<T>(value: T) -> Value
where
    T: ToString,
{
    Value::Text(value.to_string())
}

const fn boolean(value: bool) -> Value {
    Value::Integer(value as i64)
}

fn parse_function(tokens: &[Token]) -> Option<Function> {
    match tokens {
        [_, Token::Mul, from, name, ..]
            if is_word(from, "from") && is_word(name, "group_status") =>
        {
            Some(Function::Status)
        }
        [_, pid, from, name, ..]
            if is_word(pid, "pid") && is_word(from, "from") && is_word(name, "pg_locks") =>
        {
            Some(Function::LockHolder)
        }
        [_, pid, Token::Comma, state, from, name, ..]
            if is_word(pid, "pid")
                && is_word(state, "state")
                && is_word(from, "from")
                && is_word(name, "pg_stat_activity") =>
        {
            Some(Function::Activity)
        }
        [_, name, Token::LParen, ..] => match word(name)?.as_str() {
            "group_raise_term" => Some(Function::RaiseTerm),
            "group_promote" => Some(Function::Promote),
            "group_follow" => Some(Function::Follow),
            "group_position" => Some(Function::Position),
            "pg_try_advisory_lock" => Some(Function::TryLock),
            "pg_advisory_unlock" => Some(Function::Unlock),
            "pg_terminate_backend" => Some(Function::Terminate),
            "pg_backend_pid" => Some(Function::BackendPid),
            "pg_is_in_recovery" => Some(Function::InRecovery),
            _ => None,
        },
        _ => None,
    }
}

fn parenthesised_args(tokens: &[Token]) -> Vec<Arg> {
    let open = tokens.iter().position(|token| *token == Token::LParen);
    let close = tokens.iter().position(|token| *token == Token::RParen);
    let (Some(open), Some(close)) = (open, close) else { return Vec::new() };
    let args = tokens.get(open + 1..close).unwrap_or_default();
    args.split(|token| *token == Token::Comma).filter_map(Arg::parse).collect()
}
