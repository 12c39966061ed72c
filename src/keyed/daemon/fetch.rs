//! Fetches bundles from the platform and checks them, wherever they come from.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gotham::hyper::StatusCode;

use crate::keyed::bundle::objects::{manifest_name, part_name};
use crate::keyed::bundle::parts::{content_hash, join};
use crate::keyed::bundle::sign::verify;
use crate::keyed::bundle::{Bundle, SignedBundle};
use crate::keyed::daemon::Shared;
use crate::keyed::daemon::input::Input;
use crate::keyed::node::action::PlatformOp;
use crate::keyed::node::event::Event;
use crate::schema::{BundleMark, Manifest, SignedManifest};

/// How long one part may take.
const PART_LIMIT: Duration = Duration::from_secs(2);

/// The parts of the bundle that was fetched last, which the next one mostly shares.
pub type PartCache = Arc<Mutex<BTreeMap<String, String>>>;

/// Fetches and checks a bundle and tells the control thread what came of it.
pub async fn fetch(
    mark: BundleMark,
    from_peer: Option<Arc<SignedBundle>>,
    cache: PartCache,
    shared: Shared,
) {
    let fetched = match from_peer {
        Some(signed) => Ok(SignedBundle::clone(&signed)),
        None => from_platform(&mark, &cache, &shared).await,
    };
    let checked = fetched.and_then(|signed| check(&mark, signed, &shared));
    let event = match checked {
        Ok((bundle, signed)) => {
            *cache
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner) = signed.parts.clone();
            Event::Bundle {
                bundle: Arc::new(bundle),
                signed: Arc::new(signed),
            }
        }
        Err(reason) => Event::BundleFailed {
            version: mark.version,
            reason,
        },
    };
    shared.tell(Input::Event(event)).await;
}

async fn get(name: &str, shared: &Shared) -> Result<String, String> {
    let op = PlatformOp::Get {
        name: name.to_owned(),
        known: None,
    };
    let answer = shared
        .platform
        .send(&op, PART_LIMIT)
        .await
        .map_err(|e| format!("{name}: {e}"))?;
    shared
        .metrics
        .platform_bytes_in
        .inc_by(answer.body.len() as u64);
    if answer.status != StatusCode::OK {
        return Err(format!(
            "{name}: status {}; roll the bundle again",
            answer.status
        ));
    }
    Ok(answer.text())
}

async fn from_platform(
    mark: &BundleMark,
    cache: &PartCache,
    shared: &Shared,
) -> Result<SignedBundle, String> {
    let text = get(&manifest_name(mark.hash.as_str()), shared).await?;
    let manifest: SignedManifest = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    let named: Manifest = serde_json::from_str(&manifest.manifest).map_err(|e| e.to_string())?;
    let known = cache
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .clone();
    let mut parts = BTreeMap::new();
    for part in named.parts {
        let hash = part.hash.to_string();
        let body = match known.get(&hash) {
            Some(body) => body.clone(),
            None => get(&part_name(&hash), shared).await?,
        };
        parts.insert(hash, body);
    }
    Ok(SignedBundle { manifest, parts })
}

/// Checks signatures, hashes and content; drops parts that the manifest doesn't name.
fn check(
    mark: &BundleMark,
    mut signed: SignedBundle,
    shared: &Shared,
) -> Result<(Bundle, SignedBundle), String> {
    verify(&signed.manifest, &shared.settings.trusted).map_err(|e| e.to_string())?;
    if content_hash(&signed.manifest.manifest) != mark.hash {
        return Err("the manifest is not the one that was named; roll the bundle again".to_owned());
    }
    let manifest: Manifest =
        serde_json::from_str(&signed.manifest.manifest).map_err(|e| e.to_string())?;
    if manifest.version != mark.version {
        return Err(
            "the manifest has another version than was named; roll the bundle again".to_owned(),
        );
    }
    signed
        .parts
        .retain(|hash, _| manifest.parts.iter().any(|p| p.hash.as_str() == hash));
    let bundle = join(&signed).map_err(|errors| {
        let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
        texts.join("; ")
    })?;
    Ok((bundle, signed))
}
