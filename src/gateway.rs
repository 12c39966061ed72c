//! The gateway: the entry box on the users' machines. Each request is handled by the box that reads it.
//!
//! - [`dispatch`] makes all decisions; it does no I/O.
//! - [`shell`] does the I/O and carries out the decisions. Differences between the protocols and
//!   platforms that a gateway serves are confined to [`shell::dialect::Dialect`].
//! - [`settings`] reads and checks the settings file of a box.
//! - [`explain`], [`check_report`], [`placement_report`], [`rollout_report`] and [`stream_report`]
//!   analyse the decision logs of boxes offline.
//!
//! [`crate::keyed`] is the other form of an entry box.

pub mod check_report;
pub mod dispatch;
pub mod explain;
pub mod placement_report;
pub mod rollout_report;
pub mod settings;
pub mod shell;
pub mod stream_report;
