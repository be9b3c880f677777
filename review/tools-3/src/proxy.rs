//! A proxy in front of the store, through which the store turns machines away for a while.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Forwards connections to the store, or closes them while it turns the machines away.
#[derive(Clone, Default)]
pub struct Proxy {
    turns_away: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    /// Serves on a free port until the process ends.
    pub fn serve(&self, store: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let proxy = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // An error ends this connection only.
                proxy.forward(stream, store).ok();
            }
        });
        address
    }

    /// Closes all connections, and each new one at once, until the store serves the machines again.
    pub fn turn_away(&self) {
        self.turns_away.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    pub fn serve_again(&self) {
        self.turns_away.store(false, Ordering::SeqCst);
    }

    fn forward(&self, machine: TcpStream, store: SocketAddr) -> io::Result<()> {
        let mut open = self.open.lock().unwrap();
        if self.turns_away.load(Ordering::SeqCst) {
            return machine.shutdown(Shutdown::Both);
        }
        let store = TcpStream::connect_timeout(&store, CONNECT_TIMEOUT)?;
        for stream in [&machine, &store] {
            stream.set_nodelay(true)?;
            open.push(stream.try_clone()?);
        }
        copy(machine.try_clone()?, store.try_clone()?);
        copy(store, machine);
        Ok(())
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok(length @ 1..) = from.read(&mut buffer) {
            if to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        to.shutdown(Shutdown::Both).ok();
        from.shutdown(Shutdown::Both).ok();
    });
}
