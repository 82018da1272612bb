//! tarpc server for calls of entries.

use std::{
    net::TcpListener,
    sync::{Arc, mpsc},
};

use figdeal_core::id::{SubmissionKey, TaskId};
use figdeal_limits::{
    ClientLimits,
    gate::{self, Gate},
    peer_stream::PeerStream,
};
use figdeal_wire::{
    codec::transport_on,
    listen,
    message::{CollectReply, LoadReport, QueryRequest, RunRequest, TaskOutcome, TaskReply},
    service::AgentRpc,
};
use futures::StreamExt;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{net::TcpStream, sync::oneshot};
use tokio_util::sync::CancellationToken;

use crate::{entry_activity::EntryActivity, event_loop::Event};

#[derive(Debug, Clone)]
struct RpcServer {
    entry_activity: Arc<EntryActivity>,
    events: mpsc::Sender<Event>,
}

impl AgentRpc for RpcServer {
    async fn run(self, _: Context, request: RunRequest) -> TaskReply {
        let (task, entry) = (request.task, request.entry);
        self.entry_activity.on_request(request.config_version);
        let reply = self
            .ask_event_loop(task, |reply| Event::Run(request, reply))
            .await;
        self.entry_activity.on_reply(entry);
        reply
    }

    async fn query(self, _: Context, request: QueryRequest) -> TaskReply {
        let task = request.task;
        self.ask_event_loop(task, |reply| Event::Query(request, reply))
            .await
    }

    async fn cancel(self, _: Context, tasks: Vec<TaskId>) {
        let _ = self.events.send(Event::Cancel(tasks));
    }

    async fn collect_results(self, _: Context, key: SubmissionKey) -> CollectReply {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(Event::Collect(key, reply));
        match answer.await {
            Ok(answer) => answer,
            // The event loop has ended without a reply. Never replies, so that the caller does not take this for an
            // empty result; the connection ends with the process.
            Err(_) => std::future::pending().await,
        }
    }

    async fn ping(self, _: Context) {}
}

impl RpcServer {
    async fn ask_event_loop(
        &self,
        task: TaskId,
        event: impl FnOnce(oneshot::Sender<TaskReply>) -> Event,
    ) -> TaskReply {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(event(reply));
        match answer.await {
            Ok(answer) => answer,
            Err(_) => TaskReply {
                task,
                outcome: TaskOutcome::Unknown,
                run_time_us: 0,
                load: LoadReport::default(),
            },
        }
    }
}

/// Serves entries until `stop` is cancelled.
pub(crate) async fn serve(
    listener: TcpListener,
    events: mpsc::Sender<Event>,
    entry_activity: Arc<EntryActivity>,
    stop: CancellationToken,
) {
    let gate = Gate::start("peers", gate::agent_peer_limits(&ClientLimits::default()));
    let connection = |stream: TcpStream, peer| {
        // Without the option the connection still works.
        let _ = stream.set_nodelay(true);
        let admitted = PeerStream::admit(stream, peer, &gate);
        let server = RpcServer {
            entry_activity: Arc::clone(&entry_activity),
            events: events.clone(),
        };
        async move {
            let Some((stream, evicted)) = admitted else {
                return;
            };
            let channel = BaseChannel::with_defaults(transport_on(stream));
            let requests = channel.execute(server.serve());
            tokio::select! {
                biased;
                // An evicted connection is closed at once, to return its memory.
                _ = evicted => {}
                () = requests.for_each_concurrent(None, |response| response) => {}
            }
        }
    };
    listen::serve(listener, stop, connection).await;
}
