//! A lease is the exclusive use of one connection to a member.
//!
//! A connection is reused only after an answer that leaves it outside any transaction. In every other case it is
//! closed, which rolls the transaction back.

use std::{collections::BTreeSet, io, rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::{Clock, Instant},
    name::Workspace,
};
use hibiscusladder_io::clock::BootClock;

use crate::{
    adapter::{MemberCommand, Platform, UpstreamPort},
    in_flight::InFlightGuard,
    model::{Access, Answer, TransactionState},
    pace,
    pool::{Pool, Values},
    slot_queue::{KeptConnection, Permit, Permits},
};

/// Largest size of the values and prepared statements of a connection that is kept, in bytes. A kept connection holds them for
/// sessions that have ended; opening a new one costs the member 12 ms.
const MAX_KEPT_STATE_BYTES: usize = 64 << 10;

/// A connection with its session state at the member.
pub(crate) struct Connection<P>
where
    P: Platform,
{
    pub(crate) port: P::Upstream,
    pub(crate) workspace: Workspace,
    pub(crate) values: Values,
    prepared: BTreeSet<Box<str>>,
    /// Bytes of values and prepared statements that were set since the last reset.
    state_bytes: usize,
    /// When the member last answered on the connection.
    pub(crate) last_answered: Instant,
}

impl<P> Connection<P>
where
    P: Platform,
{
    /// Creates the state of a new connection, which has no values and prepared statements.
    pub(crate) const fn new(port: P::Upstream, workspace: Workspace, now: Instant) -> Self {
        let values = Values::new();
        Self {
            port,
            workspace,
            values,
            prepared: BTreeSet::new(),
            state_bytes: 0,
            last_answered: now,
        }
    }
}

/// A connection in use. Dropping the lease returns the connection, or closes it when an answer is outstanding, a
/// transaction is open, or a command of the gateway has failed.
pub struct Lease<P>
where
    P: Platform,
{
    pool: Rc<Pool<P>>,
    connection: Option<Connection<P>>,
    /// Whether no answer is outstanding, no transaction is open, and no command of the gateway has failed.
    reusable: bool,
    /// Released after the first answer that leaves a transaction open, whose further statements need no slot.
    permit: Option<Permit<P>>,
    /// Counts the connection of an open transaction, which has no slot.
    kept: Option<KeptConnection<P>>,
    /// Right of a transaction to keep the connection.
    transaction: Option<Permit<P>>,
    _in_use: InFlightGuard,
}

