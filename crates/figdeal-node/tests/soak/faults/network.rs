//! Faults of the connections between processes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::Rng;

use super::{FaultInjector, FaultStep};
use crate::proxy::Network;

/// Time for which a machine is cut off from all others.
const CUT_TIME: Duration = Duration::from_millis(2_500);
/// Shortest and longest constant delay between two processes in microseconds.
const CONSTANT_DELAY_MICROS: std::ops::RangeInclusive<u64> = 500..=3_000;

impl FaultInjector {
    pub(super) fn both_directions(
        &self,
        a: usize,
        b: usize,
        act: impl Fn(&Network, SocketAddr, SocketAddr),
    ) {
        let [a, b] = [a, b].map(|n| self.layout.internal(n as u8 + 1).0);
        act(&self.network, a, b);
        act(&self.network, b, a);
    }

    fn reconnect_after(&mut self, wait: Duration, a: usize, b: usize) {
        let at = Instant::now() + wait;
        self.scheduled_steps.push((at, FaultStep::Reconnect(a, b)));
    }

    /// Cuts a machine off from all others, in both directions or in one.
    pub(super) fn cut_off(&mut self, n: usize) {
        let one_way = self.rng.random_bool(0.3);
        self.record(format!("cut machine={} one_way={one_way}", n + 1));
        for m in (0..self.machines.len()).filter(|m| *m != n) {
            let [a, b] = [n, m].map(|n| self.layout.internal(n as u8 + 1).0);
            self.network.cut(a, b, true);
            if !one_way {
                self.network.cut(b, a, true);
            }
            self.reconnect_after(CUT_TIME, n, m);
        }
    }

    /// Cuts the nodes into two groups. Each agent stays connected to both of them, or to one.
    pub(super) fn cut_in_halves(&mut self) {
        let nodes = usize::from(self.layout.nodes);
        let count = match self.rng.random_bool(0.5) {
            true => self.machines.len(),
            false => nodes,
        };
        let mut side: Vec<bool> = (0..count).map(|_| self.rng.random_bool(0.5)).collect();
        // Both sides have a node.
        side[1] = !side[0];
        let wait = Duration::from_millis(self.rng.random_range(800..7_000));
        self.record(format!("cut in halves sides={side:?} for={wait:?}"));
        for a in 0..count {
            for b in (a + 1..count).filter(|b| side[a] != side[*b]) {
                self.both_directions(a, b, |net, from, to| net.cut(from, to, true));
                self.reconnect_after(wait, a, b);
            }
        }
    }

    pub(super) fn delay(&mut self, n: usize, other: usize) {
        self.record(format!("delay {} {}", n + 1, other + 1));
        let delay = Duration::from_millis(self.rng.random_range(20..400));
        self.both_directions(n, other, |net, from, to| net.delay(from, to, delay));
        self.schedule(500, 4_000, FaultStep::EndDelay(n, other));
    }

    pub(super) fn silence(&mut self, n: usize, other: usize) {
        self.record(format!("silence {} {}", n + 1, other + 1));
        self.both_directions(n, other, Network::silence);
    }

    /// Closes all connections of a machine to others.
    pub(super) fn reset(&mut self, n: usize) {
        self.record(format!("reset machine={}", n + 1));
        for m in (0..self.machines.len()).filter(|m| *m != n) {
            self.both_directions(n, m, Network::reset);
        }
    }

    /// Delays all that processes send to each other, for the whole seed, by a time that is constant for each direction
    /// of each pair.
    pub(super) fn add_constant_delays(&mut self) {
        self.record("constant delays between all processes".to_owned());
        let count = self.machines.len();
        for (a, b) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))) {
            let [from, to] = [a, b].map(|n| self.layout.internal(n as u8 + 1).0);
            let delay = Duration::from_micros(self.rng.random_range(CONSTANT_DELAY_MICROS));
            self.network.set_constant_delay(from, to, delay);
        }
    }
}
