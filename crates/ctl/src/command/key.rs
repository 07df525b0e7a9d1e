//! `key`: generates an API key and the hash that goes into a contract.

use std::io;
use std::io::Read;

use pimento_contract::contract::Key;
use serde::Serialize;

use crate::exit::Error;
use crate::output::Output;

/// Prefix of all keys, by which scanners for leaked secrets recognise them.
const PREFIX: &str = "pimento-";

#[derive(Debug, Serialize)]
struct Pair {
    secret: Option<String>,
    hash: String,
}

/// Generates a key of 256 random bits.
#[must_use]
pub fn generate() -> Output {
    let (high, low): (u128, u128) = rand::random();
    let secret = format!("{PREFIX}{high:032x}{low:032x}");
    let hash = Key::of(&secret).to_string();
    output(Some(secret), hash)
}

/// Hashes the key on standard input, which keeps it out of the shell history.
///
/// # Errors
///
/// [`Error::Usage`] if standard input is empty or not UTF-8.
pub fn hash() -> Result<Output, Error> {
    let mut text = String::new();
    io::stdin()
        .read_to_string(&mut text)
        .map_err(|error| Error::usage(format!("standard input: {error}")))?;
    let secret = text.trim();
    if secret.is_empty() {
        return Err(Error::usage("standard input holds no key"));
    }
    Ok(output(None, Key::of(secret).to_string()))
}

fn output(secret: Option<String>, hash: String) -> Output {
    let mut rows = Vec::new();
    if let Some(secret) = &secret {
        rows.push(vec![
            "API key (for the customer, kept nowhere)".into(),
            secret.clone(),
        ]);
    }
    rows.push(vec![
        "hash (for `keys` of the contract)".into(),
        hash.clone(),
    ]);
    Output::new(&["what", "text"], rows, &Pair { secret, hash })
}
