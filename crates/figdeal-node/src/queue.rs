//! The process that serves callers and operators and, with a disk, keeps a replica of the log.

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, atomic::AtomicBool, atomic::Ordering, mpsc as disk},
    thread,
    time::Duration,
};

use figdeal_platform::{Response, ingress, operator, settings::Settings};
use figdeal_queue::{
    message::{Answer, PeerMessage, Request},
    node::{Action, Clock, Node, Options},
    raft::{NodeId, Raft, StorageWrite, log::Position},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::Instant,
};

use crate::{
    Result, clock,
    http::{self, Call},
    link::{Event, Links},
    measure,
    process::{self, Notice},
    store::{Content, Store},
};

/// Inputs that wait for the decisions; the connections wait beyond that.
const INPUTS: usize = 4_096;
/// Inputs that are handled before the actions are carried out.
const BURST: usize = 64;
/// Time of the shutdown for which callers are still accepted, until the balancer sends them elsewhere.
const NOTICE: Duration = Duration::from_millis(2_500);
/// Time for which a caller waits that does not say so.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time before SIGKILL at which the process ends in any case.
const MARGIN: Duration = Duration::from_millis(800);
/// Milliseconds after which a caller may try again whose job is not supported or found no place in the inputs.
const RETRY: u32 = 1_000;
/// Pause before a failed write to the disk is tried again.
const DISK_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two checks whether everything is answered.
const IDLE_CHECK: Duration = Duration::from_millis(50);

/// Something that the decisions have to know.
enum Input {
    Request(Asked),
    Withdrawn(u64),
    Stored(Position, Vec<(SocketAddr, PeerMessage)>),
    Notice(Notice),
}

/// A request with its answer's way back.
struct Asked {
    token: u64,
    request: Request,
    patience: Duration,
    answer: oneshot::Sender<Answer>,
}

/// Tells the decisions when the caller of a request has left.
struct Waiting {
    token: u64,
    inputs: mpsc::Sender<Input>,
    answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.answered && self.inputs.try_send(Input::Withdrawn(self.token)).is_err() {
            log::warn!("E675 withdrawal dropped token={}", self.token);
        }
    }
}

/// Records on their way to the disk.
struct Job {
    writes: Vec<StorageWrite>,
    last: Position,
    after: Vec<(SocketAddr, PeerMessage)>,
}

/// Runs the process until SIGTERM.
///
/// # Errors
/// Fails on wrong settings, on storage that cannot be read, and when an address cannot be listened on.
pub fn run() -> Result<()> {
    process::run(main)
}

async fn main(path: PathBuf, settings: Settings) -> Result<()> {
    let (inputs, received) = mpsc::channel(INPUTS);
    let (events, messages) = mpsc::channel(INPUTS);
    let (closing, closed) = watch::channel(false);
    let own = SocketAddr::new(settings.ip, settings.node_port);
    log::info!(
        "E662 start name={} address={own} data_centre={} disk={} bootstrap={} seeds={:?}",
        settings.name,
        settings.data_centre,
        settings.folder.is_some(),
        settings.bootstrap,
        settings.seeds
    );
    let (node, jobs) = open(&settings, own, inputs.clone())?;
    let links = Links::listen(own, settings.behind, events).await?;
    let ready = Arc::new(AtomicBool::new(false));
    serve(&path, &settings, &inputs, &closed, &ready).await?;
    measure::start(settings.ip, closed.clone()).await?;
    process::watch(path, settings.clone(), inputs, Input::Notice)?;
    let mut process = Process {
        node,
        links,
        jobs,
        ready,
        own,
        answers: HashMap::new(),
        grace: settings.grace,
        end: None,
    };
    process.run(received, messages, closing).await;
    log::info!("E663 stop name={}", settings.name);
    Ok(())
}

