//! HTTP/1 server of agents and entries, based on hyper. A gate bounds its connections and what their requests hold.

use figdeal_limits::{
    ClientLimits,
    body::RequestBody,
    client_stream::ClientStream,
    client_table::{Class, Refusal},
    gate::{self, Client, Gate},
};
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body, Bytes, Incoming},
    header::{ALLOW, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use std::{
    future::Future,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::TcpStream,
    sync::oneshot,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Size that covers an ordinary answer.
const SMALL_ANSWER_BYTES: usize = 4_096;
/// Sizes of the socket buffers of a connection, in bytes. The kernel would enlarge them to several megabytes for each
/// client that sends without end or does not read its answers.
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;
/// Timeout for reading the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of bytes read from a body, as a multiple of the size limit. Bytes beyond the size limit are
/// discarded. If the server closed the connection while the client is still sending, the connection would be reset and
/// the client could lose the answer that states the limit.
const MAX_READ_FACTOR: u64 = 4;
/// Delay after a failed `accept`, which happens when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a request body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than the limit.
    TooLong,
    /// It did not arrive in time.
    TooSlow,
    /// The connection ended before the body.
    Truncated,
    /// The process holds as much for unfinished requests as it may.
    Overloaded,
}

impl From<Refusal> for BodyError {
    fn from(refusal: Refusal) -> BodyError {
        match refusal {
            Refusal::BodySize => BodyError::TooLong,
            _ => BodyError::Overloaded,
        }
    }
}

/// A request with its body, or the reason why the body could not be read.
#[derive(Debug)]
pub struct HttpRequest {
    /// Address of the client.
    pub peer: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path of the URL, without the query.
    pub path: String,
    /// Query of the URL; empty if there is none.
    pub query: String,
    /// Headers. They hold the read buffer, so they should be dropped before a long wait.
    pub headers: hyper::HeaderMap,
    /// Complete body. It counts as held until it is dropped.
    pub body: Result<RequestBody, BodyError>,
}

impl HttpRequest {
    /// Returns the names and values of the query parameters, without decoding them.
    pub fn options(&self) -> impl Iterator<Item = (&str, &str)> {
        let options = self.query.split('&').filter(|option| !option.is_empty());
        options.map(|option| option.split_once('=').unwrap_or((option, "")))
    }
}

/// Reply of a request handler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpReply {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Value of the `Retry-After` header in seconds.
    pub retry_after: Option<u64>,
    /// Value of the `Allow` header; empty if the reply has none.
    pub allow: &'static str,
    /// Outcome label in the metrics; empty if the reply has none.
    pub outcome: &'static str,
    /// Content.
    pub body: Vec<u8>,
}

impl HttpReply {
    /// Creates a reply without optional headers.
    ///
    /// ```
    /// use figdeal_agent::http_server::HttpReply;
    ///
    /// assert_eq!(HttpReply::new(200, "text/plain", "ok").body, b"ok");
    /// ```
    pub fn new(status: u16, content_type: &'static str, body: impl Into<Vec<u8>>) -> HttpReply {
        HttpReply {
            status,
            content_type,
            retry_after: None,
            allow: "",
            outcome: "",
            body: body.into(),
        }
    }

    /// Sets the outcome label in the metrics.
    pub fn with_outcome(self, outcome: &'static str) -> HttpReply {
        HttpReply { outcome, ..self }
    }

    /// Creates a reply with a JSON body.
    pub fn json(status: u16, body: &serde_json::Value) -> HttpReply {
        HttpReply::new(status, "application/json", body.to_string())
    }
}

/// Limits of a server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    gate: Arc<Gate>,
    header_bytes: usize,
    max_body_bytes: usize,
}

impl ServerLimits {
    /// Starts the gate of a server, whose connections have bodies of at most `max_body_bytes`. Requires a runtime.
    pub fn start(limits: &ClientLimits, max_body_bytes: usize) -> ServerLimits {
        ServerLimits {
            gate: Gate::start("http", gate::http_limits(limits)),
            header_bytes: limits.header_bytes,
            max_body_bytes,
        }
    }
}

