//! Announces the agent to one entry.

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
    control::{Event, Presence},
    traffic::Traffic,
};

/// Longest time without an announcement while replies show that the agent lives.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);
/// Time limit of one announcement.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(1);

/// Sends announcements to one entry.
#[derive(Debug)]
pub(crate) struct Announcer {
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) address: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) every: Duration,
    pub(crate) limits: ChannelTimeouts,
    pub(crate) events: mpsc::Sender<Event>,
}

impl Announcer {
    /// Announces at once, then at each change and each interval, until `stop` is cancelled.
    pub(crate) async fn run(
        self,
        entry: String,
        mut presence: watch::Receiver<Presence>,
        stop: CancellationToken,
    ) {
        let channel: Arc<Channel<EntryRpcClient>> = Channel::new(entry, self.limits);
        let mut known = 0;
        let mut last: Option<(EntryId, Instant)> = None;
        loop {
            let is_changed = presence.has_changed().unwrap_or(false);
            let current = presence.borrow_and_update().clone();
            known = known.max(current.version);
            if (is_changed || !self.is_known(last, known))
                && let Some(announcement) = self.announcement(current)
            {
                let entry = self.announce(&channel, announcement, &mut known).await;
                last = entry.map(|entry| (entry, Instant::now()));
            }
            tokio::select! {
                () = stop.cancelled() => return,
                changed = presence.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    presence.mark_changed();
                }
                () = tokio::time::sleep(self.every) => {}
            }
        }
    }

    /// Whether the entry needs no announcement: the last one arrived, replies went there since, and no request named a
    /// newer version of the configuration, which only the reply to an announcement brings.
    fn is_known(&self, last: Option<(EntryId, Instant)>, known: u64) -> bool {
        last.is_some_and(|(entry, at)| {
            at.elapsed() < LONGEST_PAUSE
                && self.traffic.is_recent(entry, self.every)
                && self.traffic.version() <= known
        })
    }

    async fn announce(
        &self,
        channel: &Arc<Channel<EntryRpcClient>>,
        announcement: Announcement,
        known: &mut u64,
    ) -> Option<EntryId> {
        message_count::record(MessageClass::Heartbeat);
        let call = channel.call(ANNOUNCE_LIMIT, |client, context| async move {
            client.announce(context, announcement).await
        });
        match call.await {
            Ok(reply) => {
                message_count::record(MessageClass::Heartbeat);
                if reply.config_version > *known {
                    self.fetch_config(channel, known).await;
                }
                Some(reply.entry)
            }
            Err(e) => {
                log::debug!("E205 announcement: {e}");
                channel.close();
                None
            }
        }
    }

    async fn fetch_config(&self, channel: &Arc<Channel<EntryRpcClient>>, known: &mut u64) {
        message_count::record(MessageClass::Heartbeat);
        let have = *known;
        let call = channel.call(ANNOUNCE_LIMIT, |client, context| async move {
            client.fetch_config(context, have).await
        });
        let found = match call.await {
            Ok(found) => found,
            Err(e) => return log::info!("E213 fetch of the configuration: {e}"),
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
                *known = found.version;
                let _ = self
                    .events
                    .send(Event::Config(found.version, Box::new(site)));
            }
            Err(e) => log::error!("E214 version {} is unusable here: {e}", found.version),
        }
    }

    fn announcement(&self, presence: Presence) -> Option<Announcement> {
        let upstream = presence.upstream?;
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
            draining: presence.draining,
            load: presence.load,
            config_version: presence.version,
        })
    }
}
