//! The session token: which versions a caller's session uses.
//!
//! The caller carries it, so that any entry VM in any zone honours it without shared state. It is
//! sealed with a keyed MAC and bound to the customer, so that nobody can make up a pin.

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

/// Pins that one token holds. A contract has a handful of classes; the token must stay well below
/// the usual 8 KiB limit of a header.
pub const MAX_PINS: usize = 16;

/// Bytes of the MAC: 128 bits can't be guessed online.
const MAC: usize = 16;

/// The longest token taken, in characters.
const MAX_TEXT: usize = 4_096;

/// The key that all entry VMs of a deployment share.
#[derive(Clone)]
pub struct Key([u8; 32]);

/// What a token says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// The session.
    pub id: id::Session,
    /// Whose session.
    pub customer: id::Customer,
    /// Versions that the session uses, sorted; for each class at most one of each model.
    pub pins: Vec<id::Version>,
    /// The configuration under which it was issued.
    pub offset: Offset,
    /// When it was issued.
    pub at: Wall,
}

/// Why a token is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Not a token at all, or its MAC is wrong.
    #[snafu(display("the session token is not one of ours"))]
    Forged,
    /// Issued to another customer.
    #[snafu(display("the session token belongs to another customer"))]
    Foreign,
}

impl Key {
    /// A key derived from the deployment's secret.
    #[must_use]
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key(
            "pimentobarrow session tokens v1",
            secret.as_bytes(),
        ))
    }

    /// The token for a session.
    #[must_use]
    pub fn seal(&self, session: &Session) -> CompactString {
        // Plain structures of bounded size always encode.
        let body = postcard::to_stdvec(session).unwrap_or_default();
        let mut text = CompactString::default();
        for byte in self.mac(&body).iter().chain(&body) {
            // Writing to a string can't fail.
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    /// Reads a token back.
    ///
    /// # Errors
    ///
    /// [`Error`] if it was not sealed with this key for this customer.
    pub fn open(&self, text: &str, customer: &id::Customer) -> Result<Session, Error> {
        let bytes = unhex(text).ok_or(Error::Forged)?;
        let (mac, body) = bytes.split_at_checked(MAC).ok_or(Error::Forged)?;
        // The comparison of hashes takes the same time for any input, so that a MAC can't be
        // found byte by byte.
        let mut found = [0; 32];
        found[..MAC].copy_from_slice(mac);
        let mut wanted = [0; 32];
        wanted[..MAC].copy_from_slice(&self.mac(body));
        if blake3::Hash::from(found) != blake3::Hash::from(wanted) {
            return Err(Error::Forged);
        }
        let session: Session = postcard::from_bytes(body).map_err(|_| Error::Forged)?;
        if session.customer != *customer {
            return Err(Error::Foreign);
        }
        Ok(session)
    }

    fn mac(&self, body: &[u8]) -> [u8; MAC] {
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

impl Session {
    /// Replaces the pins of a class by the versions it uses now; those of other classes stay. Past
    /// [`MAX_PINS`] the session has no further pins.
    pub fn pin<'a>(&mut self, class: &Class, used: impl IntoIterator<Item = &'a id::Version>) {
        self.pins.retain(|version| !class.allows(version));
        self.pins.extend(used.into_iter().cloned());
        self.pins.sort();
        self.pins.dedup();
        self.pins.truncate(MAX_PINS);
    }

    /// Whether the token is too old for its pins to count. The session goes on under its id.
    #[must_use]
    pub fn expired(&self, now: Wall, life: Duration) -> bool {
        now.since(self.at) > life
    }
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    // Only what we write ourselves: other spellings of the same bytes would be other tokens.
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() > MAX_TEXT || !text.len().is_multiple_of(2) || !text.bytes().all(digit) {
        return None;
    }
    let byte = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(byte).collect()
}
