//! HTTP/1 server based on hyper, with timeouts for slow clients.

use std::{
    convert::Infallible,
    future::Future,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body, Bytes, Incoming},
    header::{ALLOW, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    sync::Semaphore,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Timeout for reading the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
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
pub(crate) enum BodyError {
    TooLong,
    TooSlow,
    Truncated,
}

/// A request with its body, or the reason why the body could not be read.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    pub(crate) peer: SocketAddr,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: Result<Bytes, BodyError>,
}

impl HttpRequest {
    /// Returns the names and values of the query parameters, without decoding them.
    pub(crate) fn options(&self) -> impl Iterator<Item = (&str, &str)> {
        let options = self.query.split('&').filter(|option| !option.is_empty());
        options.map(|option| option.split_once('=').unwrap_or((option, "")))
    }
}

/// Reply of a request handler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HttpReply {
    pub(crate) status: u16,
    pub(crate) content_type: &'static str,
    /// Value of the `Retry-After` header in seconds.
    pub(crate) retry_after: Option<u64>,
    /// Value of the `Allow` header; empty if the reply has none.
    pub(crate) allow: &'static str,
    /// Outcome label in the metrics; empty if the reply has none.
    pub(crate) outcome: &'static str,
    pub(crate) body: Vec<u8>,
}

impl HttpReply {
    pub(crate) fn new(
        status: u16,
        content_type: &'static str,
        body: impl Into<Vec<u8>>,
    ) -> HttpReply {
        HttpReply {
            status,
            content_type,
            retry_after: None,
            allow: "",
            outcome: "",
            body: body.into(),
        }
    }

    pub(crate) fn with_outcome(self, outcome: &'static str) -> HttpReply {
        HttpReply { outcome, ..self }
    }

    pub(crate) fn json(status: u16, body: &serde_json::Value) -> HttpReply {
        HttpReply::new(status, "application/json", body.to_string())
    }
}

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerLimits {
    pub(crate) max_connections: usize,
    pub(crate) max_body_bytes: usize,
}

/// Serves requests with `handler` until `stop` is cancelled; returns when the last reply is written.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(HttpRequest) -> F + Clone + Send + 'static,
    F: Future<Output = HttpReply> + Send + 'static,
{
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return log::error!("E310 cannot serve HTTP: {e}"),
    };
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accept = async {
            let permit = Arc::clone(&permits).acquire_owned().await;
            (
                permit.expect("the semaphore is never closed"),
                listener.accept().await,
            )
        };
        let (permit, stream, peer) = tokio::select! {
            () = stop.cancelled() => break,
            (permit, accepted) = accept => match accepted {
                Ok((stream, peer)) => (permit, stream, peer),
                Err(e) => {
                    log::warn!("E311 cannot accept a connection: {e}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let closing = stop.clone();
        connections.spawn(async move {
            let _permit = permit;
            let service = service_fn(move |request| {
                handle_request(request, peer, limits.max_body_bytes, handler.clone())
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let closed = tokio::select! {
                closed = connection.as_mut() => closed,
                () = closing.cancelled() => {
                    // Finish the request in progress.
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(e) = closed {
                log::debug!("E312 client connection failed: {e}");
            }
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn handle_request<H, F>(
    request: Request<Incoming>,
    peer: SocketAddr,
    max_bytes: usize,
    handler: H,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpReply>,
{
    let (head, body) = request.into_parts();
    let body = timeout(BODY_TIMEOUT, read_body(body, max_bytes))
        .await
        .unwrap_or(Err(BodyError::TooSlow));
    let request = HttpRequest {
        peer,
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    };
    let reply = handler(request).await;
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(reply.content_type));
    if let Some(seconds) = reply.retry_after {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if !reply.allow.is_empty() {
        response
            .headers_mut()
            .insert(ALLOW, HeaderValue::from_static(reply.allow));
    }
    Ok(response)
}

async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    let max_read = max_bytes as u64 * MAX_READ_FACTOR;
    if body.size_hint().lower() > max_read {
        return Err(BodyError::TooLong);
    }
    let mut kept = Vec::new();
    let mut seen = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Truncated)?.into_data() else {
            continue;
        };
        seen += data.len() as u64;
        if seen > max_read {
            return Err(BodyError::TooLong);
        }
        if seen > max_bytes as u64 {
            kept = Vec::new();
        } else {
            kept.extend_from_slice(&data);
        }
    }
    if seen > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    Ok(Bytes::from(kept))
}
