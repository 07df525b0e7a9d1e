//! What commands print: a table for people or JSON for machines.

use comfy_table::Cell;
use comfy_table::Table;
use comfy_table::presets::UTF8_BORDERS_ONLY;
use serde::Serialize;
use serde_json::Value;

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// A table.
    Table,
    /// JSON, one document.
    Json,
}

/// A result in both forms.
#[derive(Debug, Clone)]
pub struct Output {
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
    json: Value,
}

impl Output {
    /// A result whose JSON form is `items`.
    ///
    /// # Panics
    ///
    /// Never for the types of this crate: they are plain JSON.
    #[must_use]
    pub fn new(columns: &[&'static str], rows: Vec<Vec<String>>, items: &impl Serialize) -> Self {
        let json = serde_json::to_value(items).expect("results are plain JSON");
        Self {
            columns: columns.to_vec(),
            rows,
            json,
        }
    }

    /// The text to print.
    #[must_use]
    pub fn text(&self, format: Format) -> String {
        match format {
            Format::Json => format!("{:#}", self.json),
            Format::Table => self.table(),
        }
    }

    fn table(&self) -> String {
        if self.rows.is_empty() {
            return "(nothing)".into();
        }
        let mut table = Table::new();
        table.load_preset(UTF8_BORDERS_ONLY);
        table.set_header(self.columns.iter().map(Cell::new));
        table.add_rows(&self.rows);
        table.trim_fmt()
    }
}
