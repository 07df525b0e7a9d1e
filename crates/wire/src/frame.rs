//! Frames between processes: a postcard body authenticated by a keyed MAC, with a size limit.
//!
//! A frame is `length (4 bytes, little endian) | MAC (16 bytes) | body`. The MAC is the BLAKE3 hash
//! keyed with the deployment's peer key, truncated to 16 bytes. A datagram omits the length.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

/// Length of the MAC in bytes.
pub const MAC_BYTES: usize = 16;
/// Size in bytes of the length that precedes a frame on TCP.
pub const LENGTH_BYTES: usize = 4;
/// Maximum size of a frame on TCP, in bytes, without its length. The largest message is a
/// checkpoint of the whole state.
pub const MAX_BODY: usize = 8 << 20;
/// Maximum size of a datagram, in bytes; below the smallest usual path MTU.
pub const MAX_DATAGRAM: usize = 1_200;

/// Why a frame was dropped. The receiver counts dropped frames.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The frame is longer than allowed.
    #[snafu(display("a frame of {length} bytes is over the limit of {limit}"))]
    Size {
        /// Size of the frame in bytes.
        length: usize,
        /// Maximum size in bytes.
        limit: usize,
    },
    /// The frame is shorter than a MAC.
    #[snafu(display("the frame is cut off"))]
    Short,
    /// The MAC does not match body and key.
    #[snafu(display("the frame's MAC is wrong"))]
    Mac,
    /// The body can't be encoded, or does not decode to the expected type.
    #[snafu(display("the frame's body can't be read"))]
    Body {
        /// The codec's error.
        source: postcard::Error,
    },
}

/// The key shared by all processes of a deployment that exchange frames.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the deployment's secret.
    #[must_use]
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key(
            "pimentobarrow peer frames v1",
            secret.as_bytes(),
        ))
    }

    /// The first [`MAC_BYTES`] bytes of the keyed hash of `body`.
    #[must_use]
    pub fn mac(&self, body: &[u8]) -> [u8; MAC_BYTES] {
        let hash = blake3::keyed_hash(&self.0, body);
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hash.as_bytes()[..MAC_BYTES]);
        mac
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// A sealed message: MAC and body, without the length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame(Bytes);

impl Frame {
    /// Encodes and seals a message.
    ///
    /// # Errors
    ///
    /// [`Error::Body`] if the message can't be encoded, [`Error::Size`] if it is over `limit`.
    pub fn seal(message: &impl Serialize, key: &Key, limit: usize) -> Result<Self, Error> {
        let body = postcard::to_stdvec(message).context(BodySnafu)?;
        let length = MAC_BYTES + body.len();
        if length > limit {
            return Err(Error::Size { length, limit });
        }
        let mut bytes = Vec::with_capacity(length);
        bytes.extend_from_slice(&key.mac(&body));
        bytes.extend_from_slice(&body);
        Ok(Self(bytes.into()))
    }

    /// Wraps bytes from a socket. Checks their size, but not the MAC.
    ///
    /// # Errors
    ///
    /// [`Error::Size`] or [`Error::Short`].
    pub fn receive(bytes: impl Into<Bytes>, limit: usize) -> Result<Self, Error> {
        let bytes = bytes.into();
        let length = bytes.len();
        if length > limit {
            return Err(Error::Size { length, limit });
        }
        if length < MAC_BYTES {
            return Err(Error::Short);
        }
        Ok(Self(bytes))
    }

    /// Checks the MAC and decodes the message.
    ///
    /// # Errors
    ///
    /// [`Error::Mac`] or [`Error::Body`].
    pub fn open<T: DeserializeOwned>(&self, key: &Key) -> Result<T, Error> {
        let (mac, body) = self.0.split_at(MAC_BYTES);
        // Hashes are compared, so that the duration reveals nothing about the correct MAC.
        if blake3::hash(mac) != blake3::hash(&key.mac(body)) {
            return Err(Error::Mac);
        }
        postcard::from_bytes(body).context(BodySnafu)
    }

    /// MAC and body.
    #[must_use]
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }

    /// The encoded length to send before the frame on TCP.
    ///
    /// # Panics
    ///
    /// If the frame has 4 GiB or more, which a limit such as [`MAX_BODY`] excludes.
    #[must_use]
    pub fn length(&self) -> [u8; LENGTH_BYTES] {
        u32::try_from(self.0.len())
            .expect("checked against a limit")
            .to_le_bytes()
    }
}
