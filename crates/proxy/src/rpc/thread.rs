//! The thread that makes the calls to other instances, since the RPC system is bound to one thread.

use std::{io, rc::Rc, thread};

use smol::{LocalExecutor, channel::Receiver};

use super::{client, command::Command, peer::PeerConnections};

/// Starts the thread; it ends when the sender of `commands` is dropped.
pub(super) fn start(commands: Receiver<Command>) -> io::Result<()> {
    thread::Builder::new().name("rpc-client".to_owned()).spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        smol::block_on(executor.run(run(Rc::clone(&executor), commands)));
    })?;
    Ok(())
}

async fn run(executor: Rc<LocalExecutor<'_>>, commands: Receiver<Command>) {
    let peers = Rc::new(PeerConnections::new(Rc::clone(&executor)));
    while let Ok(command) = commands.recv().await {
        let peers = Rc::clone(&peers);
        executor.spawn(async move { client::run(&peers, command).await }).detach();
    }
}
