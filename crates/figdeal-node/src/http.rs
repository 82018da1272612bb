//! HTTP server for callers, operators, the load balancer and the worker's heartbeats.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use figdeal_platform::{Response as PlatformResponse, ingress::DEADLINE_HEADER};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::watch};

/// Largest accepted request body; a larger one is answered with status 413.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Size of the read buffer, which bounds the headers of a request.
const MAX_HEADER_BYTES: usize = 16 * 1024;
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
    /// Complete body, at most [`MAX_BODY_BYTES`] long.
    pub(crate) body: Bytes,
}

/// Serves HTTP on `address` until the process ends. Once `closing` is true, each connection is closed after its next
/// response.
///
/// # Errors
/// Fails when it cannot listen on the address.
pub(crate) async fn serve<F, R>(
    address: SocketAddr,
    closing: watch::Receiver<bool>,
    handler: F,
) -> io::Result<()>
where
    F: Fn(HttpRequest) -> R + Send + Sync + 'static,
    R: Future<Output = PlatformResponse> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let (handler, closing) = (Arc::clone(&handler), closing.clone());
                    tokio::spawn(serve_connection(stream, closing, handler));
                }
                Err(e) => {
                    log::warn!("E656 cannot accept an HTTP connection address={address} error={e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve_connection<F, R>(
    stream: tokio::net::TcpStream,
    closing: watch::Receiver<bool>,
    handler: Arc<F>,
) where
    F: Fn(HttpRequest) -> R + Send + Sync + 'static,
    R: Future<Output = PlatformResponse> + Send + 'static,
{
    let mut closed = closing.clone();
    let service = service_fn(move |request| {
        let (handler, closing) = (Arc::clone(&handler), closing.clone());
        async move { Ok::<_, Infallible>(handle_request(request, &*handler, &closing).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
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

/// Returns once `closing` is true. If the sender is dropped, connections stay open and this never returns.
async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending().await
    }
}

async fn handle_request<F, R>(
    request: Request<Incoming>,
    handler: &F,
    closing: &watch::Receiver<bool>,
) -> Response<Full<Bytes>>
where
    F: Fn(HttpRequest) -> R,
    R: Future<Output = PlatformResponse>,
{
    let method = request.method().as_str().to_owned();
    let path = request.uri().path().to_owned();
    let host = request
        .headers()
        .get(HOST)
        .and_then(|h| h.to_str().ok())
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default().to_owned();
    let caller_timeout = request
        .headers()
        .get(DEADLINE_HEADER)
        .and_then(|v| v.to_str().ok()?.parse().ok());
    let caller_timeout = caller_timeout.map(Duration::from_millis);
    let body = match Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            log::info!("E659 cannot read the request body path={path} error={e}");
            return into_http_response(PlatformResponse::new(413), closing);
        }
    };
    into_http_response(
        handler(HttpRequest {
            method,
            host,
            path,
            caller_timeout,
            body,
        })
        .await,
        closing,
    )
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