/// Opens the storage and starts the disk thread, if there is a disk.
fn open(
    settings: &Settings,
    own: SocketAddr,
    inputs: mpsc::Sender<Input>,
) -> Result<(Node, Option<disk::Sender<Job>>)> {
    let fresh = NodeId(rand::random());
    let (id, content, jobs) = match &settings.folder {
        Some(folder) => {
            let (store, content) = Store::open(folder, fresh)?;
            let (jobs, waiting) = disk::channel();
            let id = store.id();
            thread::spawn(move || keep(store, &waiting, &inputs));
            (id, content, Some(jobs))
        }
        None => (fresh, Content::default(), None),
    };
    let options = Options {
        address: own,
        data_centre: settings.data_centre.clone(),
        has_disk: settings.folder.is_some(),
        bootstrap: settings.bootstrap,
        seeds: settings.seeds.clone(),
        voter_count: 2 * settings.tolerance + 1,
        min_resubmit_delay: settings.resubmission,
    };
    let now = clock::read();
    let last = content.log.last_index();
    log::info!(
        "E664 storage opened node={id} term={} last={last}",
        content.hard.term
    );
    let raft = Raft::new(id, content.hard, content.log, now.now, rand::random());
    Ok((Node::new(options, raft, content.snapshot, now)?, jobs))
}

/// Writes records; those that have collected share one sync.
fn keep(mut store: Store, waiting: &disk::Receiver<Job>, inputs: &mpsc::Sender<Input>) {
    while let Ok(first) = waiting.recv() {
        let mut jobs = vec![first];
        while let Ok(job) = waiting.try_recv() {
            jobs.push(job);
        }
        let writes: Vec<StorageWrite> = jobs
            .iter_mut()
            .flat_map(|j| std::mem::take(&mut j.writes))
            .collect();
        if !writes.is_empty() {
            let start = clock::now();
            if let Err(e) = store.write(&writes) {
                // What of the records has reached the disk is unknown, so the file is read anew by the next start.
                log::error!("E665 storage failed error={e}");
                thread::sleep(DISK_PAUSE);
                std::process::exit(1);
            }
            let took = clock::now().since(start).as_secs_f64();
            metrics::histogram!("figdeal_queue_store_seconds").record(took);
        }
        for job in jobs {
            if inputs
                .blocking_send(Input::Stored(job.last, job.after))
                .is_err()
            {
                return;
            }
        }
    }
}

async fn serve(
    path: &Path,
    settings: &Settings,
    inputs: &mpsc::Sender<Input>,
    closed: &watch::Receiver<bool>,
    ready: &Arc<AtomicBool>,
) -> Result<()> {
    let callers = Settings::require(path, settings.callers, "callers")?;
    let sender = inputs.clone();
    let serving = Arc::clone(ready);
    http::serve(callers, closed.clone(), move |call| {
        caller(call, sender.clone(), Arc::clone(&serving))
    })
    .await?;
    if let Some(address) = settings.ready {
        let ready = Arc::clone(ready);
        // The balancer asks to the end, so this listener does not close its connections.
        let (_, open) = watch::channel(false);
        http::serve(address, open, move |call| {
            let known = call.path == ingress::READINESS;
            let status = match (known, ready.load(Ordering::Relaxed)) {
                (false, _) => 404,
                (true, true) => 200,
                (true, false) => 503,
            };
            std::future::ready(Response::new(status))
        })
        .await?;
    }
    if let Some(address) = settings.control {
        let sender = inputs.clone();
        http::serve(address, closed.clone(), move |call| {
            operator(call, sender.clone())
        })
        .await?;
    }
    Ok(())
}

