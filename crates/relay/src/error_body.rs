//! Bodies of error responses, which are read whole before anything else is done with the response.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use pimento_endpoint::Fault;
use pimento_endpoint::limits::MAX_ERROR_BODY_BYTES;
use pimento_endpoint::limits::MAX_ERROR_BODY_TIME;

use crate::connection::ResponseBody;

/// What a chunk counts at least, in bytes. To receive a chunk of one byte takes as long as one of some hundred.
const MIN_CHUNK_BYTES: usize = 64;

/// Reads the body of an error response, at most for the time `left`.
///
/// # Errors
///
/// [`Fault::Invalid`] if it exceeds a limit, [`Fault::Timeout`] if it does not end in the time left, or the fault
/// of the connection.
pub async fn read(body: &mut ResponseBody, left: Duration) -> Result<Bytes, Fault> {
    let read = tokio::time::timeout(left.min(MAX_ERROR_BODY_TIME), collect(body));
    match read.await {
        Ok(read) => read,
        Err(_) if left <= MAX_ERROR_BODY_TIME => Err(Fault::Timeout),
        Err(_) => Err(Fault::Invalid {
            reason: "the body of an error response does not end".into(),
        }),
    }
}

async fn collect(body: &mut ResponseBody) -> Result<Bytes, Fault> {
    let mut bytes = BytesMut::new();
    let mut counted = 0;
    while let Some(data) = body.next().await? {
        counted += data.len().max(MIN_CHUNK_BYTES);
        if counted > MAX_ERROR_BODY_BYTES {
            return Err(Fault::Invalid {
                reason: "the body of an error response is too long".into(),
            });
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}
