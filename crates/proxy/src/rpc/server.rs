//! Server side of the calls between instances.

use std::{cell::RefCell, io, rc::Rc, sync::Arc, time::Duration};

use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, new_client, rpc_twoparty_capnp::Side, twoparty};
use futures::AsyncReadExt;
use hibiscusladder_core::{
    config::Changes,
    membership::Heartbeat,
    name::{Database, MemberId},
};
use hibiscusladder_proto::{
    config::write_changes,
    instance_capnp::{instance, reply, reply_stream, transaction},
    membership::{read_heartbeat, write_heartbeat},
    reply::write_end,
    request::{Envelope, read_envelope, write_position},
    share::{read_hand_over, read_loan_request, write_loan},
};
use smol::{
    LocalExecutor,
    channel::{self, Receiver, Sender},
    net::{TcpListener, TcpStream},
};

use crate::home::{Chunk, Exchange, Homes};

/// Largest message in words of 8 bytes: the largest value of `batch_bytes` (64 MiB) with room for the request head.
const MAX_MESSAGE_WORDS: usize = (96 << 20) / 8;
/// Capacity of the queue of chunks for a slow reader of an answer.
const CHUNKS_BUFFERED: usize = 2;

/// Calls that are answered from the control state of the instance.
pub trait ControlService: Send + Sync + 'static {
    /// Applies the heartbeat of another instance and returns this instance's heartbeat in answer.
    fn heartbeat(&self, beat: &Heartbeat) -> Heartbeat;

    /// Configuration changes after the revision `since`; waits up to `wait` for the first one.
    fn changes(&self, since: u64, wait: Duration) -> impl Future<Output = Changes> + Send;

    /// Records that the former home of `member` announced that it no longer uses its lease.
    fn handed_over(&self, member: &MemberId);

    /// Status of the instance as JSON.
    fn status(&self) -> String;
}

/// Cancels statements of the clients that are connected to this instance.
pub trait SessionCancel: Send + Sync + 'static {
    /// Cancels the statement of the client with the cancel key `process` and `secret`; does nothing when no client of
    /// this instance has the key.
    fn cancel_session(&self, process: u32, secret: u32) -> impl Future<Output = ()> + Send;
}

/// Components of this instance that serve the calls of other instances.
#[derive(Debug)]
pub struct Services<C, S> {
    /// Runs requests, lends parts of rates and takes handovers over.
    pub homes: Arc<Homes>,
    /// Answers heartbeats, requests for configuration changes and status calls.
    pub control: Arc<C>,
    /// Cancels statements of the clients of this instance.
    pub sessions: Arc<S>,
}

impl<C, S> Clone for Services<C, S> {
    fn clone(&self) -> Self {
        Self {
            homes: Arc::clone(&self.homes),
            control: Arc::clone(&self.control),
            sessions: Arc::clone(&self.sessions),
        }
    }
}

/// Limits on the size of received messages.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}

/// Accepts connections on the current thread until the listener fails.
pub(super) async fn serve<C, S>(listener: TcpListener, services: Services<C, S>) -> io::Result<()>
where
    C: ControlService,
    S: SessionCancel,
{
    let executor = LocalExecutor::new();
    let accept = async {
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            executor.spawn(serve_connection(stream, services.clone())).detach();
        }
    };
    executor.run(accept).await
}

async fn serve_connection<C, S>(stream: TcpStream, services: Services<C, S>)
where
    C: ControlService,
    S: SessionCancel,
{
    let (reader, writer) = stream.split();
    let network = twoparty::VatNetwork::new(reader, writer, Side::Server, reader_options());
    let client: instance::Client = new_client(InstanceServer { services });
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    if let Err(error) = system.await {
        spdlog::debug!("home: a connection from another instance failed: {error}");
    }
}

struct InstanceServer<C, S> {
    services: Services<C, S>,
}

