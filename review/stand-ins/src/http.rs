//! A small HTTP/1.1 client and server over blocking sockets, enough for the platform's calls.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as a server reads it.
pub struct Request {
    pub method: String,
    pub path: String,
    /// Value of the header `Expected-Instance`, if it is present.
    pub expected_instance: Option<String>,
    pub body: Vec<u8>,
}

/// A response: status and body.
pub struct Response {
    pub status: u16,
    pub body: String,
}

/// A message as read from a stream: its first line, its headers with names in lower case, and its body.
struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// Reads the header lines and the body that `Content-Length` announces. Returns `None` at the end of the stream.
fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = headers
        .iter()
        .find(|(name, _)| name == "content-length")
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Message {
        first,
        headers,
        body,
    }))
}

/// Serves requests on `address`, with one thread for each connection, until the process ends.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(Request) -> Response + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Response) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = read_message(&mut reader) {
        let Message {
            first,
            headers,
            body,
        } = message;
        let mut words = first.split_whitespace();
        let request = Request {
            method: words.next()?.to_owned(),
            path: words.next()?.to_owned(),
            expected_instance: headers
                .into_iter()
                .find(|(name, _)| name == "expected-instance")
                .map(|(_, value)| value),
            body,
        };
        let Response { status, body } = handler(request);
        let text = format!(
            "HTTP/1.1 {status} status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(text.as_bytes()).ok()?;
    }
    Some(())
}

/// A request of a client.
pub struct Call<'a> {
    pub to: SocketAddr,
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub body: &'a str,
    /// Time for which the client waits; it is also sent as `Deadline-Ms`.
    pub timeout: Duration,
}

/// Sends a request on a new connection. Returns `None` if there is no complete response in time.
pub fn call(call: &Call) -> Option<Response> {
    let Call {
        to,
        method,
        host,
        path,
        body,
        timeout,
    } = call;
    let stream = TcpStream::connect_timeout(to, *timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(*timeout)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\ndeadline-ms: {}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    (&stream).write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(&stream);
    let Message { first, body, .. } = read_message(&mut reader).ok()??;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    let body = String::from_utf8(body).ok()?;
    Some(Response { status, body })
}
