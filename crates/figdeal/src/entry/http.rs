//! The HTTP interface for callers, the load balancer and operators. The texts in the bodies are part of it.

use std::sync::{Arc, atomic::Ordering, mpsc::Sender};

use figdeal_agent::{
    http_server::{BodyError, HttpReply, HttpRequest},
    metrics,
};
use figdeal_core::{entry::Answer, id::SubmissionKey};
use hyper::Method;
use serde_json::json;
use tokio::sync::oneshot;

use super::{
    SharedState,
    answer::render,
    event_loop::{Event, Responder},
};
use crate::{
    report,
    submission::{self, InvalidField, JobRequest, check_name, submission_key},
};

/// Handler of all HTTP requests.
#[derive(Debug, Clone)]
pub(crate) struct HttpApi {
    pub(crate) events: Sender<Event>,
    pub(crate) shared: Arc<SharedState>,
}

impl HttpApi {
    pub(crate) async fn handle(self, mut request: HttpRequest) -> HttpReply {
        // They hold the read buffer.
        drop(std::mem::take(&mut request.headers));
        let path = request.path.clone();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        let Some(allowed) = allowed_methods(&parts) else {
            return HttpReply::json(404, &json!({ "error": format!("no such path: {path}") }));
        };
        // A load balancer may check with HEAD; hyper omits the body of the answer.
        let method = match request.method.clone() {
            Method::HEAD => Method::GET,
            method => method,
        };
        let is_job_request = matches!(parts.as_slice(), ["v1", "jobs", ..]);
        let reply = self.route(method, &parts, allowed, request).await;
        if is_job_request && !reply.outcome.is_empty() {
            ::metrics::counter!("figdeal_answers_total", "outcome" => reply.outcome).increment(1);
        }
        reply
    }

    async fn route(
        self,
        method: Method,
        parts: &[&str],
        allowed: &'static str,
        request: HttpRequest,
    ) -> HttpReply {
        match (method, parts) {
            (Method::POST, ["v1", "jobs"]) => self.submit(request).await,
            (Method::GET, ["v1", "jobs", team, id]) => self.fetch(&request, team, id).await,
            (Method::DELETE, ["v1", "jobs", team, id]) => self.cancel(&request, team, id).await,
            (Method::GET, ["v1", "status" | "queue"]) => self.status().await,
            (Method::GET, ["report"]) => self.report(&request).await,
            (Method::GET, ["metrics"]) => self.metrics().await,
            (Method::POST, ["v1", "drain"]) => self.drain(&request),
            (Method::GET, ["healthz"]) => HttpReply::json(200, &json!({ "healthy": true })),
            (Method::GET, ["readyz"]) => match self.shared.unready_reason() {
                None => HttpReply::json(200, &json!({ "ready": true })),
                Some(reason) => HttpReply::json(503, &json!({ "ready": false, "reason": reason })),
            },
            (method, _) => {
                let error = format!("{method} is not allowed on {}, use {allowed}", request.path);
                HttpReply {
                    allow: allowed,
                    ..HttpReply::json(405, &json!({ "error": error }))
                }
            }
        }
    }

    async fn fetch(&self, request: &HttpRequest, team: &str, id: &str) -> HttpReply {
        let parsed = parse_key(team, id).and_then(|key| Ok((key, wait_option(request, false)?)));
        let (key, wait) = match parsed {
            Ok(parsed) => parsed,
            Err(invalid) => return invalid_reply(400, &invalid),
        };
        self.request_answer(&[], |responder| Event::Fetch {
            key,
            wait,
            responder,
        })
        .await
    }

    async fn cancel(&self, request: &HttpRequest, team: &str, id: &str) -> HttpReply {
        let parsed = parse_key(team, id).and_then(|key| check_options(request, &[]).map(|()| key));
        match parsed {
            Ok(key) => {
                self.request_answer(&[], |responder| Event::Cancel { key, responder })
                    .await
            }
            Err(invalid) => invalid_reply(400, &invalid),
        }
    }

    async fn submit(self, request: HttpRequest) -> HttpReply {
        if !self.shared.is_configured.load(Ordering::Relaxed) {
            return render(&Answer::Undecided, &[]);
        }
        let wait = match wait_option(&request, true) {
            Ok(wait) => wait,
            Err(invalid) => return invalid_reply(400, &invalid),
        };
        let job = match self.read_job(&request) {
            Ok(job) => job,
            Err(reply) => return reply,
        };
        drop(request);
        let idempotent: Vec<bool> = job.tasks.iter().map(|t| t.idempotent).collect();
        self.request_answer(&idempotent, |responder| Event::Submit {
            job,
            wait,
            responder,
        })
        .await
    }

    fn read_job(&self, request: &HttpRequest) -> Result<JobRequest, HttpReply> {
        let rules = self.shared.rules();
        let body = match &request.body {
            Ok(body) => body,
            Err(BodyError::TooLong) => {
                let problem = format!("longer than {} bytes", rules.max_body_bytes);
                return Err(invalid_reply(413, &InvalidField::new("body", problem)));
            }
            Err(BodyError::TooSlow) => {
                let invalid = InvalidField::new("body", "arrived too slowly");
                return Err(invalid_reply(408, &invalid));
            }
            // The job may have been submitted before, so it is not known whether it has run.
            Err(BodyError::Overloaded) => return Err(render(&Answer::Undecided, &[])),
            Err(BodyError::Truncated) => {
                return Err(invalid_reply(400, &InvalidField::new("body", "truncated")));
            }
        };
        JobRequest::parse(body, &rules).map_err(|invalid| invalid_reply(400, &invalid))
    }

