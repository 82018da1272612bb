//! The agent process, which runs beside a worker, starts and stops its runs and reports to the queue nodes.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use figdeal_limits::{
    client_table::Class,
    gate::{self, Gate},
};
use figdeal_platform::{
    Response,
    settings::Settings,
    worker::{self as wire, INSTANCES_PATH},
};
use figdeal_queue::{
    agent::{Action, Agent, Heartbeat, PollReply, StartReply},
    job::TaskId,
};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use crate::{
    Result, clock,
    connections::{ConnectionEvent, Connections},
    http::{self, HttpLimits, HttpRequest},
    metrics_server,
    process::{self, ProcessEvent},
    worker_client::WorkerClient,
};

/// Bound of each of the two input channels: inputs and connection events.
const MAX_QUEUED_INPUTS: usize = 1_024;
/// Largest number of inputs that one turn of the event loop processes before it runs the resulting actions.
const MAX_INPUTS_PER_TURN: usize = 64;
/// The process exits this long before the SIGKILL that ends the shutdown grace period, even if runs are left.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(800);

/// Input of the agent other than messages from queue nodes.
enum Input {
    Heartbeat(Heartbeat),
    /// The worker with this id has deregistered.
    WorkerLeft(String),
    /// Reply to the poll with this number, or `None` if there was none.
    PollReply(u64, Option<PollReply>),
    /// Reply to the start of this run of a task.
    StartReply(TaskId, u64, StartReply),
    /// The settings have changed, or SIGTERM was received.
    Process(ProcessEvent),
}

/// Runs the agent process. SIGTERM starts its shutdown.
///
/// # Errors
/// Fails on invalid settings and when it cannot listen on an address.
pub fn run() -> Result<()> {
    process::run(main)
}

async fn main(settings_path: PathBuf, settings: Settings) -> Result<()> {
    let (input_sender, input_receiver) = mpsc::channel(MAX_QUEUED_INPUTS);
    let (event_sender, event_receiver) = mpsc::channel(MAX_QUEUED_INPUTS);
    // The sender is dropped at once, so HTTP connections stay open until the process exits.
    let (_, close_receiver) = watch::channel(false);
    let own_address = SocketAddr::new(settings.ip, settings.agent_port);
    let worker = Settings::require(&settings_path, settings.worker_address, "the worker")?;
    let control = Settings::require(
        &settings_path,
        settings.control_address,
        "the worker's heartbeats",
    )?;
    let session = rand::random();
    log::info!(
        "E720 start name={} address={own_address} worker={worker} session={session:016x} seeds={:?}",
        settings.name,
        settings.seeds
    );
    let http_limits = HttpLimits::start(&settings.client_limits);
    let peer_gate = Gate::start("peers", gate::agent_peer_limits(&settings.client_limits));
    let connections =
        Connections::listen(own_address, settings.bind_address, peer_gate, event_sender).await?;
    let sender = input_sender.clone();
    http::serve(
        control,
        Class::Ordinary,
        &http_limits,
        close_receiver.clone(),
        move |request| handle_heartbeat(request, sender.clone()),
    )
    .await?;
    metrics_server::start(settings.ip, &http_limits, close_receiver).await?;
    process::watch_settings_and_signals(
        settings_path,
        settings.clone(),
        input_sender.clone(),
        Input::Process,
    )?;
    let agent = Agent::new(own_address, session, settings.seeds);
    let mut event_loop = EventLoop {
        agent,
        connections,
        worker: WorkerClient::new(worker),
        input_sender,
        shutdown_grace: settings.shutdown_grace,
        exit_deadline: None,
    };
    event_loop.run(input_receiver, event_receiver).await;
    log::info!("E721 stop name={}", settings.name);
    Ok(())
}

async fn handle_heartbeat(request: HttpRequest, input_sender: mpsc::Sender<Input>) -> Response {
    let Some(id) = request.path.strip_prefix(INSTANCES_PATH) else {
        return Response::new(404);
    };
    let input = match request.method.as_str() {
        "PUT" => match wire::decode_heartbeat(id, &request.body) {
            Some(beat) => Input::Heartbeat(beat),
            None => {
                log::info!(
                    "E722 invalid heartbeat worker={id} body_bytes={}",
                    request.body.len()
                );
                return Response::new(400);
            }
        },
        "DELETE" => Input::WorkerLeft(id.to_owned()),
        _ => return Response::new(405),
    };
    match input_sender.send(input).await {
        Ok(()) => Response::with_body(200, "{}".to_owned()),
        Err(_) => Response::new(503),
    }
}

