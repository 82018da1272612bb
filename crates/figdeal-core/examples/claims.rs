//! Measures claims on one core: memory per record, claims per second, and the size of the messages.
//!
//! Run `cargo run --release --example claims -- member 1000000` for the acceptor alone, or with `pair` for complete
//! claims among three entries. Memory is measured as the growth of the resident set (Linux only), so it includes the
//! unused capacity of the tables. Each size needs its own process, because freed memory is reused.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use figdeal_core::{
    claim::{
        Acceptor, Action, ClaimLimits, ClaimRequest, Claims, Decision, EntryProcess,
        MembershipEpochs, SteadyClock, Step, StepRequest, StepResult,
    },
    id::{Digest, EntryId, Incarnation, SubmissionKey},
    time::{Timestamp, UnixMillis},
};

const WALL_START: UnixMillis = UnixMillis(1_700_000_000_000);
/// Age of the oldest submission in a full table.
const TABLE_AGE: Duration = Duration::from_secs(3_600);

fn main() {
    let mut args = std::env::args().skip(1);
    let mode = args.next();
    let records = args.next().and_then(|n| n.parse().ok());
    match (mode.as_deref(), records) {
        (Some("member"), Some(records)) => measure_acceptor(records),
        (Some("pair"), Some(records)) => measure_claims(records),
        _ => panic!("usage: claims member|pair <records>"),
    }
    print_message_sizes();
}

fn owner(entry: u16) -> EntryProcess {
    let incarnation = Incarnation(0x0123_4567_89ab_cdef + u64::from(entry));
    EntryProcess {
        entry: EntryId(entry),
        incarnation,
    }
}

fn epochs(count: u16) -> MembershipEpochs {
    let entries = (0..count).map(EntryId).collect();
    MembershipEpochs::new(vec![(UnixMillis(0), entries)]).expect("a valid list")
}

/// Returns a key that is distributed like a hash.
fn key(number: usize) -> SubmissionKey {
    let low = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let bits = u128::from(low) << 64 | u128::from(low.rotate_left(29));
    SubmissionKey(bits.to_le_bytes())
}

fn step_request(number: usize, created: UnixMillis, step: Step) -> StepRequest {
    StepRequest {
        claim: number as u64,
        key: key(number),
        digest: Digest(key(number).0),
        created,
        step,
    }
}

/// Fills the table of an acceptor over the retention, then continues with claims while old records expire.
fn measure_acceptor(records: usize) {
    let clock = SteadyClock::new(WALL_START, Timestamp::ZERO);
    let limits = ClaimLimits {
        max_records: 2 * records,
        ..ClaimLimits::default()
    };
    let (epochs, from) = (epochs(1), owner(1));
    let before = resident_bytes();
    let mut acceptor = Acceptor::new(EntryId(0), clock, limits);
    let start = acceptor.ready_at() + limits.max_skew;
    let mut claim = |number: usize| {
        let now = start + TABLE_AGE.mul_f64(number as f64 / records as f64);
        let wall = clock.read(now);
        let result = acceptor.answer(
            &epochs,
            from,
            wall,
            &step_request(number, wall, Step::Grant),
            now,
        );
        assert_eq!(result, StepResult::Voted);
        acceptor.len()
    };
    let began = Instant::now();
    let held = (0..records).map(&mut claim).last().unwrap_or(0);
    let fill_time = began.elapsed();
    let bytes = resident_bytes().saturating_sub(before) as f64 / held as f64;
    let began = Instant::now();
    let steady = (records..3 * records).map(&mut claim).max().unwrap_or(0);
    let steady_time = began.elapsed();
    println!(
        "member: {held} records, {bytes:.0} bytes each, {:.0} claims/s filling, {:.0} claims/s with expiry \
         (at most {steady} records)",
        records as f64 / fill_time.as_secs_f64(),
        2.0 * records as f64 / steady_time.as_secs_f64(),
    );
}

/// Runs complete claims between two of three entries, and measures the work of proposer and acceptor together.
fn measure_claims(records: usize) {
    let clock = SteadyClock::new(WALL_START, Timestamp::ZERO);
    let limits = ClaimLimits {
        max_records: 2 * records,
        ..ClaimLimits::default()
    };
    let before = resident_bytes();
    let mut entries: Vec<_> = (0..3)
        .map(|e| Claims::new(owner(e), epochs(3), clock, limits))
        .collect();
    let start = entries[0].ready_at() + limits.max_skew;
    let (mut messages, mut owners) = (0, 0);
    let began = Instant::now();
    for number in 0..records {
        let now = start + TABLE_AGE.mul_f64(number as f64 / records as f64);
        let at = number % 3;
        let digest = Digest(key(number).0);
        let mut actions = entries[at].start(key(number), digest, clock.read(now), None, now);
        while let [Action::Send { to, request }] = actions[..] {
            let request = entries[at].build_request(vec![request], now);
            let reply = entries[usize::from(to.0)].on_request(&request, now);
            actions = entries[at].on_reply(to, &reply, now);
            messages += 2;
        }
        let [Action::Decided { decision, .. }] = actions[..] else {
            panic!("claim {number} is not decided");
        };
        owners += usize::from(decision == Decision::Owner);
    }
    let took = began.elapsed();
    let bytes = resident_bytes().saturating_sub(before) as f64 / records as f64;
    println!(
        "three entries: {owners} owners of {records} claims, {messages} messages, {:.0} claims/s, \
         {bytes:.0} bytes for each claim in all entries",
        records as f64 / took.as_secs_f64(),
    );
}

fn print_message_sizes() {
    let mut other = Claims::new(
        owner(0),
        epochs(1),
        SteadyClock::new(WALL_START, Timestamp::ZERO),
        ClaimLimits::default(),
    );
    let now = other.ready_at() + Duration::from_secs(3_600);
    let clock = WALL_START.plus(now.since(Timestamp::ZERO));
    for count in [1, 10] {
        let steps = (0..count).map(|n| step_request((1 << 32) + n, clock, Step::Grant));
        let request = ClaimRequest {
            from: owner(1),
            clock,
            steps: steps.collect(),
        };
        let reply = other.on_request(&request, now);
        println!(
            "{} claims in one message: request {} bytes, reply {} bytes",
            request.steps.len(),
            postcard::to_stdvec(&request).expect("serializable").len(),
            postcard::to_stdvec(black_box(&reply))
                .expect("serializable")
                .len(),
        );
    }
}

/// Resident set size of this process in bytes, 0 if it is unknown.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or(0) * 4096
}
