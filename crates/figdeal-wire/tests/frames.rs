//! Tests of frames that arrive in pieces.

use figdeal_wire::frame_codec::FrameCodec;
use tarpc::tokio_util::{
    bytes::{BufMut, Bytes, BytesMut},
    codec::{Decoder, Encoder},
};

/// Guards against frames that are joined, cut or lost, whatever the pieces are in which they arrive.
#[test]
fn frames_survive_any_pieces() {
    let frames = [0, 1, 4, 100, 65_535, 65_536, 65_537, 200_000].map(|n| vec![n as u8; n]);
    let mut stream = BytesMut::new();
    for frame in &frames {
        let frame = Bytes::copy_from_slice(frame);
        FrameCodec::default().encode(frame, &mut stream).unwrap();
    }
    for piece in [1, 2, 3, 5, 1_000, 65_536, 70_000, stream.len()] {
        let (mut codec, mut source, mut decoded) = (FrameCodec::default(), BytesMut::new(), vec![]);
        for bytes in stream.chunks(piece) {
            source.extend_from_slice(bytes);
            while let Some(frame) = codec.decode(&mut source).unwrap() {
                decoded.push(frame.to_vec());
            }
        }
        assert!(decoded == frames, "pieces of {piece} bytes");
    }
}

/// Guards against memory for a length that is only announced.
#[test]
fn an_announced_length_allocates_nothing() {
    let (mut codec, mut source) = (FrameCodec::default(), BytesMut::new());
    source.put_u32(30 << 20);
    source.put_slice(&[1; 10]);
    assert_eq!(codec.decode(&mut source).unwrap(), None);
    assert!(source.capacity() < 1 << 10);
    source.put_u32(33 << 20);
    assert!(FrameCodec::default().decode(&mut source).is_err());
}
