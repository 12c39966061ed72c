//! Helpers for HTTP heads: selects the headers that are forwarded, and reads headers and URIs.

use gotham::hyper::header::{self, HeaderName};
use gotham::hyper::{HeaderMap, Uri};

/// Headers that concern only one connection and are never forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns a header's value as text. A value that is not visible ASCII counts as absent, because no
/// decision depends on such a value.
#[must_use]
pub fn text(headers: &HeaderMap, name: impl header::AsHeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the headers that are forwarded: all but [`HOP_BY_HOP_HEADERS`] and those named by
/// `Connection`.
#[must_use]
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_listed = HOP_BY_HOP_HEADERS.contains(&name.as_str());
        if !is_listed && !named.contains(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns the header names that `Connection` lists.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|token| token.trim().parse().ok())
        .collect()
}

/// Returns path and query of a URI, unchanged byte for byte; `/` if it has none.
#[must_use]
pub fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .map_or_else(|| Uri::from_static("/"), |path| Uri::from(path.clone()))
}
