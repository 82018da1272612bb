//! Simulated callers and operators.

use super::*;

/// Returns a stored job of one task.
pub(super) fn job_of_one_task(millicores: u32, estimate_ms: u32) -> JobSpec {
    let step = Step {
        count: 1,
        needs: Resources {
            millicores,
            ..Resources::default()
        },
        estimate_ms,
        ..Step::default()
    };
    JobSpec {
        payload: "work".to_owned(),
        steps: vec![step],
        volatile: false,
    }
}

/// Time within which the queries for the states of jobs are answered.
const QUERY_TIME: Duration = Duration::from_millis(100);

impl Simulation {
    /// Asks for the states of these jobs. Returns how many were accepted and not cancelled, and how many of these have
    /// not ended.
    pub(super) fn count_open(&mut self, ids: &[JobId]) -> (usize, usize) {
        for id in ids {
            self.schedule(Duration::ZERO, Event::Query(*id));
        }
        self.run_until(self.now + QUERY_TIME);
        let jobs = ids.iter().map(|id| &self.checker.jobs[id]);
        let asked = jobs.filter(|job| job.accepted && !job.cancel_requested);
        let (open, ended): (Vec<_>, Vec<_>) = asked.partition(|job| job.final_state.is_none());
        (open.len() + ended.len(), open.len())
    }

    /// Submits stored jobs of one task at a steady rate. Returns their ids.
    pub(super) fn submit_jobs(
        &mut self,
        first: u64,
        count: u32,
        over: Duration,
        run_time_ms: u32,
    ) -> Vec<JobId> {
        self.submit_copies(first, count, over, job_of_one_task(500, run_time_ms))
    }

    /// Submits jobs of the same description at a steady rate. Each of their tasks takes its estimate. Returns their
    /// ids.
    pub(super) fn submit_copies(
        &mut self,
        first: u64,
        count: u32,
        over: Duration,
        spec: JobSpec,
    ) -> Vec<JobId> {
        let run_time_ms = spec.steps[0].estimate_ms;
        let mut ids = Vec::new();
        for n in 0..count {
            let id = JobId(first + u64::from(n));
            self.run_times.insert(id, run_time_ms);
            self.register_job(id, spec.clone());
            self.schedule(over * n / count, Event::Submit(id));
            ids.push(id);
        }
        ids
    }

    /// Sends a request to a random node.
    pub(super) fn send_request(&mut self, request_kind: CallerRequest, request: Request) {
        let n = self.rng.random_range(0..self.machines.len());
        let token = self.next_token;
        self.next_token += 1;
        self.pending_requests
            .insert(token, (request_kind, n, self.now));
        let clock = self.clock();
        let machine = &mut self.machines[n];
        match &mut machine.node {
            Some(node) if machine.paused_until <= clock.now => {
                node.on_request(clock, token, request, CALLER_TIMEOUT);
                self.process_node_actions(n);
            }
            // The node does not answer; the caller gives up after its timeout.
            _ => {}
        }
    }

    pub(super) fn submit(&mut self, id: JobId) {
        if !self.checker.jobs.contains_key(&id) {
            let volatile = self.rng.random_bool(self.plan.volatile_fraction);
            let spec = self.random_job(volatile);
            self.register_job(id, spec);
        }
        let spec = self.checker.jobs[&id].spec.clone();
        let (host, path) = (HOST.to_owned(), format!("{PREFIX}{id}"));
        self.send_request(
            CallerRequest::Submit(id),
            Request::Submit {
                host,
                path,
                spec,
                age_ms: 0,
                resubmitted: false,
            },
        );
    }

    /// Registers a job with the checker before it is submitted.
    pub(super) fn register_job(&mut self, id: JobId, spec: JobSpec) {
        self.checker.jobs.insert(id, SubmittedJob::new(spec, 3));
    }

