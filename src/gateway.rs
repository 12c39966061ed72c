//! The entry box on the users' machines: a request belongs to the box that reads it.
//!
//! [`dispatch`] decides, without input or output; [`shell`] moves bytes and carries out what was
//! decided; [`settings`] checks a box's settings file; [`explain`] and [`stream_report`] read the
//! decision logs afterwards. What differs between the outsides that a gateway can stand between is behind
//! [`shell::dialect::Dialect`]. The other form of an entry box is [`crate::keyed`].

pub mod dispatch;
pub mod explain;
pub mod placement_report;
pub mod rollout_report;
pub mod settings;
pub mod shell;
pub mod stream_report;
