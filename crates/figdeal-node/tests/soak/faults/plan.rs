//! Which faults a seed draws from, and how often.

use crate::callers::Burst;

/// First seed that draws from all kinds of faults. Lower ones draw from [`FIRST_KINDS`] only, so that the seeds that
/// have failed keep their faults.
const FIRST_EXTENDED_SEED: u64 = 200;
/// First seed that draws from [`IDENTITY_KINDS`].
const FIRST_IDENTITY_SEED: u64 = 1_000;
/// First seed that draws from [`RESTART_KINDS`].
const FIRST_RESTART_SEED: u64 = 2_000;
/// First seed in which the next incarnation of a worker may be of another kind and capacity, which tasks require.
const FIRST_CHANGE_SEED: u64 = 3_000;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FaultKind {
    Kill,
    Term,
    Wipe,
    PauseProcess,
    CutOff,
    Delay,
    Silence,
    Reset,
    UnansweredCalls,
    WorkerCrash,
    Drain,
    ForeignHeartbeat,
    PauseMachine,
    PauseTwoMachines,
    KillDisks,
    KillAll,
    RestartInTurn,
    Halves,
    WorkerCutOff,
    LateCallsAtRestart,
    EarlierStart,
    RestartAtOnce,
    DelayedDeparture,
    ReplacedWorker,
    Burst(Burst),
}

/// Kinds of faults of all seeds. Each is as probable as it is frequent here. Its position is drawn at random, so a
/// change of the order changes the faults of every seed.
const FIRST_KINDS: [FaultKind; 14] = [
    FaultKind::Kill,
    FaultKind::Kill,
    FaultKind::Term,
    FaultKind::Wipe,
    FaultKind::PauseProcess,
    FaultKind::CutOff,
    FaultKind::Delay,
    FaultKind::Silence,
    FaultKind::Reset,
    FaultKind::UnansweredCalls,
    FaultKind::WorkerCrash,
    FaultKind::Drain,
    FaultKind::ForeignHeartbeat,
    FaultKind::ForeignHeartbeat,
];

/// Further kinds of faults, from [`FIRST_EXTENDED_SEED`] on.
const FURTHER_KINDS: [FaultKind; 21] = [
    FaultKind::PauseProcess,
    FaultKind::PauseMachine,
    FaultKind::PauseMachine,
    FaultKind::PauseTwoMachines,
    FaultKind::KillDisks,
    FaultKind::KillAll,
    FaultKind::RestartInTurn,
    FaultKind::Halves,
    FaultKind::Halves,
    FaultKind::WorkerCutOff,
    FaultKind::WorkerCutOff,
    FaultKind::LateCallsAtRestart,
    FaultKind::LateCallsAtRestart,
    FaultKind::EarlierStart,
    FaultKind::RestartAtOnce,
    FaultKind::RestartAtOnce,
    FaultKind::DelayedDeparture,
    FaultKind::ReplacedWorker,
    FaultKind::Burst(Burst::Jobs),
    FaultKind::Burst(Burst::Cancelled),
    FaultKind::Burst(Burst::Undoable),
];

/// Kinds of faults around the identity and the incarnations of a worker, from [`FIRST_IDENTITY_SEED`] on. Among all
/// kinds, restarts that meet calls on their way are rare.
const IDENTITY_KINDS: [FaultKind; 15] = [
    FaultKind::LateCallsAtRestart,
    FaultKind::LateCallsAtRestart,
    FaultKind::LateCallsAtRestart,
    FaultKind::EarlierStart,
    FaultKind::EarlierStart,
    FaultKind::RestartAtOnce,
    FaultKind::RestartAtOnce,
    FaultKind::RestartAtOnce,
    FaultKind::DelayedDeparture,
    FaultKind::ReplacedWorker,
    FaultKind::WorkerCutOff,
    FaultKind::UnansweredCalls,
    FaultKind::ForeignHeartbeat,
    FaultKind::PauseProcess,
    FaultKind::Reset,
];

/// Kinds of faults around restarts that keep the order of starts, from [`FIRST_RESTART_SEED`] on. Without departures
/// and earlier starts, which break seeds by themselves, they show what a call does that another incarnation executes.
const RESTART_KINDS: [FaultKind; 10] = [
    FaultKind::LateCallsAtRestart,
    FaultKind::LateCallsAtRestart,
    FaultKind::LateCallsAtRestart,
    FaultKind::LateCallsAtRestart,
    FaultKind::RestartAtOnce,
    FaultKind::RestartAtOnce,
    FaultKind::RestartAtOnce,
    FaultKind::WorkerCutOff,
    FaultKind::UnansweredCalls,
    FaultKind::PauseProcess,
];

/// Faults of a seed.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Kinds of faults, each as probable as it is frequent here.
    pub(super) kinds: Vec<FaultKind>,
    /// Average number of injected faults per second.
    pub(super) faults_per_second: f64,
    /// Longest pause of a process in milliseconds.
    pub(super) max_pause_ms: u64,
    /// Whether all that processes send to each other is delayed for the whole seed.
    pub(super) has_constant_delays: bool,
    /// Whether there may be bursts of jobs.
    pub(crate) has_bursts: bool,
    /// Whether the next incarnation of a worker may be of another kind and capacity.
    pub(crate) kinds_change: bool,
}

impl Plan {
    pub(crate) fn for_seed(seed: u64) -> Plan {
        let first = Plan {
            kinds: FIRST_KINDS.to_vec(),
            faults_per_second: 0.8,
            max_pause_ms: 4_000,
            has_constant_delays: false,
            has_bursts: false,
            kinds_change: seed >= FIRST_CHANGE_SEED,
        };
        match seed {
            0..FIRST_EXTENDED_SEED => first,
            FIRST_EXTENDED_SEED..FIRST_IDENTITY_SEED => Plan {
                kinds: [FIRST_KINDS.as_slice(), &FURTHER_KINDS].concat(),
                faults_per_second: 1.4,
                max_pause_ms: 18_000,
                has_constant_delays: seed % 2 == 1,
                has_bursts: true,
                ..first
            },
            _ => Plan {
                kinds: match seed {
                    0..FIRST_RESTART_SEED => IDENTITY_KINDS.to_vec(),
                    FIRST_RESTART_SEED..FIRST_CHANGE_SEED => RESTART_KINDS.to_vec(),
                    _ => [IDENTITY_KINDS.as_slice(), &RESTART_KINDS, &FIRST_KINDS].concat(),
                },
                faults_per_second: 2.0,
                has_constant_delays: seed % 2 == 1,
                ..first
            },
        }
    }
}
