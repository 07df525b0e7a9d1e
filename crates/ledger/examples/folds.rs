//! The ledger's folds over an application's own log, here a vector of JSON lines in log order. Two
//! nodes claim the same call, and two nodes request grants from the same limit.
//!
//! `cargo run -p pimento-ledger --example folds`

use std::error::Error;
use std::time::Duration;

use pimento_ledger::Claim;
use pimento_ledger::Grant;
use pimento_ledger::claims;
use pimento_ledger::grants;
use pimento_ledger::record::ClaimRecord;
use pimento_ledger::record::GrantRecord;
use pimento_units::Revision;
use pimento_units::id;
use uuid::Uuid;

const WINDOW: Duration = Duration::from_mins(30);

fn main() -> Result<(), Box<dyn Error>> {
    claims()?;
    grants()
}

fn claims() -> Result<(), Box<dyn Error>> {
    let request = id::Request(Uuid::now_v7());
    let now = request.created().ok_or("made as version 7")?;
    let claim = |node: &str, attempt: u128| -> Result<String, Box<dyn Error>> {
        let claim = Claim {
            request,
            digest: 7,
            attempt: id::Attempt(Uuid::from_u128(attempt)),
            node: node.parse()?,
            at: now,
        };
        Ok(serde_json::to_string(&ClaimRecord::Claim(claim))?)
    };
    // The log's answer to vm-a was lost, so vm-a appended its claim again.
    let log = [claim("vm-b", 2)?, claim("vm-a", 1)?, claim("vm-a", 1)?];

    let mut fold = claims::Fold::new(WINDOW);
    for line in &log {
        fold.apply(now, &serde_json::from_str(line)?);
        let owner = fold.owner(request).map(|owner| owner.node.to_string());
        println!("claims: the call is of {owner:?}");
    }
    let late = now + WINDOW + Duration::from_secs(1);
    let age = claims::age(request, late, WINDOW);
    println!("claims: half an hour later the id is {age:?}");
    Ok(())
}

fn grants() -> Result<(), Box<dyn Error>> {
    let customer: id::Customer = "garage-gatenga".parse()?;
    let grant = |id: u128, node: &str, amount: &str| -> Result<GrantRecord, Box<dyn Error>> {
        Ok(GrantRecord::Grant(Grant {
            id: id::Record(Uuid::from_u128(id)),
            customer: customer.clone(),
            node: node.parse()?,
            period: 1,
            amount: amount.parse()?,
            limit: "10".parse()?,
            revision: Revision(1),
        }))
    };
    let log = [
        grant(1, "vm-a", "6")?,
        grant(1, "vm-a", "6")?,
        grant(2, "vm-b", "6")?,
    ];
    let mut fold = grants::Fold::default();
    for record in &log {
        println!("grants: {:?}", fold.apply(record));
    }
    let held = fold.granted(&customer, 1, &"vm-a".parse()?);
    println!("grants: vm-a may spend {held}");
    Ok(())
}
