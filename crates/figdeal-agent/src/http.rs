//! HTTP interface for the announcements of the upstream, health checks and metrics.

use std::sync::mpsc;

use hyper::Method;
use serde_json::json;
use tokio::sync::oneshot;

use crate::{
    event_loop::{Event, Upstream},
    http_server::{BodyError, HttpReply, HttpRequest},
    metrics,
};

/// Largest body of an announcement.
pub(crate) const MAX_BODY_BYTES: usize = 64 << 10;

/// Handles a request.
pub(crate) async fn handle(request: HttpRequest, events: mpsc::Sender<Event>) -> HttpReply {
    let reply = match (&request.method, request.path.as_str()) {
        (&Method::POST, "/v1/announce") => match read_upstream(&request) {
            Ok(upstream) => confirm(&events, Event::UpstreamAnnounced(upstream)),
            Err((status, message)) => {
                return HttpReply::json(status, &json!({ "error": message }));
            }
        },
        (&Method::DELETE, "/v1/announce") => confirm(&events, Event::UpstreamLeft),
        (&Method::GET, "/healthz") => Some(HttpReply::new(200, "text/plain", "ok\n")),
        (&Method::GET, "/metrics") => render_metrics(&events).await,
        _ => return HttpReply::json(404, &json!({ "error": "no such path" })),
    };
    reply.unwrap_or_else(|| HttpReply::json(503, &json!({ "error": "the agent has stopped" })))
}

/// Passes an event on. Returns `None` if the event loop has ended.
fn confirm(events: &mpsc::Sender<Event>, event: Event) -> Option<HttpReply> {
    events.send(event).ok()?;
    Some(HttpReply::json(200, &json!({})))
}

/// Returns `None` if the event loop has ended.
async fn render_metrics(events: &mpsc::Sender<Event>) -> Option<HttpReply> {
    let (sender, done) = oneshot::channel();
    events.send(Event::UpdateGauges(sender)).ok()?;
    done.await.ok()?;
    let text = metrics::recorder().render();
    Some(HttpReply::new(200, metrics::CONTENT_TYPE, text))
}

/// Returns the announced upstream, or the status and message of the refusal.
fn read_upstream(request: &HttpRequest) -> Result<Upstream, (u16, String)> {
    let body = request.body.as_ref().map_err(|e| match e {
        BodyError::TooLong => (400, format!("body: longer than {MAX_BODY_BYTES} bytes")),
        BodyError::TooSlow => (408, "body: arrived too slowly".to_owned()),
        BodyError::Truncated => (400, "body: truncated".to_owned()),
        BodyError::Overloaded => (503, "body: too many unfinished requests".to_owned()),
    })?;
    parse_upstream(body).map_err(|message| (400, message))
}

fn parse_upstream(body: &[u8]) -> Result<Upstream, String> {
    let upstream: Upstream = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if upstream.slots == 0 || upstream.slots > 4_096 {
        return Err("slots: must be 1 to 4096".to_owned());
    }
    if upstream.connections == 0 {
        return Err("connections: must be at least 1".to_owned());
    }
    Ok(upstream)
}
