//! The HTTP interface for callers, the balancer and operators.

use std::sync::{Arc, atomic::Ordering, mpsc::Sender};

use figdeal_core::{entry::Answer, id::SubmissionKey};
use hyper::Method;
use serde_json::json;
use tokio::sync::oneshot;

use super::{
    Shared,
    answer::render,
    control::{Event, Responder},
};
use crate::{
    http::{BodyError, Call, Reply},
    submission::{Invalid, JobRequest, check_name, submission_key},
};

/// Serves the requests of callers, the balancer and operators.
#[derive(Debug, Clone)]
pub(crate) struct Http {
    pub(crate) events: Sender<Event>,
    pub(crate) shared: Arc<Shared>,
}

impl Http {
    /// Answers one request.
    pub(crate) async fn handle(self, call: Call) -> Reply {
        let path = call.path.clone();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (call.method.clone(), parts.as_slice()) {
            (Method::POST, ["v1", "jobs"]) => self.submit(call).await,
            (Method::GET, ["v1", "jobs", team, id]) => match key(team, id) {
                Ok(key) => {
                    let wait = call.has("wait=true");
                    self.ask(&[], |responder| Event::Fetch {
                        key,
                        wait,
                        responder,
                    })
                    .await
                }
                Err(invalid) => refusal(400, &invalid),
            },
            (Method::DELETE, ["v1", "jobs", team, id]) => match key(team, id) {
                Ok(key) => {
                    self.ask(&[], |responder| Event::Cancel { key, responder })
                        .await
                }
                Err(invalid) => refusal(400, &invalid),
            },
            (Method::GET, ["v1", "status" | "queue"]) => self.status().await,
            (Method::GET, ["healthz"]) => Reply::json(200, &json!({ "healthy": true })),
            (Method::GET, ["readyz"]) => {
                let is_ready = self.shared.is_ready();
                Reply::json(
                    if is_ready { 200 } else { 503 },
                    &json!({ "ready": is_ready }),
                )
            }
            _ => Reply::json(404, &json!({ "error": format!("no such path: {path}") })),
        }
    }

    async fn submit(self, call: Call) -> Reply {
        if !self.shared.is_configured.load(Ordering::Relaxed) {
            return render(&Answer::Undecided, &[]);
        }
        let wait = !call.has("wait=false");
        let job = match self.read_job(&call) {
            Ok(job) => job,
            Err((status, invalid)) => return refusal(status, &invalid),
        };
        let idempotent: Vec<bool> = job.tasks.iter().map(|t| t.idempotent).collect();
        self.ask(&idempotent, |responder| Event::Submit {
            job,
            wait,
            responder,
        })
        .await
    }

    fn read_job(&self, call: &Call) -> Result<JobRequest, (u16, Invalid)> {
        let rules = self.shared.rules();
        let body = match &call.body {
            Ok(body) => body,
            Err(BodyError::TooLong) => {
                let problem = format!("longer than {} bytes", rules.max_body);
                return Err((413, Invalid::new("body", problem)));
            }
            Err(BodyError::TooSlow) => {
                return Err((408, Invalid::new("body", "arrived too slowly")));
            }
            Err(BodyError::Truncated) => return Err((400, Invalid::new("body", "truncated"))),
        };
        JobRequest::parse(body, &rules).map_err(|invalid| (400, invalid))
    }

    async fn ask(&self, idempotent: &[bool], event: impl FnOnce(Responder) -> Event) -> Reply {
        let (sender, answer) = oneshot::channel::<Answer>();
        let responder: Responder = Box::new(move |answer| {
            let _ = sender.send(answer);
        });
        // A control thread that is gone drops the event and with it the sender.
        let _ = self.events.send(event(responder));
        match answer.await {
            Ok(answer) => render(&answer, idempotent),
            Err(_) => stopped(),
        }
    }

    async fn status(&self) -> Reply {
        let (sender, answer) = oneshot::channel();
        let _ = self.events.send(Event::Status(Box::new(move |status| {
            let _ = sender.send(status);
        })));
        match answer.await {
            Ok(status) => Reply::json(200, &status),
            Err(_) => stopped(),
        }
    }
}

fn stopped() -> Reply {
    render(&Answer::Undecided, &[])
}

fn refusal(status: u16, invalid: &Invalid) -> Reply {
    let body = json!({ "outcome": "invalid", "field": invalid.field, "error": invalid.problem });
    Reply::json(status, &body)
}

fn key(team: &str, id: &str) -> Result<SubmissionKey, Invalid> {
    check_name("team", team)?;
    check_name("id", id)?;
    Ok(submission_key(team, id))
}
