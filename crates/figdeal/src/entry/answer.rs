//! Renders answers to callers as HTTP status and JSON body.

use base64::{Engine, prelude::BASE64_STANDARD};
use figdeal_core::{
    entry::Answer,
    outcome::{Outcome, TaskState},
};
use serde_json::{Value, json};

use figdeal_agent::http_server::HttpReply;

/// Renders an answer. `idempotent` states for each task whether it may be submitted again. It is empty for a fetch,
/// which does not know the content of the job.
pub(crate) fn render(answer: &Answer, idempotent: &[bool]) -> HttpReply {
    let name = match answer {
        Answer::Final(outcome) => outcome.name(),
        Answer::Running => "running",
        Answer::Conflict => "conflict",
        Answer::Expired => "expired",
        Answer::Unknown => "unknown",
        Answer::Undecided => "undecided",
        Answer::CreatedInFuture => "invalid",
    };
    render_answer(answer, idempotent).with_outcome(name)
}

// The texts are part of the HTTP interface.
fn render_answer(answer: &Answer, idempotent: &[bool]) -> HttpReply {
    match answer {
        Answer::Final(outcome) => render_outcome(outcome, idempotent),
        Answer::Running => HttpReply::json(202, &json!({ "outcome": "running" })),
        Answer::Conflict => HttpReply::json(
            409,
            &json!({ "outcome": "conflict", "error": "the id was used with another content" }),
        ),
        Answer::Expired => HttpReply::json(
            412,
            &json!({ "outcome": "expired", "error": "older than the retention; it may have run" }),
        ),
        Answer::Unknown => HttpReply::json(404, &json!({ "outcome": "unknown" })),
        Answer::Undecided => {
            let body = json!({ "outcome": "undecided", "error": "ask again with the same id" });
            HttpReply {
                retry_after: Some(1),
                ..HttpReply::json(504, &body)
            }
        }
        Answer::CreatedInFuture => HttpReply::json(
            400,
            &json!({ "outcome": "invalid", "field": "created_ms", "error": "lies in the future" }),
        ),
    }
}

fn render_outcome(outcome: &Outcome, idempotent: &[bool]) -> HttpReply {
    match outcome {
        Outcome::Complete(results) => {
            let results: Vec<Value> = results.iter().map(|r| render_result(r)).collect();
            HttpReply::json(200, &json!({ "outcome": "complete", "results": results }))
        }
        Outcome::Failed(states) => HttpReply::json(
            500,
            &json!({ "outcome": "failed", "tasks": render_states(states, idempotent) }),
        ),
        Outcome::NotRun {
            reason,
            retry_after,
        } => {
            let retry_ms = retry_after.as_millis() as u64;
            let body =
                json!({ "outcome": "not_run", "reason": reason, "retry_after_ms": retry_ms });
            HttpReply {
                retry_after: Some(retry_ms.div_ceil(1000)),
                ..HttpReply::json(503, &body)
            }
        }
        Outcome::Cancelled(states) => HttpReply::json(
            410,
            &json!({ "outcome": "cancelled", "tasks": render_states(states, idempotent) }),
        ),
    }
}

fn render_states(states: &[TaskState], idempotent: &[bool]) -> Vec<Value> {
    states
        .iter()
        .enumerate()
        .map(|(i, state)| match (state, idempotent.get(i)) {
            (TaskState::MayHaveRun, Some(is_idempotent)) => {
                json!({ "index": i, "state": state, "resubmittable": is_idempotent })
            }
            _ => json!({ "index": i, "state": state }),
        })
        .collect()
}

/// Renders a result as a string if it is UTF-8, otherwise as `{"base64": …}`.
fn render_result(bytes: &[u8]) -> Value {
    match std::str::from_utf8(bytes) {
        Ok(text) => Value::from(text),
        Err(_) => json!({ "base64": BASE64_STANDARD.encode(bytes) }),
    }
}
