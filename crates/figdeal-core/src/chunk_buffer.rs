//! Buffer for a message that arrives in pieces.

/// Size of a chunk. It stays below the size from which allocators map memory for each allocation.
const CHUNK_BYTES: usize = 64 * 1024;

/// Collects the pieces of a message in chunks of one size, so that it holds what has arrived and no more, and leaves no
/// gaps of many sizes in the heap.
///
/// ```
/// use figdeal_core::chunk_buffer::ChunkBuffer;
///
/// let mut buffer = ChunkBuffer::default();
/// buffer.extend(b"mess");
/// buffer.extend(b"age");
/// assert_eq!(buffer.len(), 7);
/// assert_eq!(buffer.take(), b"message");
/// assert!(buffer.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct ChunkBuffer {
    chunks: Vec<Vec<u8>>,
    length: usize,
}

impl ChunkBuffer {
    /// Appends a piece.
    pub fn extend(&mut self, mut piece: &[u8]) {
        while !piece.is_empty() {
            let used = self.length % CHUNK_BYTES;
            if used == 0 {
                self.chunks.push(Vec::with_capacity(CHUNK_BYTES));
            }
            let (taken, rest) = piece.split_at(piece.len().min(CHUNK_BYTES - used));
            let chunk = self.chunks.last_mut().expect("there is a chunk");
            chunk.extend_from_slice(taken);
            self.length += taken.len();
            piece = rest;
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Takes all bytes in one piece.
    pub fn take(&mut self) -> Vec<u8> {
        let mut message = Vec::with_capacity(self.length);
        for chunk in std::mem::take(&mut self.chunks) {
            message.extend_from_slice(&chunk);
        }
        self.length = 0;
        message
    }
}
