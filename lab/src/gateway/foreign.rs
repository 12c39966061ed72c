//! Entries of the list of servers that another writer made: each names no server to use.

use serde_json::{Value, json};

/// A sound entry, as a server makes it.
#[must_use]
pub fn sound_entry(name: &str, address: &str, revision: u64) -> Value {
    json!({
        "metadata": {"name": name, "revision": revision, "made": revision, "finalizers": [], "deleting": false},
        "spec": {
            "service": "models", "address": address, "zone": "north", "version": "v1", "slots": 8,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1_700_000_000_000_u64,
        },
        "status": null,
    })
}

/// Objects under a name, each with one fault; the address may be that of a server that lives.
#[must_use]
pub fn foreign_entries(name: &str, address: &str, revision: u64) -> Vec<Vec<u8>> {
    let sound = sound_entry(name, address, revision);
    let with = |place: &str, value: Value| {
        let mut entry = sound.clone();
        if let Some(found) = entry.pointer_mut(place) {
            *found = value;
        }
        entry.to_string().into_bytes()
    };
    let without = |field: &str| {
        let mut entry = sound.clone();
        if let Some(spec) = entry["spec"].as_object_mut() {
            spec.remove(field);
        }
        entry.to_string().into_bytes()
    };
    let mut entries = vec![
        with("/metadata/name", json!(7)),
        with("/metadata/deleting", json!("no")),
        with("/metadata", json!(null)),
        with("/spec", json!("text")),
        with("/spec/service", json!("nobody-knows-it")),
        with("/spec/address", json!("nowhere")),
        with("/spec/address", json!("127.0.0.1:0")),
        with("/spec/zone", json!(["north"])),
        with("/spec/slots", json!(-1)),
        with("/spec/slots", json!(1e300)),
        with("/spec/state", json!("dreaming")),
        with("/spec/born", json!("yesterday")),
        with("/spec/sequence", json!({})),
    ];
    let fields = [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "coldRemainingMs",
        "sequence",
    ];
    entries.extend(fields.map(without));
    let text = sound.to_string();
    // A byte that is no UTF-8, one that JSON does not allow, and no object at all.
    entries.push(replace_byte(&text, "north", 0xff));
    entries.push(replace_byte(&text, "north", 0x01));
    entries.push(b"null".to_vec());
    entries
}

/// How deep odd values are nested.
const DEEP: usize = 100_000;
/// Length of a long odd value, in bytes: almost as much as an object of the store may have.
const LONG: usize = 1_000_000;
/// Digits of an odd number.
const DIGITS: usize = 400;
/// Where the odd value of an entry stands.
const ODD_PLACES: [&str; 17] = [
    "/metadata/name",
    "/metadata/revision",
    "/metadata/made",
    "/metadata/finalizers",
    "/metadata/deleting",
    "/metadata",
    "/spec",
    "/spec/service",
    "/spec/address",
    "/spec/zone",
    "/spec/version",
    "/spec/slots",
    "/spec/state",
    "/spec/coldRemainingMs",
    "/spec/sequence",
    "/spec/born",
    "/status",
];
/// Values that no server writes, as JSON.
const ODD_VALUES: [&str; 18] = [
    "null",
    "true",
    "[]",
    "{}",
    "-1",
    "0",
    "1.5",
    "1e300",
    "1e400",
    "4294967295",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "1.8e22",
    r#""127.0.0.1:65536""#,
    r#""127.0.0.1:-1""#,
    r#""127.0.0.1:99999999999999999999""#,
    r#""127.0.0.1:8e3""#,
];

/// Values that no server writes and that are built.
#[derive(Clone, Copy)]
enum BuiltValue {
    NestedArrays,
    NestedObjects,
    Digits,
    Long,
}

const BUILT_VALUES: [BuiltValue; 4] = [
    BuiltValue::NestedArrays,
    BuiltValue::NestedObjects,
    BuiltValue::Digits,
    BuiltValue::Long,
];

impl BuiltValue {
    fn text(self) -> String {
        match self {
            Self::NestedArrays => format!("{}{}", "[".repeat(DEEP), "]".repeat(DEEP)),
            Self::NestedObjects => {
                format!("{}1{}", r#"{"a":"#.repeat(DEEP), "}".repeat(DEEP))
            }
            Self::Digits => "9".repeat(DIGITS),
            Self::Long => format!("\"{}\"", "y".repeat(LONG)),
        }
    }
}

/// How many odd entries there are.
pub const ODD_ENTRIES: usize = ODD_PLACES.len() * (ODD_VALUES.len() + BUILT_VALUES.len());

/// The object of a number under a name, with a value that no server writes: a nested or long one or a
/// number too large among them. It may still name a server that can be used.
#[must_use]
pub fn odd_entry(number: usize, name: &str, address: &str, revision: u64) -> Vec<u8> {
    let place = ODD_PLACES[number % ODD_PLACES.len()];
    let value = number / ODD_PLACES.len();
    let value = match ODD_VALUES.get(value) {
        Some(value) => (*value).to_owned(),
        None => BUILT_VALUES[value - ODD_VALUES.len()].text(),
    };
    let mut entry = sound_entry(name, address, revision);
    if let Some(found) = entry.pointer_mut(place) {
        *found = json!("ODD");
    }
    let text = entry.to_string().replacen("\"ODD\"", &value, 1);
    text.into_bytes()
}

/// The text with the first byte of a word replaced.
fn replace_byte(text: &str, word: &str, byte: u8) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    if let Some(at) = text.find(word) {
        bytes[at] = byte;
    }
    bytes
}
