//! Announces the agent to one entry and fetches new versions of the configuration from it.

use std::{
    sync::{Arc, mpsc},
    time::Duration,
};

use figdeal_config::Bundle;
use figdeal_core::id::{EntryId, Incarnation};
use figdeal_wire::{
    channel::{Channel, ChannelTimeouts},
    message::Announcement,
    message_count::{self, MessageClass},
    service::EntryRpcClient,
};
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    entry_activity::EntryActivity,
    event_loop::{AnnouncedState, Event},
};

/// Longest time between two announcements, while replies to the entry already show that the agent is alive.
const MAX_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);
/// Timeout of an announcement, and of fetching the configuration.
const ENTRY_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends announcements to one entry.
#[derive(Debug)]
pub(crate) struct Announcer {
    pub(crate) entry_activity: Arc<EntryActivity>,
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) address: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) announce_interval: Duration,
    pub(crate) timeouts: ChannelTimeouts,
    pub(crate) events: mpsc::Sender<Event>,
}

impl Announcer {
    /// Announces the agent at once, then after each change of its state, until `stop` is cancelled. At each interval it
    /// announces again unless the entry is up to date. Nothing is announced before the upstream is known.
    pub(crate) async fn run(
        self,
        entry: String,
        mut state: watch::Receiver<AnnouncedState>,
        stop: CancellationToken,
    ) {
        let channel: Arc<Channel<EntryRpcClient>> = Channel::new(entry, self.timeouts);
        let mut known_version = 0;
        let mut last_announced: Option<(EntryId, Instant)> = None;
        loop {
            let is_changed = state.has_changed().unwrap_or(false);
            let current = state.borrow_and_update().clone();
            known_version = known_version.max(current.config_version);
            if (is_changed || !self.is_up_to_date(last_announced, known_version))
                && let Some(announcement) = self.announcement(current)
            {
                let entry = self
                    .announce(&channel, announcement, &mut known_version)
                    .await;
                last_announced = entry.map(|entry| (entry, Instant::now()));
            }
            tokio::select! {
                () = stop.cancelled() => return,
                changed = state.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    // `changed` has marked the new state as seen, but the next round has to find it changed.
                    state.mark_changed();
                }
                () = tokio::time::sleep(self.announce_interval) => {}
            }
        }
    }

    /// Returns whether the entry needs no announcement: the last one arrived, it has received replies since, and no
    /// request named a newer configuration version. The agent learns of a newer version only from the reply to an
    /// announcement.
    fn is_up_to_date(
        &self,
        last_announced: Option<(EntryId, Instant)>,
        known_version: u64,
    ) -> bool {
        last_announced.is_some_and(|(entry, at)| {
            at.elapsed() < MAX_ANNOUNCE_INTERVAL
                && self
                    .entry_activity
                    .replied_within(entry, self.announce_interval)
                && self.entry_activity.newest_version() <= known_version
        })
    }

    async fn announce(
        &self,
        channel: &Arc<Channel<EntryRpcClient>>,
        announcement: Announcement,
        known_version: &mut u64,
    ) -> Option<EntryId> {
        message_count::record(MessageClass::Heartbeat);
        let call = channel.call(ENTRY_CALL_TIMEOUT, |client, context| async move {
            client.announce(context, announcement).await
        });
        match call.await {
            Ok(reply) => {
                message_count::record(MessageClass::Heartbeat);
                if reply.config_version > *known_version {
                    self.fetch_config(channel, known_version).await;
                }
                Some(reply.entry)
            }
            Err(e) => {
                log::debug!("E205 announcement failed: {e}");
                channel.close();
                None
            }
        }
    }

    async fn fetch_config(&self, channel: &Arc<Channel<EntryRpcClient>>, known_version: &mut u64) {
        message_count::record(MessageClass::Heartbeat);
        let version = *known_version;
        let call = channel.call(ENTRY_CALL_TIMEOUT, |client, context| async move {
            client.fetch_config(context, version).await
        });
        let found = match call.await {
            Ok(found) => found,
            Err(e) => return log::info!("E213 cannot fetch the configuration: {e}"),
        };
        message_count::record(MessageClass::Heartbeat);
        let Some(found) = found else { return };
        let files = found
            .files
            .into_iter()
            .map(|(name, bytes)| (name, bytes.into_vec()));
        let site = Bundle::new(files.collect()).and_then(|b| b.effective(&self.data_centre));
        match site {
            Ok(site) => {
                *known_version = found.version;
                let _ = self
                    .events
                    .send(Event::ConfigReceived(found.version, Box::new(site)));
            }
            Err(e) => log::error!(
                "E214 cannot use configuration version {}: {e}",
                found.version
            ),
        }
    }

    fn announcement(&self, state: AnnouncedState) -> Option<Announcement> {
        let upstream = state.upstream?;
        let data_centre = if upstream.data_centre.is_empty() {
            self.data_centre.clone()
        } else {
            upstream.data_centre
        };
        Some(Announcement {
            name: self.name.clone(),
            address: self.address.clone(),
            incarnation: self.incarnation,
            slots: upstream.slots,
            kinds: upstream.kinds,
            max_task_size: upstream.size,
            data_centre,
            draining: state.draining,
            load: state.load,
            config_version: state.config_version,
        })
    }
}
