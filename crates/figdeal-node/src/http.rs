//! HTTP towards callers, operators, the balancer and the worker's heartbeats.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use figdeal_platform::{Response as Answer, ingress::DEADLINE_HEADER};
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

/// Longest body of a request.
const MAX_BODY: usize = 1024 * 1024;
/// Time for the headers of a request.
const HEADER_LIMIT: Duration = Duration::from_secs(15);
/// Bytes of headers of a request.
const MAX_HEADERS: usize = 16 * 1024;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A whole request.
#[derive(Debug)]
pub(crate) struct Call {
    /// Method.
    pub(crate) method: String,
    /// Host without its port.
    pub(crate) host: String,
    /// Path.
    pub(crate) path: String,
    /// Time for which the caller waits, if it says so.
    pub(crate) patience: Option<Duration>,
    /// Body.
    pub(crate) body: Bytes,
}

/// Serves HTTP on `address` until the process ends. Once `closing` turns true, connections end with their next answer.
///
/// # Errors
/// Fails when the address cannot be listened on.
pub(crate) async fn serve<F, R>(
    address: SocketAddr,
    closing: watch::Receiver<bool>,
    handler: F,
) -> io::Result<()>
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Answer> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let (handler, closing) = (Arc::clone(&handler), closing.clone());
                    tokio::spawn(connection(stream, closing, handler));
                }
                Err(e) => {
                    log::warn!("E656 HTTP connection not accepted address={address} error={e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn connection<F, R>(
    stream: tokio::net::TcpStream,
    closing: watch::Receiver<bool>,
    handler: Arc<F>,
) where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Answer> + Send + 'static,
{
    let mut closed = closing.clone();
    let service = service_fn(move |request| {
        let (handler, closing) = (Arc::clone(&handler), closing.clone());
        async move { Ok::<_, Infallible>(exchange(request, &*handler, &closing).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_LIMIT)
        .max_buf_size(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => {
            if let Err(e) = result {
                log::debug!("E657 HTTP connection ended error={e}");
            }
            return;
        }
        () = closes(&mut closed) => {}
    }
    connection.as_mut().graceful_shutdown();
    if let Err(e) = connection.await {
        log::debug!("E658 HTTP connection ended while closing error={e}");
    }
}

/// Ends when connections are to be closed; without a sender they never are.
async fn closes(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending().await
    }
}

async fn exchange<F, R>(
    request: Request<Incoming>,
    handler: &F,
    closing: &watch::Receiver<bool>,
) -> Response<Full<Bytes>>
where
    F: Fn(Call) -> R,
    R: Future<Output = Answer>,
{
    let method = request.method().as_str().to_owned();
    let path = request.uri().path().to_owned();
    let host = request
        .headers()
        .get(HOST)
        .and_then(|h| h.to_str().ok())
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default().to_owned();
    let patience = request
        .headers()
        .get(DEADLINE_HEADER)
        .and_then(|v| v.to_str().ok()?.parse().ok());
    let patience = patience.map(Duration::from_millis);
    let body = match Limited::new(request.into_body(), MAX_BODY).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            log::info!("E659 request body not read path={path} error={e}");
            return render(Answer::new(413), closing);
        }
    };
    render(
        handler(Call {
            method,
            host,
            path,
            patience,
            body,
        })
        .await,
        closing,
    )
}

fn render(answer: Answer, closing: &watch::Receiver<bool>) -> Response<Full<Bytes>> {
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
