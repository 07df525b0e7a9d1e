//! Results of commands, printed as a table or as JSON.

use comfy_table::Cell;
use comfy_table::Table;
use comfy_table::presets::UTF8_BORDERS_ONLY;
use serde::Serialize;
use serde_json::Value;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// A table for people.
    Table,
    /// One JSON document for programs.
    Json,
}

/// A result that can be printed in either format.
#[derive(Debug, Clone)]
pub struct Output {
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
    json: Value,
}

impl Output {
    /// Creates a result with table rows and `items` as its JSON form.
    ///
    /// # Panics
    ///
    /// If `items` can't be represented in JSON, which no type of this crate does.
    #[must_use]
    pub fn new(columns: &[&'static str], rows: Vec<Vec<String>>, items: &impl Serialize) -> Self {
        let json = serde_json::to_value(items).expect("results can be represented in JSON");
        Self {
            columns: columns.to_vec(),
            rows,
            json,
        }
    }

    /// Formats the result.
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
