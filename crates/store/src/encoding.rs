//! The encoding of rows: postcard, and zstd for those that it makes smaller.
//!
//! The first byte of a row tells whether the rest is compressed.

use crate::error::RecordError;
use serde::Serialize;
use serde::de::DeserializeOwned;

const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// The fastest level of zstd: rows are small, and each is compressed once.
const COMPRESSION_LEVEL: i32 = 1;
/// Shorter rows are stored as they are, in bytes.
const MIN_COMPRESSED_ROW: usize = 256;
/// The limit of a decompressed row, in bytes, which bounds what a damaged file allocates.
const MAX_DECOMPRESSED_ROW: usize = 16 << 20;

/// A value as a row.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, RecordError> {
    compress(&postcard::to_stdvec(value)?)
}

/// The value in a row.
pub(crate) fn decode<T: DeserializeOwned>(row: &[u8]) -> Result<T, RecordError> {
    Ok(postcard::from_bytes(&decompress(row)?)?)
}

/// Bytes as a row.
pub(crate) fn compress(bytes: &[u8]) -> Result<Vec<u8>, RecordError> {
    if bytes.len() < MIN_COMPRESSED_ROW {
        return Ok(tagged(PLAIN, bytes));
    }
    let compressed = zstd::bulk::compress(bytes, COMPRESSION_LEVEL)?;
    if compressed.len() < bytes.len() {
        Ok(tagged(COMPRESSED, &compressed))
    } else {
        Ok(tagged(PLAIN, bytes))
    }
}

/// The bytes in a row.
pub(crate) fn decompress(row: &[u8]) -> Result<Vec<u8>, RecordError> {
    match row.split_first() {
        Some((&PLAIN, bytes)) => Ok(bytes.to_vec()),
        Some((&COMPRESSED, bytes)) => Ok(zstd::bulk::decompress(bytes, MAX_DECOMPRESSED_ROW)?),
        _ => Err(RecordError::UnknownRowTag),
    }
}

fn tagged(tag: u8, bytes: &[u8]) -> Vec<u8> {
    [&[tag], bytes].concat()
}
