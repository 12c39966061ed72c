//! Magpiemoor serves long model generations on engines that fail without warning.
//!
//! The crate is a library; the binaries only call into it. It contains two kinds of entry box,
//! which share the other modules of this crate but no code of each other: [`gateway`] runs on the
//! users' machines, where a request belongs to the box that receives it; [`keyed`] is the product's
//! own API, where a key identifies a request. [`cli`] is the operators' command line.
//! docs/ARCHITECTURE.md describes the whole system.

// Module documentation links to the private constants that it explains;
// `--document-private-items` resolves these links.
#![allow(rustdoc::private_intra_doc_links)]

pub mod backoff;
pub mod cli;
pub mod clock;
pub mod exit;
pub mod gateway;
pub mod http;
pub mod keyed;
pub mod listen;
pub mod logs;
pub mod memory;
pub mod metrics;
pub mod rendezvous;
pub mod schema;
pub mod settings;
pub mod signals;
