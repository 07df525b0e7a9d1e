//! The versions that contracts allow, read from the operators' files.
//!
//! This parser reads only the fields that it needs and shares no code with the router, so that a
//! fault in the router's parser can't hide itself.

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

/// Allowed versions by customer and class, sorted.
#[derive(Debug, Clone, Default)]
pub struct AllowedVersions(Vec<(id::Customer, id::Class, Vec<id::Version>)>);

impl AllowedVersions {
    /// Adds the contracts in a file.
    ///
    /// # Errors
    ///
    /// If the text can't be parsed.
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

    /// Whether no contract was added.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a version may answer calls to a customer's class; none if the class is unknown.
    #[must_use]
    pub fn allows(
        &self,
        customer: &id::Customer,
        class: &id::Class,
        version: &id::Version,
    ) -> Option<bool> {
        let index = self
            .0
            .binary_search_by(|(c, k, _)| (c, k).cmp(&(customer, class)))
            .ok()?;
        Some(self.0[index].2.contains(version))
    }
}
