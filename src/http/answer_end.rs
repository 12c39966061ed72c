//! How the end of a peer's answer is known.
//!
//! An answer has a length, or comes in chunks of which the last one is marked, or lasts until its
//! connection closes. In the last case a whole answer can't be told from one that the peer left off,
//! so whoever passes it on must not claim that it is whole.

use gotham::hyper::http::response;
use gotham::hyper::{HeaderMap, Method, StatusCode, header};

/// How the end of an answer is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerEnd {
    /// By its length or its last chunk, or since its kind has no body.
    Stated,
    /// By the end of its connection.
    Connection,
}

/// An answer that states its end in two ways, which may differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConflictingEnds;

impl AnswerEnd {
    /// Returns how the end of an answer to a request with this method is known.
    ///
    /// # Errors
    ///
    /// If the head has both a length and chunks.
    pub fn of(method: &Method, head: &response::Parts) -> Result<Self, ConflictingEnds> {
        let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
        if has_length && head.headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(ConflictingEnds);
        }
        let is_stated = has_length || is_chunked(&head.headers) || has_no_body(method, head.status);
        Ok(if is_stated {
            Self::Stated
        } else {
            Self::Connection
        })
    }
}

/// Whether the last encoding of a body is that in chunks.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let last = encodings.next_back().and_then(|value| value.to_str().ok());
    let last = last.and_then(|value| value.rsplit(',').next());
    last.is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"))
}

fn has_no_body(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}
