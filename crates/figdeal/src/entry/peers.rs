//! RPCs to other entries.

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

/// Timeout of a call that waits for the end of a job. Meanwhile the channel detects a silent connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(900);
/// Number of failed calls after which the owner of a submission is considered gone.
const MAX_OWNER_ATTEMPTS: u32 = 3;
/// Delay between two attempts to call an owner.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a search for the owner of a submission.
const FIND_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections to the other entries.
#[derive(Debug, Clone)]
pub(crate) struct Peers {
    channels: Arc<BTreeMap<EntryId, Arc<Channel<EntryRpcClient>>>>,
}

impl Peers {
    pub(crate) fn new(peers: &[(EntryId, String)], timeouts: ChannelTimeouts) -> Peers {
        let channels = peers
            .iter()
            .map(|(id, address)| (*id, Channel::new(address.clone(), timeouts)));
        Peers {
            channels: Arc::new(channels.collect()),
        }
    }

    pub(crate) fn get(&self, id: EntryId) -> Option<&Arc<Channel<EntryRpcClient>>> {
        self.channels.get(&id)
    }

    /// Waits for the answer of the owner; `None` when it is gone or has restarted.
    pub(crate) async fn await_owner(&self, owner: EntryId, query: PeerQuery) -> Option<Answer> {
        for _ in 0..MAX_OWNER_ATTEMPTS {
            // There is no channel if the owner is an earlier incarnation of this entry.
            self.get(owner)?;
            match self.await_answer(owner, query).await {
                Some(PeerAnswer::Final(outcome)) => return Some(Answer::Final(Arc::new(outcome))),
                Some(PeerAnswer::Unknown) => return Some(Answer::Undecided),
                Some(PeerAnswer::Running) => return Some(Answer::Running),
                Some(PeerAnswer::OtherIncarnation) => return None,
                None => tokio::time::sleep(OWNER_RETRY_DELAY).await,
            }
        }
        None
    }

    async fn await_answer(&self, entry: EntryId, query: PeerQuery) -> Option<PeerAnswer> {
        let channel = self.get(entry)?;
        message_count::record(MessageClass::Recovery);
        let call = channel.call(ANSWER_TIMEOUT, |client, context| async move {
            client.await_answer(context, query).await
        });
        let answer = call
            .await
            .inspect_err(|e| log::info!("E303 cannot get an answer from another entry: {e}"))
            .ok()?;
        message_count::record(MessageClass::Recovery);
        Some(answer)
    }

    /// Asks all other entries and returns the first answer from one that knows the submission.
    pub(crate) async fn find_answer(&self, key: SubmissionKey, wait: bool) -> Option<Answer> {
        let mut calls = tokio::task::JoinSet::new();
        for &id in self.channels.keys() {
            let peers = self.clone();
            let query = PeerQuery {
                key,
                wait,
                incarnation: None,
            };
            calls.spawn(async move { peers.await_answer(id, query).await });
        }
        while let Some(answer) = calls.join_next().await {
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

    /// Asks all other entries to cancel the submission; the owner is the one that returns a final answer.
    pub(crate) async fn cancel_at_any(&self, key: SubmissionKey) -> Option<Answer> {
        let mut calls = tokio::task::JoinSet::new();
        for channel in self.channels.values() {
            let channel = Arc::clone(channel);
            calls.spawn(async move {
                message_count::record(MessageClass::Recovery);
                let call = channel.call(ANSWER_TIMEOUT, |client, context| async move {
                    client.cancel(context, key).await
                });
                let answer = call.await.ok();
                message_count::record(MessageClass::Recovery);
                answer
            });
        }
        while let Some(answer) = calls.join_next().await {
            if let Ok(Some(PeerAnswer::Final(outcome))) = answer {
                return Some(Answer::Final(Arc::new(outcome)));
            }
        }
        None
    }

    /// Asks the owner to cancel a submission. The result reaches the caller through the pending wait for the answer.
    pub(crate) async fn cancel_at_owner(&self, owner: EntryId, key: SubmissionKey) {
        let Some(channel) = self.get(owner) else {
            return;
        };
        for _ in 0..MAX_OWNER_ATTEMPTS {
            message_count::record(MessageClass::Recovery);
            let call = channel.call(ANSWER_TIMEOUT, |client, context| async move {
                client.cancel(context, key).await
            });
            match call.await {
                Ok(_) => return message_count::record(MessageClass::Recovery),
                Err(e) => log::info!("E313 cancel request to the owner failed: {e}"),
            }
            tokio::time::sleep(OWNER_RETRY_DELAY).await;
        }
    }

    /// Asks the other entries, one after the other, for the owner of a submission.
    pub(crate) async fn find_owner(&self, key: SubmissionKey) -> Option<OwnerRecord> {
        for channel in self.channels.values() {
            message_count::record(MessageClass::Recovery);
            let call = channel.call(FIND_TIMEOUT, |client, context| async move {
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
