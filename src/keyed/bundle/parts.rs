//! Splits a bundle into parts stored by content hash, and puts it together again.
//!
//! Organisations and endpoints are spread over shards by hashing their ids, so that a change to
//! one of them moves one small part whatever the size of the fleet.

use std::collections::BTreeMap;

use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};

use crate::keyed::bundle::check::check;
use crate::keyed::bundle::{Bundle, BundleError, SignedBundle};
use crate::rendezvous;
use crate::schema::{BundleSource, Manifest, PartHash, PartKind, PartRef, Policy};

/// How many entries a shard holds on average.
const ENTRIES_PER_SHARD: usize = 48;

/// A manifest and its parts' texts by hash, not yet signed.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// The manifest.
    pub manifest: Manifest,
    /// The texts of the parts by their hash.
    pub parts: BTreeMap<String, String>,
}

/// Returns the SHA-256 of a text in hex.
///
/// # Panics
///
/// Never: a digest in hex is a valid hash.
#[must_use]
pub fn content_hash(text: &str) -> PartHash {
    let hex = hex::encode(Sha256::digest(text.as_bytes()));
    hex.parse().expect("64 hex digits are a hash")
}

/// Splits a source into parts.
#[must_use]
pub fn split(source: &BundleSource) -> Split {
    let mut parts = Parts::default();
    parts.add(PartKind::Models, &source.models);
    parts.add(PartKind::Services, &source.services);
    parts.add(PartKind::Policy, &source.policy);
    for shard in shards(&source.organisations, |o| &o.id) {
        parts.add(PartKind::Organisations, &shard);
    }
    for shard in shards(&source.endpoints, |e| &e.id) {
        parts.add(PartKind::Endpoints, &shard);
    }
    Split {
        manifest: Manifest {
            version: source.version,
            parts: parts.refs,
        },
        parts: parts.texts,
    }
}

#[derive(Default)]
struct Parts {
    refs: Vec<PartRef>,
    texts: BTreeMap<String, String>,
}

impl Parts {
    fn add<T: Serialize>(&mut self, kind: PartKind, content: &T) {
        let text = serde_json::to_string(content).expect("bundle types turn into JSON");
        let hash = content_hash(&text);
        self.refs.push(PartRef {
            kind,
            hash: hash.clone(),
            bytes: u32::try_from(text.len()).unwrap_or(u32::MAX),
        });
        self.texts.insert(hash.to_string(), text);
    }
}

/// Spreads entries over shards; the number of shards is a power of two, so that it changes rarely.
fn shards<T: Clone>(entries: &[T], id: impl Fn(&T) -> &str) -> Vec<Vec<T>> {
    let count = entries
        .len()
        .div_ceil(ENTRIES_PER_SHARD)
        .max(1)
        .next_power_of_two();
    let mut shards = vec![Vec::new(); count];
    for entry in entries {
        let place = rendezvous::item(id(entry)) as usize % count;
        shards[place].push(entry.clone());
    }
    shards.retain(|s| !s.is_empty());
    shards
}

/// Puts a bundle together from its manifest and parts.
///
/// # Errors
///
/// Names a part that is missing, altered or not readable, or all that the check finds.
pub fn join(signed: &SignedBundle) -> Result<Bundle, Vec<BundleError>> {
    let text = &signed.manifest.manifest;
    let manifest: Manifest = parse("manifest", text).map_err(|e| vec![e])?;
    let mut source = BundleSource {
        version: manifest.version,
        models: Vec::new(),
        services: Vec::new(),
        organisations: Vec::new(),
        endpoints: Vec::new(),
        policy: EMPTY_POLICY,
    };
    for part in &manifest.parts {
        add_part(&mut source, part, signed).map_err(|e| vec![e])?;
    }
    let errors = check(&source);
    if !errors.is_empty() {
        return Err(errors);
    }
    Ok(Bundle::index(source, content_hash(text)))
}

/// Stands in until the policy part has been read; the check refuses it if none comes.
const EMPTY_POLICY: Policy = Policy {
    weights: crate::schema::Weights {
        resume_second: 0.0,
        extra_second: 0.0,
    },
    retry_horizon: crate::schema::Millis(0),
    retry_percent: 0,
    queue_limit: 0,
};

fn add_part(
    source: &mut BundleSource,
    part: &PartRef,
    signed: &SignedBundle,
) -> Result<(), BundleError> {
    let hash = part.hash.as_str();
    let text = signed.parts.get(hash).ok_or_else(|| {
        BundleError::new("parts", hash, "the part is missing; roll the bundle again")
    })?;
    if content_hash(text) != part.hash {
        let remedy = "the part was altered; sign and roll the bundle again";
        return Err(BundleError::new("parts", hash, remedy));
    }
    match part.kind {
        PartKind::Models => source.models.extend(parse::<Vec<_>>(hash, text)?),
        PartKind::Services => source.services.extend(parse::<Vec<_>>(hash, text)?),
        PartKind::Organisations => source.organisations.extend(parse::<Vec<_>>(hash, text)?),
        PartKind::Endpoints => source.endpoints.extend(parse::<Vec<_>>(hash, text)?),
        PartKind::Policy => source.policy = parse(hash, text)?,
    }
    Ok(())
}

fn parse<T: DeserializeOwned>(place: &str, text: &str) -> Result<T, BundleError> {
    serde_json::from_str(text)
        .map_err(|e| BundleError::new(place, "", &format!("{e}; sign and roll the bundle again")))
}
