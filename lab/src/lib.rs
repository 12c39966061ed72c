//! The laboratory of magpiemoor: stand-ins for the systems outside, a demonstration, load and
//! measurement. It is never shipped.
//!
//! Unlike the product's processes, the laboratory starts others: the demonstration and the
//! measurements run real boxes as processes of their own.

pub mod bench;
pub mod caller;
pub mod demo;
pub mod engine;
pub mod fleet;
pub mod r#gen;
pub mod journal;
pub mod outside;
pub mod platform;
pub mod process;
pub mod serve;
pub mod service;
