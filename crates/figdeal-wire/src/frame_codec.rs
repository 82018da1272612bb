//! Frames with a length of four bytes in network byte order.

use std::io;

use figdeal_core::chunk_buffer::ChunkBuffer;
use tarpc::tokio_util::{
    bytes::{Buf, BufMut, Bytes, BytesMut},
    codec::{Decoder, Encoder},
};

/// Largest frame. A reply with 390 results of up to 64 KiB fits.
const MAX_FRAME_BYTES: usize = 32 << 20;
/// Size of the length before a frame.
const LENGTH_BYTES: usize = 4;

/// Splits a stream into frames. What it holds for an incomplete frame grows with the bytes that have arrived, not with
/// the announced length.
///
/// ```
/// use figdeal_wire::frame_codec::FrameCodec;
/// use tarpc::tokio_util::{bytes::{Bytes, BytesMut}, codec::{Decoder, Encoder}};
///
/// let (mut codec, mut stream) = (FrameCodec::default(), BytesMut::new());
/// codec.encode(Bytes::from_static(b"frame"), &mut stream)?;
/// assert_eq!(codec.decode(&mut stream)?, Some(BytesMut::from("frame")));
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct FrameCodec {
    /// Length of the present frame, if it has begun.
    length: Option<usize>,
    received: ChunkBuffer,
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let length = match self.length {
            Some(length) => length,
            None if source.len() < LENGTH_BYTES => return Ok(None),
            None => {
                let length = source.get_u32() as usize;
                check_length(length)?;
                *self.length.insert(length)
            }
        };
        let missing = length - self.received.len();
        if source.len() < missing {
            self.received.extend(source);
            source.clear();
            return Ok(None);
        }
        self.length = None;
        let rest = source.split_to(missing);
        if self.received.is_empty() {
            return Ok(Some(rest));
        }
        self.received.extend(&rest);
        Ok(Some(BytesMut::from(&self.received.take()[..])))
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, output: &mut BytesMut) -> io::Result<()> {
        check_length(frame.len())?;
        output.reserve(LENGTH_BYTES + frame.len());
        output.put_u32(frame.len() as u32);
        output.extend_from_slice(&frame);
        Ok(())
    }
}

fn check_length(length: usize) -> io::Result<()> {
    match length > MAX_FRAME_BYTES {
        true => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the frame is too long",
        )),
        false => Ok(()),
    }
}