/// Event loop of the process: passes all inputs to the agent and runs the actions that it returns.
struct EventLoop {
    agent: Agent,
    connections: Connections,
    worker: WorkerClient,
    input_sender: mpsc::Sender<Input>,
    shutdown_grace: Duration,
    /// Set when shutdown begins: time at which the process exits even if runs are left.
    exit_deadline: Option<Instant>,
}

impl EventLoop {
    async fn run(
        &mut self,
        mut input_receiver: mpsc::Receiver<Input>,
        mut event_receiver: mpsc::Receiver<ConnectionEvent>,
    ) {
        loop {
            let wait = self.agent.next_tick().since(clock::now());
            tokio::select! {
                Some(input) = input_receiver.recv() => {
                    self.on_input(input);
                    for _ in 1..MAX_INPUTS_PER_TURN {
                        let Ok(input) = input_receiver.try_recv() else { break };
                        self.on_input(input);
                    }
                }
                Some(event) = event_receiver.recv() => {
                    self.on_connection_event(event);
                    for _ in 1..MAX_INPUTS_PER_TURN {
                        let Ok(event) = event_receiver.try_recv() else { break };
                        self.on_connection_event(event);
                    }
                }
                () = tokio::time::sleep(wait) => {}
            }
            self.agent.tick(clock::now());
            self.run_actions();
            metrics_server::count_lost_runs(&self.agent.take_losses());
            if let Some(deadline) = self.exit_deadline
                && (Instant::now() >= deadline || self.agent.is_finished())
            {
                return;
            }
        }
    }

    fn on_input(&mut self, input: Input) {
        let now = clock::now();
        match input {
            Input::Heartbeat(beat) => self.agent.on_heartbeat(now, beat),
            Input::WorkerLeft(id) => self.agent.worker_left(now, &id),
            Input::PollReply(number, reply) => self.agent.on_poll_reply(now, number, reply),
            Input::StartReply(task, run, reply) => self.agent.on_start_reply(now, task, run, reply),
            Input::Process(ProcessEvent::SettingsChanged(settings)) => {
                // Of the new settings, only additional seeds take effect without a restart.
                self.agent.add_seeds(&settings.seeds)
            }
            Input::Process(ProcessEvent::Terminate) => {
                log::info!("E725 shutting down runs={}", self.agent.run_count());
                self.exit_deadline =
                    Some(Instant::now() + self.shutdown_grace.saturating_sub(SHUTDOWN_MARGIN));
                self.agent.shut_down();
            }
        }
    }

    fn on_connection_event(&mut self, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Message(message) => self.agent.on_message(clock::now(), message),
            ConnectionEvent::Accepted(address, connection) => {
                self.connections.on_accepted(address, connection)
            }
            ConnectionEvent::Lost {
                peer,
                connection_id,
                ..
            } => {
                self.connections.on_lost(peer, connection_id);
            }
        }
    }

    fn run_actions(&mut self) {
        for action in self.agent.take_actions() {
            let (worker, input_sender) = (self.worker.clone(), self.input_sender.clone());
            match action {
                Action::Send(to, message) => self.connections.send(to, message),
                Action::Poll(call) => {
                    tokio::spawn(async move {
                        let reply = worker.poll(&call).await;
                        // The receiver is gone only when the process is ending.
                        let _ = input_sender
                            .send(Input::PollReply(call.number, reply))
                            .await;
                    });
                }
                Action::Start(call) => {
                    metrics::counter!("figdeal_queue_starts_total").increment(1);
                    tokio::spawn(async move {
                        let reply = worker.start(&call).await;
                        let _ = input_sender
                            .send(Input::StartReply(call.task, call.run, reply))
                            .await;
                    });
                }
                Action::Stop(call) => {
                    metrics::counter!("figdeal_queue_stops_total").increment(1);
                    tokio::spawn(async move {
                        // The reply is ignored: the list of ended runs shows whether the run has stopped. Until then
                        // the call is repeated.
                        let _ = worker.stop(&call).await;
                    });
                }
            }
        }
    }
}
