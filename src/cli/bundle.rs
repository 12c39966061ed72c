//! `magpiemoor bundle`: checks, signs and rolls out bundles, and shows which bundle is accepted.

use std::path::Path;
use std::time::Duration;

use clap::ArgMatches;
use serde_json::json;

use crate::cli::observe::{addresses, fetch_status};
use crate::cli::platform::{Platform, WriteOutcome};
use crate::cli::{CliError, Output, block_on};
use crate::http::Client;
use crate::keyed::bundle::check::parse;
use crate::keyed::bundle::objects::{POINTER, manifest_name, part_name};
use crate::keyed::bundle::parts::{content_hash, join, split};
use crate::keyed::bundle::sign::{new_key, parse_signing_key, public_hex, sign, unsigned};
use crate::keyed::bundle::{BundleError, SignedBundle};
use crate::keyed::node::action::Expect;
use crate::schema::{BundleMark, BundlePointer, KeyId, Manifest};

/// Maximum number of attempts to make the pointer name another bundle.
const ROLL_ATTEMPTS: u32 = 20;
/// The delay between two such attempts.
const ROLL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Runs a `bundle` subcommand.
///
/// # Errors
///
/// Fails with the error of the subcommand.
pub fn run(matches: &ArgMatches) -> Result<Output, CliError> {
    match matches.subcommand() {
        Some(("check", sub)) => check(sub),
        Some(("keygen", sub)) => keygen(sub),
        Some(("sign", sub)) => sign_file(sub),
        Some(("roll", sub)) => block_on(roll(sub)),
        Some(("status", sub)) => block_on(status(sub)),
        _ => Err(CliError::Invalid(vec![
            "unknown command; see `magpiemoor bundle --help`".to_owned(),
        ])),
    }
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn read(path: &str) -> Result<String, CliError> {
    std::fs::read_to_string(path)
        .map_err(|e| CliError::File(format!("{path}: {e}; pass the path of a readable file")))
}

fn write(path: &str, content: &str) -> Result<(), CliError> {
    std::fs::write(path, content)
        .map_err(|e| CliError::File(format!("{path}: {e}; pass the path of a writable file")))
}

fn invalid(errors: &[BundleError]) -> CliError {
    CliError::Invalid(errors.iter().map(ToString::to_string).collect())
}

fn check(matches: &ArgMatches) -> Result<Output, CliError> {
    let source = parse(&read(text(matches, "source"))?).map_err(|e| invalid(&e))?;
    let parts = split(&source).manifest.parts.len();
    let line = format!(
        "bundle {} is valid: {} models, {} organisations, {} endpoints, {parts} parts",
        source.version,
        source.models.len(),
        source.organisations.len(),
        source.endpoints.len()
    );
    Ok(Output::new(
        line,
        json!({ "version": source.version, "parts": parts }),
    ))
}

fn keygen(matches: &ArgMatches) -> Result<Output, CliError> {
    let path = text(matches, "out");
    if Path::new(path).exists() {
        return Err(CliError::File(format!(
            "{path} exists and a key file is never overwritten; pass the path of a new file"
        )));
    }
    let key = new_key();
    write(path, &hex::encode(key.to_bytes()))?;
    let public = public_hex(&key);
    Ok(Output::new(public.clone(), json!({ "public": public })))
}

fn sign_file(matches: &ArgMatches) -> Result<Output, CliError> {
    let content = read(text(matches, "source"))?;
    let mut signed = match serde_json::from_str::<SignedBundle>(&content) {
        Ok(signed) => signed,
        Err(_) => unsigned(split(&parse(&content).map_err(|e| invalid(&e))?)),
    };
    let bundle = join(&signed).map_err(|e| invalid(&e))?;
    let id = key_id(matches)?;
    let key = parse_signing_key(&read(text(matches, "key"))?).ok_or_else(|| {
        CliError::Invalid(vec![
            "the key file must contain 64 hex digits, as written by `bundle keygen`".to_owned(),
        ])
    })?;
    sign(&mut signed.manifest, &id, &key);
    let out = text(matches, "out");
    write(
        out,
        &serde_json::to_string_pretty(&signed).unwrap_or_default(),
    )?;
    let count = signed.manifest.signatures.len();
    let line = format!(
        "bundle {} has {count} signatures in {out}",
        bundle.version()
    );
    Ok(Output::new(
        line,
        json!({ "version": bundle.version(), "signatures": count }),
    ))
}

fn key_id(matches: &ArgMatches) -> Result<KeyId, CliError> {
    text(matches, "key-id")
        .parse()
        .map_err(|e| CliError::Invalid(vec![format!("--key-id: {e}; pass a valid key name")]))
}

async fn roll(matches: &ArgMatches) -> Result<Output, CliError> {
    let content = read(text(matches, "signed"))?;
    let signed: SignedBundle = serde_json::from_str(&content).map_err(|e| {
        CliError::Invalid(vec![format!(
            "not a signed bundle: {e}; run `bundle sign` first"
        )])
    })?;
    join(&signed).map_err(|e| invalid(&e))?;
    let platform = Platform::new(text(matches, "platform"));
    let bundle = roll_signed(&platform, &signed, &key_id(matches)?).await?;
    let line = format!("bundle {} is accepted", bundle.version);
    Ok(Output::new(
        line,
        json!({ "version": bundle.version, "hash": bundle.hash }),
    ))
}

/// Stores the parts and the manifest of a signed bundle, then writes a pointer that names this
/// bundle. The bundle that the pointer names is the accepted one.
///
/// # Errors
///
/// Fails with a conflict if the accepted version is the same or greater. Also fails if the manifest
/// or the stored pointer can't be read, or if the platform can't be reached.
pub async fn roll_signed(
    platform: &Platform,
    signed: &SignedBundle,
    key: &KeyId,
) -> Result<BundleMark, CliError> {
    let manifest: Manifest = serde_json::from_str(&signed.manifest.manifest)
        .map_err(|e| CliError::Invalid(vec![e.to_string()]))?;
    for (hash, body) in &signed.parts {
        platform.put_content(&part_name(hash), body).await?;
    }
    let hash = content_hash(&signed.manifest.manifest);
    let text = serde_json::to_string(&signed.manifest).unwrap_or_default();
    platform.put_content(&manifest_name(&hash), &text).await?;
    let pointer = BundlePointer {
        bundle: BundleMark {
            version: manifest.version,
            hash,
        },
        mark: format!("{:032x}", rand::random::<u128>()),
        rolled_by: key.clone(),
    };
    write_pointer(platform, &pointer).await?;
    Ok(pointer.bundle)
}

/// Writes the pointer. Each attempt first reads the stored pointer: if that has the random mark of
/// `pointer`, an earlier write succeeded although its answer was lost.
async fn write_pointer(platform: &Platform, pointer: &BundlePointer) -> Result<(), CliError> {
    let value = serde_json::to_string(pointer).unwrap_or_default();
    for _ in 0..ROLL_ATTEMPTS {
        let present = platform.get(POINTER).await?;
        let expect = match &present {
            None => Expect::Absent,
            Some((version, text)) => {
                let current: BundlePointer = serde_json::from_str(text).map_err(|e| {
                    CliError::Invalid(vec![format!("{POINTER} can't be read: {e}")])
                })?;
                if current.mark == pointer.mark {
                    return Ok(());
                }
                check_version_increases(&current, pointer)?;
                Expect::Version(*version)
            }
        };
        if platform.put(POINTER, expect, &value).await == WriteOutcome::Written {
            return Ok(());
        }
        tokio::time::sleep(ROLL_RETRY_DELAY).await;
    }
    Err(CliError::Unreachable(
        "the platform accepted no write of the bundle pointer; try again when the platform is available"
            .to_owned(),
    ))
}

fn check_version_increases(
    current: &BundlePointer,
    pointer: &BundlePointer,
) -> Result<(), CliError> {
    if current.bundle.version < pointer.bundle.version {
        return Ok(());
    }
    Err(CliError::Conflict(format!(
        "bundle {} is already accepted, rolled out by {}; give this bundle a greater version, sign it and roll it out again",
        current.bundle.version, current.rolled_by
    )))
}

async fn status(matches: &ArgMatches) -> Result<Output, CliError> {
    let platform = Platform::new(text(matches, "platform"));
    let accepted: Option<BundlePointer> = platform
        .get(POINTER)
        .await?
        .and_then(|(_, text)| serde_json::from_str(&text).ok());
    let mut lines = vec![match &accepted {
        Some(pointer) => format!(
            "accepted: {} (rolled out by {})",
            pointer.bundle.version, pointer.rolled_by
        ),
        None => "accepted: none; roll one out with `magpiemoor bundle roll`".to_owned(),
    }];
    let client = Client::default();
    let mut boxes = Vec::new();
    for address in addresses(matches) {
        let status = fetch_status(&client, &address)
            .await
            .ok()
            .map(|s| (s.box_id, s.bundle));
        let (name, version) = status.unwrap_or_else(|| (address.clone(), None));
        lines.push(format!(
            "{name}: {}",
            version.map_or("none".to_owned(), |v| v.to_string())
        ));
        boxes.push(json!({ "box": name, "version": version }));
    }
    Ok(Output::new(
        lines.join("\n"),
        json!({ "accepted": accepted, "boxes": boxes }),
    ))
}
