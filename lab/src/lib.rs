//! The laboratory of magpiemoor: stand-ins for the systems outside, demonstrations, a soak, and what
//! the users' bench doesn't measure. It is never shipped.
//!
//! Unlike the product's processes, the laboratory starts others: demonstrations, soak and
//! measurements run real boxes as processes of their own.

pub mod caller;
pub mod demo;
pub mod engine;
pub mod fleet;
pub mod r#gen;
pub mod journal;
pub mod measure;
pub mod outside;
pub mod platform;
pub mod process;
pub mod running;
pub mod serve;
pub mod service;
