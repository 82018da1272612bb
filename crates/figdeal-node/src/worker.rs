//! Calls to the worker on this machine.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use figdeal_platform::worker::{EXPECTED, WorkerCall};
use http_body_util::{BodyExt, Full};
use hyper::{Request, header::CONTENT_TYPE};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::sync::{Semaphore, oneshot};

/// Connections to the worker that are kept open; its connections are limited and cost to open.
const IDLE: usize = 8;
/// Calls that may be out at once, of the 64 connections that a worker takes.
const CALLS: usize = 48;
/// Time for which a call without an answer keeps its connection, so that a late answer frees it for the next call.
const LINGER: Duration = Duration::from_secs(15);

/// Result of an exchange.
type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// A client of one worker.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    calls: Arc<Semaphore>,
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
        }
    }

    /// Makes a call. Returns status and body, or nothing without an answer in time.
    pub(crate) async fn call(&self, call: WorkerCall, limit: Duration) -> Option<(u16, Bytes)> {
        let path = call.path;
        let Ok(permit) = Arc::clone(&self.calls).try_acquire_owned() else {
            log::warn!("E660 worker call not made path={path} calls={CALLS}");
            return None;
        };
        let (sender, answer) = oneshot::channel();
        let worker = self.clone();
        tokio::spawn(async move {
            let exchange = tokio::time::timeout(LINGER, worker.exchange(call)).await;
            drop(permit);
            match exchange {
                // Nobody takes an answer that comes after the limit.
                Ok(Ok(answer)) => drop(sender.send(answer)),
                Ok(Err(e)) => log::info!("E661 worker call failed path={path} error={e}"),
                Err(_) => log::info!("E676 worker call given up path={path}"),
            }
        });
        tokio::time::timeout(limit, answer).await.ok()?.ok()
    }

    async fn exchange(&self, call: WorkerCall) -> Result<(u16, Bytes)> {
        let mut request = Request::post(format!("http://{}{}", self.address, call.path))
            .header(CONTENT_TYPE, "application/json");
        if let Some(expected) = call.expected {
            request = request.header(EXPECTED, expected);
        }
        let request = request.body(Full::from(call.body))?;
        let response = self.client.request(request).await?;
        let status = response.status().as_u16();
        Ok((status, response.into_body().collect().await?.to_bytes()))
    }
}
