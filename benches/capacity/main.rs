//! Slopes for `docs/CAPACITY.md`: what state, messages and processor time grow with.
//!
//! `cargo bench --bench capacity` prints every table; names of sections as arguments print only
//! those. Each section gives its points and a straight line through them.

mod codec;
mod entry;
mod fit;
mod folds;
mod log;
mod mesh;
mod process;

/// A section's name and what prints it.
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
