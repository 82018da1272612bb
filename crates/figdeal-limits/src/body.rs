//! Reads the body of a request within its size limit and the budget of the process.

use std::{error::Error, ops::Deref, sync::Arc};

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::{
    client_table::Refusal,
    gate::{Client, Reservation},
};

/// Smallest allocation for a body.
const MIN_CAPACITY: usize = 1_024;

/// Result of reading a body. The error is a [`Refusal`] if a limit was exceeded.
pub type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// A complete body, counted in the budget until it is dropped.
#[derive(Debug, Default)]
pub struct RequestBody {
    bytes: Vec<u8>,
    reservation: Option<Reservation>,
}

impl Deref for RequestBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl RequestBody {
    /// Appends a part of the body. Copies it, since a received part keeps the whole read buffer alive, however small it
    /// is.
    ///
    /// # Errors
    /// Fails when the body becomes longer than `limit` bytes, and when the budget is used up.
    pub fn append(&mut self, part: &[u8], client: &Arc<Client>, limit: usize) -> Result<()> {
        let length = self.bytes.len() + part.len();
        if length > limit {
            return Err(Refusal::BodySize.into());
        }
        if length > self.bytes.capacity() {
            let capacity = length
                .max(2 * self.bytes.capacity())
                .clamp(MIN_CAPACITY, limit.max(MIN_CAPACITY));
            // Both allocations exist until the bytes are moved.
            let reservation = client.reserve(capacity)?;
            let mut bytes = Vec::with_capacity(capacity);
            bytes.extend_from_slice(&self.bytes);
            self.bytes = bytes;
            self.reservation = Some(reservation);
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }
}

/// Reads a body of at most `limit` bytes. A longer announced length is refused before a byte is read.
///
/// # Errors
/// Fails when the body is too long, when the budget is used up and when the client closes the connection.
pub async fn read(
    mut incoming: Incoming,
    client: &Arc<Client>,
    limit: usize,
) -> Result<RequestBody> {
    if incoming.size_hint().lower() > limit as u64 {
        return Err(Refusal::BodySize.into());
    }
    let mut body = RequestBody::default();
    while let Some(frame) = incoming.frame().await {
        if let Some(part) = frame?.data_ref() {
            body.append(part, client, limit)?;
        }
    }
    Ok(body)
}
