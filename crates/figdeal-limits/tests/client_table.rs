//! Tests of the decisions about connections and held bytes, without a network.

use std::{net::IpAddr, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_limits::client_table::{Class, ClientKey, ClientTable, Limits, Phase, Refusal};

const KIB: usize = 1_024;
const START: Timestamp = Timestamp::from_micros(1_000_000);

fn at(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

fn address(last: u8) -> IpAddr {
    [10, 0, 0, last].into()
}

fn table() -> ClientTable {
    ClientTable::new(Limits {
        budget_bytes: 1_000 * KIB,
        connections: 4,
        connections_per_address: 3,
        reserved_connections: 1,
        idle_time: Duration::from_secs(20),
        header_time: Duration::from_secs(5),
        transfer_time: Duration::from_secs(60),
        rate_grace: Duration::from_secs(20),
        min_rate: 1_024,
    })
}

fn open(table: &mut ClientTable, now: Timestamp, last: u8) -> ClientKey {
    table.open(now, address(last), Class::Ordinary).unwrap()
}

fn evicted(table: &mut ClientTable) -> Vec<(ClientKey, Refusal)> {
    let evicted = table.take_evicted();
    evicted.iter().map(|e| (e.key, e.reason)).collect()
}

/// Guards against dropping an ordinary request for a client that sent a large body quickly and then stopped.
#[test]
fn the_client_that_stopped_goes_first() {
    let mut table = table();
    let stopped = open(&mut table, START, 1);
    table.enter(START, stopped, Phase::Body);
    table.take(stopped, 900 * KIB).unwrap();
    table.progress(at(5), stopped, 900 * KIB);
    let slow = open(&mut table, at(500), 2);
    table.enter(at(500), slow, Phase::Body);
    table.take(slow, 50 * KIB).unwrap();
    for step in 0..25 {
        table.progress(at(500 + 20 * step), slow, 200);
    }
    let new = open(&mut table, at(1_000), 3);
    table.enter(at(1_000), new, Phase::Body);
    table.take(new, 100 * KIB).unwrap();
    assert_eq!(evicted(&mut table), [(stopped, Refusal::Budget)]);
    assert_eq!(table.held_bytes(), 150 * KIB);
}

/// Guards against a client without progress that evicts active ones to get bytes.
#[test]
fn the_least_active_client_is_refused_itself() {
    let mut table = table();
    let stalled = open(&mut table, START, 1);
    table.enter(START, stalled, Phase::Body);
    let active = open(&mut table, at(2_000), 2);
    table.enter(at(2_000), active, Phase::Body);
    table.take(active, 900 * KIB).unwrap();
    assert_eq!(table.take(stalled, 200 * KIB), Err(Refusal::Budget));
    assert!(evicted(&mut table).is_empty());
    assert_eq!(table.held_bytes(), 900 * KIB);
}

/// Guards against a job that loses its caller while it may run, for lack of bytes or of connections.
#[test]
fn a_request_in_progress_is_never_evicted() {
    let mut table = table();
    let handled: Vec<_> = (1..=4).map(|n| open(&mut table, START, n)).collect();
    for key in &handled {
        table.take(*key, 250 * KIB).unwrap();
        table.enter(START, *key, Phase::Handling);
    }
    let result = table.open(at(60_000), address(9), Class::Ordinary);
    assert_eq!(result, Err(Refusal::Connections));
    let operator = table.open(at(60_000), address(9), Class::Reserved).unwrap();
    assert_eq!(table.take(operator, KIB), Err(Refusal::Budget));
    table.expire(at(3_600_000));
    assert!(handled.iter().all(|key| table.phase(*key).is_some()));
}

/// Guards against a crowd of one address, or of callers, that keeps others out.
#[test]
fn bounds_of_connections_hold_by_address_and_class() {
    let mut table = table();
    let other = open(&mut table, START, 2);
    let first: Vec<_> = (1..4).map(|n| open(&mut table, at(n), 1)).collect();
    open(&mut table, at(10), 1);
    assert_eq!(evicted(&mut table), [(first[0], Refusal::Address)]);
    open(&mut table, at(20), 3);
    assert_eq!(evicted(&mut table), [(other, Refusal::Connections)]);
    let operator = table.open(at(40), address(1), Class::Reserved).unwrap();
    assert!(evicted(&mut table).is_empty());
    table.open(at(50), address(2), Class::Reserved).unwrap();
    assert_eq!(evicted(&mut table), [(operator, Refusal::Connections)]);
}

/// Guards against silent newcomers that push out connections that a load balancer keeps open.
#[test]
fn served_connections_outlast_silent_ones() {
    let mut table = table();
    let served = open(&mut table, START, 1);
    table.enter(START, served, Phase::Answer);
    table.enter(START, served, Phase::Idle);
    let silent: Vec<_> = (2..=4).map(|n| open(&mut table, at(2_000), n)).collect();
    open(&mut table, at(3_000), 5);
    assert_eq!(evicted(&mut table), [(silent[0], Refusal::Connections)]);
}

/// Guards against bytes that stay counted after a connection has ended.
#[test]
fn closing_returns_all_bytes() {
    let mut table = table();
    let key = open(&mut table, START, 1);
    table.take(key, 10 * KIB).unwrap();
    table.take(key, 5 * KIB).unwrap();
    table.give_back(key, 4 * KIB);
    assert_eq!(table.held_bytes(), 11 * KIB);
    table.close(key);
    table.give_back(key, KIB);
    table.progress(at(1), key, KIB);
    assert_eq!(table.held_bytes(), 0);
    assert_eq!(table.take(key, KIB), Err(Refusal::Budget));
    assert_eq!(table.phase_counts(), [0; Phase::ALL.len()]);
}

/// Guards against clients that are slow without end, and against closing one that keeps to its limits.
#[test]
fn limits_of_time_and_rate_hold_in_each_phase() {
    let cases = [
        (Phase::Idle, 0, 20_000, Refusal::IdleTime),
        (Phase::Headers, 1_000_000, 5_000, Refusal::HeaderTime),
        (Phase::Body, 1_000_000, 60_000, Refusal::TransferTime),
        // 2,048 bytes last for two seconds beyond the grace time.
        (Phase::Body, 2_048, 22_000, Refusal::Rate),
        (Phase::Answer, 0, 20_000, Refusal::Rate),
    ];
    for (phase, bytes, limit_ms, reason) in cases {
        let mut table = table();
        let key = open(&mut table, START, 1);
        table.enter(START, key, phase);
        table.progress(START, key, bytes);
        table.expire(at(limit_ms));
        assert!(evicted(&mut table).is_empty(), "{phase:?} {reason}");
        table.expire(at(limit_ms + 1));
        assert_eq!(evicted(&mut table), [(key, reason)], "{phase:?}");
    }
}
