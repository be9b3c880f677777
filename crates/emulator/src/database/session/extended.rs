//! Handlers for the messages of the extended query protocol.

use std::sync::Arc;

use bytes::Bytes;
use pgwire::messages::{
    PgWireBackendMessage as Message,
    data::{NoData, ParameterDescription},
    extendedquery::{
        Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
        PortalSuspended,
    },
    response::{CommandComplete, EmptyQueryResponse},
};
use rusqlite::types::Value;

use super::{EndReason, Portal, Prepared, Session, format_at};
use crate::database::{
    error::SqlError,
    infer::{Column, StatementTypes},
    sql::{self, Statement, StatementKind},
    sqlite::Sqlite,
    value::{self, PgType},
};

/// Target type in a Close or Describe message that refers to a prepared statement.
const TARGET_STATEMENT: u8 = b'S';

impl Session {
    pub(super) async fn parse(&mut self, parse: Parse) -> Result<Result<(), SqlError>, EndReason> {
        self.begin_statement(&parse.query);
        let prepared = match self.prepare(&parse).await {
            Ok(prepared) => Arc::new(prepared),
            Err(error) => return Ok(Err(error)),
        };
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            let message = format!("prepared statement \"{name}\" already exists");
            return Ok(Err(SqlError::new("42P05", message)));
        }
        self.statements.insert(name, prepared);
        self.wire.push(&Message::ParseComplete(ParseComplete::new()))?;
        Ok(Ok(()))
    }

    async fn prepare(&mut self, parse: &Parse) -> Result<Prepared, SqlError> {
        let mut statements = sql::parse(&parse.query)?;
        if statements.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(SqlError::new("42601", message));
        }
        let Some(statement) = statements.pop().map(Arc::new) else {
            return Ok(Prepared { statement: None, types: StatementTypes::default() });
        };
        let types = match &statement.kind {
            StatementKind::Control(call) => {
                StatementTypes { params: call.numbered_param_types(), columns: call.columns() }
            }
            StatementKind::Show(name) => StatementTypes {
                params: Vec::new(),
                columns: vec![Column::new(name, PgType::Text)],
            },
            StatementKind::Data { .. } => {
                self.describe_data(&statement, parse.type_oids.clone()).await?
            }
            _ => StatementTypes::default(),
        };
        Ok(Prepared { statement: Some(statement), types })
    }

    /// Infers the types of a data statement from the tables as the open transaction sees them.
    async fn describe_data(
        &mut self,
        statement: &Arc<Statement>,
        oids: Vec<u32>,
    ) -> Result<StatementTypes, SqlError> {
        let statement = Arc::clone(statement);
        if let Some(writer) = self.transaction.as_mut().and_then(|tx| tx.writer.take()) {
            let short = statement.is_short();
            let job = move || {
                let types = writer.0.describe(&statement, &oids);
                (writer, types)
            };
            let (writer, types) = self.member.run_job(&self.backend, short, job).await;
            if let Some(transaction) = &mut self.transaction {
                transaction.writer = Some(writer);
            }
            return types;
        }
        let short = statement.is_short();
        let job = move |db: &Sqlite| db.describe(&statement, &oids);
        self.member.run_read(&self.backend, short, job).await
    }

    pub(super) fn bind(&mut self, bind: &Bind) -> Result<Result<(), SqlError>, EndReason> {
        let portal = match self.create_portal(bind) {
            Ok(portal) => portal,
            Err(error) => return Ok(Err(error)),
        };
        self.member.record_params(&portal.params);
        self.portals.insert(bind.portal_name.clone().unwrap_or_default(), portal);
        self.wire.push(&Message::BindComplete(BindComplete::new()))?;
        Ok(Ok(()))
    }

    fn create_portal(&self, bind: &Bind) -> Result<Portal, SqlError> {
        let name = bind.statement_name.as_deref().unwrap_or_default();
        let prepared = self.prepared_statement(name)?;
        let types = &prepared.types.params;
        if types.len() != bind.parameters.len() {
            let message = format!(
                "bind message supplies {} parameters, but prepared statement \"{name}\" requires {}",
                bind.parameters.len(),
                types.len()
            );
            return Err(SqlError::new("08P01", message));
        }
        let formats = &bind.parameter_format_codes;
        let decode = |(index, (bytes, pg_type)): (usize, (&Option<Bytes>, &PgType))| {
            value::decode(bytes.as_deref(), *pg_type, format_at(formats, index))
        };
        let params: Result<Vec<Value>, SqlError> =
            bind.parameters.iter().zip(types).enumerate().map(decode).collect();
        Ok(Portal {
            params: params?,
            formats: bind.result_column_format_codes.clone(),
            outcome: None,
            prepared,
        })
    }

    fn prepared_statement(&self, name: &str) -> Result<Arc<Prepared>, SqlError> {
        let missing =
            || SqlError::new("26000", format!("prepared statement \"{name}\" does not exist"));
        self.statements.get(name).cloned().ok_or_else(missing)
    }

    pub(super) fn describe(
        &mut self,
        describe: &Describe,
    ) -> Result<Result<(), SqlError>, EndReason> {
        let name = describe.name.as_deref().unwrap_or_default();
        let (prepared, formats) = if describe.target_type == TARGET_STATEMENT {
            let prepared = match self.prepared_statement(name) {
                Ok(prepared) => prepared,
                Err(error) => return Ok(Err(error)),
            };
            let oids = prepared.types.params.iter().map(|pg_type| pg_type.oid()).collect();
            self.wire.push(&Message::ParameterDescription(ParameterDescription::new(oids)))?;
            (prepared, Vec::new())
        } else {
            match self.portals.get(name) {
                Some(portal) => (Arc::clone(&portal.prepared), portal.formats.clone()),
                None => return Ok(Err(missing_portal(name))),
            }
        };
        if prepared.types.columns.is_empty() {
            self.wire.push(&Message::NoData(NoData::new()))?;
        } else {
            self.push_row_description(&prepared.types.columns, &formats)?;
        }
        Ok(Ok(()))
    }

    pub(super) async fn execute_portal(
        &mut self,
        execute: &Execute,
    ) -> Result<Result<(), SqlError>, EndReason> {
        let name = execute.name.clone().unwrap_or_default();
        let Some(mut portal) = self.portals.remove(&name) else {
            return Ok(Err(missing_portal(&name)));
        };
        let Some(statement) = portal.prepared.statement.clone() else {
            self.wire.push(&Message::EmptyQueryResponse(EmptyQueryResponse::new()))?;
            return Ok(Ok(()));
        };
        let mut outcome = match portal.outcome.take() {
            Some(outcome) => outcome,
            None => {
                let types = &portal.prepared.types.params;
                match self.execute(&statement, &portal.params, types).await {
                    Ok(outcome) => outcome,
                    Err(error) => return Ok(Err(error)),
                }
            }
        };
        let limit = usize::try_from(execute.max_rows).ok().filter(|max| *max > 0);
        if let Err(error) =
            self.push_rows(&mut outcome, &portal.formats, limit.unwrap_or(usize::MAX))?
        {
            return Ok(Err(error));
        }
        if limit.is_some() && outcome.rows.len() > 0 {
            self.wire.push(&Message::PortalSuspended(PortalSuspended::new()))?;
        } else {
            let tag = outcome.tag.clone();
            self.wire.push(&Message::CommandComplete(CommandComplete::new(tag)))?;
        }
        portal.outcome = Some(outcome);
        self.portals.insert(name, portal);
        Ok(Ok(()))
    }

    pub(super) fn close(&mut self, close: &Close) -> Result<Result<(), SqlError>, EndReason> {
        let name = close.name.as_deref().unwrap_or_default();
        if close.target_type == TARGET_STATEMENT {
            self.statements.remove(name);
        } else {
            self.portals.remove(name);
        }
        self.wire.push(&Message::CloseComplete(CloseComplete::new()))?;
        Ok(Ok(()))
    }
}

fn missing_portal(name: &str) -> SqlError {
    SqlError::new("34000", format!("portal \"{name}\" does not exist"))
}
