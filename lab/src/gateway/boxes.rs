//! Addresses and settings of simulated boxes, the same for all emulators.

use std::net::SocketAddr;
use std::time::Duration;

use magpiemoor::gateway::dispatch::DispatchConfig;
use magpiemoor::gateway::dispatch::retry_budget::RetryPolicy;
use magpiemoor::gateway::dispatch::rollout::exposure::ExposureLimit;
use magpiemoor::schema::{DomainId, Incarnation};

/// Returns the address of a box.
#[must_use]
pub fn address(number: usize) -> SocketAddr {
    let (high, low) = ((number / 250) as u8, (number % 250) as u8 + 1);
    ([10, 1, high, low], 7_200).into()
}

/// Returns the name of a failure domain.
///
/// # Panics
///
/// Never: the name is short.
#[must_use]
pub fn domain_name(number: usize) -> DomainId {
    format!("domain-{number}").parse().expect("a short name")
}

/// Returns the callers' bound on retries.
#[must_use]
pub fn retry_policy() -> RetryPolicy {
    RetryPolicy {
        ratio: 0.8,
        reserve: 150.0,
        window: Duration::from_secs(10),
    }
}

/// Returns the configuration of a box; `boxes` boxes are assigned to the domains in turn.
///
/// # Panics
///
/// Never: the name is short.
#[must_use]
pub fn config(number: usize, boxes: usize, domains: usize) -> DispatchConfig {
    DispatchConfig {
        me: format!("box-{number:03}").parse().expect("a short name"),
        incarnation: Incarnation(1),
        domain: domain_name(number % domains),
        address: address(number),
        seeds: (0..domains.min(boxes)).map(address).collect(),
        first_start: true,
        gossip: Duration::from_millis(300),
        fleet_boxes: boxes,
        retries: retry_policy(),
        exposure: ExposureLimit {
            share: 0.1,
            reserve: 50.0,
        },
        duty: None,
    }
}
