//! Calls to the worker on this machine.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use figdeal_platform::worker::{EXPECTED, WorkerCall};
use http_body_util::{BodyExt, Full};
use hyper::{Request, header::CONTENT_TYPE};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// Connections to the worker that are kept open; its connections are limited and cost to open.
const IDLE: usize = 8;

/// A client of one worker.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
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
        Worker { address, client }
    }

    /// Makes a call. Returns status and body, or nothing without an answer in time.
    pub(crate) async fn call(&self, call: WorkerCall, limit: Duration) -> Option<(u16, Bytes)> {
        let mut request = Request::post(format!("http://{}{}", self.address, call.path))
            .header(CONTENT_TYPE, "application/json");
        if let Some(expected) = call.expected {
            request = request.header(EXPECTED, expected);
        }
        let request = request.body(Full::from(call.body)).ok()?;
        let exchange = async {
            let response = self.client.request(request).await?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await?.to_bytes();
            Ok::<_, Box<dyn std::error::Error + Send + Sync>>((status, body))
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(e)) => {
                log::info!("E660 worker call failed path={} error={e}", call.path);
                None
            }
            Err(_) => {
                let limit = limit.as_millis();
                log::info!("E661 worker call without an answer path={} limit_ms={limit}", call.path);
                None
            }
        }
    }
}
