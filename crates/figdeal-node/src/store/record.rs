//! Framing of the records in a store file.
//!
//! A record has a header, its content and a trailer. The header has the length of the content, the checksum of the
//! content, and a checksum of both and of the record's offset in the file, so that a wrong length and a record at a wrong
//! place are noticed. The trailer is never zero: a file system may extend a file by zeros before the data of an unsynced
//! write arrive.

use std::io::{self, Read};

/// Size of the length and of the two checksums before the content.
pub(super) const HEADER_BYTES: usize = 12;
/// Last bytes of each record.
const TRAILER: [u8; 4] = [0xa5, 0x5a, 0xc3, 0x3c];

/// What stands at an offset of a store file.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Part {
    /// The content of a whole record.
    Record(Vec<u8>),
    /// The end of the file.
    End,
    /// An incomplete record at the end of the file: it lacks its last bytes, or they are zero.
    Torn,
    /// Anything else.
    Damaged,
}

/// Returns the record for `content` at `offset`.
pub(super) fn encode(content: &[u8], offset: u64) -> Vec<u8> {
    let length = u32::try_from(content.len()).expect("a record must be shorter than 4 GiB");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len() + TRAILER.len());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    let checksum = header_checksum(&bytes, offset);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(content);
    bytes.extend_from_slice(&TRAILER);
    bytes
}

fn header_checksum(length_and_checksum: &[u8], offset: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length_and_checksum);
    hasher.update(&offset.to_le_bytes());
    hasher.finalize()
}

/// Returns the size of a record with a content of this length.
pub(super) fn size(content: usize) -> u64 {
    (HEADER_BYTES + content + TRAILER.len()) as u64
}

fn read_u32(bytes: &[u8]) -> u32 {
    u32::from_le_bytes(bytes.try_into().expect("four bytes"))
}

/// Reads the record at `offset`, where the file is, of a file that ends at `end`.
pub(super) fn read(file: &mut impl Read, offset: u64, end: u64) -> io::Result<Part> {
    let left = end - offset;
    if left == 0 {
        return Ok(Part::End);
    }
    if left < HEADER_BYTES as u64 {
        return Ok(Part::Torn);
    }
    let mut header = [0; HEADER_BYTES];
    file.read_exact(&mut header)?;
    let left = left - HEADER_BYTES as u64;
    if header_checksum(&header[..8], offset) != read_u32(&header[8..]) {
        let torn = is_zero(file, left)?;
        return Ok(if torn { Part::Torn } else { Part::Damaged });
    }
    let length = read_u32(&header[..4]) as usize;
    let rest = (length + TRAILER.len()) as u64;
    if rest > left {
        return Ok(Part::Torn);
    }
    let mut content = vec![0; length];
    file.read_exact(&mut content)?;
    let mut trailer = [0; TRAILER.len()];
    file.read_exact(&mut trailer)?;
    Ok(match trailer {
        TRAILER if crc32fast::hash(&content) == read_u32(&header[4..8]) => Part::Record(content),
        trailer if rest == left && is_cut(trailer) => Part::Torn,
        _ => Part::Damaged,
    })
}

/// Returns whether the last bytes of a trailer are zero in place of its own.
fn is_cut(trailer: [u8; 4]) -> bool {
    let kept = trailer.iter().zip(TRAILER).take_while(|(a, b)| *a == b);
    let kept = kept.count();
    kept < TRAILER.len() && trailer[kept..].iter().all(|b| *b == 0)
}

/// Returns whether the next `left` bytes, the rest of the file, are zero.
fn is_zero(file: &mut impl Read, left: u64) -> io::Result<bool> {
    let mut bytes = Vec::new();
    file.take(left).read_to_end(&mut bytes)?;
    Ok(bytes.iter().all(|b| *b == 0))
}
