//! Calls to the worker on this machine.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use figdeal_platform::worker::{EXPECTED_INSTANCE_HEADER, WorkerCall};
use http_body_util::{BodyExt, Full};
use hyper::{Request, header::CONTENT_TYPE};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::{
    sync::{Semaphore, oneshot},
    task::AbortHandle,
};

/// Connections to the worker that are kept open, since each new one costs: as many as there may be calls.
const IDLE: usize = CALLS;
/// Calls that may be out at once, of the 64 connections that a worker takes.
const CALLS: usize = 48;
/// Turns of the other tasks before a late answer counts as none.
const LAST_TURNS: usize = 3;
/// Time for which a call without an answer keeps its connection, so that a late answer frees it for the next call.
const LINGER: Duration = Duration::from_secs(15);
/// Calls that stay free for new ones: with fewer, the oldest call without an answer gives its connection up.
const SPARE: usize = 16;

/// Result of an exchange.
type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// A client of one worker.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    calls: Arc<Semaphore>,
    /// Calls without an answer in time, the oldest first.
    overdue: Arc<Mutex<VecDeque<AbortHandle>>>,
}

impl Worker {
    /// A client that connects when it is used.
    pub(crate) fn new(address: SocketAddr) -> Worker {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(None)
            .pool_max_idle_per_host(IDLE)
            .build(connector);
        Worker {
            address,
            client,
            calls: Arc::new(Semaphore::new(CALLS)),
            overdue: Arc::default(),
        }
    }

    /// Number of calls that are out.
    pub(crate) fn calls(&self) -> u32 {
        (CALLS - self.calls.available_permits()) as u32
    }

    /// Ends the oldest call without an answer when few are left for new ones.
    fn make_room(&self) {
        let mut overdue = self.overdue.lock().unwrap_or_else(PoisonError::into_inner);
        overdue.retain(|call| !call.is_finished());
        if self.calls.available_permits() < SPARE
            && let Some(oldest) = overdue.pop_front()
        {
            log::info!("E677 worker call ended for room overdue={}", overdue.len());
            oldest.abort();
        }
    }

    fn note_overdue(&self, call: AbortHandle) {
        let mut overdue = self.overdue.lock().unwrap_or_else(PoisonError::into_inner);
        overdue.push_back(call);
    }

    /// Makes a call. Returns status and body, or nothing without an answer in time.
    pub(crate) async fn call(&self, call: WorkerCall, limit: Duration) -> Option<(u16, Bytes)> {
        let path = call.path;
        self.make_room();
        let Ok(permit) = Arc::clone(&self.calls).try_acquire_owned() else {
            log::warn!("E660 worker call not made path={path} calls={CALLS}");
            return None;
        };
        let (sender, answer) = oneshot::channel();
        let worker = self.clone();
        let exchange = tokio::spawn(async move {
            let exchange = tokio::time::timeout(LINGER, worker.exchange(call)).await;
            drop(permit);
            match exchange {
                // Nobody takes an answer that comes after the limit.
                Ok(Ok(answer)) => drop(sender.send(answer)),
                Ok(Err(e)) => log::info!("E661 worker call failed path={path} error={e}"),
                Err(_) => log::info!("E676 worker call given up path={path}"),
            }
        });
        tokio::pin!(answer);
        match tokio::time::timeout(limit, answer.as_mut()).await {
            Ok(answer) => answer.ok(),
            Err(_) => {
                // After a pause of the whole process timers fire first, while the answer waits at the socket.
                for _ in 0..LAST_TURNS {
                    tokio::task::yield_now().await;
                }
                let answer = tokio::time::timeout(Duration::ZERO, answer).await;
                if answer.is_err() {
                    self.note_overdue(exchange.abort_handle());
                }
                answer.ok()?.ok()
            }
        }
    }

    async fn exchange(&self, call: WorkerCall) -> Result<(u16, Bytes)> {
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
