//! Stand-ins for what stands outside of the product's own face, fleets of processes before them,
//! the demonstration, and the measurement.

pub mod caller;
pub mod demo;
pub mod engine;
pub mod fleet;
pub mod measure;
pub mod platform;
pub mod running;
pub mod serve;
pub mod service;
