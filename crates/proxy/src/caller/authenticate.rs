//! Authentication of a client and the start of its session.

use std::{collections::BTreeMap, sync::Arc};

use bytes::BytesMut;
use futures::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use hibiscusladder_core::{
    budget::Activity,
    key::Key,
    name::{Database, Workspace},
    outcome::{Refusal, RefusalKind},
    position::Position,
    session::Session as Positions,
};
use hibiscusladder_proto::reply::TransactionStatus;
use pgwire::messages::startup::{BackendKeyData, NegotiateProtocolVersion, SecretKey};

use super::{
    Entry, answer,
    authorise::{ClientKey, Identity},
    batch::Collector,
    frame::{Fields, FrameReader},
    ledger::Account,
    local::LocalSettings,
    plan::Statements,
    session::Session,
    startup::ClientStartup,
};

/// Parameters that are reported to a client at the start of its session, with their values.
const PARAMETERS: [(&str, &str); 8] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("hibiscus.request_id", ""),
];

impl<'a, S> Session<'a, S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Authenticates the client and sends the start-up response; `None` when the connection is to be closed.
    pub(super) async fn start(
        client_startup: ClientStartup<S>,
        entry: &'a Arc<Entry>,
        account: &Account,
    ) -> Option<Self> {
        let ClientStartup { mut reader, parameters, minor } = client_startup;
        match Self::authenticate(&mut reader, &parameters, minor, entry).await {
            Ok(identity) => {
                reader.meter(account, entry.node().settings().times.client_message);
                Self::send_startup_response(reader, &parameters, identity, entry, account).await
            }
            Err(Some(refusal)) => {
                entry.node().metrics().count("entry.rejected");
                let mut buf = BytesMut::new();
                answer::put_fatal(&mut buf, &refusal);
                let _ = reader.stream().write_all(&buf).await;
                None
            }
            Err(None) => None,
        }
    }

    /// Requests the client's key as a password and checks it, unless the instance drains or has too many clients.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the client, or `None` when the client has disconnected.
    async fn authenticate(
        reader: &mut FrameReader<S>,
        parameters: &BTreeMap<String, String>,
        minor: u16,
        entry: &Entry,
    ) -> Result<Identity, Option<Refusal>> {
        let node = entry.node();
        if node.is_draining() {
            return Err(Some(Refusal::not_run(RefusalKind::Leaving)));
        }
        let max_clients =
            usize::try_from(node.settings().limits.client_connections).unwrap_or(usize::MAX);
        if entry.ledger.finished() >= max_clients {
            return Err(Some(
                Refusal::not_run(RefusalKind::QueueFull).detail("too many client connections"),
            ));
        }
        let (workspace, database) = requested_names(parameters)?;
        let mut buf = BytesMut::new();
        if minor > 0 {
            answer::put(&mut buf, &NegotiateProtocolVersion::new(0, Vec::new()));
        }
        answer::put_password_request(&mut buf);
        reader.stream().write_all(&buf).await.map_err(|_| None)?;
        let invalid = || Refusal::not_run(RefusalKind::Protocol).detail("a password was expected");
        let frame = reader.next().await.map_err(|_| Some(invalid()))?.ok_or(None)?;
        let password = Fields::new(frame.body()).text().filter(|_| frame.kind() == b'p');
        let password = password.ok_or_else(|| Some(invalid()))?;
        let key = match password {
            "" => None,
            text => {
                let key: Result<Key, _> = text.parse();
                // The error must not contain the text, which may be a mistyped secret.
                let key = key.map_err(|_| Some(Refusal::not_run(RefusalKind::KeyRejected)))?;
                Some(ClientKey::new(key))
            }
        };
        let identity = Identity { workspace, database, key };
        identity.authorise(node).map_err(Some)?;
        Ok(identity)
    }

    /// Registers the session and sends the messages up to the first `ReadyForQuery`.
    async fn send_startup_response(
        mut reader: FrameReader<S>,
        parameters: &BTreeMap<String, String>,
        identity: Identity,
        entry: &'a Arc<Entry>,
        account: &Account,
    ) -> Option<Self> {
        let position = parameters.get("hibiscus.position");
        let position: Option<Position> = position.and_then(|text| text.parse().ok());
        let (process, cancel_handle) = entry.sessions.register()?;
        let mut buf = BytesMut::new();
        answer::put_authenticated(&mut buf);
        for (name, value) in PARAMETERS {
            answer::put_parameter(&mut buf, name, value);
        }
        if let Some(position) = position {
            answer::put_position(&mut buf, position);
        }
        let secret = SecretKey::I32(cancel_handle.secret().cast_signed());
        answer::put(&mut buf, &BackendKeyData::new(process.cast_signed(), secret));
        answer::put_ready(&mut buf, TransactionStatus::Idle);
        let max_bytes =
            usize::try_from(entry.node().settings().limits.batch_bytes).unwrap_or(usize::MAX);
        reader.set_max_bytes(max_bytes);
        let session = position.map_or_else(Positions::new, Positions::with_position);
        let mut session = Self {
            entry,
            reader,
            collector: Collector::new(max_bytes),
            identity,
            settings: LocalSettings { session, request_id: None },
            statements: Statements::new(account.empty_charge(), max_bytes),
            account: account.clone(),
            transaction: None,
            process,
            cancel_handle,
        };
        session.write(&buf).await.ok()?;
        account.set_activity(Activity::Idle);
        Some(session)
    }
}

/// Workspace and database from the start-up parameters `user` and `database`; the database defaults to the user's name.
fn requested_names(
    parameters: &BTreeMap<String, String>,
) -> Result<(Workspace, Database), Option<Refusal>> {
    let invalid =
        |detail: &str| Some(Refusal::not_run(RefusalKind::Protocol).detail(detail.to_owned()));
    let user = parameters.get("user").filter(|user| !user.is_empty());
    let user = user.ok_or_else(|| invalid("the start-up message names no user"))?;
    let database = parameters.get("database").filter(|name| !name.is_empty()).unwrap_or(user);
    if let Some(encoding) = parameters.get("client_encoding") {
        let encoding = encoding.trim_matches('\'').to_ascii_uppercase();
        if !matches!(encoding.as_str(), "UTF8" | "UTF-8" | "UNICODE" | "AUTO") {
            return Err(Some(
                Refusal::not_run(RefusalKind::Unsupported).detail("encodings other than UTF8"),
            ));
        }
    }
    Ok((Workspace::new(user), Database::new(database)))
}
