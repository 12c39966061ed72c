//! The product's own face: requests are known by a key that names or hashes to a failure domain, so
//! a caller can come back to any box.
//!
//! [`node`] decides, without input or output; [`daemon`] is the shell around it; [`bundle`] and
//! [`settings`] turn what operators write into checked types; [`object_api`] is the way to the
//! platform's objects; [`timeline`] keeps the events of a process. The users' machines run the
//! other form, [`crate::gateway`].

pub mod bundle;
pub mod command;
pub mod daemon;
pub mod digest;
pub mod node;
pub mod object_api;
pub mod settings;
pub mod timeline;
