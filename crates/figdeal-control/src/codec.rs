//! Postcard frames for tarpc's serde transport.

use std::{io, pin::Pin};

use serde::{Serialize, de::DeserializeOwned};
use tarpc::{
    tokio_serde::{Deserializer, Serializer},
    tokio_util::bytes::{Bytes, BytesMut},
};

/// Codec of one connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct Postcard;

impl<T: Serialize> Serializer<T> for Postcard {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> io::Result<Bytes> {
        let bytes = postcard::to_stdvec(item).map_err(invalid)?;
        Ok(bytes.into())
    }
}

impl<T: DeserializeOwned> Deserializer<T> for Postcard {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> io::Result<T> {
        postcard::from_bytes(src).map_err(invalid)
    }
}

fn invalid(e: postcard::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, e)
}