    /// Sends an event to the event loop and renders its answer. `idempotent` states for each task whether it may be
    /// submitted again; it is empty for requests that do not contain the job.
    async fn request_answer(
        &self,
        idempotent: &[bool],
        event: impl FnOnce(Responder) -> Event,
    ) -> HttpReply {
        let (sender, answer) = oneshot::channel::<Answer>();
        let responder: Responder = Box::new(move |answer| {
            let _ = sender.send(answer);
        });
        // If the event loop has stopped, the event and its sender are dropped and the wait below ends.
        let _ = self.events.send(event(responder));
        match answer.await {
            Ok(answer) => render(&answer, idempotent),
            Err(_) => stopped_reply(),
        }
    }

    /// Starts a drain. Callers use the same listener, so only clients on the entry's own machine may do this.
    fn drain(&self, request: &HttpRequest) -> HttpReply {
        if !request.peer.ip().to_canonical().is_loopback() {
            let error = format!(
                "drain is served to loopback only, not to {}",
                request.peer.ip()
            );
            return HttpReply::json(403, &json!({ "error": error }));
        }
        if !self.shared.is_draining.swap(true, Ordering::Relaxed) {
            log::info!("E334 drain requested: client={}", request.peer);
        }
        self.shared.drain_requested.cancel();
        HttpReply::json(202, &json!({ "draining": true }))
    }

    async fn report(&self, request: &HttpRequest) -> HttpReply {
        let format = check_options(request, &["format"]).map(|()| request.options().last());
        let is_json = match format {
            Ok(None | Some((_, "html"))) => false,
            Ok(Some((_, "json"))) => true,
            Ok(Some((_, other))) => {
                let problem = format!("{other:?} is neither html nor json");
                return invalid_reply(400, &InvalidField::new("format", problem));
            }
            Err(invalid) => return invalid_reply(400, &invalid),
        };
        let (sender, view) = oneshot::channel();
        let _ = self.events.send(Event::Report(Box::new(move |view| {
            let _ = sender.send(view);
        })));
        match view.await {
            Ok(view) if is_json => HttpReply::json(200, &json!(view)),
            Ok(view) => {
                let page = report::render_html(&view, "figdeal: service-level burn");
                HttpReply::new(200, "text/html; charset=utf-8", page)
            }
            Err(_) => stopped_reply(),
        }
    }

    async fn metrics(&self) -> HttpReply {
        let (sender, done) = oneshot::channel();
        let _ = self.events.send(Event::UpdateGauges(sender));
        match done.await {
            Ok(()) => HttpReply::new(200, metrics::CONTENT_TYPE, metrics::recorder().render()),
            Err(_) => stopped_reply(),
        }
    }

    async fn status(&self) -> HttpReply {
        let (sender, answer) = oneshot::channel();
        let _ = self.events.send(Event::Status(Box::new(move |status| {
            let _ = sender.send(status);
        })));
        match answer.await {
            Ok(status) => HttpReply::json(200, &status),
            Err(_) => stopped_reply(),
        }
    }
}

/// Returns the allowed methods of a path, or `None` for an unknown path.
fn allowed_methods(parts: &[&str]) -> Option<&'static str> {
    match parts {
        ["v1", "jobs" | "drain"] => Some("POST"),
        ["v1", "jobs", _, _] => Some("GET, DELETE"),
        ["v1", "status" | "queue"] | ["healthz" | "readyz" | "report" | "metrics"] => Some("GET"),
        _ => None,
    }
}

fn check_options(request: &HttpRequest, known: &[&str]) -> submission::Result<()> {
    match request.options().find(|(name, _)| !known.contains(name)) {
        Some((name, _)) => Err(InvalidField::new(
            "query",
            format!("unknown option {name:?}"),
        )),
        None => Ok(()),
    }
}

fn wait_option(request: &HttpRequest, default: bool) -> submission::Result<bool> {
    check_options(request, &["wait"])?;
    match request.options().last() {
        None => Ok(default),
        Some((_, "true")) => Ok(true),
        Some((_, "false")) => Ok(false),
        Some((_, other)) => Err(InvalidField::new(
            "wait",
            format!("{other:?} is neither true nor false"),
        )),
    }
}

fn stopped_reply() -> HttpReply {
    render(&Answer::Undecided, &[])
}

fn invalid_reply(status: u16, invalid: &InvalidField) -> HttpReply {
    let body = json!({ "outcome": "invalid", "field": invalid.field, "error": invalid.problem });
    HttpReply::json(status, &body).with_outcome("invalid")
}

fn parse_key(team: &str, id: &str) -> Result<SubmissionKey, InvalidField> {
    check_name("team", team)?;
    check_name("id", id)?;
    Ok(submission_key(team, id))
}
