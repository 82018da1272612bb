//! Log lines about failed requests at their entry node, bounded in each second.
//!
//! The load that is meant: a flood of which hundreds of requests a second are refused, or of requests that cannot be
//! decoded.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use figdeal_queue::{
    job::JobId,
    log_sample::{LogSample, SampleLimits},
    message::Answer,
    refusals::{UNKNOWN_QUEUE, log_name},
};

use crate::{clock, http::HttpRequest};

/// Log of failed requests, shared by the handlers of all connections.
#[derive(Debug, Clone)]
pub(crate) struct RequestLog(Arc<Mutex<LogSample>>);

impl RequestLog {
    pub(crate) fn new() -> RequestLog {
        RequestLog(Arc::new(Mutex::new(LogSample::new(SampleLimits::FAULTS))))
    }

    pub(crate) fn unsupported(&self, request: &HttpRequest, feature: &str) {
        if self.admit("E666", "Unsupported", request) {
            log::info!(
                "E666 job uses an unsupported feature path={} unsupported={feature}",
                request.path
            );
        }
    }

    pub(crate) fn invalid(&self, request: &HttpRequest, body_bytes: usize) {
        if self.admit("E667", "Invalid", request) {
            log::info!(
                "E667 invalid request path={} body_bytes={body_bytes}",
                request.path
            );
        }
    }

    pub(crate) fn failed(
        &self,
        request: &HttpRequest,
        status: u16,
        answer: &Answer,
        took: Duration,
    ) {
        if self.admit("E668", answer_name(answer), request) {
            log::info!(
                "E668 request failed method={} path={} status={status} answer={answer:?} took_ms={}",
                request.method,
                request.path,
                took.as_millis()
            );
        }
    }

    /// Writes how many lines were left out in the last second.
    pub(crate) fn write_omitted(&self) {
        self.sample().write_omitted(clock::now());
    }

    /// Writes how many lines were left out so far, because the process ends.
    pub(crate) fn finish(&self) {
        self.sample().finish();
    }

    fn admit(&self, event: &'static str, reason: &'static str, request: &HttpRequest) -> bool {
        let job = JobId::of_path(&request.path);
        self.sample()
            .admit(clock::now(), event, reason, UNKNOWN_QUEUE, job)
    }

    fn sample(&self) -> MutexGuard<'_, LogSample> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the reason under which the lines about an answer are counted.
fn answer_name(answer: &Answer) -> &'static str {
    match answer {
        Answer::Refused { reason, .. } => log_name(*reason),
        Answer::OutcomeUnknown => "OutcomeUnknown",
        Answer::NoQueue => "NoQueue",
        Answer::NoJob => "NoJob",
        Answer::Invalid => "Invalid",
        _ => "Other",
    }
}
