//! Magpiemoor serves long model generations on engines that fail without warning.
//!
//! The crate is a library with thin programs. [`node`] holds every decision of an entry box as a
//! pure state machine; [`daemon`] is the shell around it that moves bytes; [`bundle`] and
//! [`settings`] turn what operators write into checked types; [`schema`] holds the types that
//! cross a process edge; [`cli`] is what operators run. [`dispatch`] decides for requests that belong
//! to the box that reads them, and [`gateway`] is the shell around that.

pub mod bundle;
pub mod cli;
pub mod clock;
pub mod daemon;
pub mod digest;
pub mod dispatch;
pub mod explain;
pub mod gateway;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod rendezvous;
pub mod schema;
pub mod settings;
pub mod timeline;
