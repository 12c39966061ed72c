//! How the box that deals permits for an endpoint deals them.
//!
//! Permits accrue at the rate that the endpoint names and go to whoever asked last: the request that one
//! is asked for waits only a moment, or goes elsewhere. Beyond [`most_saved`] they don't accrue. Nothing is
//! dealt before [`PermitAllocator::starts`].
//!
//! Inputs: asks, the rate, the time. Weighed: the ask that waits longest first (permits then reach boxes
//! whose request has gone elsewhere).

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::dispatch::fleet::limits::RequestRate;
use crate::schema::Micros;

/// How long an ask is kept: a request that nobody else can take waits about as long.
const ASK_KEPT: Duration = Duration::from_millis(150);
/// How many boxes may wait for permits of one endpoint; those that asked first give way.
const MOST_ASKING: usize = 64;
/// How many permits one ask is for at most.
const MOST_WANTED: u32 = 32;
/// The rate at which an endpoint is asked whether its limit has ended, whatever it names: one request in
/// twenty seconds.
const LEAST_RATE: f64 = 0.05;
/// How many permits are saved at most, in seconds of the rate, and in any case.
const SAVED_FOR: Duration = Duration::from_millis(250);
const MOST_SAVED_SLOW: f64 = 2.0;

/// Who asks for permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitRequester {
    /// Where permits go.
    pub reply_to: SocketAddr,
    /// How many are wanted.
    pub wanted: u32,
}

#[derive(Clone, Copy, Debug)]
struct Ask {
    asker: PermitRequester,
    at: Micros,
}

/// Deals the permits for one endpoint.
#[derive(Clone, Debug)]
pub struct PermitAllocator {
    starts: Micros,
    saved: f64,
    reckoned: Micros,
    /// The latest ask last.
    asks: Vec<Ask>,
}

/// How many permits are saved at most.
fn most_saved(rate: f64) -> f64 {
    let slow = rate.clamp(1.0, MOST_SAVED_SLOW);
    slow.max(rate * SAVED_FOR.as_secs_f64())
}

impl PermitAllocator {
    /// A dealer that has saved nothing and deals nothing before `starts`.
    #[must_use]
    pub fn new(starts: Micros) -> Self {
        Self {
            starts,
            saved: 0.0,
            reckoned: starts,
            asks: Vec::new(),
        }
    }

    /// Has nothing dealt before a time.
    pub fn pause_until(&mut self, starts: Micros) {
        self.starts = self.starts.max(starts);
        self.reckoned = self.reckoned.max(starts);
        self.saved = 0.0;
    }

    /// Takes in an ask.
    pub fn on_ask(&mut self, asker: PermitRequester, now: Micros) {
        self.asks
            .retain(|ask| ask.asker.reply_to != asker.reply_to && is_kept(ask, now));
        if self.asks.len() >= MOST_ASKING {
            self.asks.remove(0);
        }
        let wanted = asker.wanted.min(MOST_WANTED);
        let asker = PermitRequester { wanted, ..asker };
        self.asks.push(Ask { asker, at: now });
    }

    /// Deals what has accrued; returns who gets how many.
    pub fn allocate(&mut self, rate: RequestRate, now: Micros) -> Vec<PermitRequester> {
        let rate = rate.per_second().max(LEAST_RATE);
        let grown = rate * now.since(self.reckoned).as_secs_f64();
        self.saved = (self.saved + grown).min(most_saved(rate));
        self.reckoned = self.reckoned.max(now);
        self.asks.retain(|ask| is_kept(ask, now));
        let mut dealt: Vec<PermitRequester> = Vec::new();
        while now >= self.starts && self.saved >= 1.0 {
            let Some(mut ask) = self.asks.pop() else {
                break;
            };
            self.saved -= 1.0;
            add_one(&mut dealt, ask.asker.reply_to);
            ask.asker.wanted -= 1;
            if ask.asker.wanted > 0 {
                self.asks.insert(0, ask);
            }
        }
        dealt
    }

    /// When something can be dealt next, if anybody waits for it.
    #[must_use]
    pub fn due(&self, rate: RequestRate) -> Option<Micros> {
        if self.asks.is_empty() {
            return None;
        }
        let missing = (1.0 - self.saved).max(0.0);
        let wait = missing / rate.per_second().max(LEAST_RATE);
        let due = self.reckoned.after(Duration::from_secs_f64(wait));
        Some(due.max(self.starts))
    }
}

fn is_kept(ask: &Ask, now: Micros) -> bool {
    ask.asker.wanted > 0 && now.since(ask.at) < ASK_KEPT
}

fn add_one(dealt: &mut Vec<PermitRequester>, reply_to: SocketAddr) {
    match dealt.iter_mut().find(|asker| asker.reply_to == reply_to) {
        Some(asker) => asker.wanted += 1,
        None => dealt.push(PermitRequester {
            reply_to,
            wanted: 1,
        }),
    }
}
