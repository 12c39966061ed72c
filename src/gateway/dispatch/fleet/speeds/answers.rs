//! Speeds of plain servers, from the times that their answers take.
//!
//! A server whose machine is slow for some hundred ms is recognized by its last answers: at least
//! two in [`SLOW_WINDOW`], none of them faster than most answers of the service. A server that is
//! always slower or faster than the others is recognized by three quarters of its answers on one side of
//! the service's median. Both rules hold for any distribution of times, so that servers of equal
//! speed whose calls differ are rarely taken for slow.

use std::collections::VecDeque;
use std::time::Duration;

use super::comparison::MAX_FACTOR;
use crate::schema::Micros;

/// Time in which answers tell of a server's present speed.
const SLOW_WINDOW: Duration = Duration::from_millis(300);
/// Answers in that time that must agree.
const MIN_SLOW_ANSWERS: usize = 2;
/// Factor over the service's median from which an answer is slow.
const SLOW: f64 = 1.5;
/// Share of a service's answers that a slow answer must exceed.
const SLOW_QUANTILE: f64 = 0.8;
/// How long an answer counts for the speed of the machine.
const ANSWER_LIFETIME: Duration = Duration::from_secs(60);
/// Answers that are kept for each server.
const MAX_ANSWERS: usize = 16;
/// Own answers of a server from which its machine is compared.
const MIN_ANSWERS: usize = 8;
/// Factor over or under the median from which three quarters of the answers count.
const DIFFERENT: f64 = 1.1;

/// The times of a service's answers, in µs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTimes {
    pub median: f64,
    /// Time from which an answer is slow.
    slow: f64,
}

impl ServiceTimes {
    /// From this box's answers of all servers; `None` while there are too few.
    pub fn new(mut times: Vec<u32>) -> Option<Self> {
        if times.len() < MIN_ANSWERS {
            return None;
        }
        times.sort_unstable();
        let median = f64::from(quantile(&times, 0.5));
        let slow = f64::from(quantile(&times, SLOW_QUANTILE)).max(median * SLOW);
        Some(Self { median, slow })
    }

    /// Whether an answer is slow.
    pub fn is_slow(self, micros: u32) -> bool {
        f64::from(micros) > self.slow
    }
}

fn quantile(sorted: &[u32], share: f64) -> u32 {
    let last = sorted.len().saturating_sub(1);
    sorted
        .get((last as f64 * share) as usize)
        .copied()
        .unwrap_or(0)
}

/// The last answers of a plain server.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerLog {
    /// Answers to this box.
    own: VecDeque<(Micros, u32)>,
    /// Answers to this box and those that peers published.
    latest: VecDeque<(Micros, u32)>,
    /// Factor of the machine, by the answers to this box.
    machine: Option<f64>,
}

impl AnswerLog {
    /// Adds an answer to this box.
    pub fn observe(&mut self, micros: u32, now: Micros) {
        push(&mut self.own, (now, micros));
        self.on_peer(micros, now);
    }

    /// Adds an answer to a peer.
    pub fn on_peer(&mut self, micros: u32, now: Micros) {
        push(&mut self.latest, (now, micros));
    }

    /// Times of the answers to this box.
    pub fn own_times(&self) -> impl Iterator<Item = u32> {
        self.own.iter().map(|(_, micros)| *micros)
    }

    pub fn forget_expired(&mut self, now: Micros) {
        let is_old = |(at, _): &(Micros, u32), time| now.since(*at) >= time;
        self.own.retain(|answer| !is_old(answer, ANSWER_LIFETIME));
        self.latest.retain(|answer| !is_old(answer, SLOW_WINDOW));
    }

    /// Compares the machine with those of the service's other servers.
    pub fn compare(&mut self, service: Option<ServiceTimes>) {
        let mut times: Vec<u32> = self.own_times().collect();
        times.sort_unstable();
        let service = service.filter(|_| times.len() >= MIN_ANSWERS);
        self.machine = service.and_then(|service| {
            let is_slower = f64::from(quantile(&times, 0.25)) > service.median * DIFFERENT;
            let is_faster = f64::from(quantile(&times, 0.75)) < service.median / DIFFERENT;
            let factor = f64::from(quantile(&times, 0.5)) / service.median;
            (is_slower || is_faster).then_some(factor)
        });
    }

    /// The factor of the latest answers if the server is slow now.
    pub fn slow_factor(&self, service: ServiceTimes, now: Micros) -> Option<f64> {
        let latest = self.latest.iter();
        let latest = latest.filter(|(at, _)| now.since(*at) < SLOW_WINDOW);
        let latest: Vec<u32> = latest.map(|(_, micros)| *micros).collect();
        let fastest = *latest.iter().min()?;
        (latest.len() >= MIN_SLOW_ANSWERS && service.is_slow(fastest))
            .then(|| f64::from(fastest) / service.median)
    }

    /// The time of an answer relative to the service's median.
    pub fn factor(&self, service: ServiceTimes, now: Micros) -> f64 {
        let factor = self.slow_factor(service, now).or(self.machine);
        factor.unwrap_or(1.0).clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }
}

fn push(answers: &mut VecDeque<(Micros, u32)>, answer: (Micros, u32)) {
    if answers.len() == MAX_ANSWERS {
        answers.pop_front();
    }
    answers.push_back(answer);
}
