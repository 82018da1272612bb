//! Callers and operators of a run.

use super::*;

impl World {
    /// Asks a random node that runs.
    pub(super) fn ask(&mut self, question: Question, request: Request) {
        let n = self.rng.random_range(0..self.machines.len());
        let token = self.next_token;
        self.next_token += 1;
        self.questions.insert(token, (question, n, self.now));
        let clock = self.clock();
        let machine = &mut self.machines[n];
        match &mut machine.node {
            Some(node) if machine.frozen <= clock.now => {
                node.request(clock, token, request, PATIENCE);
                self.drain_node(n);
            }
            // Nobody answers; the caller gives up at the end of its patience.
            _ => {}
        }
    }

    pub(super) fn submit(&mut self, id: JobId) {
        if !self.check.jobs.contains_key(&id) {
            let volatile = self.rng.random_bool(self.plan.volatile);
            let spec = self.draw_job(volatile);
            self.introduce(id, spec);
        }
        let spec = self.check.jobs[&id].spec.clone();
        let (host, path) = (HOST.to_owned(), format!("{PREFIX}{id}"));
        self.ask(
            Question::Submit(id),
            Request::Submit {
                host,
                path,
                spec,
                age_ms: 0,
                resubmitted: false,
            },
        );
    }

    /// Tells the judge of a job before it is handed in.
    pub(super) fn introduce(&mut self, id: JobId, spec: JobSpec) {
        self.check.jobs.insert(id, SubmittedJob::new(spec, 3));
    }

    pub(super) fn draw_job(&mut self, volatile: bool) -> JobSpec {
        let steps = self.rng.random_range(1..3u16);
        let steps = (0..steps).map(|n| Step {
            count: self.rng.random_range(1..6),
            needs: Resources {
                millicores: self.rng.random_range(500..3_000),
                memory_mb: 64,
                gpus: 0,
            },
            estimate_ms: ESTIMATE,
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
        self.version = self.version.max(version);
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
        self.ask(Question::Configure(version), Request::Configure(set));
    }

    pub(super) fn answered(&mut self, token: u64, answer: &Answer, gone: bool) {
        let Some((question, n, _)) = self.questions.remove(&token) else {
            return;
        };
        if gone {
            let clock = self.clock();
            let machine = &mut self.machines[n];
            if machine.frozen <= clock.now
                && let Some(node) = &mut machine.node
            {
                node.withdraw(clock, token);
            }
        }
        match question {
            Question::Submit(id) => {
                self.check.on_submit_answer(id, answer);
                let sent = &self.check.jobs[&id];
                let open = !sent.accepted && sent.final_state.is_none();
                if matches!(answer, Answer::OutcomeUnknown) && open {
                    let gap = match self.plan.sabotage {
                        Sabotage::HastyCallers => RESEND / 10,
                        _ => RESEND,
                    };
                    self.schedule(gap, Event::Submit(id));
                }
                if matches!(answer, Answer::Accepted) && self.rng.random_bool(0.05) {
                    let after = self.millis(1, 300);
                    self.schedule(after, Event::Cancel(id));
                }
            }
            Question::Query(id) => self.check.on_query_answer(id, answer),
            Question::Cancel => {}
            Question::Configure(version) => match answer {
                Answer::Configured => {
                    self.check.acknowledged_config_version =
                        self.check.acknowledged_config_version.max(version);
                }
                _ => self.schedule(Duration::from_millis(500), Event::Configure(version)),
            },
            Question::Read(known) => {
                if let Answer::Config(text) = answer {
                    let version: u64 = text.parse().unwrap();
                    if version < known {
                        let text = format!("CONFIG: read {version} after {known} was acknowledged");
                        self.check.violations.push(text);
                    }
                } else if self.quiet {
                    self.schedule(Duration::from_millis(200), Event::ReadConfig);
                }
            }
        }
    }
}
