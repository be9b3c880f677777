//! Accepts the connections of a member and performs their start-up.

use std::{
    hash::{BuildHasher, Hasher, RandomState},
    io,
    sync::{Arc, Weak},
};

use pgwire::messages::{
    PgWireBackendMessage as Message, PgWireFrontendMessage as Request, SslNegotiationMetaMessage,
    response::SslResponse,
    startup::{
        Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey,
        Startup,
    },
};
use smol::{
    Executor, Timer,
    future::FutureExt,
    net::{TcpListener, TcpStream},
};

use super::{
    error::SqlError,
    member::{Backend, FAULT_CHECK_INTERVAL, Member, StopReason},
    session::Session,
    wire::Wire,
};
use crate::runtime::spawn_on;

/// Parameters that are reported to every client at start-up.
const PARAMETERS: [(&str, &str); 7] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Accepts connections; while the member is down, its listener is closed.
pub(crate) async fn run(
    member: Arc<Member>,
    mut listener: TcpListener,
    spawner: Weak<Executor<'static>>,
) {
    loop {
        accept_until_down(&member, &listener, &spawner).await;
        drop(listener);
        listener = reopen(&member).await;
    }
}

async fn accept_until_down(
    member: &Arc<Member>,
    listener: &TcpListener,
    spawner: &Weak<Executor<'static>>,
) {
    let accept = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => spawn_on(spawner, serve_connection(Arc::clone(member), stream)),
                Err(error) => {
                    spdlog::warn!(
                        "emulator: member {} could not accept a connection: {error}",
                        member.id()
                    );
                    Timer::after(FAULT_CHECK_INTERVAL).await;
                }
            }
        }
    };
    let down = async {
        while !member.faults().down {
            Timer::after(FAULT_CHECK_INTERVAL).await;
        }
    };
    down.or(accept).await;
}

async fn reopen(member: &Member) -> TcpListener {
    loop {
        Timer::after(FAULT_CHECK_INTERVAL).await;
        if member.faults().down {
            continue;
        }
        match TcpListener::bind(member.address).await {
            Ok(listener) => return listener,
            Err(error) => spdlog::warn!(
                "emulator: member {} could not reopen its listener, will retry: {error}",
                member.id()
            ),
        }
    }
}

async fn serve_connection(member: Arc<Member>, stream: TcpStream) {
    stream.set_nodelay(true).ok();
    match start_up(&member, Wire::new(stream)).await {
        Ok(Some((wire, backend))) => Session::new(member, backend, wire).run().await,
        Ok(None) => {}
        Err(error) => spdlog::debug!(
            "emulator: start-up of a connection to member {} failed: {error}",
            member.id()
        ),
    }
}

/// Performs the start-up of a connection; `None` when it was refused, closed or only carried a cancellation.
async fn start_up(
    member: &Arc<Member>,
    mut wire: Wire,
) -> io::Result<Option<(Wire, Arc<Backend>)>> {
    let Some(startup) = read_startup(member, &mut wire).await? else { return Ok(None) };
    let parameter = |name: &str| startup.parameters.get(name).map_or("", String::as_str);
    let application_name = parameter("application_name").to_owned();
    member.record(&format!("start-up: {:?}", startup.parameters));
    member.wait_while_blocked(&application_name).await;
    if startup.protocol_number_minor > 0 {
        let negotiate = NegotiateProtocolVersion::new(0, Vec::new());
        wire.push(&Message::NegotiateProtocolVersion(negotiate))?;
    }
    let Some(backend) = member.register(&application_name, random_secret()) else {
        return refuse(&mut wire, SqlError::fatal("53300", "sorry, too many clients already"))
            .await;
    };
    // Unregisters the backend unless the start-up succeeds.
    let registration = Registration { member, backend: &backend, kept: false };
    Timer::after(member.settings.setup).await;
    if let Err(error) = authenticate(member, &mut wire, &startup).await? {
        return refuse(&mut wire, error).await;
    }
    member.wait_while_blocked(&application_name).await;
    if backend.stop_reason() == Some(StopReason::Crashed) {
        return Ok(None);
    }
    push_startup_response(&mut wire, &backend)?;
    registration.keep();
    Ok(Some((wire, backend)))
}

/// Unregisters the backend on drop, unless `keep` was called.
struct Registration<'a> {
    member: &'a Member,
    backend: &'a Backend,
    kept: bool,
}

impl Registration<'_> {
    fn keep(mut self) {
        self.kept = true;
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        if !self.kept {
            self.member.unregister(self.backend.pid);
        }
    }
}

async fn read_startup(member: &Member, wire: &mut Wire) -> io::Result<Option<Startup>> {
    while let Some(request) = wire.read().await? {
        member.wait_while_blocked("").await;
        match request {
            Request::SslNegotiation(SslNegotiationMetaMessage::None) => {
                wire.ctx.awaiting_frontend_ssl = false;
            }
            Request::SslNegotiation(_) => {
                wire.push_byte(SslResponse::BYTE_REFUSE);
                wire.flush().await?;
            }
            Request::Startup(startup) => {
                wire.ctx.awaiting_frontend_startup = false;
                return Ok(Some(startup));
            }
            Request::CancelRequest(cancel) => {
                if let Some(secret) = cancel.secret_key.as_i32() {
                    member.cancel(cancel.pid, secret);
                }
                return Ok(None);
            }
            _ => return Ok(None),
        }
    }
    Ok(None)
}

async fn authenticate(
    member: &Member,
    wire: &mut Wire,
    startup: &Startup,
) -> io::Result<Result<(), SqlError>> {
    let user = startup.parameters.get("user").map_or("", String::as_str);
    let database = startup.parameters.get("database").map_or(user, String::as_str);
    wire.push(&Message::Authentication(Authentication::CleartextPassword))?;
    wire.flush().await?;
    let Some(Request::PasswordMessageFamily(answer)) = wire.read().await? else {
        return Ok(Err(SqlError::fatal("08P01", "expected a password message")));
    };
    let password = answer.into_password()?.password;
    if user != member.settings.user || password != member.settings.password {
        let message = format!("password authentication failed for user \"{user}\"");
        return Ok(Err(SqlError::fatal("28P01", message)));
    }
    if database != member.database.as_str() {
        let message = format!("database \"{database}\" does not exist");
        return Ok(Err(SqlError::fatal("3D000", message)));
    }
    Ok(Ok(()))
}

fn push_startup_response(wire: &mut Wire, backend: &Backend) -> io::Result<()> {
    wire.push(&Message::Authentication(Authentication::Ok))?;
    for (name, value) in PARAMETERS {
        let parameter = ParameterStatus::new(name.to_owned(), value.to_owned());
        wire.push(&Message::ParameterStatus(parameter))?;
    }
    let key = BackendKeyData::new(backend.pid, SecretKey::I32(backend.secret));
    wire.push(&Message::BackendKeyData(key))
}

async fn refuse<T>(wire: &mut Wire, error: SqlError) -> io::Result<Option<T>> {
    wire.push(&Message::ErrorResponse(error.response()))?;
    wire.flush().await?;
    Ok(None)
}

/// Random key that a client has to send with a cancellation.
fn random_secret() -> i32 {
    let bytes = RandomState::new().build_hasher().finish().to_be_bytes();
    i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
