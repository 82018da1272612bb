//! Serves the calls to a worker over HTTP.

use std::{
    io,
    net::TcpListener as StdListener,
    time::{Duration, Instant},
};

use bytes::Bytes;
use figdeal_platform::{
    stand_in::{self, Call},
    worker::EXPECTED_INSTANCE_HEADER,
};
use figdeal_queue::agent::PollReply;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use rand::Rng;
use tokio::{
    net::{TcpListener, TcpStream},
    runtime,
    sync::watch,
    time::sleep,
};

use super::{LATE_CALL_DELAY, SharedFleet, WorkerFleet};

/// Interval at which a poll checks whether a run has ended.
const RUN_CHECK_INTERVAL: Duration = Duration::from_millis(3);
/// Interval at which a call to a paused worker checks whether the pause has ended.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

type HttpResponse = Response<Full<Bytes>>;

/// How a call that has arrived is executed.
#[derive(Debug, Clone, Copy)]
struct Reception {
    /// Delay of a call that gets no answer in time.
    late_by: Option<Duration>,
}

impl WorkerFleet {
    /// Returns the reply to a poll once it is due: when a run has ended, and at `end`.
    fn poll_status(&mut self, n: usize, end: Instant) -> PollStatus {
        if self.workers[n].faults.is_cut_off {
            return PollStatus::CutOff;
        }
        let now = self.advance();
        let worker = &self.workers[n].worker;
        match !worker.unacknowledged_ends.is_empty() || Instant::now() >= end {
            true => PollStatus::Due(worker.status(now)),
            false => PollStatus::Open,
        }
    }
}

impl SharedFleet {
    /// Accepts connections of worker `n`. Each belongs to the incarnation that runs then and ends with it.
    pub(super) fn serve(&self, n: usize, listener: StdListener) {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime can be created");
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener).expect("the listener is valid");
            while let Ok((stream, _)) = listener.accept().await {
                let lives = self.lock().workers[n].running_life.subscribe();
                let life = *lives.borrow();
                if let Some(life) = life {
                    tokio::spawn(self.clone().serve_connection(n, life, lives, stream));
                }
            }
        });
    }

    async fn serve_connection(
        self,
        n: usize,
        life: u64,
        mut lives: watch::Receiver<Option<u64>>,
        stream: TcpStream,
    ) {
        let service = service_fn(|request| self.handle_request(n, life, request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            outcome = connection => if let Err(e) = outcome {
                log::debug!("E692 connection of an agent to its worker ended with an error error={e}");
            },
            _ = lives.wait_for(|running| *running != Some(life)) => {}
        }
    }

    async fn handle_request(
        &self,
        n: usize,
        life: u64,
        request: Request<Incoming>,
    ) -> io::Result<HttpResponse> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let expected = head.headers.get(EXPECTED_INSTANCE_HEADER);
        let expected = expected.and_then(|id| id.to_str().ok()).map(str::to_owned);
        let Some(call) = stand_in::decode_call(head.uri.path(), expected, &body) else {
            return Ok(respond(400, String::new()));
        };
        let Some(reception) = self.receive_call(n, life) else {
            return abandon().await;
        };
        if let Some(delay) = reception.late_by {
            // The call is executed even if the caller closes the connection.
            let shared = self.clone();
            let execution = tokio::spawn(async move {
                sleep(delay).await;
                let execute = |fleet: &mut WorkerFleet| fleet.handle_call(n, &call);
                shared.execute(n, life, execute).await
            });
            let _ = execution.await;
            return Ok(respond(500, String::new()));
        }
        let execute = |fleet: &mut WorkerFleet| fleet.handle_call(n, &call);
        match (self.execute(n, life, execute).await, &call) {
            (None, _) => abandon().await,
            (Some(Some((status, text))), _) => Ok(respond(status, text)),
            (Some(None), Call::Poll(poll)) => self.answer_poll(n, life, poll.wait).await,
            (Some(None), _) => Ok(respond(503, String::new())),
        }
    }

    /// Decides what happens to a call that arrives at worker `n` now. Returns `None` if it is lost.
    fn receive_call(&self, n: usize, life: u64) -> Option<Reception> {
        let mut fleet = self.lock();
        let faults = fleet.workers[n].faults;
        let is_late = fleet.rng.random_bool(faults.unanswered_fraction);
        let (shortest, longest) = faults.late_by;
        let delay = fleet.rng.random_range(shortest..=longest);
        let is_received = fleet.workers[n].is_running(life) && !faults.is_cut_off;
        is_received.then_some(Reception {
            late_by: is_late.then_some(delay),
        })
    }

    /// Lets worker `n` do something once it is not paused. Returns `None` if the incarnation that received the call does
    /// not run any more.
    async fn execute<T>(
        &self,
        n: usize,
        life: u64,
        act: impl FnOnce(&mut WorkerFleet) -> T,
    ) -> Option<T> {
        loop {
            {
                let mut fleet = self.lock();
                if !fleet.workers[n].is_running(life) {
                    return None;
                }
                if !fleet.workers[n].worker.is_paused() {
                    return Some(act(&mut fleet));
                }
            }
            sleep(PAUSE_CHECK_INTERVAL).await;
        }
    }

    /// Answers a poll once a run has ended or `wait` has passed.
    async fn answer_poll(&self, n: usize, life: u64, wait: Duration) -> io::Result<HttpResponse> {
        let end = Instant::now() + wait;
        loop {
            let status = |fleet: &mut WorkerFleet| fleet.poll_status(n, end);
            match self.execute(n, life, status).await {
                None | Some(PollStatus::CutOff) => return abandon().await,
                Some(PollStatus::Due(reply)) => {
                    return Ok(respond(200, stand_in::encode_poll_reply(&reply)));
                }
                Some(PollStatus::Open) => sleep(RUN_CHECK_INTERVAL).await,
            }
        }
    }
}

/// State of a poll that a worker holds open.
#[derive(Debug)]
enum PollStatus {
    /// The worker is cut off from its agent.
    CutOff,
    /// No run has ended.
    Open,
    Due(PollReply),
}

/// Leaves a call without an answer for longer than any caller waits. The error closes the connection.
async fn abandon() -> io::Result<HttpResponse> {
    sleep(LATE_CALL_DELAY).await;
    Err(io::ErrorKind::TimedOut.into())
}

fn respond(status: u16, text: String) -> HttpResponse {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = StatusCode::from_u16(status).expect("the status is valid");
    response
}
