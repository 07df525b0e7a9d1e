//! Reads a TOML table key by key and reports wrong types, missing keys and unknown keys.

use std::fmt::Display;
use std::str::FromStr;

use compact_str::CompactString;
use compact_str::format_compact;
use pimento_units::Share;
use toml::Spanned;
use toml::de::DeArray;
use toml::de::DeTable;
use toml::de::DeValue;

use super::Lines;
use super::finding::Place;
use super::finding::Report;

/// A value with its location, for findings of later checks.
#[derive(Debug, Clone)]
pub(super) struct Placed<T> {
    pub(super) value: T,
    pub(super) place: Place,
}

/// A table in a file.
#[derive(Debug)]
pub(super) struct Table<'a, 'i> {
    keys: &'a DeTable<'i>,
    lines: &'a Lines<'a>,
    report: &'a Report,
    place: Place,
    used: Vec<&'static str>,
}

impl<'a, 'i> Table<'a, 'i> {
    pub(super) fn root(keys: &'a DeTable<'i>, lines: &'a Lines<'a>, report: &'a Report) -> Self {
        Self {
            keys,
            lines,
            report,
            place: lines.place(0..0, ""),
            used: Vec::new(),
        }
    }

    /// Where the table starts.
    pub(super) fn place(&self) -> &Place {
        &self.place
    }

    /// Adds a finding at `key`, or at the table if the key is missing.
    pub(super) fn add_finding(&self, key: &str, message: impl Display) {
        self.report.add(&self.at(key), message);
    }

    fn at(&self, key: &str) -> Place {
        match self.keys.get(key) {
            Some(value) => self.lines.place(value.span(), self.path(key)),
            None => Place {
                path: self.path(key),
                ..self.place.clone()
            },
        }
    }

    fn path(&self, key: &str) -> CompactString {
        if self.place.path.is_empty() {
            return key.into();
        }
        format_compact!("{}.{key}", self.place.path)
    }

    fn find(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        self.used.push(key);
        self.keys.get(key)
    }

    fn require(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        let found = self.find(key);
        if found.is_none() {
            self.add_finding(key, "is missing");
        }
        found
    }

    /// Reads a required string.
    pub(super) fn text<T>(&mut self, key: &'static str) -> Option<Placed<T>>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.require(key)?;
        self.parse(value, self.path(key))
    }

