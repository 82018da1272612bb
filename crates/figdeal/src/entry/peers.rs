//! Calls to other entries.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use figdeal_core::{
    entry::Answer,
    id::{EntryId, SubmissionKey},
};
use figdeal_wire::{
    channel::{Channel, ChannelTimeouts},
    message::{OwnerRecord, PeerAnswer, PeerQuery},
    message_count::{self, MessageClass},
    service::EntryRpcClient,
};

/// Longest wait for another entry's answer; its connection is checked for silence meanwhile.
const ANSWER_LIMIT: Duration = Duration::from_secs(900);
/// Times that an owner is asked before it counts as gone.
const OWNER_ATTEMPTS: u32 = 3;
/// Pause between two attempts to ask an owner.
const OWNER_PAUSE: Duration = Duration::from_millis(300);
/// Longest wait for a record.
const FIND_LIMIT: Duration = Duration::from_secs(1);

/// Connections to the other entries.
#[derive(Debug, Clone)]
pub(crate) struct Peers {
    channels: Arc<BTreeMap<EntryId, Arc<Channel<EntryRpcClient>>>>,
}

impl Peers {
    pub(crate) fn new(peers: &[(EntryId, String)], limits: ChannelTimeouts) -> Peers {
        let channels = peers
            .iter()
            .map(|(id, address)| (*id, Channel::new(address.clone(), limits)));
        Peers {
            channels: Arc::new(channels.collect()),
        }
    }

    pub(crate) fn get(&self, id: EntryId) -> Option<&Arc<Channel<EntryRpcClient>>> {
        self.channels.get(&id)
    }

    /// Waits for the answer of the owner; `None` when it is gone or another incarnation.
    pub(crate) async fn await_owner(&self, owner: EntryId, query: PeerQuery) -> Option<Answer> {
        for _ in 0..OWNER_ATTEMPTS {
            // An earlier run of this entry.
            self.get(owner)?;
            match self.await_answer(owner, query).await {
                Some(PeerAnswer::Final(outcome)) => return Some(Answer::Final(Arc::new(outcome))),
                Some(PeerAnswer::Unknown) => return Some(Answer::Undecided),
                Some(PeerAnswer::Running) => return Some(Answer::Running),
                Some(PeerAnswer::OtherIncarnation) => return None,
                None => tokio::time::sleep(OWNER_PAUSE).await,
            }
        }
        None
    }

    async fn await_answer(&self, entry: EntryId, query: PeerQuery) -> Option<PeerAnswer> {
        let channel = self.get(entry)?;
        message_count::record(MessageClass::Recovery);
        let call = channel.call(ANSWER_LIMIT, |client, context| async move {
            client.await_answer(context, query).await
        });
        let answer = call
            .await
            .inspect_err(|e| log::info!("E303 answer of an entry: {e}"))
            .ok()?;
        message_count::record(MessageClass::Recovery);
        Some(answer)
    }

    /// Asks every other entry for the answer; the first one that knows it wins.
    pub(crate) async fn search(&self, key: SubmissionKey, wait: bool) -> Option<Answer> {
        let mut asked = tokio::task::JoinSet::new();
        for &id in self.channels.keys() {
            let peers = self.clone();
            let query = PeerQuery {
                key,
                wait,
                incarnation: None,
            };
            asked.spawn(async move { peers.await_answer(id, query).await });
        }
        while let Some(answer) = asked.join_next().await {
            match answer {
                Ok(Some(PeerAnswer::Final(outcome))) => {
                    return Some(Answer::Final(Arc::new(outcome)));
                }
                Ok(Some(PeerAnswer::Running)) => return Some(Answer::Running),
                _ => {}
            }
        }
        None
    }

    /// Asks every other entry to cancel; the owner's answer wins.
    pub(crate) async fn cancel(&self, key: SubmissionKey) -> Option<Answer> {
        let mut asked = tokio::task::JoinSet::new();
        for channel in self.channels.values() {
            let channel = Arc::clone(channel);
            asked.spawn(async move {
                message_count::record(MessageClass::Recovery);
                let call = channel.call(ANSWER_LIMIT, |client, context| async move {
                    client.cancel(context, key).await
                });
                let answer = call.await.ok();
                message_count::record(MessageClass::Recovery);
                answer
            });
        }
        while let Some(answer) = asked.join_next().await {
            if let Ok(Some(PeerAnswer::Final(outcome))) = answer {
                return Some(Answer::Final(Arc::new(outcome)));
            }
        }
        None
    }

    /// Asks the owner to cancel a submission. Whoever waits for its answer learns the result.
    pub(crate) async fn cancel_at(&self, owner: EntryId, key: SubmissionKey) {
        let Some(channel) = self.get(owner) else {
            return;
        };
        for _ in 0..OWNER_ATTEMPTS {
            message_count::record(MessageClass::Recovery);
            let call = channel.call(ANSWER_LIMIT, |client, context| async move {
                client.cancel(context, key).await
            });
            match call.await {
                Ok(_) => return message_count::record(MessageClass::Recovery),
                Err(e) => log::info!("E313 cancellation: {e}"),
            }
            tokio::time::sleep(OWNER_PAUSE).await;
        }
    }

    /// Asks every other entry for the owner of a submission.
    pub(crate) async fn find(&self, key: SubmissionKey) -> Option<OwnerRecord> {
        for channel in self.channels.values() {
            message_count::record(MessageClass::Recovery);
            let call = channel.call(FIND_LIMIT, |client, context| async move {
                client.find_owner(context, key).await
            });
            let found = call.await;
            message_count::record(MessageClass::Recovery);
            if let Ok(Some(record)) = found {
                return Some(record);
            }
        }
        None
    }
}
