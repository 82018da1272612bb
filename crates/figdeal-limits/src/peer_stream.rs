//! Stream of a connection between processes whose frames have a length of four bytes in network byte order. It tells
//! the gate what incomplete frames hold.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::oneshot,
};

use crate::{
    client_table::{Class, Refusal},
    gate::{Client, Gate, Reservation},
};

/// Size of the length before a frame.
const LENGTH_BYTES: usize = 4;
/// What an incomplete frame may hold outside the budget.
const FREE_FRAME_BYTES: usize = 8 * 1024;

/// A connection that another process has opened.
#[derive(Debug)]
pub struct PeerStream {
    stream: TcpStream,
    frames: FrameMeter,
}

impl PeerStream {
    /// Admits a connection. Returns `None` if it has to be closed. The receiver ends when the connection is evicted.
    pub fn admit(
        stream: TcpStream,
        peer: SocketAddr,
        gate: &Arc<Gate>,
    ) -> Option<(PeerStream, oneshot::Receiver<()>)> {
        let (client, evicted) = gate.open(peer.ip(), Class::Ordinary)?;
        let frames = FrameMeter {
            client: Arc::new(client),
            reservation: None,
            reserved_bytes: FREE_FRAME_BYTES,
            lengths: FrameLengths::default(),
        };
        Some((PeerStream { stream, frames }, evicted))
    }
}

/// Finds the frames in the received bytes.
///
/// ```
/// use figdeal_limits::peer_stream::FrameLengths;
///
/// let mut lengths = FrameLengths::default();
/// lengths.add(&[0, 0, 0, 2, 7]);
/// assert_eq!(lengths.incomplete_bytes(), 5);
/// lengths.add(&[7]);
/// assert_eq!(lengths.incomplete_bytes(), 0);
/// ```
#[derive(Debug, Default)]
pub struct FrameLengths {
    length: [u8; LENGTH_BYTES],
    /// Received bytes of the present frame, with its length; 0 if none has begun.
    received: usize,
}

impl FrameLengths {
    /// Adds received bytes.
    pub fn add(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.received < LENGTH_BYTES {
                self.length[self.received] = bytes[0];
                self.received += 1;
                bytes = &bytes[1..];
            } else {
                let taken = bytes.len().min(self.size() - self.received);
                self.received += taken;
                bytes = &bytes[taken..];
            }
            if self.received >= LENGTH_BYTES && self.received == self.size() {
                self.received = 0;
            }
        }
    }

    /// Returns the received bytes of the frame that is incomplete.
    pub fn incomplete_bytes(&self) -> usize {
        self.received
    }

    fn size(&self) -> usize {
        LENGTH_BYTES + u32::from_be_bytes(self.length) as usize
    }
}

/// Counts what incomplete frames hold.
#[derive(Debug)]
struct FrameMeter {
    client: Arc<Client>,
    reservation: Option<Reservation>,
    /// What an incomplete frame may hold by now.
    reserved_bytes: usize,
    lengths: FrameLengths,
}

impl FrameMeter {
    fn on_received(&mut self, bytes: &[u8]) -> Result<(), Refusal> {
        self.lengths.add(bytes);
        let incomplete = self.lengths.incomplete_bytes();
        if incomplete == 0 {
            self.reservation = None;
            self.reserved_bytes = FREE_FRAME_BYTES;
            self.client.end_message();
            return Ok(());
        }
        self.client.on_received(bytes.len(), 0)?;
        if incomplete > self.reserved_bytes {
            self.reservation = None;
            self.reserved_bytes = 2 * incomplete;
            self.reservation = Some(self.client.reserve(self.reserved_bytes)?);
        }
        Ok(())
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let received = &buffer.filled()[before..];
        let result = self.frames.on_received(received);
        Poll::Ready(result.map_err(io::Error::other))
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
