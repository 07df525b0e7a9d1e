//! Validated values in an application's own settings: parsed, used in arithmetic and printed.
//!
//! `cargo run -p pimento-units --example amounts`

use std::error::Error;

use pimento_units::Money;
use pimento_units::Share;
use pimento_units::Span;
use pimento_units::Tokens;
use pimento_units::id;
use uuid::Uuid;

/// Number of tokens that the price is for.
const PRICED: u64 = 1_000_000;

fn main() -> Result<(), Box<dyn Error>> {
    let price: Money = "0.40".parse()?;
    let prompts = [Tokens(1_200), Tokens(350), Tokens(7)];
    let read: Tokens = prompts.into_iter().sum();
    println!("{read} tokens at {price}: {}", price.scale(read.0, PRICED));

    let target: Share = "0.95".parse()?;
    println!("quality {target} is {} parts in a million", target.parts());
    let wait: Span = "90s".parse()?;
    println!("a wait of {wait} is {:?}", wait.duration());

    let request = id::Request(Uuid::now_v7());
    println!(
        "a version 7 id tells its age: {}",
        request.created().is_some()
    );
    let other = id::Request(Uuid::nil());
    println!("another one doesn't: {}", other.created().is_none());

    // A node can't be passed where a customer is expected. Invalid texts are rejected with a reason.
    let node: id::Node = "entry-vm-1".parse()?;
    println!("{node} is a node");
    for text in ["garage gatenga", ""] {
        if let Err(error) = text.parse::<id::Customer>() {
            println!("no customer: {error}");
        }
    }
    if let Err(error) = "0.1234567".parse::<Money>() {
        println!("no amount: {error}");
    }
    if let Err(error) = "1.5".parse::<Share>() {
        println!("no share: {error}");
    }
    Ok(())
}
