//! HTTP server for the announcements of the upstream, health checks and metrics.

use std::{io, sync::mpsc, thread};

use tiny_http::{Method, Request, Response, Server};

use crate::{
    event_loop::{Event, Upstream},
    metrics,
};

/// Largest body of an announcement.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Starts the thread that serves the upstream.
pub(crate) fn spawn(server: Server, events: mpsc::Sender<Event>) -> io::Result<()> {
    thread::Builder::new()
        .name("http".to_owned())
        .spawn(move || {
            for request in server.incoming_requests() {
                if handle_request(request, &events).is_none() {
                    return;
                }
            }
        })?;
    Ok(())
}

/// Returns `None` if the event loop has ended.
fn handle_request(mut request: Request, events: &mpsc::Sender<Event>) -> Option<()> {
    let (status, text) = match (request.method(), request.url()) {
        (Method::Post, "/v1/announce") => match read_upstream(&mut request) {
            Ok(upstream) => {
                events.send(Event::UpstreamAnnounced(upstream)).ok()?;
                (200, "{}".to_owned())
            }
            Err(message) => (400, serde_json::json!({ "error": message }).to_string()),
        },
        (Method::Delete, "/v1/announce") => {
            events.send(Event::UpstreamLeft).ok()?;
            (200, "{}".to_owned())
        }
        (Method::Get, "/healthz") => (200, "ok\n".to_owned()),
        (Method::Get, "/metrics") => {
            let (sender, done) = mpsc::channel();
            events.send(Event::UpdateGauges(sender)).ok()?;
            done.recv().ok()?;
            (200, metrics::recorder().render())
        }
        _ => (
            404,
            serde_json::json!({ "error": "no such path" }).to_string(),
        ),
    };
    // The client may have closed the connection.
    let _ = request.respond(Response::from_string(text).with_status_code(status));
    Some(())
}

fn read_upstream(request: &mut Request) -> Result<Upstream, String> {
    let mut body = Vec::new();
    let mut reader = io::Read::take(request.as_reader(), MAX_BODY_BYTES as u64 + 1);
    io::Read::read_to_end(&mut reader, &mut body).map_err(|e| format!("body: {e}"))?;
    if body.len() > MAX_BODY_BYTES {
        return Err(format!("body: longer than {MAX_BODY_BYTES} bytes"));
    }
    let upstream: Upstream = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
    if upstream.slots == 0 || upstream.slots > 4_096 {
        return Err("slots: must be 1 to 4096".to_owned());
    }
    if upstream.connections == 0 {
        return Err("connections: must be at least 1".to_owned());
    }
    Ok(upstream)
}
