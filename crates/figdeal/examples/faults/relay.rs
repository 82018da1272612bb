//! TCP relay between two processes that can stall connections without closing them.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{Mutex, PoisonError},
};

use tokio::{io::copy_bidirectional, net::TcpStream, runtime::Runtime, sync::watch};

use crate::Result;

/// A relay in front of one process.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    /// Sends a value to stall the connections that were opened since the last stall. Each stall replaces the channel.
    stall_sender: Mutex<watch::Sender<()>>,
    /// The receiver that a new connection watches.
    current: watch::Sender<watch::Receiver<()>>,
    _runtime: Runtime,
}

impl Relay {
    pub(crate) fn start(target: SocketAddr) -> Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let (sender, receiver) = watch::channel(());
        let (current, receivers) = watch::channel(receiver);
        runtime.spawn(async move {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a bound listener");
            while let Ok((stream, _)) = listener.accept().await {
                let stall = receivers.borrow().clone();
                tokio::spawn(relay_bytes(stream, target, stall));
            }
        });
        Ok(Relay {
            address,
            stall_sender: Mutex::new(sender),
            current,
            _runtime: runtime,
        })
    }

    /// Stalls all open connections: they stay open but pass no more bytes. New connections work.
    pub(crate) fn stall_connections(&self) {
        let (sender, receiver) = watch::channel(());
        self.current.send_replace(receiver);
        let mut old = self
            .stall_sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *old, sender).send_replace(());
    }
}

async fn relay_bytes(mut stream: TcpStream, target: SocketAddr, mut stall: watch::Receiver<()>) {
    let Ok(mut other) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut other) => {}
        _ = stall.changed() => std::future::pending().await,
    }
}
