//! Accept loop for connections of other processes.

use std::{
    future::Future,
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use tokio::{net::TcpStream, task::JoinSet, time::sleep};
use tokio_util::sync::CancellationToken;

/// Delay after a failed `accept`, which happens when the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs `connection` for each accepted connection until `stop` is cancelled, which also aborts all open connections.
pub async fn serve<F>(
    listener: TcpListener,
    stop: CancellationToken,
    connection: impl Fn(TcpStream, SocketAddr) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return log::error!("E102 cannot listen for other processes: {e}"),
    };
    let mut connections = JoinSet::new();
    loop {
        let (stream, peer) = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!("E103 cannot accept a connection: {e}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
        };
        while connections.try_join_next().is_some() {}
        connections.spawn(connection(stream, peer));
    }
}
