//! Measurements for `docs/CAPACITY.md`: how state, message sizes and processor time grow with load.
//!
//! `cargo bench --bench capacity` runs every section and prints its tables. Names of sections as
//! arguments select those. A table lists the measured points, most with a straight line fitted
//! through them.

mod codec;
mod entry;
mod fit;
mod folds;
mod log;
mod mesh;
mod process;

/// A section's name and the function that runs it and prints its tables.
type Section = (&'static str, fn());

const SECTIONS: [Section; 6] = [
    ("folds", folds::print),
    ("codec", codec::print),
    ("mesh", mesh::print),
    ("log", log::print),
    ("path", entry::path),
    ("streams", entry::streams),
];

fn main() {
    let wanted: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with('-'))
        .collect();
    for (name, print) in SECTIONS {
        if wanted.is_empty() || wanted.iter().any(|want| want == name) {
            println!("\n== {name}");
            print();
        }
    }
}
