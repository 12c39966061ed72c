//! Settings, bundles and the command line as operators use them.

use std::path::PathBuf;
use std::process::{Command, Output};

use magpiemoor::cli::config::SAMPLE;
use magpiemoor::keyed::bundle::check::parse;
use magpiemoor::keyed::bundle::parts::{join, split};
use magpiemoor::keyed::bundle::sign::{TrustedKeys, new_key, sign, unsigned, verify};
use magpiemoor::keyed::settings::{Settings, defaults, overlay};
use magpiemoor::schema::BundleSource;
use magpiemoor::settings::file;
use rstest::rstest;

const LUNDAVIK: &str = include_str!("../samples/lundavik.jsonc");
const SAHEL_RIDE: &str = include_str!("../samples/sahel-ride.jsonc");

fn magpiemoor(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_magpiemoor"))
        .args(args)
        .output()
        .unwrap()
}

/// A temporary directory, removed when dropped.
struct TempDir(PathBuf);

impl TempDir {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("magpiemoor-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).to_str().unwrap().to_owned()
    }

    fn write(&self, name: &str, content: &str) -> String {
        std::fs::write(self.path(name), content).unwrap();
        self.path(name)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn the_sample_settings_equal_the_defaults() {
    assert_eq!(file::parse(SAMPLE).unwrap(), defaults());
    assert!(Settings::try_from(defaults()).is_ok());
}

#[test]
fn the_command_line_overrides_the_file_and_the_file_overrides_the_defaults() {
    let written = file::parse("{ \"lease_ms\": 5000, \"log_level\": \"warn\" }").unwrap();
    let args = magpiemoor::keyed::command::command().get_matches_from([
        "magpiemoord",
        "--log-level",
        "error",
    ]);
    let settings = overlay(magpiemoor::keyed::command::overrides(&args), written);
    let settings = Settings::try_from(settings).unwrap();
    assert_eq!(settings.lease.as_millis(), 5_000);
    assert_eq!(settings.log_level, log::LevelFilter::Error);
    assert_eq!(settings.heartbeat.as_millis(), 200);
}

#[test]
fn all_settings_errors_are_reported_at_once() {
    let text =
        r#"{ "callers": "localhost", "lease_ms": 100, "recovery": "maybe", "domain": "north" }"#;
    let errors = file::parse(text).and_then(Settings::try_from).unwrap_err();
    let fields: Vec<&str> = errors.iter().map(|e| e.field.as_str()).collect();
    assert_eq!(fields, ["lease_ms", "domains", "callers", "recovery"]);
    assert!(errors.iter().all(|e| !e.remedy.is_empty()));
    let errors = file::parse(r#"{ "leese_ms": 1, "callers": 7 }"#).unwrap_err();
    assert_eq!(errors.len(), 2);
}

#[rstest]
#[case(LUNDAVIK, 3, 27)]
#[case(SAHEL_RIDE, 4, 28)]
fn the_sample_bundles_are_good(
    #[case] text: &str,
    #[case] domains: usize,
    #[case] endpoints: usize,
) {
    let source = parse(text).unwrap();
    let names: std::collections::HashSet<_> =
        source.endpoints.iter().map(|e| e.domain.clone()).collect();
    assert_eq!((names.len(), source.endpoints.len()), (domains, endpoints));
    assert_eq!(source.organisations.len(), 10);
}

#[rstest]
#[case::version("\"version\": 1,", "\"version\": 0,", "version")]
#[case::model("\"max_tokens\": 4096", "\"max_tokens\": 99999", "models.")]
#[case::address("127.0.0.1:9101", "somewhere", "endpoints.")]
#[case::weight("\"weight\": 40", "\"weight\": 0", "organisations.")]
#[case::twice("\"id\": \"till-points-2\"", "\"id\": \"till-points-1\"", "endpoints")]
#[case::weights("\"extra_second\": 1.0", "\"extra_second\": -1.0", "policy.weights")]
fn an_error_in_a_bundle_names_its_place(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] place: &str,
) {
    let text = LUNDAVIK.replacen(good, bad, 1);
    assert_ne!(text, LUNDAVIK);
    let errors = parse(&text).unwrap_err();
    assert!(
        errors
            .iter()
            .any(|e| e.place.starts_with(place) && !e.remedy.is_empty()),
        "{errors:?}"
    );
}

fn lundavik() -> BundleSource {
    parse(LUNDAVIK).unwrap()
}

#[test]
fn a_bundle_is_joined_from_its_parts() {
    let bundle = join(&unsigned(split(&lundavik()))).unwrap();
    assert_eq!(bundle.endpoints().count(), 27);
    assert_eq!(
        bundle
            .engines_for(&"statement-drafter".parse().unwrap())
            .len(),
        24
    );
}

#[test]
fn a_change_replaces_few_parts() {
    let mut source = lundavik();
    let base = source.organisations[0].clone();
    for n in 0..2_600 {
        let mut organisation = base.clone();
        organisation.id = format!("organisation-{n}").parse().unwrap();
        source.organisations.push(organisation);
    }
    let before = split(&source);
    source.version.0 += 1;
    source.organisations[7].weight += 1;
    let after = split(&source);
    let changed: Vec<&String> = after
        .parts
        .keys()
        .filter(|h| !before.parts.contains_key(*h))
        .collect();
    assert_eq!(changed.len(), 1, "of {}", after.parts.len());
    assert!(after.parts[changed[0]].len() < 20_000);
}

#[test]
fn an_altered_part_is_refused() {
    let mut signed = unsigned(split(&lundavik()));
    let hash = signed.parts.keys().next().unwrap().clone();
    signed.parts.get_mut(&hash).unwrap().push(' ');
    assert!(join(&signed).unwrap_err()[0].remedy.contains("altered"));
}

#[rstest]
#[case::none(0, false)]
#[case::too_few(1, false)]
#[case::enough(2, true)]
fn enough_trusted_keys_must_have_signed(#[case] count: usize, #[case] good: bool) {
    let keys = [new_key(), new_key()];
    let names = ["first", "second"];
    let trusted = TrustedKeys {
        keys: names
            .iter()
            .zip(&keys)
            .map(|(n, k)| (n.parse().unwrap(), k.verifying_key()))
            .collect(),
        needed: 2,
    };
    let mut manifest = unsigned(split(&lundavik())).manifest;
    sign(&mut manifest, &"stranger".parse().unwrap(), &new_key());
    sign(&mut manifest, &"first".parse().unwrap(), &new_key());
    for (name, key) in names.iter().zip(&keys).take(count) {
        sign(&mut manifest, &name.parse().unwrap(), key);
        sign(&mut manifest, &name.parse().unwrap(), key);
    }
    assert_eq!(verify(&manifest, &trusted).is_ok(), good);
    manifest.manifest.push(' ');
    assert!(verify(&manifest, &trusted).is_err());
}

#[test]
fn a_bundle_is_checked_and_signed_on_the_command_line() {
    let dir = TempDir::new();
    let source = dir.write("bundle.jsonc", LUNDAVIK);
    assert_eq!(
        magpiemoor(&["bundle", "check", &source]).status.code(),
        Some(0)
    );
    let key = dir.path("key");
    let public = magpiemoor(&["bundle", "keygen", "--out", &key]);
    assert_eq!(String::from_utf8(public.stdout).unwrap().trim().len(), 64);
    assert_eq!(
        magpiemoor(&["bundle", "keygen", "--out", &key])
            .status
            .code(),
        Some(1)
    );
    let out = dir.path("signed.json");
    let args = [
        "bundle", "sign", &source, "--key", &key, "--key-id", "ops", "--out", &out, "--json",
    ];
    let signed = magpiemoor(&args);
    assert_eq!(
        String::from_utf8(signed.stdout).unwrap().trim(),
        r#"{"signatures":1,"version":1}"#
    );
    let roll = [
        "bundle",
        "roll",
        &out,
        "--platform",
        "127.0.0.1:9",
        "--key-id",
        "ops",
    ];
    assert_eq!(magpiemoor(&roll).status.code(), Some(4));
}

#[test]
fn errors_have_their_exit_codes() {
    let dir = TempDir::new();
    let bad = dir.write("bad.jsonc", "{ \"lease_ms\": 1, \"callers\": \"x\" }");
    let checked = magpiemoor(&["config", "check", &bad]);
    assert_eq!(checked.status.code(), Some(2));
    assert_eq!(
        String::from_utf8(checked.stderr).unwrap().lines().count(),
        2
    );
    assert_eq!(
        magpiemoor(&["bundle", "check", "/no/such/file"])
            .status
            .code(),
        Some(1)
    );
    assert_eq!(
        magpiemoor(&["status", "--boxes", "127.0.0.1:9"])
            .status
            .code(),
        Some(4)
    );
    assert_eq!(magpiemoor(&["strange"]).status.code(), Some(2));
}

#[rstest]
#[case("bash")]
#[case("zsh")]
#[case("fish")]
fn completions_are_printed(#[case] shell: &str) {
    let printed = magpiemoor(&["completions", shell]);
    assert!(
        String::from_utf8(printed.stdout)
            .unwrap()
            .contains("timeline")
    );
}

#[test]
fn the_generated_code_is_up_to_date() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let committed = std::fs::read_to_string(root.join("src/schema/generated.rs")).unwrap();
    let is_same = magpiemoor_lab::r#gen::generate(&root).unwrap() == committed;
    assert!(
        is_same,
        "src/schema/generated.rs is out of date; run `magpiemoor-lab gen`"
    );
}
