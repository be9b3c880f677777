//! Accepts connections until the instance stops.

use std::{rc::Rc, time::Duration};

use futures::FutureExt;
use hibiscusladder_io::clock::sleep;
use smol::{
    future::yield_now,
    net::{TcpListener, TcpStream},
};

use crate::{adapter::Platform, node::Node};

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Passes each accepted connection to `take`, until the stop of the instance closes its listeners. Connections that are
/// queued then are still accepted.
pub async fn accept<P, F>(node: Rc<Node<P>>, listener: TcpListener, mut take: F)
where
    P: Platform,
    F: FnMut(TcpStream),
{
    let _guard = node.begin_listening();
    loop {
        futures::select_biased! {
            () = node.wait_for_closed_listeners().fuse() => break,
            accepted = listener.accept().fuse() => match accepted {
                Ok((stream, _)) => {
                    take(stream);
                    // A connection that was closed for this one is closed before the next is accepted.
                    yield_now().await;
                }
                // File descriptors may be used up for a short time.
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
        }
    }
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        take(stream);
    }
}