impl<P> Lease<P>
where
    P: Platform,
{
    /// Creates the lease of a connection of `pool`.
    pub(crate) const fn new(
        pool: Rc<Pool<P>>,
        connection: Connection<P>,
        in_use: InFlightGuard,
    ) -> Self {
        Self {
            pool,
            connection: Some(connection),
            reusable: true,
            permit: None,
            kept: None,
            transaction: None,
            _in_use: in_use,
        }
    }

    /// Keeps the slot until the first answer that leaves a transaction open, or the end of the use.
    pub(crate) fn with_permits(mut self, permits: Permits<P>) -> Self {
        self.permit = Some(permits.slot);
        self.transaction = permits.transaction;
        self
    }

    /// Time for which the request waited for its slot; zero once the slot is free.
    pub fn slot_wait(&self) -> Duration {
        self.permit.as_ref().map_or(Duration::ZERO, Permit::waited)
    }

    /// The pool that the connection belongs to.
    pub const fn pool(&self) -> &Rc<Pool<P>> {
        &self.pool
    }

    /// Number of commands that the connection needs before a statement of a session with `values`; `prepared` is access
    /// and shape of a statement that is to be executed.
    pub fn missing_commands(&self, values: &Values, prepared: Option<(Access, &str)>) -> usize {
        let Some(connection) = &self.connection else { return 0 };
        let is_reset = connection.values.keys().any(|name| !values.contains_key(name));
        let is_unprepared = prepared.is_some_and(|(access, shape)| {
            is_reset || !connection.prepared.contains(&statement_name(access, shape))
        });
        let is_set = |name: &str, value: &str| {
            connection.values.get(name).is_some_and(|set| **set == *value)
        };
        let sets = values.iter().filter(|(name, value)| is_reset || !is_set(name, value)).count();
        usize::from(is_reset) + sets + usize::from(is_unprepared)
    }

    /// Sets the values of the connection to those of the session.
    ///
    /// # Errors
    ///
    /// The connection cannot be used; the caller's statement was not sent.
    pub async fn set_values(&mut self, values: &Values) -> io::Result<()> {
        let connection = connection(&mut self.connection)?;
        if connection.values == *values {
            return Ok(());
        }
        if connection.values.keys().any(|name| !values.contains_key(name)) {
            self.command(MemberCommand::Reset).await?;
            let connection = connection_mut(&mut self.connection)?;
            connection.values.clear();
            connection.prepared.clear();
            connection.state_bytes = 0;
        }
        for (name, value) in values {
            self.set_value(name, value).await?;
        }
        Ok(())
    }

    /// Sets one value on the connection.
    ///
    /// # Errors
    ///
    /// The connection cannot be used.
    pub async fn set_value(&mut self, name: &str, value: &str) -> io::Result<()> {
        let current = connection(&mut self.connection)?.values.get(name);
        if current.is_some_and(|current| **current == *value) {
            return Ok(());
        }
        self.command(MemberCommand::Set { name, value }).await?;
        let connection = connection_mut(&mut self.connection)?;
        connection.state_bytes += name.len() + value.len();
        connection.values.insert(name.into(), value.into());
        Ok(())
    }

    /// Prepares a statement under a name made of its access and shape, the same on all connections, and returns that
    /// name.
    ///
    /// # Errors
    ///
    /// The connection cannot be used.
    pub async fn prepare(&mut self, access: Access, shape: &str) -> io::Result<Box<str>> {
        let name = statement_name(access, shape);
        if !connection(&mut self.connection)?.prepared.contains(&name) {
            self.command(MemberCommand::Prepare { name: &name, access, shape }).await?;
            let connection = connection_mut(&mut self.connection)?;
            connection.state_bytes += name.len();
            connection.prepared.insert(name.clone());
        }
        Ok(name)
    }

    /// Sends a command that has to succeed for the connection to be usable.
    async fn command(&mut self, command: MemberCommand<'_>) -> io::Result<()> {
        let answer = self.exchange(command).await?;
        match answer.outcome {
            Ok(_) => Ok(()),
            Err(failure) => {
                self.reusable = false;
                Err(io::Error::other(failure.to_string()))
            }
        }
    }

    /// Sends a command and reads the answer. If the future is dropped before, the connection is closed.
    ///
    /// # Errors
    ///
    /// The connection was lost; the command may have run.
    pub async fn exchange(&mut self, command: MemberCommand<'_>) -> io::Result<Answer> {
        self.reusable = false;
        let started = BootClock.now();
        let connection = connection_mut(&mut self.connection)?;
        connection.port.send(command).await?;
        let answer = connection.port.receive().await?;
        connection.last_answered = BootClock.now();
        self.reusable = answer.state == TransactionState::Idle;
        if matches!(command, MemberCommand::Forward { .. } | MemberCommand::Execute { .. }) {
            let now = connection.last_answered;
            self.pool.record_service_time(now.since(started), now);
            let kind = self.permit.as_ref().and_then(Permit::kind);
            let service = now.since(started).saturating_sub(self.pool.round_trip());
            if let Some(outcome) = pace::outcome(&answer, kind, service) {
                self.pool.record_outcome(outcome, started);
            }
            if !self.reusable && self.permit.is_some() {
                self.kept = Some(KeptConnection::new(self.pool.clone()));
                self.permit = None;
            }
        }
        Ok(answer)
    }
}

impl<P> Drop for Lease<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let reusable = |connection: &Connection<P>| {
            self.reusable && connection.state_bytes <= MAX_KEPT_STATE_BYTES
        };
        let connection = self.connection.take().filter(reusable);
        self.pool.return_connection(connection);
    }
}

/// Name of a prepared statement on all connections.
fn statement_name(access: Access, shape: &str) -> Box<str> {
    let kind = if access == Access::Read { 'r' } else { 'w' };
    format!("{kind}{shape}").into()
}

fn connection<P>(leased: &mut Option<Connection<P>>) -> io::Result<&Connection<P>>
where
    P: Platform,
{
    connection_mut(leased).map(|connection| &*connection)
}

fn connection_mut<P>(leased: &mut Option<Connection<P>>) -> io::Result<&mut Connection<P>>
where
    P: Platform,
{
    leased.as_mut().ok_or_else(|| io::ErrorKind::NotConnected.into())
}
