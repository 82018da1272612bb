//! HTTP/1.1 over blocking sockets: a client for one request on one connection, and a small server.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A request as the server received it.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub expected_instance: Option<String>,
    pub body: Vec<u8>,
}

/// Writes a request without reading the response.
pub fn write_request(
    stream: &mut TcpStream,
    method: &str,
    host: &str,
    path: &str,
    deadline: Option<Duration>,
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    if let Some(deadline) = deadline {
        head += &format!("Deadline-Ms: {}\r\n", deadline.as_millis());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Reads the status and the body of a response.
pub fn read_response(stream: &TcpStream) -> io::Result<(u16, Vec<u8>)> {
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    let (length, _) = read_headers(&mut reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((status, body))
}

/// Sends a request on a new connection and returns the status and body of the response.
pub fn exchange(
    to: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    timeout: Duration,
    body: &[u8],
) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    write_request(&mut stream, method, host, path, Some(timeout), body)?;
    read_response(&stream)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Returns the length of the body and the intended lifetime of the runner.
fn read_headers(reader: &mut impl BufRead) -> io::Result<(usize, Option<String>)> {
    let (mut length, mut expected) = (0, None);
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok((length, expected));
        }
        let Some((name, value)) = line.split_once(':') else {
            continue;
        };
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().map_err(io::Error::other)?,
            "expected-instance" => expected = Some(value.to_owned()),
            _ => {}
        }
    }
}

/// The open connections of a server.
#[derive(Debug, Clone, Default)]
pub struct OpenConnections(Arc<Mutex<Vec<TcpStream>>>);

impl OpenConnections {
    /// Closes all connections.
    pub fn close(&self) {
        for stream in self.0.lock().unwrap().drain(..) {
            // The peer may have closed it already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests until the process ends, each connection on its own thread. Without an answer of the handler the
/// connection is closed.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
) -> OpenConnections {
    let handler = Arc::new(handler);
    let open = OpenConnections::default();
    let connections = open.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if let Ok(copy) = stream.try_clone() {
                connections.0.lock().unwrap().push(copy);
            }
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                // A connection that fails is closed; its peer opens another one.
                let _ = serve_connection(&stream, &*handler);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    open
}

fn serve_connection(
    stream: &TcpStream,
    handler: &dyn Fn(Request) -> Option<(u16, String)>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let line = read_line(&mut reader)?;
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let (length, expected_instance) = read_headers(&mut reader)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let request = Request {
            method,
            path,
            expected_instance,
            body,
        };
        let Some((status, text)) = handler(request) else {
            return Ok(());
        };
        let response = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        output.write_all(response.as_bytes())?;
    }
}
