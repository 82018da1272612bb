//! A relay between two processes that can stop passing bytes without closing.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{Mutex, PoisonError},
};

use tokio::{io::copy_bidirectional, net::TcpStream, runtime::Runtime, sync::watch};

use crate::Result;

/// A relay to one process.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    /// Connections that are opened after a value was sent watch the next one.
    silence: Mutex<watch::Sender<()>>,
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
        let (silence, view) = watch::channel(());
        let (current, views) = watch::channel(view);
        runtime.spawn(async move {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a bound listener");
            while let Ok((stream, _)) = listener.accept().await {
                let silence = views.borrow().clone();
                tokio::spawn(pass(stream, target, silence));
            }
        });
        Ok(Relay {
            address,
            silence: Mutex::new(silence),
            current,
            _runtime: runtime,
        })
    }

    /// Stops passing bytes on all open connections; they stay open. New connections work.
    pub(crate) fn stall_connections(&self) {
        let (silence, view) = watch::channel(());
        self.current.send_replace(view);
        let mut old = self.silence.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *old, silence).send_replace(());
    }
}

async fn pass(mut stream: TcpStream, target: SocketAddr, mut silence: watch::Receiver<()>) {
    let Ok(mut other) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut other) => {}
        _ = silence.changed() => std::future::pending().await,
    }
}
