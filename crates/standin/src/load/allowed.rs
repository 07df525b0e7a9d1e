//! Which versions the contracts allow, read from the operators' files.
//!
//! Reads only what it needs and nothing of the product's own reading of these files, so that a
//! fault there does not hide itself.

use pimento_units::id;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct File {
    #[serde(default)]
    contract: Vec<Contract>,
}

#[derive(Debug, Deserialize)]
struct Contract {
    customer: id::Customer,
    #[serde(default)]
    class: Vec<Class>,
}

#[derive(Debug, Deserialize)]
struct Class {
    name: id::Class,
    versions: Vec<id::Version>,
}

/// Versions by customer and class, sorted.
#[derive(Debug, Clone, Default)]
pub struct Allowed(Vec<(id::Customer, id::Class, Vec<id::Version>)>);

impl Allowed {
    /// Adds the contracts of a file.
    ///
    /// # Errors
    ///
    /// What the reader of the file found.
    pub fn add(&mut self, text: &str) -> Result<(), toml::de::Error> {
        let file: File = toml::from_str(text)?;
        for contract in file.contract {
            for class in contract.class {
                let customer = contract.customer.clone();
                self.0.push((customer, class.name, class.versions));
            }
        }
        self.0.sort_by(|a, b| (&a.0, &a.1).cmp(&(&b.0, &b.1)));
        Ok(())
    }

    /// Whether no contract is known.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a class of a customer may be answered by a version; none if the class is unknown.
    #[must_use]
    pub fn allows(
        &self,
        customer: &id::Customer,
        class: &id::Class,
        version: &id::Version,
    ) -> Option<bool> {
        let place = self
            .0
            .binary_search_by(|(c, k, _)| (c, k).cmp(&(customer, class)))
            .ok()?;
        Some(self.0[place].2.contains(version))
    }
}