async fn caller(call: Call, inputs: mpsc::Sender<Input>, ready: Arc<AtomicBool>) -> Response {
    let start = clock::now();
    let decoded = ingress::decode(&call.method, &call.host, &call.path, &call.body);
    let answer = match decoded {
        ingress::Call::Serve(request) => ask(request, call.patience, &inputs).await,
        ingress::Call::Unsupported(feature) => {
            log::info!("E666 job refused path={} unsupported={feature}", call.path);
            let reason = figdeal_queue::message::RefusalReason::Unsupported;
            Answer::Refused {
                retry_after_ms: RETRY,
                reason,
            }
        }
        ingress::Call::Invalid => {
            log::info!(
                "E667 request not readable path={} bytes={}",
                call.path,
                call.body.len()
            );
            Answer::Invalid
        }
        ingress::Call::NoMethod => return Response::new(405),
    };
    let mut response = ingress::encode(&answer);
    // An open connection stays with this node, and the balancer sends new ones elsewhere while it is not ready.
    response.close = response.status >= 500 && !ready.load(Ordering::Relaxed);
    let took = clock::now().since(start);
    if response.status >= 400 {
        log::info!(
            "E668 request failed method={} path={} status={} answer={answer:?} took_ms={}",
            call.method,
            call.path,
            response.status,
            took.as_millis()
        );
    }
    metrics::counter!("figdeal_queue_requests_total", "status" => response.status.to_string())
        .increment(1);
    metrics::histogram!("figdeal_queue_request_seconds").record(took.as_secs_f64());
    response
}

async fn operator(call: Call, inputs: mpsc::Sender<Input>) -> Response {
    if call.path != operator::CONFIG {
        return Response::new(404);
    }
    let request = match call.method.as_str() {
        "GET" => Request::ReadConfig,
        "PUT" => match operator::decode(&call.body) {
            Ok(request) => request,
            Err(e) => {
                log::info!("E669 configuration refused error=\"{e}\"");
                return Response::new(400);
            }
        },
        _ => return Response::new(405),
    };
    let answer = ask(request, call.patience, &inputs).await;
    log::info!(
        "E670 operator request method={} status={}",
        call.method,
        ingress::encode(&answer).status
    );
    ingress::encode(&answer)
}

async fn ask(request: Request, patience: Option<Duration>, inputs: &mpsc::Sender<Input>) -> Answer {
    let (sender, answer) = oneshot::channel();
    let overload = Answer::Refused {
        retry_after_ms: RETRY,
        reason: figdeal_queue::message::RefusalReason::Overload,
    };
    // Numbers of two processes at the same address must differ.
    let token = rand::random();
    let patience = patience.unwrap_or(PATIENCE);
    let asked = Asked {
        token,
        request,
        patience,
        answer: sender,
    };
    if inputs.try_send(Input::Request(asked)).is_err() {
        return overload;
    }
    let mut waiting = Waiting {
        token,
        inputs: inputs.clone(),
        answered: false,
    };
    let answer = answer.await.unwrap_or(Answer::OutcomeUnknown);
    waiting.answered = true;
    answer
}

/// The decisions with their connections.
struct Process {
    node: Node,
    links: Links,
    jobs: Option<disk::Sender<Job>>,
    ready: Arc<AtomicBool>,
    own: SocketAddr,
    answers: HashMap<u64, oneshot::Sender<Answer>>,
    grace: Duration,
    /// When connections are closed and when the process ends, once it shuts down.
    end: Option<(Instant, Instant)>,
}

