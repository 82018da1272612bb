//! Answers to callers as JSON with their status.

use base64::{Engine, prelude::BASE64_STANDARD};
use figdeal_core::{
    entry::Answer,
    outcome::{Outcome, TaskState},
};
use serde_json::{Value, json};

use crate::http::Reply;

/// Renders an answer. `idempotent` tells for each task whether it may be submitted again; it is empty for a
/// fetch, which does not know the content of the job.
pub(crate) fn render(answer: &Answer, idempotent: &[bool]) -> Reply {
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

fn render_answer(answer: &Answer, idempotent: &[bool]) -> Reply {
    match answer {
        Answer::Final(outcome) => render_outcome(outcome, idempotent),
        Answer::Running => Reply::json(202, &json!({ "outcome": "running" })),
        Answer::Conflict => Reply::json(
            409,
            &json!({ "outcome": "conflict", "error": "the id was used with another content" }),
        ),
        Answer::Expired => Reply::json(
            412,
            &json!({ "outcome": "expired", "error": "older than the retention; it may have run" }),
        ),
        Answer::Unknown => Reply::json(404, &json!({ "outcome": "unknown" })),
        Answer::Undecided => {
            let body = json!({ "outcome": "undecided", "error": "ask again with the same id" });
            Reply {
                retry_after: Some(1),
                ..Reply::json(504, &body)
            }
        }
        Answer::CreatedInFuture => Reply::json(
            400,
            &json!({ "outcome": "invalid", "field": "created_ms", "error": "lies in the future" }),
        ),
    }
}

fn render_outcome(outcome: &Outcome, idempotent: &[bool]) -> Reply {
    match outcome {
        Outcome::Complete(results) => {
            let results: Vec<Value> = results.iter().map(|r| render_bytes(r)).collect();
            Reply::json(200, &json!({ "outcome": "complete", "results": results }))
        }
        Outcome::Failed(states) => Reply::json(
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
            Reply {
                retry_after: Some(retry_ms.div_ceil(1000)),
                ..Reply::json(503, &body)
            }
        }
        Outcome::Cancelled(states) => Reply::json(
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

/// Results are strings where they are UTF-8, and `{"base64": …}` otherwise.
fn render_bytes(bytes: &[u8]) -> Value {
    match std::str::from_utf8(bytes) {
        Ok(text) => Value::from(text),
        Err(_) => json!({ "base64": BASE64_STANDARD.encode(bytes) }),
    }
}
