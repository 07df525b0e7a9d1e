//! Stand-ins for the second review: the platform's store, a replica and a client, each a process of its own.
//! The names on the wire come from the file in `NAMES`.

mod client;
mod datagrams;
mod http;
mod names;
mod proxy;
mod replica;
mod store;

use std::env;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let rest: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    match arguments.first().map(String::as_str) {
        Some("store") => store::run(&rest),
        Some("put") => store::put(&rest),
        Some("replica") => replica::run(&rest),
        Some("proxy") => proxy::run(&rest),
        Some("datagrams") => datagrams::run(&rest),
        Some("client") => client::run(&rest),
        Some("ready") => client::wait_ready(&rest),
        _ => {
            eprintln!("store | put | replica | proxy | datagrams | client | ready");
            exit(2);
        }
    }
}
