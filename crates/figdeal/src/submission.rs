//! Jobs as callers submit them: parsing, validation and identity.

use std::time::Duration;

use displaydoc::Display;
use figdeal_core::{
    id::{Digest, SubmissionKey},
    time::UnixMillis,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::rules::Rules;

/// Maximum length of an id, team or kind in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum declared size of a task. Sizes have no unit: upstreams announce the largest size that they accept.
const MAX_TASK_SIZE: u32 = 1_000_000;

/// Result of a validation.
pub type Result<T> = std::result::Result<T, InvalidField>;

/// {field}: {problem}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct InvalidField {
    /// Path of the field in the request.
    pub field: String,
    /// Description of the problem.
    pub problem: String,
}

impl std::error::Error for InvalidField {}

impl InvalidField {
    /// Creates the error of a field.
    pub fn new(field: impl Into<String>, problem: impl Into<String>) -> InvalidField {
        InvalidField {
            field: field.into(),
            problem: problem.into(),
        }
    }
}

/// A job as a caller submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// Id chosen by the caller, unique inside the team.
    pub id: String,
    /// The team that submits.
    pub team: String,
    /// When the caller created the job, in Unix milliseconds.
    pub created_ms: u64,
    /// The tasks of the job.
    pub tasks: Vec<TaskRequest>,
}

/// A task as a caller submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskRequest {
    /// The kind of task.
    pub kind: String,
    /// Passed to the upstream unchanged.
    #[serde(default)]
    pub payload: String,
    /// Deadline in milliseconds after the arrival of the job; defaults to the deadline of the kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Whether the task may be submitted again under a new id when it may have run.
    #[serde(default)]
    pub idempotent: bool,
    /// Declared size, from 1 to 1,000,000. A task is placed only on upstreams that accept its size.
    #[serde(default = "default_size")]
    pub size: u32,
    /// Run time that the caller declares, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<u64>,
}

fn default_size() -> u32 {
    1
}

impl JobRequest {
    /// Parses and validates a request body.
    ///
    /// # Errors
    /// Returns the invalid field and the problem.
    pub fn parse(body: &[u8], rules: &Rules) -> Result<JobRequest> {
        let text = std::str::from_utf8(body).map_err(|e| {
            InvalidField::new("body", format!("not UTF-8 after byte {}", e.valid_up_to()))
        })?;
        let job: JobRequest = serde_json::from_str(text).map_err(|e| locate_error(text, &e))?;
        job.check(rules)?;
        Ok(job)
    }

    /// Returns the key of the submission.
    pub fn key(&self) -> SubmissionKey {
        submission_key(&self.team, &self.id)
    }

    /// Returns a hash of the content together with the number of tasks.
    ///
    /// # Panics
    /// Panics if the job was not validated and has more than 65,535 tasks.
    pub fn digest(&self) -> Digest {
        let bytes = serde_json::to_vec(self).expect("a job is serializable");
        let hash = Sha256::digest(&bytes);
        let tasks = u16::try_from(self.tasks.len()).expect("a checked job has few tasks");
        Digest::new(hash[..14].try_into().expect("14 of 32 bytes"), tasks)
    }

    /// Returns when the caller created the job.
    pub fn created_at(&self) -> UnixMillis {
        UnixMillis(self.created_ms)
    }

    fn check(&self, rules: &Rules) -> Result<()> {
        check_name("id", &self.id)?;
        check_name("team", &self.team)?;
        if !rules.teams.is_empty() && !rules.teams.contains_key(&self.team) {
            return Err(InvalidField::new(
                "team",
                format!("{:?} is not configured", self.team),
            ));
        }
        if self.tasks.is_empty() {
            return Err(InvalidField::new("tasks", "must hold at least one task"));
        }
        if self.tasks.len() > rules.max_job_tasks {
            let problem = format!(
                "{} tasks, at most {} allowed",
                self.tasks.len(),
                rules.max_job_tasks
            );
            return Err(InvalidField::new("tasks", problem));
        }
        self.tasks
            .iter()
            .enumerate()
            .try_for_each(|(i, t)| t.check(i, rules))
    }
}

/// Finds the invalid field by parsing the body a second time, which tracks the path. Valid bodies don't pay for this.
fn locate_error(text: &str, error: &serde_json::Error) -> InvalidField {
    let problem = error.to_string();
    let mut json = serde_json::Deserializer::from_str(text);
    let field = match serde_path_to_error::deserialize::<_, JobRequest>(&mut json) {
        Err(e) if e.path().iter().len() > 0 => e.path().to_string(),
        _ => "body".to_owned(),
    };
    InvalidField::new(field, problem)
}

impl TaskRequest {
    fn check(&self, index: usize, rules: &Rules) -> Result<()> {
        let field = |name: &str| format!("tasks[{index}].{name}");
        check_name(&field("kind"), &self.kind)?;
        if !rules.kinds.is_empty() && !rules.kinds.contains_key(&self.kind) {
            let problem = format!("{:?} is not configured", self.kind);
            return Err(InvalidField::new(field("kind"), problem));
        }
        let max = rules.max_deadline.as_millis() as u64;
        if self.deadline_ms.is_some_and(|d| d == 0 || d > max) {
            return Err(InvalidField::new(
                field("deadline_ms"),
                format!("must be 1 to {max}"),
            ));
        }
        if self.size == 0 || self.size > MAX_TASK_SIZE {
            return Err(InvalidField::new(
                field("size"),
                format!("must be 1 to {MAX_TASK_SIZE}"),
            ));
        }
        if self.run_ms.is_some_and(|r| r > max) {
            return Err(InvalidField::new(
                field("run_ms"),
                format!("must be 0 to {max}"),
            ));
        }
        Ok(())
    }

    /// Returns the deadline of the task, by default that of its kind.
    pub fn deadline(&self, rules: &Rules) -> Duration {
        match self.deadline_ms {
            Some(ms) => Duration::from_millis(ms),
            None => rules
                .kinds
                .get(&self.kind)
                .map_or(rules.max_deadline, |k| k.deadline),
        }
    }
}

/// Returns the key of a submission, a hash of its team and id.
pub fn submission_key(team: &str, id: &str) -> SubmissionKey {
    let mut hash = Sha256::new();
    hash.update((team.len() as u64).to_le_bytes());
    hash.update(team);
    hash.update(id);
    SubmissionKey(hash.finalize()[..16].try_into().expect("16 of 32 bytes"))
}

/// Validates an id, a team or a kind.
///
/// # Errors
/// Returns the invalid field and the problem.
pub fn check_name(field: &str, name: &str) -> Result<()> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(InvalidField::new(
            field,
            format!("must have 1 to {MAX_NAME_BYTES} characters"),
        ));
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
    match name.chars().find(|c| !is_allowed(*c)) {
        Some(c) => Err(InvalidField::new(
            field,
            format!("character {c:?} is not allowed"),
        )),
        None => Ok(()),
    }
}
