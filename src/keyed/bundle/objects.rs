//! The names of a bundle's objects in the platform.

/// The object that names the accepted bundle; its version only rises.
pub const POINTER: &str = "bundle/current";

/// The name of a manifest's object in the platform.
#[must_use]
pub fn manifest_name(hash: &str) -> String {
    format!("bundles/manifests/{hash}")
}

/// The name of a part's object in the platform.
#[must_use]
pub fn part_name(hash: &str) -> String {
    format!("bundles/parts/{hash}")
}
