//! Which arrivals from callers count as the same request.

use magpiemoor::schema::{Fingerprint, OrganisationId};
use rstest::rstest;

fn shop() -> OrganisationId {
    "shop".parse().unwrap()
}

#[test]
fn a_request_that_is_sent_again_has_the_same_fingerprint() {
    let first = Fingerprint::of_content("POST", "h.example", "/settle/4?x=1", b"statement");
    let again = Fingerprint::of_content("POST", "h.example", "/settle/4?x=1", b"statement");
    assert_eq!(
        first.for_organisation(Some(&shop())),
        again.for_organisation(Some(&shop()))
    );
}

#[rstest]
#[case::method("PUT", "h.example", "/settle/4", b"statement")]
#[case::host("POST", "i.example", "/settle/4", b"statement")]
#[case::path("POST", "h.example", "/settle/5", b"statement")]
#[case::query("POST", "h.example", "/settle/4?x=1", b"statement")]
#[case::body("POST", "h.example", "/settle/4", b"statements")]
#[case::where_the_parts_end("POST", "h.example", "/settle/4state", b"ment")]
fn another_request_has_another_fingerprint(
    #[case] method: &str,
    #[case] host: &str,
    #[case] target: &str,
    #[case] body: &[u8],
) {
    let known = Fingerprint::of_content("POST", "h.example", "/settle/4", b"statement");
    assert_ne!(Fingerprint::of_content(method, host, target, body), known);
}

#[test]
fn the_same_content_from_another_organisation_is_another_request() {
    let content = Fingerprint::of_content("GET", "h.example", "/balance", b"");
    let bakery: OrganisationId = "bakery".parse().unwrap();
    let asked = [
        content.for_organisation(Some(&shop())),
        content.for_organisation(Some(&bakery)),
        content.for_organisation(None),
    ];
    assert_ne!(asked[0], asked[1]);
    assert_ne!(asked[0], asked[2]);
}
