//! Frames between processes: a postcard body sealed with a keyed MAC, bounded in size.
//!
//! A frame is `length (4 bytes, little endian) | MAC (16 bytes) | body`. The MAC is BLAKE3 keyed
//! with the deployment's peer key, cut to 16 bytes. A datagram omits the length.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

/// Bytes of the MAC.
pub const MAC: usize = 16;
/// Bytes of the length before a frame on TCP.
pub const LENGTH: usize = 4;
/// The largest body on TCP, in bytes. The largest message is a checkpoint of the whole state.
pub const MAX_BODY: usize = 8 << 20;
/// The largest datagram, in bytes; stays below the smallest usual path MTU.
pub const MAX_DATAGRAM: usize = 1_200;

/// Why a frame was dropped. Every drop is counted by its receiver.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Longer than allowed.
    #[snafu(display("a frame of {length} bytes is over the limit of {limit}"))]
    Size {
        /// Bytes found.
        length: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// Shorter than a MAC.
    #[snafu(display("the frame is cut off"))]
    Short,
    /// The MAC does not fit body and key.
    #[snafu(display("the frame's MAC is wrong"))]
    Mac,
    /// The body is not the expected type.
    #[snafu(display("the frame's body can't be read"))]
    Body {
        /// The codec's error.
        source: postcard::Error,
    },
}

/// The key that all entry VMs and controls of a deployment share.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// A key derived from the deployment's secret.
    #[must_use]
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key(
            "pimentobarrow peer frames v1",
            secret.as_bytes(),
        ))
    }

    /// The first [`MAC`] bytes of the keyed hash of `body`.
    #[must_use]
    pub fn mac(&self, body: &[u8]) -> [u8; MAC] {
        let hash = blake3::keyed_hash(&self.0, body);
        let mut mac = [0; MAC];
        mac.copy_from_slice(&hash.as_bytes()[..MAC]);
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
        let length = MAC + body.len();
        if length > limit {
            return Err(Error::Size { length, limit });
        }
        let mut bytes = Vec::with_capacity(length);
        bytes.extend_from_slice(&key.mac(&body));
        bytes.extend_from_slice(&body);
        Ok(Self(bytes.into()))
    }

    /// Takes bytes from a socket, unchecked.
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
        if length < MAC {
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
        let (mac, body) = self.0.split_at(MAC);
        // Compared as hashes, so that the time taken tells nothing about the right MAC.
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

    /// The length to send before the frame on TCP.
    ///
    /// # Panics
    ///
    /// Never: sizes are checked against limits far below 4 GiB.
    #[must_use]
    pub fn length(&self) -> [u8; LENGTH] {
        u32::try_from(self.0.len())
            .expect("checked against a limit")
            .to_le_bytes()
    }
}
