//! The encoding of rows: postcard, compressed with zstd if that makes the row smaller.
//!
//! The first byte of a row is a tag that tells whether the rest is compressed.

use crate::error::RecordError;
use serde::Serialize;
use serde::de::DeserializeOwned;

const TAG_UNCOMPRESSED: u8 = 0;
const TAG_COMPRESSED: u8 = 1;

/// The fastest regular level of zstd: rows are small, and each is compressed once.
const COMPRESSION_LEVEL: i32 = 1;
/// Values shorter than this, in bytes, are stored uncompressed.
const MIN_COMPRESSED_LENGTH: usize = 256;
/// The maximum length of a decompressed row, in bytes. Bounds the memory that a damaged file can
/// make the process allocate.
const MAX_DECOMPRESSED_LENGTH: usize = 16 << 20;

/// Encodes a value as a row.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, RecordError> {
    compress(&postcard::to_stdvec(value)?)
}

/// Decodes the value in a row.
pub(crate) fn decode<T: DeserializeOwned>(row: &[u8]) -> Result<T, RecordError> {
    Ok(postcard::from_bytes(&decompress(row)?)?)
}

/// Stores bytes in a row, compressed if that makes them smaller.
pub(crate) fn compress(bytes: &[u8]) -> Result<Vec<u8>, RecordError> {
    if bytes.len() < MIN_COMPRESSED_LENGTH {
        return Ok(tag_row(TAG_UNCOMPRESSED, bytes));
    }
    let compressed = zstd::bulk::compress(bytes, COMPRESSION_LEVEL)?;
    if compressed.len() < bytes.len() {
        Ok(tag_row(TAG_COMPRESSED, &compressed))
    } else {
        Ok(tag_row(TAG_UNCOMPRESSED, bytes))
    }
}

/// Returns the bytes that are stored in a row.
pub(crate) fn decompress(row: &[u8]) -> Result<Vec<u8>, RecordError> {
    match row.split_first() {
        Some((&TAG_UNCOMPRESSED, bytes)) => Ok(bytes.to_vec()),
        Some((&TAG_COMPRESSED, bytes)) => {
            Ok(zstd::bulk::decompress(bytes, MAX_DECOMPRESSED_LENGTH)?)
        }
        _ => Err(RecordError::UnknownRowTag),
    }
}

fn tag_row(tag: u8, bytes: &[u8]) -> Vec<u8> {
    [&[tag], bytes].concat()
}
