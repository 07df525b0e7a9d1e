//! Reads and checks the files that operators pass to commands.

use std::fs;

use pimento_contract::State;
use pimento_contract::Value;
use pimento_contract::raw::Configuration;
use pimento_contract::raw::File;
use pimento_contract::raw::Findings;
use pimento_contract::raw::Input;

use crate::exit::Error;

/// Reads all files. Those that can't be read are reported together in one [`Error::Usage`].
pub(crate) fn load(paths: &[String]) -> Result<Vec<File>, Error> {
    let mut files = Vec::with_capacity(paths.len());
    let mut errors = Vec::new();
    for path in paths {
        match fs::read_to_string(path) {
            Ok(text) => files.push(File {
                name: path.as_str().into(),
                text,
            }),
            Err(error) => errors.push(format!("{path}: {error}")),
        }
    }
    if errors.is_empty() {
        return Ok(files);
    }
    Err(Error::usage(errors.join("\n")))
}

/// Checks the files together, with references to `known` subjects allowed.
pub(crate) fn check(files: &[File], known: &State) -> Result<Vec<Value>, Error> {
    let configuration =
        Configuration::try_from(Input { files, known }).map_err(|findings| report(&findings))?;
    Ok(configuration.values)
}

fn report(findings: &Findings) -> Error {
    let count = findings.as_slice().len();
    Error::usage(format!("{findings}{count} finding(s)"))
}
