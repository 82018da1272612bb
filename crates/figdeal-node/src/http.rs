//! HTTP server for callers, operators, the load balancer and the worker's heartbeats.

use std::{error::Error, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use figdeal_limits::{
    ClientLimits,
    body::{self, RequestBody},
    client_stream::ClientStream,
    client_table::{Class, Refusal},
    gate::{self, Client, Gate},
};
use figdeal_platform::{Response as PlatformResponse, ingress::DEADLINE_HEADER};
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER},
    http::request::Parts,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Sizes of the socket buffers of a connection, in bytes. The kernel would enlarge them to several megabytes for each
/// client that sends without end or does not read its answers.
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;
/// Size that covers an ordinary answer.
const SMALL_ANSWER_BYTES: usize = 4_096;
/// Retry delay in refusals because the budget is used up.
const RETRY_AFTER_MS: u32 = 1_000;
/// Delay before the next attempt after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A received request with its complete body.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    /// HTTP method.
    pub(crate) method: String,
    /// Value of the `Host` header without the port; empty if the header is missing.
    pub(crate) host: String,
    /// Path of the URL, without the query.
    pub(crate) path: String,
    /// Time for which the caller waits for the response, from the header `deadline-ms`.
    pub(crate) caller_timeout: Option<Duration>,
    /// Complete body. It counts as held until it is dropped.
    pub(crate) body: RequestBody,
}

/// What the HTTP listeners of a process share.
#[derive(Debug, Clone)]
pub(crate) struct HttpLimits {
    gate: Arc<Gate>,
    header_bytes: usize,
    body_bytes: usize,
    /// What a request holds for its answer while it is handled.
    answer_bytes: usize,
}

impl HttpLimits {
    /// Starts the gate for HTTP.
    pub(crate) fn start(limits: &ClientLimits) -> HttpLimits {
        HttpLimits {
            gate: Gate::start("http", gate::http_limits(limits)),
            header_bytes: limits.header_bytes,
            body_bytes: limits.body_bytes,
            answer_bytes: SMALL_ANSWER_BYTES,
        }
    }

    /// Returns the limits for a listener whose answers can be as long as a body, as that of operators.
    pub(crate) fn with_large_answers(&self) -> HttpLimits {
        HttpLimits {
            answer_bytes: self.body_bytes,
            ..self.clone()
        }
    }
}

/// Serves HTTP on `address` until the process ends. Once `closing` is true, each connection is closed after its next
/// response.
///
/// # Errors
/// Fails when it cannot listen on the address.
pub(crate) async fn serve<F, R>(
    address: SocketAddr,
    class: Class,
    limits: &HttpLimits,
    closing: watch::Receiver<bool>,
    handler: F,
) -> io::Result<()>
where
    F: Fn(HttpRequest) -> R + Send + Sync + 'static,
    R: Future<Output = PlatformResponse> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    // Accepted connections inherit the sizes.
    let socket = socket2::SockRef::from(&listener);
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    let (handler, limits) = (Arc::new(handler), limits.clone());
    tokio::spawn(async move {
        loop {
            let (stream, peer) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!("E656 cannot accept an HTTP connection address={address} error={e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let Some((client, evicted)) = limits.gate.open(peer.ip(), class) else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let connection = HttpConnection {
                client: Arc::new(client),
                limits: limits.clone(),
                closing: closing.clone(),
            };
            let handler = Arc::clone(&handler);
            tokio::spawn(async move {
                tokio::select! {
                    biased;
                    // An evicted connection is closed at once, to return its memory.
                    _ = evicted => {}
                    () = connection.run(stream, handler) => {}
                }
            });
        }
    });
    Ok(())
}

/// An admitted connection.
#[derive(Debug, Clone)]
struct HttpConnection {
    client: Arc<Client>,
    limits: HttpLimits,
    closing: watch::Receiver<bool>,
}

