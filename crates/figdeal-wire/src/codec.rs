//! tarpc transport over TCP: length-delimited frames encoded with postcard.

use std::{io, pin::Pin};

use serde::{Serialize, de::DeserializeOwned};
use tarpc::{
    tokio_serde::{Deserializer, Framed as SerdeFramed, Serializer},
    tokio_util::{
        bytes::{Bytes, BytesMut},
        codec::Framed,
    },
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

use crate::frame_codec::FrameCodec;

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

/// A tarpc transport over a stream.
pub type Transport<S, In, Out> = SerdeFramed<Framed<S, FrameCodec>, In, Out, Postcard>;

/// A tarpc transport over one TCP connection.
pub type TcpTransport<In, Out> = Transport<TcpStream, In, Out>;

/// Creates a transport on an open connection. Disables Nagle's algorithm, since messages are small and urgent.
pub fn transport<In, Out>(stream: TcpStream) -> TcpTransport<In, Out>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    // Without the option the connection still works.
    let _ = stream.set_nodelay(true);
    transport_on(stream)
}

/// Creates a transport on any stream.
pub fn transport_on<S, In, Out>(stream: S) -> Transport<S, In, Out>
where
    S: AsyncRead + AsyncWrite,
    In: DeserializeOwned,
    Out: Serialize,
{
    SerdeFramed::new(Framed::new(stream, FrameCodec::default()), Postcard)
}

fn invalid_data(e: postcard::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, e)
}