impl<C, S> instance::Server for InstanceServer<C, S>
where
    C: ControlService,
    S: SessionCancel,
{
    async fn run(
        self: Rc<Self>,
        params: instance::RunParams,
        mut results: instance::RunResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let envelope = read_envelope(params.get_head()?)?;
        let call = self.services.homes.call(envelope, copy(params.get_data()?), false);
        write_answer(call.chunks, results.get().init_reply()).await
    }

    async fn begin(
        self: Rc<Self>,
        params: instance::BeginParams,
        mut results: instance::BeginResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let envelope = read_envelope(params.get_head()?)?;
        let call = self.services.homes.call(envelope, copy(params.get_data()?), true);
        let server = TransactionServer { exchanges: call.exchanges };
        results.get().set_transaction(new_client(server));
        write_answer(call.chunks, results.get().init_reply()).await
    }

    async fn read_index(
        self: Rc<Self>,
        params: instance::ReadIndexParams,
        mut results: instance::ReadIndexResults,
    ) -> Result<(), capnp::Error> {
        let database = Database::new(params.get()?.get_database()?.to_str()?);
        let position = self.services.homes.read_index(&database).await;
        results.get().set_open(position.is_some());
        write_position(position.unwrap_or_default(), results.get().init_position());
        Ok(())
    }

    async fn heartbeat(
        self: Rc<Self>,
        params: instance::HeartbeatParams,
        mut results: instance::HeartbeatResults,
    ) -> Result<(), capnp::Error> {
        let beat = read_heartbeat(params.get()?.get_beat()?)?;
        let own = self.services.control.heartbeat(&beat);
        write_heartbeat(&own, results.get().init_beat());
        Ok(())
    }

    async fn changes(
        self: Rc<Self>,
        params: instance::ChangesParams,
        mut results: instance::ChangesResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let wait = Duration::from_millis(u64::from(params.get_wait_ms()));
        let changes = self.services.control.changes(params.get_since(), wait).await;
        write_changes(&changes, results.get().init_changes());
        Ok(())
    }

    async fn borrow(
        self: Rc<Self>,
        params: instance::BorrowParams,
        mut results: instance::BorrowResults,
    ) -> Result<(), capnp::Error> {
        let requests = params.get()?.get_requests()?;
        let mut loans = results.get().init_loans(requests.len());
        for (index, request) in requests.iter().enumerate() {
            let addressed = read_loan_request(request)?;
            let loan = self.services.homes.lend(&addressed);
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            write_loan(loan.as_ref(), loans.reborrow().get(index));
        }
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: instance::HandOverParams,
        mut results: instance::HandOverResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let member = MemberId::new(params.get_member()?.to_str()?);
        let shares = params.get_buckets()?.iter().map(read_hand_over);
        let shares = shares.collect::<Result<Vec<_>, _>>()?;
        self.services.control.handed_over(&member);
        results.get().set_accepted(self.services.homes.take_over(&member, &shares));
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _: instance::StatusParams,
        mut results: instance::StatusResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_json(&*self.services.control.status());
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: instance::CancelParams,
        _: instance::CancelResults,
    ) -> Result<(), capnp::Error> {
        self.services.homes.cancel(params.get()?.get_token()).await;
        Ok(())
    }

    async fn cancel_session(
        self: Rc<Self>,
        params: instance::CancelSessionParams,
        _: instance::CancelSessionResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let (process, secret) = (params.get_process(), params.get_secret());
        self.services.sessions.cancel_session(process, secret).await;
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _: instance::PingParams,
        _: instance::PingResults,
    ) -> Result<(), capnp::Error> {
        Ok(())
    }
}

/// A transaction at a home of this instance; dropping it rolls the transaction back.
struct TransactionServer {
    exchanges: Sender<Exchange>,
}

impl transaction::Server for TransactionServer {
    async fn exchange(
        self: Rc<Self>,
        params: transaction::ExchangeParams,
        mut results: transaction::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let envelope: Envelope = read_envelope(params.get_head()?)?;
        let (chunks, receiver) = channel::bounded(CHUNKS_BUFFERED);
        let exchange = Exchange { envelope, data: copy(params.get_data()?), chunks };
        // When the transaction has ended, the batch is dropped with its sender, and `write_answer` returns an error.
        let _ = self.exchanges.send(exchange).await;
        write_answer(receiver, results.get().init_reply()).await
    }
}

/// Serves the rest of an answer that does not fit into the first reply.
struct StreamServer {
    /// Chunk that was read while the first reply was written; `None` after it was sent.
    read_ahead: RefCell<Option<Chunk>>,
    chunks: Receiver<Chunk>,
}

impl reply_stream::Server for StreamServer {
    async fn next(
        self: Rc<Self>,
        _: reply_stream::NextParams,
        mut results: reply_stream::NextResults,
    ) -> Result<(), capnp::Error> {
        let read_ahead = self.read_ahead.borrow_mut().take();
        let chunk = match read_ahead {
            Some(chunk) => chunk,
            None => receive(&self.chunks).await?,
        };
        match chunk {
            Chunk::Data(data) => results.get().set_data(&data),
            Chunk::End(end) => {
                results.get().set_last(true);
                write_end(&end, results.get().init_end());
            }
        }
        Ok(())
    }
}

/// Writes the first chunk of an answer, and its end or a stream for the remaining chunks.
async fn write_answer(
    chunks: Receiver<Chunk>,
    mut reply: reply::Builder<'_>,
) -> Result<(), capnp::Error> {
    let mut chunk = receive(&chunks).await?;
    if let Chunk::Data(data) = &chunk {
        reply.set_data(data);
        chunk = receive(&chunks).await?;
    }
    match chunk {
        Chunk::End(end) => write_end(&end, reply.init_end()),
        Chunk::Data(_) => {
            let server = StreamServer { read_ahead: RefCell::new(Some(chunk)), chunks };
            reply.set_rest(new_client(server));
        }
    }
    Ok(())
}

async fn receive(chunks: &Receiver<Chunk>) -> Result<Chunk, capnp::Error> {
    let chunk = chunks.recv().await;
    chunk.map_err(|_| capnp::Error::failed("the home gave the request up".to_owned()))
}

fn copy(data: &[u8]) -> bytes::Bytes {
    bytes::Bytes::copy_from_slice(data)
}