/// Serves requests with `handler` until `stop` is cancelled; returns when the last reply is written.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpReply> + Send + 'static,
{
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return log::error!("E310 cannot serve HTTP: {e}"),
    };
    // Accepted connections inherit the sizes. Without them the connections still work.
    let socket = socket2::SockRef::from(&listener);
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let (stream, peer) = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!("E311 cannot accept a connection: {e}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
        };
        let Some((client, evicted)) = limits.gate.open(peer.ip(), Class::Ordinary) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = Connection {
            client: Arc::new(client),
            peer,
            limits: limits.clone(),
        };
        connections.spawn(connection.run(stream, evicted, stop.clone(), handler.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// An admitted connection.
#[derive(Debug, Clone)]
struct Connection {
    client: Arc<Client>,
    peer: SocketAddr,
    limits: ServerLimits,
}

impl Connection {
    /// Serves requests until the connection ends or is evicted. Once `stop` is cancelled, it ends after the request in
    /// progress.
    async fn run<H, F>(
        self,
        stream: TcpStream,
        evicted: oneshot::Receiver<()>,
        stop: CancellationToken,
        handler: H,
    ) where
        H: Fn(HttpRequest) -> F + Clone,
        F: Future<Output = HttpReply>,
    {
        let header_bytes = self.limits.header_bytes;
        let stream = ClientStream::new(stream, Arc::clone(&self.client), header_bytes);
        let service = service_fn(move |request| {
            let (connection, handler) = (self.clone(), handler.clone());
            async move { connection.handle_request(request, handler).await }
        });
        // The gate bounds the time for headers, so hyper needs no timer.
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(header_bytes)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let served = async {
            tokio::select! {
                closed = connection.as_mut() => return closed,
                () = stop.cancelled() => {}
            }
            connection.as_mut().graceful_shutdown();
            connection.await
        };
        let closed = tokio::select! {
            biased;
            // An evicted connection is closed at once, to return its memory.
            _ = evicted => return,
            closed = served => closed,
        };
        if let Err(e) = closed {
            log::debug!("E312 client connection failed: {e}");
        }
    }

    /// Handles a request. An error closes the connection without an answer.
    async fn handle_request<H, F>(
        &self,
        request: Request<Incoming>,
        handler: H,
    ) -> Result<Response<Full<Bytes>>, Refusal>
    where
        H: Fn(HttpRequest) -> F,
        F: Future<Output = HttpReply>,
    {
        let (head, incoming) = request.into_parts();
        let mut body = self.read_body(incoming).await;
        let begun = self
            .client
            .begin_handling(self.limits.header_bytes, SMALL_ANSWER_BYTES);
        if let Err(refusal) = begun {
            body = Err(refusal.into());
        }
        let reply = handler(HttpRequest {
            peer: self.peer,
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            body,
        })
        .await;
        self.client.begin_answer(reply.body.len())?;
        Ok(into_response(reply))
    }

    /// Reads a body within the size limit, the time limit and the budget.
    async fn read_body(&self, incoming: Incoming) -> Result<RequestBody, BodyError> {
        self.client.begin_body(self.limits.header_bytes)?;
        let read = read_body(incoming, &self.client, self.limits.max_body_bytes);
        let body = timeout(BODY_TIMEOUT, read).await;
        body.unwrap_or(Err(BodyError::TooSlow))
    }
}

fn into_response(reply: HttpReply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(reply.content_type));
    if let Some(seconds) = reply.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if !reply.allow.is_empty() {
        headers.insert(ALLOW, HeaderValue::from_static(reply.allow));
    }
    response
}

async fn read_body(
    mut incoming: Incoming,
    client: &Arc<Client>,
    max_bytes: usize,
) -> Result<RequestBody, BodyError> {
    let max_read = max_bytes as u64 * MAX_READ_FACTOR;
    if incoming.size_hint().lower() > max_read {
        return Err(BodyError::TooLong);
    }
    let mut kept = RequestBody::default();
    let mut seen = 0;
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Truncated)?.into_data() else {
            continue;
        };
        seen += data.len() as u64;
        if seen > max_read {
            return Err(BodyError::TooLong);
        }
        if seen > max_bytes as u64 {
            kept = RequestBody::default();
        } else {
            kept.append(&data, client, max_bytes).map_err(refusal)?;
        }
    }
    if seen > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    Ok(kept)
}

fn refusal(error: Box<dyn std::error::Error + Send + Sync>) -> BodyError {
    let refusal = error.downcast_ref::<Refusal>().copied();
    refusal.map_or(BodyError::Overloaded, BodyError::from)
}
