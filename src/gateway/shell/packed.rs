//! Text compressed with deflate, as boxes send it to each other.
//!
//! The box that reads a configuration from the store packs it once; the others pass on the bytes
//! that they received. 1,400 routes are 0.27 MB of text, which takes 0.21 s at 10 Mbit/s.

use std::io::{Error, ErrorKind, Read, Result};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};

/// Maximum length of a text that is packed or unpacked, in bytes: 16 times the size limit of an
/// object in the users' store.
const MAX_TEXT_BYTES: usize = 16 << 20;

/// A text compressed with deflate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PackedText {
    /// Length of the unpacked text, in bytes.
    pub text_bytes: u32,
    /// The compressed bytes.
    pub bytes: Arc<[u8]>,
}

impl PackedText {
    /// Compresses a text.
    ///
    /// # Errors
    ///
    /// If it is longer than 16 MiB.
    pub fn pack(text: &str) -> Result<Self> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(too_long());
        }
        let mut bytes = Vec::new();
        DeflateEncoder::new(text.as_bytes(), Compression::fast()).read_to_end(&mut bytes)?;
        Ok(Self {
            text_bytes: text.len() as u32,
            bytes: bytes.into(),
        })
    }

    /// Decompresses the text.
    ///
    /// # Errors
    ///
    /// If the bytes aren't a compressed text of length `text_bytes`, or that exceeds 16 MiB.
    pub fn unpack(&self) -> Result<String> {
        let length = self.text_bytes as usize;
        if length > MAX_TEXT_BYTES {
            return Err(too_long());
        }
        let mut text = String::with_capacity(length);
        let decoder = DeflateDecoder::new(&*self.bytes);
        decoder.take(length as u64 + 1).read_to_string(&mut text)?;
        if text.len() != length {
            return Err(Error::new(
                ErrorKind::InvalidData,
                "the unpacked text doesn't have the stated length",
            ));
        }
        Ok(text)
    }
}

fn too_long() -> Error {
    Error::new(ErrorKind::InvalidData, "the text is longer than 16 MiB")
}
