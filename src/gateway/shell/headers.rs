//! Which headers are passed on, and other plain reading of heads.

use gotham::hyper::header::{self, HeaderName};
use gotham::hyper::{HeaderMap, Uri};

/// Headers that are never passed on.
const CONNECTION_HEADERS: [&str; 9] = [
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

/// A header as text; one that is no visible ASCII counts as absent, since nothing here is decided
/// by such a one.
#[must_use]
pub fn text(headers: &HeaderMap, name: impl header::AsHeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// The headers of a head that concern more than its connection.
#[must_use]
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(headers);
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_listed = CONNECTION_HEADERS.contains(&name.as_str());
        if !is_listed && !named.contains(name) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// The headers that `Connection` names as its own.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|token| token.trim().parse().ok())
        .collect()
}

/// Path and query alone, byte for byte.
#[must_use]
pub fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .map_or_else(|| Uri::from_static("/"), |path| Uri::from(path.clone()))
}
