//! Session tokens in another proxy: one process seals a token, and any process with the same key
//! opens it, for the same customer only.
//!
//! `cargo run -p pimento-entry --example session`

use std::error::Error;

use pimento_entry::session::Key;
use pimento_entry::session::Session;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_units::id;
use uuid::Uuid;

fn main() -> Result<(), Box<dyn Error>> {
    let customer: id::Customer = "garage-gatenga".parse()?;
    let session = Session {
        id: id::Session(Uuid::now_v7()),
        customer: customer.clone(),
        pins: vec!["pimento-mini@2".parse()?],
        offset: Offset(42),
        at: Wall::from_millis(0),
    };
    let token = Key::derive("a secret of entry VMs").seal(&session);
    println!("token: {token}");
    let other_process = Key::derive("a secret of entry VMs");
    println!("pins: {:?}", other_process.open(&token, &customer)?.pins);
    let other: id::Customer = "mine-gatumba".parse()?;
    println!(
        "for another customer: {:?}",
        other_process.open(&token, &other)
    );
    Ok(())
}
