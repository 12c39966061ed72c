//! The laboratory of magpiemoor: stand-ins for the systems outside, demonstrations, a soak, and
//! what the users' bench doesn't measure. It is never shipped.
//!
//! Unlike the product's processes, the laboratory starts others: demonstrations, soak and
//! measurements run real boxes as processes of their own. [`gateway`] stands around the form of an
//! entry box that the users' machines run, [`keyed`] around the product's own face.

pub mod gateway;
pub mod r#gen;
pub mod journal;
pub mod keyed;
pub mod ports;
pub mod process;
