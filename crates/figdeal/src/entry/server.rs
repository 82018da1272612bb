//! The tarpc service for agents and other entries.

use std::{
    net::TcpListener,
    sync::{Arc, mpsc},
};

use figdeal_core::{
    claim::{ClaimReply, ClaimRequest},
    entry::Answer,
    id::{Incarnation, SubmissionKey},
};
use figdeal_limits::{
    ClientLimits,
    gate::{self, Gate},
    peer_stream::PeerStream,
};
use figdeal_wire::{
    codec::transport_on,
    listen,
    message::{AnnounceReply, Announcement, ConfigFiles, OwnerRecord, PeerAnswer, PeerQuery},
    service::EntryRpc,
};
use futures::StreamExt;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{net::TcpStream, sync::oneshot};
use tokio_util::sync::CancellationToken;

use super::{
    SharedState,
    event_loop::{Event, Responder},
};

#[derive(Debug, Clone)]
struct EntryService {
    incarnation: Incarnation,
    events: mpsc::Sender<Event>,
    shared: Arc<SharedState>,
}

impl EntryRpc for EntryService {
    async fn announce(self, _: Context, announcement: Announcement) -> AnnounceReply {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(Event::Announce(announcement, reply));
        match answer.await {
            Ok(reply) => reply,
            // The event loop has stopped and the process is about to exit, which closes the connection.
            Err(_) => std::future::pending().await,
        }
    }

    async fn claim(self, _: Context, request: ClaimRequest) -> Option<ClaimReply> {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(Event::ClaimRequest(request, reply));
        answer.await.ok()
    }

    async fn await_answer(self, _: Context, query: PeerQuery) -> PeerAnswer {
        if query.incarnation.is_some_and(|i| i != self.incarnation) {
            return PeerAnswer::OtherIncarnation;
        }
        self.request_answer(|responder| Event::PeerFetch {
            key: query.key,
            wait: query.wait,
            responder,
        })
        .await
    }

    async fn cancel(self, _: Context, key: SubmissionKey) -> PeerAnswer {
        self.request_answer(|responder| Event::PeerCancel(key, responder))
            .await
    }

    async fn find_owner(self, _: Context, key: SubmissionKey) -> Option<OwnerRecord> {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(Event::PeerFindOwner(key, reply));
        answer.await.ok().flatten()
    }

    async fn fetch_config(self, _: Context, version: u64) -> Option<ConfigFiles> {
        let active_config = self
            .shared
            .active_config()
            .filter(|f| f.version.number > version)?;
        let files = active_config.version.bundle.files.iter();
        Some(ConfigFiles {
            version: active_config.version.number,
            files: files
                .map(|f| (f.name.clone(), f.bytes.clone().into()))
                .collect(),
        })
    }

    async fn ping(self, _: Context) {}
}

impl EntryService {
    async fn request_answer(&self, event: impl FnOnce(Responder) -> Event) -> PeerAnswer {
        let (reply, answer) = oneshot::channel();
        let responder: Responder = Box::new(move |answer| {
            let _ = reply.send(answer);
        });
        let _ = self.events.send(event(responder));
        match answer.await {
            Ok(Answer::Final(outcome)) => PeerAnswer::Final((*outcome).clone()),
            Ok(Answer::Running) => PeerAnswer::Running,
            Ok(_) => PeerAnswer::Unknown,
            // The event loop has stopped and the process is about to exit, which closes the connection.
            Err(_) => std::future::pending().await,
        }
    }
}

/// Serves agents and other entries until `stop` is cancelled.
pub(crate) async fn serve(
    listener: TcpListener,
    incarnation: Incarnation,
    events: mpsc::Sender<Event>,
    shared: Arc<SharedState>,
    stop: CancellationToken,
) {
    let gate = Gate::start("peers", gate::rpc_limits(&ClientLimits::default()));
    let connection = |stream: TcpStream, peer| {
        // Without the option the connection still works.
        let _ = stream.set_nodelay(true);
        let admitted = PeerStream::admit(stream, peer, &gate);
        let server = EntryService {
            incarnation,
            events: events.clone(),
            shared: Arc::clone(&shared),
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
