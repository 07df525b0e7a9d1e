//! The session token, which lists the versions that a caller's session uses. Each entry is a pin: a version
//! that the session keeps using.
//!
//! The caller sends the token with each request, so that any entry VM in any zone can apply it without
//! shared state. A keyed MAC over the token, which includes the customer, prevents forged pins.

use std::fmt::Write;
use std::time::Duration;

use compact_str::CompactString;
use pimento_contract::contract::Class;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Maximum number of pins in a token. A contract has a handful of classes, and the token must stay well
/// below the usual header limit of 8 KiB.
pub const MAX_PINS: usize = 16;

/// Length of the MAC. 128 bits can't be guessed in an online attack.
const MAC_BYTES: usize = 16;

/// Maximum length of an accepted token, in characters.
const MAX_TOKEN_CHARS: usize = 4_096;

/// The MAC key that all entry VMs of a deployment share.
#[derive(Clone)]
pub struct Key([u8; 32]);

/// Content of a token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Id of the session.
    pub id: id::Session,
    /// The customer that owns the session.
    pub customer: id::Customer,
    /// Versions that the session uses, sorted; at most one of each model per class.
    pub pins: Vec<id::Version>,
    /// Offset of the configuration under which the token was issued.
    pub offset: Offset,
    /// When the token was issued.
    pub at: Wall,
}

/// Why a token is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Malformed, or with a wrong MAC.
    #[snafu(display("the session token is invalid"))]
    Forged,
    /// Issued to another customer.
    #[snafu(display("the session token belongs to another customer"))]
    Foreign,
}

impl Key {
    /// Derives the key from the deployment's secret.
    #[must_use]
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key(
            "pimentobarrow session tokens v1",
            secret.as_bytes(),
        ))
    }

    /// Encodes a session as a token.
    #[must_use]
    pub fn seal(&self, session: &Session) -> CompactString {
        // Encoding a plain structure of bounded size can't fail.
        let body = postcard::to_stdvec(session).unwrap_or_default();
        let mut text = CompactString::default();
        for byte in self.mac(&body).iter().chain(&body) {
            // Writing to a string can't fail.
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    /// Verifies and decodes a token.
    ///
    /// # Errors
    ///
    /// An [`Error`] if the token was not issued with this key for this customer.
    pub fn open(&self, text: &str, customer: &id::Customer) -> Result<Session, Error> {
        let bytes = decode_hex(text).ok_or(Error::Forged)?;
        let (mac, body) = bytes.split_at_checked(MAC_BYTES).ok_or(Error::Forged)?;
        // Hashes are compared in constant time, so that a MAC can't be guessed byte by byte.
        let mut found = [0; 32];
        found[..MAC_BYTES].copy_from_slice(mac);
        let mut expected = [0; 32];
        expected[..MAC_BYTES].copy_from_slice(&self.mac(body));
        if blake3::Hash::from(found) != blake3::Hash::from(expected) {
            return Err(Error::Forged);
        }
        let session: Session = postcard::from_bytes(body).map_err(|_| Error::Forged)?;
        if session.customer != *customer {
            return Err(Error::Foreign);
        }
        Ok(session)
    }

    fn mac(&self, body: &[u8]) -> [u8; MAC_BYTES] {
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

impl Session {
    /// Replaces the pins of a class with the versions in `used`; pins of other classes stay. Pins in excess
    /// of [`MAX_PINS`] are dropped.
    pub fn pin<'a>(&mut self, class: &Class, used: impl IntoIterator<Item = &'a id::Version>) {
        self.pins.retain(|version| !class.allows(version));
        self.pins.extend(used.into_iter().cloned());
        self.pins.sort();
        self.pins.dedup();
        self.pins.truncate(MAX_PINS);
    }

    /// Whether the token is too old for its pins to apply. The session continues under its id.
    #[must_use]
    pub fn expired(&self, now: Wall, max_age: Duration) -> bool {
        now.since(self.at) > max_age
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    // Accepts only lower-case digits, as written by `seal`, so that each token has a single encoding.
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() > MAX_TOKEN_CHARS || !text.len().is_multiple_of(2) || !text.bytes().all(digit) {
        return None;
    }
    let byte = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(byte).collect()
}