impl Process {
    async fn run(
        &mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut messages: mpsc::Receiver<Event>,
        closing: watch::Sender<bool>,
    ) {
        loop {
            let now = clock::now();
            let wait = self.node.next_tick().since(now);
            let wait = if self.end.is_some() {
                wait.min(IDLE_CHECK)
            } else {
                wait
            };
            tokio::select! {
                Some(input) = inputs.recv() => {
                    self.input(input);
                    for _ in 1..BURST {
                        let Ok(input) = inputs.try_recv() else { break };
                        self.input(input);
                    }
                }
                Some(event) = messages.recv() => {
                    self.event(event);
                    for _ in 1..BURST {
                        let Ok(event) = messages.try_recv() else { break };
                        self.event(event);
                    }
                }
                () = tokio::time::sleep(wait) => {}
            }
            let clock = clock::read();
            if self.node.next_tick() <= clock.now {
                self.node.tick(clock);
                self.gauge();
            }
            self.carry_out(clock);
            self.ready.store(self.node.is_ready(), Ordering::Relaxed);
            if let Some((notice, last)) = self.end {
                let now = Instant::now();
                if now >= notice {
                    closing.send_replace(true);
                }
                if now >= last {
                    let clock = clock::read();
                    self.node.answer_pending(clock);
                    self.carry_out(clock);
                }
                if now >= last || (now >= notice + IDLE_CHECK && self.answers.is_empty()) {
                    // Answers that are on their way to the socket get a moment.
                    tokio::time::sleep(IDLE_CHECK).await;
                    return;
                }
            }
        }
    }

    fn gauge(&self) {
        let (jobs, tasks) = self.node.load().unwrap_or_default();
        metrics::gauge!("figdeal_queue_jobs").set(jobs as f64);
        metrics::gauge!("figdeal_queue_waiting_tasks").set(tasks as f64);
        metrics::gauge!("figdeal_queue_term").set(self.node.raft().term() as f64);
        metrics::gauge!("figdeal_queue_commit").set(self.node.raft().commit() as f64);
    }

    fn input(&mut self, input: Input) {
        let clock = clock::read();
        match input {
            Input::Request(asked) => {
                self.answers.insert(asked.token, asked.answer);
                self.node
                    .request(clock, asked.token, asked.request, asked.patience);
            }
            Input::Withdrawn(token) => {
                self.answers.remove(&token);
                self.node.withdraw(clock, token);
            }
            Input::Stored(last, after) => {
                self.node.on_stored(clock, last);
                for (address, peer) in after {
                    self.send(clock, address, peer);
                }
            }
            Input::Notice(Notice::Settings(settings)) => self.node.add_seeds(&settings.seeds),
            Input::Notice(Notice::Close) => {
                let start = Instant::now();
                let rest = self.grace.saturating_sub(MARGIN);
                self.end = Some((start + NOTICE, start + rest));
                self.node.shut_down(clock, clock.now + rest);
            }
        }
    }

    fn event(&mut self, event: Event) {
        let clock = clock::read();
        match event {
            Event::Message(peer) => self.node.on_peer(clock, peer),
            Event::Accepted(address, link) => self.links.accepted(address, link),
            Event::Lost {
                peer,
                number,
                refused,
            } => {
                if self.links.lost(peer, number) {
                    self.node.on_connection_lost(clock, peer, refused);
                }
            }
        }
    }

    fn send(&mut self, clock: Clock, to: SocketAddr, peer: PeerMessage) {
        match to == self.own {
            true => self.node.on_peer(clock, peer),
            false => self.links.send(to, peer),
        }
    }

    fn carry_out(&mut self, clock: Clock) {
        loop {
            let actions = self.node.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Send(to, peer) => self.send(clock, to, peer),
                    Action::Reply(token, answer) => {
                        // A caller that has left does not take its answer.
                        let _ = self
                            .answers
                            .remove(&token)
                            .map(|sender| sender.send(answer));
                    }
                    Action::Store {
                        writes,
                        last,
                        send_after_sync: after,
                    } => self.store(writes, last, after),
                }
            }
        }
    }

    fn store(
        &mut self,
        writes: Vec<StorageWrite>,
        last: Position,
        after: Vec<(SocketAddr, PeerMessage)>,
    ) {
        let Some(jobs) = &self.jobs else {
            log::warn!(
                "E673 records for a node without a disk ignored records={}",
                writes.len()
            );
            return;
        };
        if jobs
            .send(Job {
                writes,
                last,
                after,
            })
            .is_err()
        {
            log::error!("E674 disk thread has ended");
        }
    }
}
