//! Stand-ins that speak the users' platform's protocol, written from its pages: the store, model
//! servers, plain services, and callers. They have faults on command, down to single bytes.

pub mod boxes;
pub mod caller;
pub mod crashes;
pub mod cuts;
pub mod demo;
pub mod fleet;
pub mod foreign;
pub mod limits;
mod mailbox;
pub mod parallel;
pub mod rollout;
pub mod server;
pub mod soak;
pub mod spread;
pub mod stops;
pub mod store;
pub mod streams;
pub mod versions;
pub mod wire;
