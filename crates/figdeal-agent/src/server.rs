//! The tarpc service that entries call.

use std::{
    net::TcpListener,
    sync::{Arc, mpsc},
};

use figdeal_core::id::{SubmissionKey, TaskId};
use figdeal_wire::{
    codec::transport,
    listen,
    message::{CollectReply, LoadReport, QueryRequest, RunRequest, TaskOutcome, TaskReply},
    service::AgentRpc,
};
use futures::StreamExt;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::{control::Event, traffic::Traffic};

#[derive(Debug, Clone)]
struct Server {
    traffic: Arc<Traffic>,
    events: mpsc::Sender<Event>,
}

impl AgentRpc for Server {
    async fn run(self, _: Context, request: RunRequest) -> TaskReply {
        let (task, entry) = (request.task, request.entry);
        self.traffic.on_request(request.config_version);
        let reply = self.ask(task, |reply| Event::Run(request, reply)).await;
        self.traffic.on_reply(entry);
        reply
    }

    async fn query(self, _: Context, request: QueryRequest) -> TaskReply {
        let task = request.task;
        self.ask(task, |reply| Event::Query(request, reply)).await
    }

    async fn cancel(self, _: Context, tasks: Vec<TaskId>) {
        let _ = self.events.send(Event::Cancel(tasks));
    }

    async fn collect_results(self, _: Context, key: SubmissionKey) -> CollectReply {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(Event::Collect(key, reply));
        match answer.await {
            Ok(answer) => answer,
            // A stopped control thread holds no results; the connection ends with the process.
            Err(_) => std::future::pending().await,
        }
    }

    async fn ping(self, _: Context) {}
}

impl Server {
    async fn ask(
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
    traffic: Arc<Traffic>,
    stop: CancellationToken,
) {
    let connection = |stream| {
        let server = Server {
            traffic: Arc::clone(&traffic),
            events: events.clone(),
        };
        async move {
            let channel = BaseChannel::with_defaults(transport(stream));
            channel
                .execute(server.serve())
                .for_each_concurrent(None, |response| response)
                .await;
        }
    };
    listen::serve(listener, stop, connection).await;
}
