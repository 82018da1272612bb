//! The process beside a worker.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use figdeal_platform::{
    Response,
    settings::Settings,
    worker::{self as wire, INSTANCES},
};
use figdeal_queue::{
    agent::{Action, Agent, CALL_TIMEOUT, Heartbeat, PollReply, START_TIMEOUT, StartReply},
    job::TaskId,
};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use crate::{
    Result, clock,
    http::{self, Call},
    link::{Event, Links},
    measure,
    process::{self, Notice},
    worker::Worker,
};

/// Inputs that wait for the decisions.
const INPUTS: usize = 1_024;
/// Inputs that are handled before the actions are carried out.
const BURST: usize = 64;
/// Time that a start may take for each call that is out, all of which share a small part of a core.
const EACH_START: Duration = Duration::from_micros(1_500);
/// Time before SIGKILL at which the process ends in any case.
const MARGIN: Duration = Duration::from_millis(800);

enum Input {
    Heartbeat(Heartbeat),
    Left(String),
    Held(u64, Option<PollReply>),
    Started(TaskId, u64, StartReply),
    Notice(Notice),
}

/// Runs the process until SIGTERM.
///
/// # Errors
/// Fails on wrong settings and when an address cannot be listened on.
pub fn run() -> Result<()> {
    process::run(main)
}

async fn main(path: PathBuf, settings: Settings) -> Result<()> {
    let (inputs, received) = mpsc::channel(INPUTS);
    let (events, messages) = mpsc::channel(INPUTS);
    let (_, closed) = watch::channel(false);
    let own = SocketAddr::new(settings.ip, settings.agent_port);
    let worker = Settings::require(&path, settings.worker, "the worker")?;
    let control = Settings::require(&path, settings.control, "the worker's heartbeats")?;
    let session = rand::random();
    log::info!(
        "E720 start name={} address={own} worker={worker} session={session:016x} seeds={:?}",
        settings.name,
        settings.seeds
    );
    let links = Links::listen(own, settings.behind, events).await?;
    let sender = inputs.clone();
    http::serve(control, closed.clone(), move |call| {
        heartbeat(call, sender.clone())
    })
    .await?;
    measure::start(settings.ip, closed).await?;
    process::watch(path, settings.clone(), inputs.clone(), Input::Notice)?;
    let agent = Agent::new(own, session, settings.seeds);
    let mut process = Process {
        agent,
        links,
        worker: Worker::new(worker),
        inputs,
        grace: settings.grace,
        end: None,
    };
    process.run(received, messages).await;
    log::info!("E721 stop name={}", settings.name);
    Ok(())
}

async fn heartbeat(call: Call, inputs: mpsc::Sender<Input>) -> Response {
    let Some(id) = call.path.strip_prefix(INSTANCES) else {
        return Response::new(404);
    };
    let input = match call.method.as_str() {
        "PUT" => match wire::heartbeat(id, &call.body) {
            Some(beat) => Input::Heartbeat(beat),
            None => {
                log::info!(
                    "E722 heartbeat not readable worker={id} bytes={}",
                    call.body.len()
                );
                return Response::new(400);
            }
        },
        "DELETE" => Input::Left(id.to_owned()),
        _ => return Response::new(405),
    };
    match inputs.send(input).await {
        Ok(()) => Response::with_body(200, "{}".to_owned()),
        Err(_) => Response::new(503),
    }
}

struct Process {
    agent: Agent,
    links: Links,
    worker: Worker,
    inputs: mpsc::Sender<Input>,
    grace: Duration,
    /// When the process ends in any case, once it shuts down.
    end: Option<Instant>,
}

impl Process {
    async fn run(
        &mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut messages: mpsc::Receiver<Event>,
    ) {
        loop {
            let wait = self.agent.next_tick().since(clock::now());
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
            self.agent.tick(clock::now());
            self.carry_out();
            if let Some(last) = self.end
                && (Instant::now() >= last || self.agent.is_finished())
            {
                return;
            }
        }
    }

    fn input(&mut self, input: Input) {
        let now = clock::now();
        match input {
            Input::Heartbeat(beat) => self.agent.heartbeat(now, beat),
            Input::Left(id) => self.agent.worker_left(now, &id),
            Input::Held(number, held) => self.agent.on_poll_reply(now, number, held),
            Input::Started(task, run, answer) => self.agent.on_start_reply(now, task, run, answer),
            Input::Notice(Notice::Settings(settings)) => self.agent.add_seeds(&settings.seeds),
            Input::Notice(Notice::Close) => {
                log::info!("E725 shutting down runs={}", self.agent.run_count());
                self.end = Some(Instant::now() + self.grace.saturating_sub(MARGIN));
                self.agent.shut_down();
            }
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Message(peer) => self.agent.on_peer(clock::now(), peer),
            Event::Accepted(address, link) => self.links.accepted(address, link),
            Event::Lost { peer, number, .. } => {
                self.links.lost(peer, number);
            }
        }
    }

    fn carry_out(&mut self) {
        for action in self.agent.take_actions() {
            let (worker, inputs) = (self.worker.clone(), self.inputs.clone());
            match action {
                Action::Send(to, peer) => self.links.send(to, peer),
                Action::Poll(call) => {
                    tokio::spawn(async move {
                        let limit = call.wait + CALL_TIMEOUT;
                        let answer = worker.call(wire::hold(&call), limit).await;
                        let held = answer.and_then(|(status, body)| wire::held(status, &body));
                        // The process ends when nobody takes inputs any more.
                        let _ = inputs.send(Input::Held(call.number, held)).await;
                    });
                }
                Action::Start(call) => {
                    metrics::counter!("figdeal_queue_starts_total").increment(1);
                    tokio::spawn(async move {
                        let limit = START_TIMEOUT + EACH_START * worker.calls();
                        let answer = worker.call(wire::start(&call), limit).await;
                        let started = answer.map_or(StartReply::Unknown, |(status, body)| {
                            wire::started(status, &body)
                        });
                        let _ = inputs
                            .send(Input::Started(call.task, call.run, started))
                            .await;
                    });
                }
                Action::Stop(call) => {
                    metrics::counter!("figdeal_queue_stops_total").increment(1);
                    tokio::spawn(async move {
                        // Whether it was stopped shows in the list of ends; it is sent again until then.
                        worker.call(wire::stop(&call), CALL_TIMEOUT).await;
                    });
                }
            }
        }
    }
}