impl HttpConnection {
    async fn run<F, R>(self, stream: TcpStream, handler: Arc<F>)
    where
        F: Fn(HttpRequest) -> R + Send + Sync + 'static,
        R: Future<Output = PlatformResponse> + Send + 'static,
    {
        let mut closed = self.closing.clone();
        let header_bytes = self.limits.header_bytes;
        let stream = ClientStream::new(stream, Arc::clone(&self.client), header_bytes);
        let service = service_fn(move |request| {
            let (connection, handler) = (self.clone(), Arc::clone(&handler));
            async move { connection.handle_request(request, &*handler).await }
        });
        // The gate bounds the time for headers, so hyper needs no timer.
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(header_bytes)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(e) = result {
                    log::debug!("E657 HTTP connection failed error={e}");
                }
                return;
            }
            () = wait_for_close(&mut closed) => {}
        }
        connection.as_mut().graceful_shutdown();
        if let Err(e) = connection.await {
            log::debug!("E658 HTTP connection failed during graceful shutdown error={e}");
        }
    }

    /// Handles a request. An error closes the connection without an answer.
    async fn handle_request<F, R>(
        &self,
        request: Request<Incoming>,
        handler: &F,
    ) -> Result<Response<Full<Bytes>>, Refusal>
    where
        F: Fn(HttpRequest) -> R,
        R: Future<Output = PlatformResponse>,
    {
        let header_bytes = self.limits.header_bytes;
        let (parts, incoming) = request.into_parts();
        let body = match self.client.begin_body(header_bytes) {
            Ok(()) => body::read(incoming, &self.client, self.limits.body_bytes).await,
            Err(refusal) => Err(refusal.into()),
        };
        let complete = body.and_then(|body| {
            let answer_bytes = self.limits.answer_bytes;
            self.client.begin_handling(header_bytes, answer_bytes)?;
            Ok(body)
        });
        let response = match complete {
            Ok(body) => {
                let request = decode_request(&parts, body);
                // The headers hold the read buffer.
                drop(parts);
                handler(request).await
            }
            Err(error) => self.refuse(error.as_ref(), &parts),
        };
        self.client.begin_answer(response.body.len())?;
        Ok(into_http_response(response, &self.closing))
    }

    /// Returns the response to a request whose body was not read. The connection closes with it.
    fn refuse(&self, error: &(dyn Error + 'static), parts: &Parts) -> PlatformResponse {
        let mut response = match error.downcast_ref::<Refusal>() {
            Some(Refusal::BodySize) => {
                self.client.report_body_size();
                PlatformResponse::new(413)
            }
            Some(_) => PlatformResponse {
                retry_after_ms: Some(RETRY_AFTER_MS),
                ..PlatformResponse::new(503)
            },
            None => {
                let path = parts.uri.path();
                log::debug!("E659 cannot read the request body path={path} error={error}");
                PlatformResponse::new(400)
            }
        };
        response.close_connection = true;
        response
    }
}

/// Returns once `closing` is true. If the sender is dropped, connections stay open and this never returns.
async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending().await
    }
}

fn decode_request(parts: &Parts, body: RequestBody) -> HttpRequest {
    let header = |name| parts.headers.get(name).and_then(|v| v.to_str().ok());
    let host = header(HOST.as_str()).unwrap_or_default();
    let caller_timeout = header(DEADLINE_HEADER).and_then(|v| v.parse().ok());
    HttpRequest {
        method: parts.method.as_str().to_owned(),
        host: host.split(':').next().unwrap_or_default().to_owned(),
        path: parts.uri.path().to_owned(),
        caller_timeout: caller_timeout.map(Duration::from_millis),
        body,
    }
}

fn into_http_response(
    answer: PlatformResponse,
    closing: &watch::Receiver<bool>,
) -> Response<Full<Bytes>> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::builder().status(status);
    if !answer.body.is_empty() {
        builder = builder.header(CONTENT_TYPE, "application/json");
    }
    if let Some(retry) = answer.retry_after_ms {
        builder = builder.header(RETRY_AFTER, retry.div_ceil(1_000).max(1));
    }
    if answer.close_connection || *closing.borrow() {
        builder = builder.header(CONNECTION, "close");
    }
    builder
        .body(Full::from(answer.body))
        .expect("the parts of the response are valid")
}
