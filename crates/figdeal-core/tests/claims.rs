//! Randomised simulation of the claims of several entries over a lossy network, with restarts and partitions.

use std::collections::{BTreeMap, HashMap, HashSet};

use figdeal_core::{
    claim::{
        Action, ClaimLimits, ClaimReply, ClaimRequest, Claims, Decision, EntryProcess,
        MembershipEpochs, SteadyClock,
    },
    id::{Digest, EntryId, Incarnation, SubmissionKey},
    time::{Timestamp, UnixMillis},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Wall clock at the start of a simulation, in milliseconds.
const WALL_START_MS: u64 = 1_000_000_000;
/// Number of steps of each simulation; `FIGDEAL_CLAIM_STEPS` overrides it for longer ones.
const DEFAULT_STEPS: u64 = 15_000;

/// Probabilities that a message is lost and that it is delivered twice.
const LOSS_PROBABILITY: f64 = 0.03;
const DUPLICATE_PROBABILITY: f64 = 0.05;
/// Maximum delay of a message in microseconds: without faults, with faults, and for one message in 50 with faults.
const MAX_DELAYS_US: [u64; 3] = [500, 40_000, 4_000_000];
/// Probabilities of a restart and of a change of the network partition in each step.
const RESTART_PROBABILITY: f64 = 0.001;
const PARTITION_PROBABILITY: f64 = 0.002;

#[derive(Clone, Copy, PartialEq)]
enum Faults {
    None,
    All,
    /// All faults, and restarted acceptors do not abstain, although they lost their votes.
    Amnesia,
}

enum Event {
    /// Receiver and request.
    Request(EntryId, ClaimRequest),
    /// Sender, receiver and reply.
    Reply(EntryId, EntryId, ClaimReply),
    /// Proposer, unreachable acceptor and key of the claim.
    Unreachable(EntryId, EntryId, SubmissionKey),
}

/// Counts of the events in a simulation.
type Stats = BTreeMap<&'static str, u64>;

type Process = (Claims, EntryProcess, SteadyClock);

struct Simulation {
    rng: SmallRng,
    faults: Faults,
    limits: ClaimLimits,
    epochs: MembershipEpochs,
    entries: Vec<Process>,
    /// Pairs of sender and receiver between which all messages are lost.
    partitioned_links: HashSet<(EntryId, EntryId)>,
    /// Pending events by time in microseconds, then by sequence number.
    events: BTreeMap<(u64, u64), Event>,
    sent: u64,
    now_us: u64,
    keys: Vec<(SubmissionKey, UnixMillis)>,
    /// The processes that started a claim of a key.
    claimed: HashSet<(SubmissionKey, EntryProcess)>,
    /// The owners that were reported dead in a claim of a key.
    suspected: HashSet<(SubmissionKey, EntryProcess)>,
    /// Number of requests sent by each claim in progress.
    requests: HashMap<(EntryId, SubmissionKey), u64>,
    owners: HashMap<SubmissionKey, EntryProcess>,
    /// The owners whose results were collected, by key.
    collected: HashMap<SubmissionKey, EntryProcess>,
    stats: Stats,
    /// Largest number of requests that one claim sent.
    max_requests: u64,
}

impl Simulation {
    fn new(count: u16, seed: u64, faults: Faults) -> Simulation {
        let entries: Vec<_> = (0..count).map(EntryId).collect();
        let mut lists = vec![(UnixMillis(0), entries.clone())];
        if count > 3 {
            lists.insert(0, (UnixMillis(0), entries[..3].to_vec()));
            lists[1].0 = UnixMillis(WALL_START_MS + 30_000);
        }
        let has_small_tables = faults != Faults::None && seed % 4 == 3;
        let mut simulation = Simulation {
            rng: SmallRng::seed_from_u64(seed),
            faults,
            limits: ClaimLimits {
                max_records: if has_small_tables { 100 } else { 250_000 },
                ..ClaimLimits::default()
            },
            epochs: MembershipEpochs::new(lists).unwrap(),
            entries: Vec::new(),
            partitioned_links: HashSet::new(),
            events: BTreeMap::new(),
            sent: 0,
            now_us: 0,
            keys: Vec::new(),
            claimed: HashSet::new(),
            suspected: HashSet::new(),
            requests: HashMap::new(),
            owners: HashMap::new(),
            collected: HashMap::new(),
            stats: Stats::new(),
            max_requests: 0,
        };
        simulation.entries = entries
            .iter()
            .map(|&e| simulation.process(e, None))
            .collect();
        simulation.now_us = 10_000_000;
        simulation
    }

    fn wall_ms(&self) -> u64 {
        WALL_START_MS + self.now_us / 1_000
    }

    fn count(&mut self, what: &'static str) {
        *self.stats.entry(what).or_default() += 1;
    }

    /// Creates a process that starts now. It uses `clock` if given, else a clock that is wrong by up to half of
    /// `max_skew`.
    fn process(&mut self, entry: EntryId, clock: Option<SteadyClock>) -> Process {
        let half = self.limits.max_skew.as_millis() as u64 / 2;
        let wall = self.wall_ms() - half + self.rng.random_range(0..=2 * half);
        let new = SteadyClock::new(UnixMillis(wall), Timestamp::from_micros(self.now_us));
        let clock = clock.unwrap_or(new);
        let incarnation = Incarnation(self.rng.random());
        let me = EntryProcess { entry, incarnation };
        let claims = Claims::new(me, self.epochs.clone(), clock, self.limits);
        (claims, me, clock)
    }

    fn restart(&mut self, entry: EntryId) {
        self.count("restarts");
        let index = usize::from(entry.0);
        self.requests.retain(|(at, _), _| *at != entry);
        // With the clock of the first start, the acceptor abstains only for submissions created until then, and not for
        // those that it forgets in this restart.
        let before = (self.faults == Faults::Amnesia).then_some(self.entries[index].2);
        self.entries[index] = self.process(entry, before);
    }

    fn fault_occurs(&mut self, probability: f64) -> bool {
        self.faults != Faults::None && self.rng.random_bool(probability)
    }

    fn send_message(&mut self, from: EntryId, to: EntryId, event: impl Fn() -> Event) {
        self.count("messages");
        self.sent += 1;
        if self.partitioned_links.contains(&(from, to)) || self.fault_occurs(LOSS_PROBABILITY) {
            return;
        }
        for _ in 0..1 + u64::from(self.fault_occurs(DUPLICATE_PROBABILITY)) {
            let late = usize::from(self.fault_occurs(1.0)) + usize::from(self.fault_occurs(0.02));
            let at = self.now_us + self.rng.random_range(1..=MAX_DELAYS_US[late]);
            self.sent += 1;
            self.events.insert((at, self.sent), event());
        }
    }

    fn start(
        &mut self,
        at: EntryId,
        (key, created): (SubmissionKey, UnixMillis),
        dead: Option<EntryProcess>,
    ) -> Result<(), String> {
        self.count("started");
        let other = self.fault_occurs(0.01);
        let now = Timestamp::from_micros(self.now_us);
        let (claims, me, _) = &mut self.entries[usize::from(at.0)];
        self.claimed.insert((key, *me));
        self.suspected.extend(dead.map(|owner| (key, owner)));
        let actions = claims.start(key, Digest([other.into(); 16]), created, dead, now);
        self.apply(at, actions)
    }

    fn apply(&mut self, at: EntryId, actions: Vec<Action>) -> Result<(), String> {
        let now = Timestamp::from_micros(self.now_us);
        for action in actions {
            match action {
                Action::Send { to, request: step } => {
                    let requests = self.requests.entry((at, step.key)).or_default();
                    *requests += 1;
                    self.max_requests = self.max_requests.max(*requests);
                    let request = self.entries[usize::from(at.0)]
                        .0
                        .build_request(vec![step], now);
                    if self.partitioned_links.contains(&(at, to)) && self.fault_occurs(0.5) {
                        let event = Event::Unreachable(at, to, step.key);
                        self.events.insert((self.now_us + 1_000, self.sent), event);
                    }
                    self.send_message(at, to, || Event::Request(to, request.clone()));
                }
                Action::Decided { key, decision, .. } => self.check(at, key, decision)?,
            }
        }
        Ok(())
    }

    /// Checks a decision against all earlier decisions for the key.
    fn check(&mut self, at: EntryId, key: SubmissionKey, decision: Decision) -> Result<(), String> {
        let me = self.entries[usize::from(at.0)].1;
        self.requests.remove(&(at, key));
        let is_known_process = match decision {
            Decision::OwnedBy(owner) => self.claimed.contains(&(key, owner)),
            Decision::Collector(owner) => self.suspected.contains(&(key, owner)),
            _ => true,
        };
        if !is_known_process {
            return Err(format!(
                "{key}: {decision:?} names a process that did not claim or was not reported dead"
            ));
        }
        match decision {
            Decision::Owner => {
                self.count("owners");
                if let Some(before) = self.owners.insert(key, me) {
                    return Err(format!("{key} is owned by {before:?} and by {me:?}"));
                }
            }
            Decision::OwnedBy(owner) => {
                self.count("owned by");
                let alive = self.entries[usize::from(owner.entry.0)].1 == owner;
                if !alive || self.fault_occurs(0.02) {
                    let submission = *self.keys.iter().rfind(|k| k.0 == key).unwrap();
                    self.start(at, submission, Some(owner))?;
                }
            }
            Decision::Collector(owner) => {
                self.count("collectors");
                self.collected.insert(key, owner);
            }
            Decision::Undecided(_) => self.count("undecided"),
            Decision::Conflict => self.count("conflicts"),
            Decision::Expired | Decision::CreatedInFuture => self.count("expired or invalid"),
        }
        match (self.owners.get(&key), self.collected.get(&key)) {
            (Some(owner), Some(other)) if owner != other => Err(format!(
                "{key} is owned by {owner:?} and collected for {other:?}"
            )),
            _ => Ok(()),
        }
    }

    fn deliver(&mut self, event: Event) -> Result<(), String> {
        let now = Timestamp::from_micros(self.now_us);
        match event {
            Event::Request(to, request) => {
                let reply = self.entries[usize::from(to.0)].0.on_request(&request, now);
                let back = request.from.entry;
                self.send_message(to, back, || Event::Reply(to, back, reply.clone()));
                Ok(())
            }
            Event::Reply(from, to, reply) => {
                let claims = &mut self.entries[usize::from(to.0)].0;
                let actions = claims.on_reply(from, &reply, now);
                self.apply(to, actions)
            }
            Event::Unreachable(at, to, key) => {
                let claims = &mut self.entries[usize::from(at.0)].0;
                let actions = claims.on_unreachable(to, key, now);
                self.apply(at, actions)
            }
        }
    }

    /// Advances the time to `until`, delivering messages and calling `tick` of the entries in order of time.
    fn advance(&mut self, until: u64) -> Result<(), String> {
        loop {
            let event = self.events.first_key_value().map(|(at, _)| at.0);
            let wakes = self.entries.iter().enumerate();
            let wake = wakes.filter_map(|(i, e)| Some((e.0.next_wake()?.as_micros(), i)));
            let wake = wake.min();
            let next = event.into_iter().chain(wake.map(|w| w.0)).min();
            let Some(next) = next.filter(|at| *at <= until) else {
                self.now_us = until;
                return Ok(());
            };
            self.now_us = self.now_us.max(next);
            if event == Some(next) {
                let (_, event) = self.events.pop_first().unwrap();
                self.deliver(event)?;
            } else if let Some((_, index)) = wake {
                let actions = self.entries[index]
                    .0
                    .tick(Timestamp::from_micros(self.now_us));
                self.apply(EntryId(index as u16), actions)?;
            }
        }
    }

    fn step(&mut self) -> Result<(), String> {
        let count = self.entries.len() as u16;
        let chosen = EntryId(self.rng.random_range(0..count));
        if self.fault_occurs(RESTART_PROBABILITY) {
            self.restart(chosen);
        }
        if self.fault_occurs(PARTITION_PROBABILITY) {
            self.partitioned_links.clear();
            let other = EntryId(self.rng.random_range(0..count));
            match self.rng.random_range(0..4) {
                0 => self
                    .partitioned_links
                    .extend([(chosen, other), (other, chosen)]),
                1 => self.partitioned_links.extend([(chosen, other)]),
                _ => {}
            }
        }
        let recent = self.keys.len().min(30);
        if recent == 0 || self.rng.random_bool(0.4) {
            let ahead_ms = match self.fault_occurs(0.2) {
                true => self.rng.random_range(0..3_500),
                false => 0,
            };
            let key = SubmissionKey(self.rng.random());
            self.keys.push((key, UnixMillis(self.wall_ms() + ahead_ms)));
        }
        let pick = self.keys.len() - self.rng.random_range(1..=recent.max(1));
        let submission = self.keys[pick];
        let all = self.rng.random_bool(0.1);
        for entry in (0..count).map(EntryId).filter(|e| all || *e == chosen) {
            self.start(entry, submission, None)?;
        }
        let pause_us = match self.rng.random_range(0..10_000) {
            0 if self.faults != Faults::None => 3_597_000_000 + self.rng.random_range(0..9_000_000),
            1..20 => self.rng.random_range(0..6_000_000),
            20..300 => self.rng.random_range(0..300_000),
            _ => self.rng.random_range(0..3_000),
        };
        self.advance(self.now_us + pause_us)
    }

    fn run(&mut self, steps: u64) -> Result<Stats, String> {
        for _ in 0..steps {
            self.step()?;
        }
        self.advance(self.now_us + 60_000_000)?;
        match self.entries.iter().map(|e| e.0.in_progress()).sum() {
            0usize => Ok(self.stats.clone()),
            running => Err(format!("{running} claims did not end")),
        }
    }
}

fn steps() -> u64 {
    let steps = std::env::var("FIGDEAL_CLAIM_STEPS");
    steps.map_or(DEFAULT_STEPS, |s| {
        s.parse().expect("FIGDEAL_CLAIM_STEPS is a number")
    })
}

/// Guards against tasks that start twice: two owners of one key, or a collector for another process than the owner.
#[test]
fn faults_never_make_two_owners() {
    for count in [1, 2, 3, 5] {
        for seed in 0..4 {
            let stats = Simulation::new(count, seed, Faults::All).run(steps());
            let stats = stats.unwrap_or_else(|e| panic!("{count} entries, seed {seed}: {e}"));
            println!("{count} entries, seed {seed}: {stats:?}");
            let seen = |what| stats.contains_key(what);
            assert!(seen("owners") && seen("restarts") && (seen("collectors") || count == 1));
        }
    }
}

/// Guards against a simulation that does not detect acceptors which vote for a submission again after losing their vote
/// in a restart.
#[test]
fn simulation_detects_forgetful_acceptors() {
    for count in [1, 2, 3, 5] {
        let violation = (0..4).find_map(|seed| {
            Simulation::new(count, seed, Faults::Amnesia)
                .run(steps())
                .err()
        });
        let violation = violation.expect("a violation");
        assert!(
            violation.contains("is owned by"),
            "{count} entries: {violation}"
        );
    }
}

/// Guards against unnecessary messages: without faults, a claim takes one request to an acceptor and its reply. An
/// entry that is not an acceptor itself needs two requests.
#[test]
fn without_faults_claims_take_two_messages() {
    for count in [1, 2, 3, 5] {
        let mut simulation = Simulation::new(count, 1, Faults::None);
        let stats = simulation.run(steps()).unwrap();
        println!("{count} entries: {stats:?}");
        assert!(
            stats
                .keys()
                .all(|k| ["messages", "owned by", "owners", "started"].contains(k))
        );
        assert!(simulation.max_requests <= if count > 3 { 2 } else { 1 });
        assert!(
            stats.get("messages").unwrap_or(&0)
                <= &(2 * simulation.max_requests * stats["started"])
        );
        let claimed: HashSet<_> = simulation.claimed.iter().map(|c| c.0).collect();
        assert_eq!(stats["owners"], claimed.len() as u64);
    }
}
