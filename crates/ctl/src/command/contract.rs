//! `contract check`: validates files of contracts.

use pimento_contract::State;
use pimento_contract::Value;

use crate::exit::Error;
use crate::files;
use crate::output::Output;

/// Checks the files together, without contacting the log.
///
/// # Errors
///
/// [`Error::Usage`] with all findings, or with all files that can't be read.
pub fn check(paths: &[String]) -> Result<Output, Error> {
    let files = files::load(paths)?;
    let values = files::check(&files, &State::default())?;
    let subjects: Vec<String> = values
        .iter()
        .map(|value: &Value| value.subject().to_string())
        .collect();
    let rows = subjects.iter().map(|subject| vec![subject.clone()]);
    Ok(Output::new(&["checked"], rows.collect(), &subjects))
}