    pub(super) fn random_job(&mut self, volatile: bool) -> JobSpec {
        let steps = self.rng.random_range(1..3u16);
        let steps = (0..steps).map(|n| Step {
            count: self.rng.random_range(1..6),
            needs: Resources {
                millicores: self.rng.random_range(500..3_000),
                memory_mb: 64,
                gpus: 0,
            },
            estimate_ms: TYPICAL_ESTIMATE_MS,
            label: self.random_label(),
            // No worker is in the third rack.
            rack: Some(format!("rack-{}", n % 3)),
            depends_on: if n > 0 { vec![n - 1] } else { Vec::new() },
            ..Step::default()
        });
        JobSpec {
            payload: "work".to_owned(),
            steps: steps.collect(),
            volatile,
        }
    }

    pub(super) fn configure(&mut self, version: u64) {
        self.last_version = self.last_version.max(version);
        let queue = Queue {
            name: "q".to_owned(),
            host: HOST.to_owned(),
            prefix: PREFIX.to_owned(),
            pool: POOL.to_owned(),
            policy: Policy {
                priority: 0,
                max_attempts: 3,
                goal_factor: 20.0,
                goal_slack_ms: 20_000,
            },
        };
        let set = QueueConfig {
            version,
            queues: vec![queue],
            text: version.to_string(),
        };
        self.send_request(CallerRequest::Configure(version), Request::Configure(set));
    }

    pub(super) fn on_answer(&mut self, token: u64, answer: &Answer, timed_out: bool) {
        let Some((request_kind, n, _)) = self.pending_requests.remove(&token) else {
            return;
        };
        if timed_out {
            let clock = self.clock();
            let machine = &mut self.machines[n];
            if machine.paused_until <= clock.now
                && let Some(node) = &mut machine.node
            {
                node.withdraw(clock, token);
            }
        }
        match request_kind {
            CallerRequest::Submit(id) => {
                self.checker.on_submit_answer(id, answer);
                let job = &self.checker.jobs[&id];
                let unsettled = !job.accepted && job.final_state.is_none();
                if matches!(answer, Answer::OutcomeUnknown) && unsettled {
                    let delay = match self.plan.injected_bug {
                        InjectedBug::CallersResubmitEarly => RESUBMIT_DELAY / 10,
                        _ => RESUBMIT_DELAY,
                    };
                    self.schedule(delay, Event::Submit(id));
                }
                if matches!(answer, Answer::Accepted) && self.rng.random_bool(0.05) {
                    let after = self.random_delay(1, 300);
                    self.schedule(after, Event::Cancel(id));
                }
            }
            CallerRequest::Query(id) => self.checker.on_query_answer(id, answer),
            CallerRequest::Cancel => {}
            CallerRequest::SetEvacuation(evacuated) => match answer {
                Answer::EvacuationSet => self.acknowledged_evacuation = Some(evacuated),
                Answer::UnknownDataCentre | Answer::LastDataCentre => {
                    let text = format!("EVACUATION: evacuated={evacuated} answered {answer:?}");
                    self.checker.violations.push(text);
                }
                _ => self.schedule(Duration::from_millis(200), Event::SetEvacuation(evacuated)),
            },
            CallerRequest::Waiting(asked) => {
                if let Answer::QueuedJobs(told) = answer {
                    self.checker.on_waiting_answer(&asked, *told);
                    self.told_waiting = Some(*told);
                }
            }
            CallerRequest::Configure(version) => match answer {
                Answer::Configured => {
                    self.checker.acknowledged_config_version =
                        self.checker.acknowledged_config_version.max(version);
                }
                _ => self.schedule(Duration::from_millis(500), Event::Configure(version)),
            },
            CallerRequest::Read(known) => {
                if let Answer::Config(text) = answer {
                    let version: u64 = text.parse().unwrap();
                    if version < known {
                        let text = format!("CONFIG: read {version} after {known} was acknowledged");
                        self.checker.violations.push(text);
                    }
                } else if self.without_faults {
                    self.schedule(Duration::from_millis(200), Event::ReadConfig);
                }
            }
        }
    }
}
