//! RPCs to agents; their replies return to the event loop as events.

use std::{sync::Arc, time::Duration};

use figdeal_core::{
    entry::TaskDispatch,
    fleet::AgentKey,
    id::{SubmissionKey, TaskId},
    time::UnixMillis,
};
use figdeal_wire::{
    channel::Step,
    message::{QueryRequest, RunRequest},
    message_count::{self, MessageClass},
};

use super::{
    Event, EventLoop, MAX_COLLECT_ATTEMPTS, MAX_TICK_INTERVAL, QUERY_DELAY, QUERY_TIMEOUT,
};

impl EventLoop {
    pub(super) fn send_run(&mut self, dispatch: TaskDispatch) {
        let channel = Arc::clone(&self.agents[&dispatch.agent]);
        let agent = self
            .core
            .fleet()
            .get(dispatch.agent)
            .expect("a task goes to a known agent");
        let request = RunRequest {
            entry: self.id,
            incarnation: agent.info.incarnation,
            task: dispatch.task,
            kind: self.kinds.name(dispatch.kind.0).to_owned(),
            team: self.teams.name(dispatch.team.0).to_owned(),
            remaining_work_us: dispatch.remaining_work_us,
            time_left_us: dispatch.time_left.as_micros() as u64,
            config_version: self.applied_rules.as_ref().map_or(0, |rules| rules.version),
            sent_at: UnixMillis::now(),
            payload: dispatch.payload.to_vec(),
        };
        let events = self.events.clone();
        let (agent, task) = (dispatch.agent, dispatch.task);
        let limit = dispatch.time_left + MAX_TICK_INTERVAL * 20;
        self.runtime.spawn(async move {
            message_count::record(MessageClass::Work);
            let call = channel.call(limit, |client, context| async move {
                client.run(context, request).await
            });
            let reply = call.await;
            if reply.is_ok() {
                message_count::record(MessageClass::Result);
            }
            let event = match reply {
                Err(e) if e.step == Step::Connect => {
                    log::info!("E309 cannot connect to the agent of a task: {e}; task={task}");
                    Event::ConnectFailed { agent, task }
                }
                reply => Event::TaskReply { agent, task, reply },
            };
            let _ = events.send(event);
        });
    }

    pub(super) fn send_query(&mut self, agent: AgentKey, task: TaskId) {
        let Some(info) = self.core.fleet().get(agent).map(|a| &a.info) else {
            return;
        };
        let request = QueryRequest {
            incarnation: info.incarnation,
            task,
        };
        let Some(channel) = self.agents.get(&agent).cloned() else {
            return;
        };
        let events = self.events.clone();
        self.runtime.spawn(async move {
            tokio::time::sleep(QUERY_DELAY).await;
            message_count::record(MessageClass::Recovery);
            let call = channel.call(QUERY_TIMEOUT, |client, context| async move {
                client.query(context, request).await
            });
            let reply = call.await;
            if reply.is_ok() {
                message_count::record(MessageClass::Recovery);
            }
            let _ = events.send(Event::TaskReply { agent, task, reply });
        });
    }

    /// Requests the results of a submission from an agent. After `MAX_COLLECT_ATTEMPTS` failed calls the agent counts
    /// as gone.
    pub(super) fn send_collect(
        &mut self,
        agent: AgentKey,
        key: SubmissionKey,
        remaining: Duration,
    ) {
        let Some(channel) = self.agents.get(&agent).cloned() else {
            let _ = self.events.send(Event::CollectReply {
                agent,
                key,
                reply: None,
            });
            return;
        };
        let events = self.events.clone();
        self.runtime.spawn(async move {
            let mut reply = None;
            for _ in 0..MAX_COLLECT_ATTEMPTS {
                message_count::record(MessageClass::Recovery);
                let call = channel.call(remaining, |client, context| async move {
                    client.collect_results(context, key).await
                });
                match call.await {
                    Ok(held) => {
                        message_count::record(MessageClass::Recovery);
                        reply = Some(held);
                        break;
                    }
                    Err(e) => log::info!("E308 cannot collect results from an agent: {e}"),
                }
                tokio::time::sleep(QUERY_DELAY).await;
            }
            let _ = events.send(Event::CollectReply { agent, key, reply });
        });
    }
}
