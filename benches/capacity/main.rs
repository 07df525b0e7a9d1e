//! Measurements for `docs/CAPACITY.md`: how state, messages and processor time grow with load and
//! size.
//!
//! `cargo bench --bench capacity` prints all sections; arguments select sections by name. A section
//! prints its points and, for most quantities, a linear fit.

mod codec;
mod entry;
mod fit;
mod folds;
mod log;
mod mesh;
mod process;

/// Name of a section and the function that prints it.
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
