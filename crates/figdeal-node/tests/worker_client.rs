//! Tests of the HTTP client for the worker, with real connections.

use std::{net::SocketAddr, time::Duration};

use figdeal_node::worker_client::{CallError, WorkerClient};
use figdeal_platform::worker::{self, WorkerCall};
use figdeal_queue::{
    agent::{START_TIMEOUT, StartCall},
    job::{JobId, TaskId},
};
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpSocket, TcpStream},
    runtime,
    time::timeout,
};

/// Connections that fill the queue of a listener with the smallest one.
const FILLERS: usize = 4;
/// The kernel repeats an opening packet that was dropped after 1 s.
const REPEATED_OPENING: Duration = Duration::from_millis(1_500);

fn start_call() -> WorkerCall {
    worker::encode_start(&StartCall {
        task: TaskId {
            job: JobId(1),
            step: 0,
            index: 0,
        },
        run: 1,
        payload: "x".to_owned(),
        lease_expiry_ms: 500,
        fence: 1,
        worker_id: Some("w".to_owned()),
    })
}

/// Returns a listener whose queue of new connections is full.
async fn full_listener() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut fillers = Vec::new();
    for _ in 0..FILLERS {
        let filler = timeout(Duration::from_millis(100), TcpStream::connect(address)).await;
        fillers.extend(filler.into_iter().flatten());
    }
    (listener, address, fillers)
}

/// Accepts connections for a while and returns the number of those on which a request arrives.
async fn count_requests(listener: TcpListener) -> usize {
    let mut requests = 0;
    while let Ok(accepted) = timeout(REPEATED_OPENING, listener.accept()).await {
        let (mut connection, _) = accepted.unwrap();
        let mut buffer = [0; 64];
        let read = timeout(REPEATED_OPENING, connection.read(&mut buffer)).await;
        requests += usize::from(matches!(read, Ok(Ok(1..))));
    }
    requests
}

/// Guards against a start that reaches a worker which has started since, because its connection was opened only when the
/// kernel repeated the opening packet; its agent has long counted it as decided by then.
#[test]
fn a_call_is_not_sent_on_a_connection_that_opens_late() {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (listener, address, fillers) = full_listener().await;
        let client = WorkerClient::new(address);
        let outcome = client.call(start_call(), START_TIMEOUT * 4).await;
        assert_eq!(outcome, Err(CallError::NotSent));
        drop(fillers);
        assert_eq!(count_requests(listener).await, 0);
    });
}
