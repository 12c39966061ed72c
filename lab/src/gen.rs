//! Generates `src/schema/generated.rs` from the JSON Schemas in `schema/`.
//!
//! The output is committed, so a build needs no generator; a test compares the two.

use std::path::Path;

use schemars::schema::{RootSchema, Schema};
use typify::{TypeSpace, TypeSpacePatch, TypeSpaceSettings};

/// The schema files, in the order in which their types are generated.
const SCHEMAS: [&str; 5] = ["ids", "messages", "bundle", "settings", "gateway"];

/// Types that are plain numbers and so can be copied, compared and hashed.
const COPYABLE: [&str; 22] = [
    "RelayReply",
    "SlotReturnReason",
    "StreamKey",
    "Incarnation",
    "StartTime",
    "Fingerprint",
    "RolloutPhase",
    "Epoch",
    "Generation",
    "Attempt",
    "TokenOffset",
    "AnswerDigest",
    "BundleVersion",
    "SliceId",
    "Millis",
    "Micros",
    "HybridTime",
    "Cursor",
    "Priority",
    "Ran",
    "Reason",
    "Finish",
];

/// Types that name something and so can be compared and hashed.
const COMPARABLE: [&str; 1] = ["EndpointIncarnation"];

/// Types that have an empty value.
const WITH_DEFAULT: [&str; 2] = ["AnswerTimes", "CrashUpdate"];

const HEADER: &str =
    "// Generated from schema/*.schema.json by `magpiemoor-lab gen`; do not edit.\n\n";

/// Returns the generated code for the schemas below `root`.
///
/// # Errors
///
/// Says which schema file could not be read or turned into code.
pub fn generate(root: &Path) -> Result<String, String> {
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    for number in COPYABLE {
        let mut patch = TypeSpacePatch::default();
        for derive in ["Copy", "Eq", "Ord", "PartialOrd", "Hash"] {
            patch.with_derive(derive);
        }
        settings.with_patch(number, &patch);
    }
    for name in COMPARABLE {
        let mut patch = TypeSpacePatch::default();
        for derive in ["Eq", "Ord", "PartialOrd", "Hash"] {
            patch.with_derive(derive);
        }
        settings.with_patch(name, &patch);
    }
    for name in WITH_DEFAULT {
        let mut patch = TypeSpacePatch::default();
        patch.with_derive("Default");
        settings.with_patch(name, &patch);
    }
    let mut space = TypeSpace::new(&settings);
    let mut definitions: Vec<(String, Schema)> = Vec::new();
    for name in SCHEMAS {
        let path = root.join(format!("schema/{name}.schema.json"));
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let schema: RootSchema =
            serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        definitions.extend(schema.definitions);
    }
    space
        .add_ref_types(definitions)
        .map_err(|e| e.to_string())?;
    let file = syn::parse2::<syn::File>(space.to_stream()).map_err(|e| e.to_string())?;
    Ok(format!("{HEADER}{}", prettyplease::unparse(&file)))
}