    /// Reads an optional string with a default.
    pub(super) fn text_or<T>(&mut self, key: &'static str, default: T) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let Some(value) = self.find(key) else {
            return Some(default);
        };
        self.parse(value, self.path(key)).map(|placed| placed.value)
    }

    fn parse<T>(&self, value: &Spanned<DeValue<'i>>, path: CompactString) -> Option<Placed<T>>
    where
        T: FromStr<Err: Display>,
    {
        let place = self.lines.place(value.span(), path);
        let DeValue::String(text) = value.get_ref() else {
            self.report
                .add(&place, type_mismatch("a string in quotes", value));
            return None;
        };
        match text.parse() {
            Ok(value) => Some(Placed { value, place }),
            Err(error) => {
                self.report.add(&place, error);
                None
            }
        }
    }

    /// Reads a required integer of at least `least`.
    pub(super) fn number<T: TryFrom<u64>>(&mut self, key: &'static str, least: u64) -> Option<T> {
        let value = self.require(key)?;
        self.integer(key, value, least)
    }

    /// Reads an optional integer of at least `least`, with a default.
    pub(super) fn number_or<T>(&mut self, key: &'static str, least: u64, default: T) -> Option<T>
    where
        T: TryFrom<u64>,
    {
        match self.find(key) {
            Some(value) => self.integer(key, value, least),
            None => Some(default),
        }
    }

    fn integer<T>(&self, key: &str, value: &Spanned<DeValue<'i>>, least: u64) -> Option<T>
    where
        T: TryFrom<u64>,
    {
        let DeValue::Integer(digits) = value.get_ref() else {
            self.add_finding(key, type_mismatch("an integer", value));
            return None;
        };
        let number = i128::from_str_radix(digits.as_str(), digits.radix()).ok();
        let number = number.and_then(|number| u64::try_from(number).ok());
        let Some(number) = number.filter(|number| *number >= least) else {
            self.add_finding(key, format!("must be at least {least}, not {digits}"));
            return None;
        };
        let Ok(number) = T::try_from(number) else {
            self.add_finding(key, format!("{number} is too large"));
            return None;
        };
        Some(number)
    }

    /// Reads a required share between 0 and 1.
    pub(super) fn share(&mut self, key: &'static str) -> Option<Share> {
        let number = self.decimal(key)?;
        self.checked(key, Share::try_from(number))
    }

    /// Reads a required number, which may have decimals.
    pub(super) fn decimal(&mut self, key: &'static str) -> Option<f64> {
        let value = self.require(key)?;
        let number = decimal(value);
        if number.is_none() {
            self.add_finding(key, type_mismatch("a number", value));
        }
        number
    }

    fn checked<T, E: Display>(&self, key: &str, result: Result<T, E>) -> Option<T> {
        result.map_err(|error| self.add_finding(key, error)).ok()
    }

    /// Reads a required array of shares.
    pub(super) fn shares(&mut self, key: &'static str) -> Option<Vec<Share>> {
        let value = self.require(key)?;
        let items = self.array(key, value)?;
        let mut shares = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            let place = self.element(key, index, item);
            let Some(number) = decimal(item) else {
                self.report.add(&place, type_mismatch("a number", item));
                continue;
            };
            match Share::try_from(number) {
                Ok(share) => shares.push(share),
                Err(error) => self.report.add(&place, error),
            }
        }
        (shares.len() == items.len()).then_some(shares)
    }

    /// Reads an array of strings; empty if the key is missing. Faulty elements are reported and left
    /// out.
    pub(super) fn texts<T>(&mut self, key: &'static str) -> Vec<Placed<T>>
    where
        T: FromStr<Err: Display>,
    {
        let Some(value) = self.find(key) else {
            return Vec::new();
        };
        let items = self.array(key, value).map(|items| items.iter());
        items
            .into_iter()
            .flatten()
            .enumerate()
            .filter_map(|(index, item)| self.parse(item, self.element(key, index, item).path))
            .collect()
    }

    fn array(&self, key: &str, value: &'a Spanned<DeValue<'i>>) -> Option<&'a DeArray<'i>> {
        let DeValue::Array(items) = value.get_ref() else {
            self.add_finding(key, type_mismatch("an array", value));
            return None;
        };
        Some(items)
    }

    fn element(&self, key: &str, index: usize, item: &Spanned<DeValue<'i>>) -> Place {
        let path = format_compact!("{}[{index}]", self.path(key));
        self.lines.place(item.span(), path)
    }

    /// Reads a required table.
    pub(super) fn table(&mut self, key: &'static str) -> Option<Self> {
        let value = self.require(key)?;
        self.nested(value, self.at(key))
    }

    /// Reads the tables of a `[[key]]`; empty if the key is missing.
    pub(super) fn tables(&mut self, key: &'static str) -> Vec<Self> {
        let Some(value) = self.find(key) else {
            return Vec::new();
        };
        let Some(items) = self.array(key, value) else {
            return Vec::new();
        };
        items
            .iter()
            .enumerate()
            .filter_map(|(index, item)| self.nested(item, self.element(key, index, item)))
            .collect()
    }

    fn nested(&self, value: &'a Spanned<DeValue<'i>>, place: Place) -> Option<Self> {
        let DeValue::Table(keys) = value.get_ref() else {
            self.report.add(&place, type_mismatch("a table", value));
            return None;
        };
        Some(Self {
            keys,
            lines: self.lines,
            report: self.report,
            place,
            used: Vec::new(),
        })
    }

    /// Reports keys that were not read. Otherwise a misspelt optional key would silently leave its
    /// default in force.
    pub(super) fn finish(self) {
        for key in self.keys.keys() {
            let name = key.get_ref().as_ref();
            if self.used.contains(&name) {
                continue;
            }
            let place = self.lines.place(key.span(), self.path(name));
            let known = self.used.join(", ");
            self.report
                .add(&place, format!("is not a known key (known keys: {known})"));
        }
    }
}

fn decimal(value: &Spanned<DeValue<'_>>) -> Option<f64> {
    match value.get_ref() {
        DeValue::Float(number) => number.as_str().parse().ok(),
        DeValue::Integer(number) => number.as_str().parse().ok(),
        _ => None,
    }
}

fn type_mismatch(expected: &str, found: &Spanned<DeValue<'_>>) -> String {
    let found = match found.get_ref() {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "an integer",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "an array",
        DeValue::Table(_) => "a table",
    };
    format!("must be {expected}, not {found}")
}
