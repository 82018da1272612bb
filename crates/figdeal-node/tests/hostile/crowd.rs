//! Clients that misbehave. All of them ignore what the process answers and how it closes a connection.

use std::{
    io::{Read, Result, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Threads of a crowd.
const THREADS: usize = 8;
/// A client gives up a write that the process does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// A client gives up an answer that does not arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Connects clients, lets each one act, and returns the connections, which stay open.
pub(crate) fn connect(
    count: usize,
    to: SocketAddr,
    act: impl Fn(usize, &mut TcpStream) -> Result<()> + Sync,
) -> Vec<TcpStream> {
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|first| {
                let act = &act;
                scope.spawn(move || {
                    let numbers = (first..count).step_by(THREADS);
                    numbers
                        .filter_map(|n| connect_one(n, to, act))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        let streams = threads.into_iter().map(|t| t.join().unwrap());
        streams.flatten().collect()
    })
}

fn connect_one(
    n: usize,
    to: SocketAddr,
    act: &impl Fn(usize, &mut TcpStream) -> Result<()>,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, WRITE_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    // The process may refuse the client at any time.
    let _ = act(n, &mut stream);
    Some(stream)
}

/// Announces a body and sends a part of it.
pub(crate) fn send_body(
    stream: &mut TcpStream,
    announced: usize,
    sent: usize,
    piece: usize,
) -> Result<()> {
    write!(
        stream,
        "POST /none/1 HTTP/1.1\r\nhost: caller\r\ncontent-length: {announced}\r\n\r\n"
    )?;
    let bytes = vec![b'x'; piece];
    let mut left = sent;
    while left > 0 {
        let size = left.min(piece);
        stream.write_all(&bytes[..size])?;
        left -= size;
    }
    Ok(())
}

/// Sends what begins a connection of HTTP/2, and bytes that are no frame.
pub(crate) fn send_preface(stream: &mut TcpStream) -> Result<()> {
    stream.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")?;
    stream.write_all(&[0xff; 65_536])
}

/// Asks for another protocol, and sends bytes of it.
pub(crate) fn send_upgrade(stream: &mut TcpStream) -> Result<()> {
    write!(
        stream,
        "GET /none/ HTTP/1.1\r\nhost: caller\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n"
    )?;
    stream.write_all(&[0x82; 65_536])
}

/// Announces a body with a question whether to send it, and sends a part of it without waiting for the answer.
pub(crate) fn send_expectation(
    stream: &mut TcpStream,
    announced: usize,
    sent: usize,
) -> Result<()> {
    write!(
        stream,
        "POST /none/1 HTTP/1.1\r\nhost: caller\r\nexpect: 100-continue\r\ncontent-length: {announced}\r\n\r\n"
    )?;
    stream.write_all(&vec![b'x'; sent])
}

/// Sends chunks without the last one.
pub(crate) fn send_chunks(stream: &mut TcpStream, size: usize, count: usize) -> Result<()> {
    write!(
        stream,
        "POST /none/1 HTTP/1.1\r\nhost: caller\r\ntransfer-encoding: chunked\r\n\r\n"
    )?;
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    let per_write = (65_536 / chunk.len()).clamp(1, count);
    let bytes = chunk.repeat(per_write);
    for _ in 0..count / per_write {
        stream.write_all(bytes.as_bytes())?;
    }
    Ok(())
}

/// Sends headers without their end.
pub(crate) fn send_headers(stream: &mut TcpStream, bytes: usize) -> Result<()> {
    let header = format!("x-header: {}\r\n", "x".repeat(200));
    write!(stream, "GET /none/ HTTP/1.1\r\nhost: caller\r\n")?;
    stream.write_all(header.repeat(bytes / header.len()).as_bytes())
}

/// Sends complete requests at once.
pub(crate) fn send_requests(stream: &mut TcpStream, path: &str, count: usize) -> Result<()> {
    let request = format!("GET {path} HTTP/1.1\r\nhost: caller\r\n\r\n");
    stream.write_all(request.repeat(count).as_bytes())
}

/// Waits for the first byte of an answer.
pub(crate) fn wait_for_answer(stream: &mut TcpStream) -> Result<()> {
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.read_exact(&mut [0])
}

/// Sends requests up to a step. Dropping the connection resets it.
pub(crate) fn reset_at_step(stream: &mut TcpStream, step: usize) -> Result<()> {
    socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
    if step >= 3 {
        // The connection is kept alive after the first answer.
        send_requests(stream, "/none/", 1)?;
        wait_for_answer(stream)?;
    }
    match step % 3 {
        0 => send_headers(stream, 1_000),
        1 => send_body(stream, 200_000, 100_000, 65_536),
        _ => send_chunks(stream, 1_000, 100),
    }
}

/// Sends the address with which other processes begin a connection, one that no process has.
pub(crate) fn send_greeting(stream: &mut TcpStream, n: usize) -> Result<()> {
    let address = format!("127.0.99.{}:{}", n % 250 + 1, n + 1);
    stream.write_all(&[address.len() as u8])?;
    stream.write_all(address.as_bytes())
}

/// Announces a message of other processes and sends a part of it.
pub(crate) fn send_frame(stream: &mut TcpStream, announced: u32, sent: usize) -> Result<()> {
    stream.write_all(&announced.to_le_bytes())?;
    let bytes = vec![0; 65_536];
    for _ in 0..sent / bytes.len() {
        stream.write_all(&bytes)?;
    }
    Ok(())
}
