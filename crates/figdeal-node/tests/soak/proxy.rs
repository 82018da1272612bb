//! TCP proxies in front of the processes. The connecting side sends its address first, so a proxy can apply faults to
//! one pair of processes and one direction.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Size of the copy buffer.
const CHUNK_BYTES: usize = 16 * 1024;
/// Interval at which the faults are checked while a direction is blocked.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Faults of one direction between two processes.
#[derive(Debug, Clone, Copy, Default)]
struct LinkFaults {
    /// Bytes are held back until the cut ends.
    cut: bool,
    delay: Duration,
    /// Delay that is part of the network and is not ended with the faults.
    constant_delay: Duration,
    /// Connections with a lower number pass no more bytes but stay open.
    silenced_before: u64,
    /// Connections with a lower number are closed.
    reset_before: u64,
}

#[derive(Debug, Default)]
struct FaultTable {
    faults: HashMap<(SocketAddr, SocketAddr), LinkFaults>,
    /// Number of the next connection.
    next_connection: u64,
}

/// The faults of all pairs of processes, shared by all proxies.
#[derive(Debug, Clone, Default)]
pub(crate) struct Network(Arc<Mutex<FaultTable>>);

impl Network {
    fn change(&self, from: SocketAddr, to: SocketAddr, change: impl FnOnce(&mut LinkFaults, u64)) {
        let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let next_connection = table.next_connection;
        change(table.faults.entry((from, to)).or_default(), next_connection);
    }

    /// Starts or ends a cut of one direction.
    pub(crate) fn cut(&self, from: SocketAddr, to: SocketAddr, cut: bool) {
        self.change(from, to, |d, _| d.cut = cut);
    }

    pub(crate) fn delay(&self, from: SocketAddr, to: SocketAddr, delay: Duration) {
        self.change(from, to, |d, _| d.delay = delay);
    }

    /// Sets a delay that remains when the network is healed.
    pub(crate) fn set_constant_delay(&self, from: SocketAddr, to: SocketAddr, delay: Duration) {
        self.change(from, to, |d, _| d.constant_delay = delay);
    }

    /// Makes the open connections pass no more bytes without closing them. New connections work.
    pub(crate) fn silence(&self, from: SocketAddr, to: SocketAddr) {
        self.change(from, to, |d, next| d.silenced_before = next);
    }

    /// Closes open connections.
    pub(crate) fn reset(&self, from: SocketAddr, to: SocketAddr) {
        self.change(from, to, |d, next| d.reset_before = next);
    }

    /// Ends all cuts, and all delays but the constant ones.
    pub(crate) fn heal(&self) {
        let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for faults in table.faults.values_mut() {
            faults.cut = false;
            faults.delay = Duration::ZERO;
        }
    }

    fn faults_between(&self, from: SocketAddr, to: SocketAddr) -> LinkFaults {
        let table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        table.faults.get(&(from, to)).copied().unwrap_or_default()
    }

    fn allocate_number(&self) -> u64 {
        let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        table.next_connection += 1;
        table.next_connection - 1
    }

    /// Forwards connections to `address` to `target` until the runtime ends.
    pub(crate) async fn serve(self, address: SocketAddr, target: SocketAddr) {
        let listener = TcpListener::bind(address).await.unwrap();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let network = self.clone();
            tokio::spawn(async move { network.proxy_connection(stream, address, target).await });
        }
    }

    async fn proxy_connection(
        &self,
        mut client: TcpStream,
        address: SocketAddr,
        target: SocketAddr,
    ) -> Option<()> {
        let number = self.allocate_number();
        let length = client.read_u8().await.ok()?;
        let mut text = vec![0; usize::from(length)];
        client.read_exact(&mut text).await.ok()?;
        let peer: SocketAddr = String::from_utf8(text.clone()).ok()?.parse().ok()?;
        while self.faults_between(peer, address).cut {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        // If no process listens on `target`, the connection is closed at once.
        let mut server = TcpStream::connect(target).await.ok()?;
        server.write_u8(length).await.ok()?;
        server.write_all(&text).await.ok()?;
        let (client_in, client_out) = client.into_split();
        let (server_in, server_out) = server.into_split();
        tokio::select! {
            () = self.copy(client_in, server_out, number, (peer, address)) => {}
            () = self.copy(server_in, client_out, number, (address, peer)) => {}
        }
        Some(())
    }

    async fn copy(
        &self,
        mut input: tokio::net::tcp::OwnedReadHalf,
        mut output: tokio::net::tcp::OwnedWriteHalf,
        number: u64,
        (from, to): (SocketAddr, SocketAddr),
    ) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let faults = self.faults_between(from, to);
            if number < faults.reset_before {
                return;
            }
            if faults.cut || number < faults.silenced_before {
                tokio::time::sleep(CHECK_INTERVAL).await;
                continue;
            }
            let read = tokio::time::timeout(CHECK_INTERVAL * 4, input.read(&mut chunk)).await;
            let Ok(read) = read else { continue };
            let Ok(count @ 1..) = read else { return };
            tokio::time::sleep(faults.delay + faults.constant_delay).await;
            while self.faults_between(from, to).cut {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
            if output.write_all(&chunk[..count]).await.is_err() {
                return;
            }
        }
    }
}
