//! Signs manifests by ed25519, and says whether enough trusted operators signed one.

use std::collections::HashSet;

use ed25519_dalek::{Signer, Verifier, VerifyingKey};

pub use ed25519_dalek::SigningKey;

use crate::keyed::bundle::parts::Split;
use crate::keyed::bundle::{BundleError, SignedBundle};
use crate::schema::{KeyId, Signature, SignedManifest};

/// The keys that bundles may be signed with, and how many of them it takes.
#[derive(Clone, Debug, Default)]
pub struct TrustedKeys {
    /// Public keys by the operators' key names.
    pub keys: Vec<(KeyId, VerifyingKey)>,
    /// How many different keys must have signed.
    pub needed: usize,
}

/// Makes a new signing key from 32 random bytes.
#[must_use]
pub fn new_key() -> SigningKey {
    SigningKey::from_bytes(&rand::random())
}

/// Reads a signing key from hex.
#[must_use]
pub fn parse_signing_key(text: &str) -> Option<SigningKey> {
    let bytes: [u8; 32] = hex::decode(text.trim()).ok()?.try_into().ok()?;
    Some(SigningKey::from_bytes(&bytes))
}

/// A signing key's public half in hex, as settings name it.
#[must_use]
pub fn public_hex(key: &SigningKey) -> String {
    hex::encode(key.verifying_key().to_bytes())
}

/// Makes a bundle that no one has signed yet.
///
/// # Panics
///
/// Never: a manifest turns into JSON.
#[must_use]
pub fn unsigned(split: Split) -> SignedBundle {
    let manifest = serde_json::to_string(&split.manifest).expect("a manifest turns into JSON");
    SignedBundle {
        manifest: SignedManifest {
            manifest,
            signatures: Vec::new(),
        },
        parts: split.parts,
    }
}

/// Adds a signature; an earlier one by the same key is replaced.
pub fn sign(manifest: &mut SignedManifest, id: &KeyId, key: &SigningKey) {
    let signature = hex::encode(key.sign(manifest.manifest.as_bytes()).to_bytes());
    manifest.signatures.retain(|s| &s.key != id);
    manifest.signatures.push(Signature {
        key: id.clone(),
        signature,
    });
}

/// Checks that enough trusted keys have signed a manifest.
///
/// # Errors
///
/// Says how many valid signatures there are and how many it takes.
pub fn verify(manifest: &SignedManifest, trusted: &TrustedKeys) -> Result<(), BundleError> {
    let valid: HashSet<&KeyId> = manifest
        .signatures
        .iter()
        .filter(|s| is_valid(manifest, s, trusted))
        .map(|s| &s.key)
        .collect();
    if valid.len() >= trusted.needed.max(1) {
        return Ok(());
    }
    let found = format!("{} valid signatures", valid.len());
    let remedy = format!(
        "sign the bundle with {} of the keys in trusted_keys",
        trusted.needed.max(1)
    );
    Err(BundleError::new("signatures", &found, &remedy))
}

fn is_valid(manifest: &SignedManifest, signature: &Signature, trusted: &TrustedKeys) -> bool {
    let Some((_, key)) = trusted.keys.iter().find(|(id, _)| id == &signature.key) else {
        return false;
    };
    let Ok(bytes) = hex::decode(&signature.signature) else {
        return false;
    };
    let Ok(signature) = ed25519_dalek::Signature::from_slice(&bytes) else {
        return false;
    };
    key.verify(manifest.manifest.as_bytes(), &signature).is_ok()
}
