//! The HTTP interface for callers, the balancer and operators.

use std::sync::{Arc, atomic::Ordering, mpsc::Sender};

use figdeal_agent::metrics;
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
    report,
    submission::{self, Invalid, JobRequest, check_name, submission_key},
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
        let Some(allowed) = methods(&parts) else {
            return Reply::json(404, &json!({ "error": format!("no such path: {path}") }));
        };
        // A balancer may check with HEAD; hyper leaves the body of the answer out.
        let method = match call.method.clone() {
            Method::HEAD => Method::GET,
            method => method,
        };
        let is_caller = matches!(parts.as_slice(), ["v1", "jobs", ..]);
        let reply = self.route(method, &parts, allowed, call).await;
        if is_caller && !reply.outcome.is_empty() {
            ::metrics::counter!("figdeal_answers_total", "outcome" => reply.outcome).increment(1);
        }
        reply
    }

    async fn route(
        self,
        method: Method,
        parts: &[&str],
        allowed: &'static str,
        call: Call,
    ) -> Reply {
        match (method, parts) {
            (Method::POST, ["v1", "jobs"]) => self.submit(call).await,
            (Method::GET, ["v1", "jobs", team, id]) => self.fetch(&call, team, id).await,
            (Method::DELETE, ["v1", "jobs", team, id]) => self.cancel(&call, team, id).await,
            (Method::GET, ["v1", "status" | "queue"]) => self.status().await,
            (Method::GET, ["report"]) => self.report(&call).await,
            (Method::GET, ["metrics"]) => self.metrics().await,
            (Method::POST, ["v1", "drain"]) => self.drain(&call),
            (Method::GET, ["healthz"]) => Reply::json(200, &json!({ "healthy": true })),
            (Method::GET, ["readyz"]) => match self.shared.unready() {
                None => Reply::json(200, &json!({ "ready": true })),
                Some(reason) => Reply::json(503, &json!({ "ready": false, "reason": reason })),
            },
            (method, _) => {
                let error = format!("{method} is not allowed on {}, use {allowed}", call.path);
                Reply {
                    allow: allowed,
                    ..Reply::json(405, &json!({ "error": error }))
                }
            }
        }
    }

    async fn fetch(&self, call: &Call, team: &str, id: &str) -> Reply {
        let request = key(team, id).and_then(|key| Ok((key, wait(call, false)?)));
        let (key, wait) = match request {
            Ok(request) => request,
            Err(invalid) => return refusal(400, &invalid),
        };
        self.ask(&[], |responder| Event::Fetch {
            key,
            wait,
            responder,
        })
        .await
    }

    async fn cancel(&self, call: &Call, team: &str, id: &str) -> Reply {
        let request = key(team, id).and_then(|key| check_options(call, &[]).map(|()| key));
        match request {
            Ok(key) => {
                self.ask(&[], |responder| Event::Cancel { key, responder })
                    .await
            }
            Err(invalid) => refusal(400, &invalid),
        }
    }

    async fn submit(self, call: Call) -> Reply {
        if !self.shared.is_configured.load(Ordering::Relaxed) {
            return render(&Answer::Undecided, &[]);
        }
        let wait = match wait(&call, true) {
            Ok(wait) => wait,
            Err(invalid) => return refusal(400, &invalid),
        };
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

    /// Callers reach the same listener, so only a client on the entry's own machine may end the entry.
    fn drain(&self, call: &Call) -> Reply {
        if !call.peer.ip().to_canonical().is_loopback() {
            let error = format!(
                "drain is served to loopback only, not to {}",
                call.peer.ip()
            );
            return Reply::json(403, &json!({ "error": error }));
        }
        if !self.shared.is_draining.swap(true, Ordering::Relaxed) {
            log::info!("E334 drain requested by {}", call.peer);
        }
        self.shared.drain.cancel();
        Reply::json(202, &json!({ "draining": true }))
    }

    async fn report(&self, call: &Call) -> Reply {
        let format = check_options(call, &["format"]).map(|()| call.options().last());
        let is_json = match format {
            Ok(None | Some((_, "html"))) => false,
            Ok(Some((_, "json"))) => true,
            Ok(Some((_, other))) => {
                let problem = format!("{other:?} is neither html nor json");
                return refusal(400, &Invalid::new("format", problem));
            }
            Err(invalid) => return refusal(400, &invalid),
        };
        let (sender, view) = oneshot::channel();
        let _ = self.events.send(Event::Report(Box::new(move |view| {
            let _ = sender.send(view);
        })));
        match view.await {
            Ok(view) if is_json => Reply::json(200, &json!(view)),
            Ok(view) => {
                let page = report::render_html(&view, "figdeal: service-level burn");
                Reply::new(200, "text/html; charset=utf-8", page)
            }
            Err(_) => stopped(),
        }
    }

    async fn metrics(&self) -> Reply {
        let (sender, done) = oneshot::channel();
        let _ = self.events.send(Event::Gauges(sender));
        match done.await {
            Ok(()) => Reply::new(200, metrics::CONTENT_TYPE, metrics::recorder().render()),
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

/// The methods of a path, or `None` for an unknown path.
fn methods(parts: &[&str]) -> Option<&'static str> {
    match parts {
        ["v1", "jobs" | "drain"] => Some("POST"),
        ["v1", "jobs", _, _] => Some("GET, DELETE"),
        ["v1", "status" | "queue"] | ["healthz" | "readyz" | "report" | "metrics"] => Some("GET"),
        _ => None,
    }
}

fn check_options(call: &Call, known: &[&str]) -> submission::Result<()> {
    match call.options().find(|(name, _)| !known.contains(name)) {
        Some((name, _)) => Err(Invalid::new("query", format!("unknown option {name:?}"))),
        None => Ok(()),
    }
}

fn wait(call: &Call, default: bool) -> submission::Result<bool> {
    check_options(call, &["wait"])?;
    match call.options().last() {
        None => Ok(default),
        Some((_, "true")) => Ok(true),
        Some((_, "false")) => Ok(false),
        Some((_, other)) => Err(Invalid::new(
            "wait",
            format!("{other:?} is neither true nor false"),
        )),
    }
}

fn stopped() -> Reply {
    render(&Answer::Undecided, &[])
}

fn refusal(status: u16, invalid: &Invalid) -> Reply {
    let body = json!({ "outcome": "invalid", "field": invalid.field, "error": invalid.problem });
    Reply::json(status, &body).with_outcome("invalid")
}

fn key(team: &str, id: &str) -> Result<SubmissionKey, Invalid> {
    check_name("team", team)?;
    check_name("id", id)?;
    Ok(submission_key(team, id))
}
