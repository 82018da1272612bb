//! tarpc transport over TCP: length-delimited frames encoded with postcard.

use std::{io, pin::Pin};

use serde::{Serialize, de::DeserializeOwned};
use tarpc::{
    serde_transport::Transport,
    tokio_serde::{Deserializer, Serializer},
    tokio_util::{
        bytes::{Bytes, BytesMut},
        codec::{Framed, LengthDelimitedCodec},
    },
};
use tokio::net::TcpStream;

/// Largest frame. A reply with 390 results of up to 64 KiB fits.
const MAX_FRAME_BYTES: usize = 32 << 20;

/// Encodes and decodes frames with postcard.
#[derive(Debug, Clone, Copy, Default)]
pub struct Postcard;

impl<T: DeserializeOwned> Deserializer<T> for Postcard {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> io::Result<T> {
        postcard::from_bytes(src).map_err(invalid_data)
    }
}

impl<T: Serialize> Serializer<T> for Postcard {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> io::Result<Bytes> {
        postcard::to_stdvec(item)
            .map(Bytes::from)
            .map_err(invalid_data)
    }
}

/// A tarpc transport over one TCP connection.
pub type TcpTransport<In, Out> = Transport<TcpStream, In, Out, Postcard>;

/// Creates a transport on an open connection. Disables Nagle's algorithm, since messages are small and urgent.
pub fn transport<In, Out>(stream: TcpStream) -> TcpTransport<In, Out>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    // Without the option the connection still works.
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    tarpc::serde_transport::new(Framed::new(stream, codec), Postcard)
}

fn invalid_data(e: postcard::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, e)
}
