//! HTTP client for the worker on this machine.

use std::{
    collections::VecDeque,
    error::Error,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use figdeal_platform::worker::{EXPECTED_INSTANCE_HEADER, WorkerCall};
use figdeal_queue::agent::{MAX_UNANSWERED_STARTS, START_TIMEOUT};
use http_body_util::{BodyExt, Full};
use hyper::{Request, header::CONTENT_TYPE};
use hyper_util::{
    client::legacy::{self, Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::{
    sync::{Semaphore, oneshot},
    task::AbortHandle,
};

/// Idle connections that are kept open: one for each possible call, since opening a connection is expensive.
const MAX_IDLE_CONNECTIONS: usize = MAX_CALLS;
/// Largest number of concurrent calls. A worker accepts 64 connections.
const MAX_CALLS: usize = 48;
const _: () = assert!(MAX_UNANSWERED_STARTS as usize + MIN_FREE_CALLS <= MAX_CALLS);
/// Time within which a connection must be open. The worker runs on the same machine; its kernel repeats a lost opening
/// packet only after a second. A start without an answer has been sent by its timeout or never is, so it can reach no
/// incarnation of the worker that begins after that.
const CONNECT_TIMEOUT: Duration = START_TIMEOUT;
/// How often the call yields to other tasks after its timeout before a reply counts as missing.
const YIELDS_AFTER_TIMEOUT: usize = 3;
/// Time after the start of a call at which its HTTP exchange is aborted. The exchange goes on after the timeout of the
/// call, so that a late reply makes the connection reusable. No start may be sent after its run counts as lost, see
/// [`UNANSWERED_START_TIMEOUT`](figdeal_queue::agent::UNANSWERED_START_TIMEOUT).
const LATE_REPLY_TIMEOUT: Duration = Duration::from_secs(12);
/// Number of [`MAX_CALLS`] to keep free for new calls. If fewer are free, the oldest overdue call is aborted, which
/// closes its connection.
const MIN_FREE_CALLS: usize = 16;

/// Status and body of the response to a call.
pub type Result = std::result::Result<(u16, Bytes), CallError>;

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be opened or was free, so the call cannot be carried out.
    NotSent,
    /// There was no response in time. The call may be carried out, also later.
    NoResponse,
}

/// Client of one worker with a bounded number of concurrent calls.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    call_permits: Arc<Semaphore>,
    /// Calls that got no reply before their timeout, oldest first.
    overdue_calls: Arc<Mutex<VecDeque<AbortHandle>>>,
}

impl WorkerClient {
    /// Creates a client that connects on its first call.
    ///
    /// ```
    /// use figdeal_node::worker_client::WorkerClient;
    ///
    /// let client = WorkerClient::new("127.0.0.1:8080".parse().unwrap());
    /// assert_eq!(client.outstanding_calls(), 0);
    /// ```
    pub fn new(address: SocketAddr) -> WorkerClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(None)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        WorkerClient {
            address,
            client,
            call_permits: Arc::new(Semaphore::new(MAX_CALLS)),
            overdue_calls: Arc::default(),
        }
    }

    /// Number of calls in progress, overdue ones included.
    pub fn outstanding_calls(&self) -> u32 {
        (MAX_CALLS - self.call_permits.available_permits()) as u32
    }

    /// Aborts the oldest overdue call if fewer than [`MIN_FREE_CALLS`] calls are available.
    fn abort_oldest_if_scarce(&self) {
        let mut overdue_calls = self
            .overdue_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        overdue_calls.retain(|call| !call.is_finished());
        if self.call_permits.available_permits() < MIN_FREE_CALLS
            && let Some(oldest) = overdue_calls.pop_front()
        {
            log::info!(
                "E677 aborted the oldest overdue worker call to free its connection overdue={}",
                overdue_calls.len()
            );
            oldest.abort();
        }
    }

    fn add_overdue(&self, call: AbortHandle) {
        let mut overdue_calls = self
            .overdue_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        overdue_calls.push_back(call);
    }

    /// Makes a call, and waits for the response for at most `call_timeout`.
    ///
    /// # Errors
    /// Fails if the call was not sent, and if there is no response in time.
    pub async fn call(&self, call: WorkerCall, call_timeout: Duration) -> Result {
        let path = call.path;
        self.abort_oldest_if_scarce();
        let Ok(permit) = Arc::clone(&self.call_permits).try_acquire_owned() else {
            log::warn!(
                "E660 too many worker calls in progress, call not made path={path} calls={MAX_CALLS}"
            );
            return Err(CallError::NotSent);
        };
        let (sender, answer) = oneshot::channel();
        let worker = self.clone();
        let exchange = tokio::spawn(async move {
            let exchange = tokio::time::timeout(LATE_REPLY_TIMEOUT, worker.exchange(call)).await;
            drop(permit);
            match exchange {
                // The receiver is gone if the response comes after the timeout.
                Ok(Ok(answer)) => drop(sender.send(Ok(answer))),
                Ok(Err(e)) => {
                    log::info!("E661 worker call failed path={path} error={e}");
                    drop(sender.send(Err(call_error(e.as_ref()))));
                }
                Err(_) => log::info!("E676 no late reply, worker call aborted path={path}"),
            }
        });
        tokio::pin!(answer);
        match tokio::time::timeout(call_timeout, answer.as_mut()).await {
            Ok(answer) => answer.unwrap_or(Err(CallError::NoResponse)),
            Err(_) => {
                // If the whole process was paused, its timers fire before it reads a response that has already arrived.
                for _ in 0..YIELDS_AFTER_TIMEOUT {
                    tokio::task::yield_now().await;
                }
                let answer = tokio::time::timeout(Duration::ZERO, answer).await;
                if answer.is_err() {
                    self.add_overdue(exchange.abort_handle());
                }
                match answer {
                    Ok(Ok(answer)) => answer,
                    _ => Err(CallError::NoResponse),
                }
            }
        }
    }

    async fn exchange(
        &self,
        call: WorkerCall,
    ) -> std::result::Result<(u16, Bytes), Box<dyn Error + Send + Sync>> {
        let mut request = Request::post(format!("http://{}{}", self.address, call.path))
            .header(CONTENT_TYPE, "application/json");
        if let Some(expected) = call.expected_instance {
            request = request.header(EXPECTED_INSTANCE_HEADER, expected);
        }
        let request = request.body(Full::from(call.body))?;
        let response = self.client.request(request).await?;
        let status = response.status().as_u16();
        Ok((status, response.into_body().collect().await?.to_bytes()))
    }
}

fn call_error(error: &(dyn Error + Send + Sync + 'static)) -> CallError {
    match error.downcast_ref::<legacy::Error>() {
        Some(e) if e.is_connect() => CallError::NotSent,
        _ => CallError::NoResponse,
    }
}
