//! Client side of the calls between instances, on the RPC thread.

use std::{rc::Rc, sync::Arc, time::Duration};

use futures::channel::oneshot;
use hibiscusladder_core::outcome::{Refusal, RefusalKind};
use hibiscusladder_proto::{
    config::read_changes,
    instance_capnp::{reply, reply_stream, transaction},
    membership::{read_heartbeat, write_heartbeat},
    reply::{ReplyEnd, read_end},
    request::{Envelope, read_position, write_envelope},
    share::{read_loan, write_hand_over, write_loan_request},
};
use smol::{
    Timer,
    channel::{Receiver, Sender},
    future::FutureExt,
};

use super::{
    RpcError,
    command::Command,
    peer::{Peer, PeerConnections},
};
use crate::home::{Chunk, Exchange};

/// Time limit for a call that does not wait for an event at the other instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs one command to its end and sends its result to the sender of the command.
pub(super) async fn run(peers: &PeerConnections<'_>, command: Command) {
    match command {
        Command::Call { address, envelope, data, keeps_transaction, chunks, batches } => {
            let exchange = Exchange { envelope, data, chunks };
            forward_batches(peers, &address, exchange, keeps_transaction, &batches).await;
        }
        Command::ReadIndex { address, database, answer } => {
            let result = call_peer(peers, &address, CALL_TIMEOUT, async |peer: &Peer| {
                let mut request = peer.client.read_index_request();
                request.get().set_database(database.as_str());
                let response = request.send().promise.await?;
                let response = response.get()?;
                let position = read_position(response.get_position()?);
                Ok(response.get_open().then_some(position))
            });
            send_answer(answer, result.await);
        }
        Command::Heartbeat { address, beat, answer } => {
            let result = call_peer(peers, &address, CALL_TIMEOUT, async |peer: &Peer| {
                let mut request = peer.client.heartbeat_request();
                write_heartbeat(&beat, request.get().init_beat());
                let response = request.send().promise.await?;
                read_heartbeat(response.get()?.get_beat()?)
            });
            send_answer(answer, result.await);
        }
        Command::Changes { address, since, wait, answer } => {
            let result = call_peer(peers, &address, CALL_TIMEOUT + wait, async |peer: &Peer| {
                let mut request = peer.client.changes_request();
                request.get().set_since(since);
                request.get().set_wait_ms(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
                let response = request.send().promise.await?;
                read_changes(response.get()?.get_changes()?)
            });
            send_answer(answer, result.await);
        }
        Command::Borrow { address, requests, answer } => {
            let result = call_peer(peers, &address, CALL_TIMEOUT, async |peer: &Peer| {
                let mut request = peer.client.borrow_request();
                let count = u32::try_from(requests.len()).unwrap_or(u32::MAX);
                let mut list = request.get().init_requests(count);
                for (index, addressed) in (0..).zip(&requests) {
                    write_loan_request(addressed, list.reborrow().get(index));
                }
                let response = request.send().promise.await?;
                response.get()?.get_loans()?.iter().map(read_loan).collect()
            });
            send_answer(answer, result.await);
        }
        Command::HandOver { address, member, shares, answer } => {
            let result = call_peer(peers, &address, CALL_TIMEOUT, async |peer: &Peer| {
                let mut request = peer.client.hand_over_request();
                request.get().set_member(member.as_str());
                let count = u32::try_from(shares.len()).unwrap_or(u32::MAX);
                let mut list = request.get().init_buckets(count);
                for (index, handed) in (0..).zip(&shares) {
                    write_hand_over(handed, list.reborrow().get(index));
                }
                let response = request.send().promise.await?;
                Ok(response.get()?.get_accepted())
            });
            send_answer(answer, result.await);
        }
        Command::Status { address, answer } => {
            let result = call_peer(peers, &address, CALL_TIMEOUT, async |peer: &Peer| {
                let response = peer.client.status_request().send().promise.await?;
                Ok(response.get()?.get_json()?.to_string()?)
            });
            send_answer(answer, result.await);
        }
        Command::Cancel { address, token } => {
            let result = call_peer(peers, &address, CALL_TIMEOUT, async |peer: &Peer| {
                let mut request = peer.client.cancel_request();
                request.get().set_token(token);
                request.send().promise.await.map(drop)
            });
            log_failure(result.await);
        }
        Command::CancelSession { address, process, secret } => {
            let result = call_peer(peers, &address, CALL_TIMEOUT, async |peer: &Peer| {
                let mut request = peer.client.cancel_session_request();
                request.get().set_process(process);
                request.get().set_secret(secret);
                request.send().promise.await.map(drop)
            });
            log_failure(result.await);
        }
    }
}

/// Sends the result of a call to the sender of the command, which may no longer wait for it.
fn send_answer<T>(answer: oneshot::Sender<Result<T, RpcError>>, result: Result<T, RpcError>) {
    drop(answer.send(result));
}

fn log_failure(result: Result<(), RpcError>) {
    if let Err(error) = result {
        spdlog::warn!("entry: forwarding a cancel request failed: {error}");
    }
}

/// Runs `call` on the connection to `address` with the time limit `limit`.
async fn call_peer<F, T>(
    peers: &PeerConnections<'_>,
    address: &Arc<str>,
    limit: Duration,
    call: F,
) -> Result<T, RpcError>
where
    F: AsyncFnOnce(&Peer) -> Result<T, capnp::Error>,
{
    let peer = peers.get(address).await?;
    let failed = |reason: String| RpcError::MaybeSent { address: Arc::clone(address), reason };
    let called = async { call(&peer).await.map_err(|error| failed(error.to_string())) };
    let closed = async {
        peer.wait_closed().await;
        Err(failed("the connection was silent for too long".to_owned()))
    };
    let timeout = async {
        Timer::after(limit).await;
        Err(failed(format!("no answer within {} ms", limit.as_millis())))
    };
    called.or(closed).or(timeout).await
}

/// Forwards the first batch and, with `keeps_transaction`, the further batches of its transaction, until the sender of
/// `batches` is dropped.
async fn forward_batches(
    peers: &PeerConnections<'_>,
    address: &Arc<str>,
    first: Exchange,
    keeps_transaction: bool,
    batches: &Receiver<Exchange>,
) {
    let peer = match peers.get(address).await {
        Ok(peer) => peer,
        Err(error) => {
            let refusal = Refusal::not_run(RefusalKind::NoMember).detail(error.to_string());
            let _ = first.chunks.send(Chunk::End(ReplyEnd::refused(refusal))).await;
            return;
        }
    };
    let Exchange { envelope, data, chunks } = first;
    let Some(transaction) = begin(&peer, &envelope, &data, keeps_transaction, &chunks).await else {
        return;
    };
    drop(chunks);
    while let Ok(exchange) = batches.recv().await {
        let Exchange { envelope, data, chunks } = exchange;
        let mut request = transaction.exchange_request();
        write_envelope(&envelope, request.get().init_head());
        request.get().set_data(&data);
        let answer = async {
            let response = request.send().promise.await?;
            forward_reply(response.get()?.get_reply()?, &chunks).await
        };
        await_answer(&peer, &chunks, answer).await;
    }
}

/// Sends the first batch; returns the remote transaction, when one may have been opened.
async fn begin(
    peer: &Rc<Peer>,
    envelope: &Envelope,
    data: &[u8],
    keeps_transaction: bool,
    chunks: &Sender<Chunk>,
) -> Option<transaction::Client> {
    if !keeps_transaction {
        let mut request = peer.client.run_request();
        write_envelope(envelope, request.get().init_head());
        request.get().set_data(data);
        let answer = async {
            let response = request.send().promise.await?;
            forward_reply(response.get()?.get_reply()?, chunks).await
        };
        await_answer(peer, chunks, answer).await;
        return None;
    }
    let mut request = peer.client.begin_request();
    write_envelope(envelope, request.get().init_head());
    request.get().set_data(data);
    let mut transaction = None;
    let answer = async {
        let response = request.send().promise.await?;
        let response = response.get()?;
        transaction = Some(response.get_transaction()?);
        forward_reply(response.get_reply()?, chunks).await
    };
    await_answer(peer, chunks, answer).await;
    transaction
}

/// Waits until `answer` has forwarded an answer; when the connection fails, the request ends with an unknown outcome.
async fn await_answer<F>(peer: &Peer, chunks: &Sender<Chunk>, answer: F)
where
    F: Future<Output = Result<(), capnp::Error>>,
{
    let closed = async {
        peer.wait_closed().await;
        Err(capnp::Error::disconnected("the connection was silent for too long".to_owned()))
    };
    // When the receiver of the answer was dropped, the call is dropped too, which cancels it at the other instance.
    let abandoned = async {
        chunks.closed().await;
        Ok(())
    };
    if let Err(error) = answer.or(closed).or(abandoned).await {
        let refusal = Refusal::unknown(RefusalKind::ConnectionLost).detail(error.to_string());
        let _ = chunks.send(Chunk::End(ReplyEnd::refused(refusal))).await;
    }
}

/// Forwards an answer chunk by chunk.
async fn forward_reply(
    reply: reply::Reader<'_>,
    chunks: &Sender<Chunk>,
) -> Result<(), capnp::Error> {
    send_data(reply.get_data()?, chunks).await?;
    match reply.which()? {
        reply::End(end) => send_end(read_end(end?)?, chunks).await,
        reply::Rest(rest) => forward_rest(&rest?, chunks).await,
    }
}

async fn forward_rest(
    rest: &reply_stream::Client,
    chunks: &Sender<Chunk>,
) -> Result<(), capnp::Error> {
    loop {
        let response = rest.next_request().send().promise.await?;
        let response = response.get()?;
        send_data(response.get_data()?, chunks).await?;
        if response.get_last() {
            return send_end(read_end(response.get_end()?)?, chunks).await;
        }
    }
}

async fn send_data(data: &[u8], chunks: &Sender<Chunk>) -> Result<(), capnp::Error> {
    if data.is_empty() {
        return Ok(());
    }
    chunks
        .send(Chunk::Data(bytes::Bytes::copy_from_slice(data)))
        .await
        .map_err(|_| receiver_dropped())
}

async fn send_end(end: ReplyEnd, chunks: &Sender<Chunk>) -> Result<(), capnp::Error> {
    chunks.send(Chunk::End(end)).await.map_err(|_| receiver_dropped())
}

fn receiver_dropped() -> capnp::Error {
    capnp::Error::disconnected("nobody takes the answer".to_owned())
}
