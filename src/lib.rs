//! Magpiemoor serves long model generations on engines that fail without warning.
//!
//! The crate is a library with thin programs. It holds two forms of an entry box, which share what
//! stands beside them here and nothing of each other: [`gateway`] runs on the users' machines,
//! where a request belongs to the box that reads it; [`keyed`] is the product's own face, where a
//! request is known by a key. [`cli`] is what operators run. docs/ARCHITECTURE.md shows the whole.

// Heads of modules name the private constants that they explain; `--document-private-items` follows
// the links.
#![allow(rustdoc::private_intra_doc_links)]

pub mod backoff;
pub mod cli;
pub mod clock;
pub mod gateway;
pub mod http;
pub mod keyed;
pub mod listen;
pub mod logs;
pub mod metrics;
pub mod rendezvous;
pub mod schema;
pub mod settings;
