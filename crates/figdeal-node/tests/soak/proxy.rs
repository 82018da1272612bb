//! Proxies before the processes. Each connection tells who has opened it, so faults hold for one pair and one direction.

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

/// Bytes that are passed on at once.
const CHUNK: usize = 16 * 1024;
/// Time between two looks at the faults while nothing may pass.
const PAUSE: Duration = Duration::from_millis(5);

/// What happens to bytes from one process to another.
#[derive(Debug, Clone, Copy, Default)]
struct Direction {
    /// Bytes wait.
    cut: bool,
    delay: Duration,
    /// Connections opened before this number pass nothing any more, without being closed.
    silenced: u64,
    /// Connections opened before this number are closed.
    reset: u64,
}

#[derive(Debug, Default)]
struct Table {
    directions: HashMap<(SocketAddr, SocketAddr), Direction>,
    /// Number of the next connection.
    next: u64,
}

/// The faults of all pairs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Network(Arc<Mutex<Table>>);

impl Network {
    fn change(&self, from: SocketAddr, to: SocketAddr, change: impl FnOnce(&mut Direction, u64)) {
        let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let next = table.next;
        change(table.directions.entry((from, to)).or_default(), next);
    }

    /// Cuts or joins one direction.
    pub(crate) fn cut(&self, from: SocketAddr, to: SocketAddr, cut: bool) {
        self.change(from, to, |d, _| d.cut = cut);
    }

    pub(crate) fn delay(&self, from: SocketAddr, to: SocketAddr, delay: Duration) {
        self.change(from, to, |d, _| d.delay = delay);
    }

    /// Open connections pass nothing any more; new ones work.
    pub(crate) fn silence(&self, from: SocketAddr, to: SocketAddr) {
        self.change(from, to, |d, next| d.silenced = next);
    }

    /// Closes open connections.
    pub(crate) fn reset(&self, from: SocketAddr, to: SocketAddr) {
        self.change(from, to, |d, next| d.reset = next);
    }

    /// Ends all cuts and delays.
    pub(crate) fn heal(&self) {
        let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for direction in table.directions.values_mut() {
            direction.cut = false;
            direction.delay = Duration::ZERO;
        }
    }

    fn look(&self, from: SocketAddr, to: SocketAddr) -> Direction {
        let table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        table
            .directions
            .get(&(from, to))
            .copied()
            .unwrap_or_default()
    }

    fn number(&self) -> u64 {
        let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        table.next += 1;
        table.next - 1
    }

    /// Passes connections to `own` on to `behind` until the runtime ends.
    pub(crate) async fn serve(self, own: SocketAddr, behind: SocketAddr) {
        let listener = TcpListener::bind(own).await.unwrap();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let network = self.clone();
            tokio::spawn(async move { network.pass(stream, own, behind).await });
        }
    }

    async fn pass(&self, mut near: TcpStream, own: SocketAddr, behind: SocketAddr) -> Option<()> {
        let number = self.number();
        let length = near.read_u8().await.ok()?;
        let mut text = vec![0; usize::from(length)];
        near.read_exact(&mut text).await.ok()?;
        let peer: SocketAddr = String::from_utf8(text.clone()).ok()?.parse().ok()?;
        while self.look(peer, own).cut {
            tokio::time::sleep(PAUSE).await;
        }
        // The connection ends at once if no process listens.
        let mut far = TcpStream::connect(behind).await.ok()?;
        far.write_u8(length).await.ok()?;
        far.write_all(&text).await.ok()?;
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        tokio::select! {
            () = self.copy(near_in, far_out, number, (peer, own)) => {}
            () = self.copy(far_in, near_out, number, (own, peer)) => {}
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
        let mut chunk = vec![0; CHUNK];
        loop {
            let direction = self.look(from, to);
            if number < direction.reset {
                return;
            }
            if direction.cut || number < direction.silenced {
                tokio::time::sleep(PAUSE).await;
                continue;
            }
            let read = tokio::time::timeout(PAUSE * 4, input.read(&mut chunk)).await;
            let Ok(read) = read else { continue };
            let Ok(count @ 1..) = read else { return };
            tokio::time::sleep(direction.delay).await;
            while self.look(from, to).cut {
                tokio::time::sleep(PAUSE).await;
            }
            if output.write_all(&chunk[..count]).await.is_err() {
                return;
            }
        }
    }
}
