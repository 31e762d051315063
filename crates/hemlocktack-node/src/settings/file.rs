//! The settings file: lines `NAME=value`, with the names of the environment variables.

use std::collections::HashMap;
use std::fs::File;
use std::io::Read;
use std::path::Path;

use super::flags::{FLAGS, environment_name};

/// Result of reading a settings file; the error lists all findings with their line.
pub(super) type Result<T> = std::result::Result<T, Vec<String>>;

/// Values by environment variable name.
pub(super) type Values = HashMap<String, String>;

/// A settings file has a few hundred bytes; a much larger file is not one.
const SIZE_LIMIT_BYTES: usize = 64 << 10;

/// Reads the file at `path`, but no more of it than shows that it is too large.
pub(super) fn read_bytes(path: &Path) -> std::io::Result<Vec<u8>> {
    let mut contents = Vec::new();
    let max_bytes = SIZE_LIMIT_BYTES as u64 + 1;
    File::open(path)?
        .take(max_bytes)
        .read_to_end(&mut contents)?;
    Ok(contents)
}

/// Parses the contents of the file at `path`.
pub(super) fn read(path: &Path, contents: Vec<u8>) -> Result<Values> {
    let place = path.display();
    if contents.len() > SIZE_LIMIT_BYTES {
        return Err(vec![format!(
            "{place}: larger than {SIZE_LIMIT_BYTES} bytes; is it a settings file?"
        )]);
    }
    let text = String::from_utf8(contents).map_err(|error| vec![format!("{place}: {error}")])?;
    parse(&text).map_err(|findings| {
        let with_place = |finding| format!("{place}:{finding}");
        findings.into_iter().map(with_place).collect()
    })
}

/// Skips blank lines and lines that begin with `#`. Values are taken literally; quotes
/// are not removed.
fn parse(text: &str) -> Result<Values> {
    let mut values = Values::new();
    let mut findings = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let (number, line) = (index + 1, line.trim());
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let Some((name, value)) = line.split_once('=') else {
            findings.push(format!("{number}: not of the form NAME=value"));
            continue;
        };
        let name = name.trim();
        if !is_name(name) {
            findings.push(format!("{number}: no name before the '='"));
        } else if !FLAGS.iter().any(|flag| environment_name(flag.name) == name) {
            findings.push(format!("{number}: '{name}' is not a setting; see --help"));
        } else if values
            .insert(name.to_owned(), value.trim().to_owned())
            .is_some()
        {
            findings.push(format!("{number}: '{name}' is set twice"));
        }
    }
    if findings.is_empty() {
        Ok(values)
    } else {
        Err(findings)
    }
}

/// Returns whether the text may be quoted as a name. Anything else may be a secret that
/// contains `=`, and is not quoted in findings.
fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_uppercase() || c.is_ascii_digit() || c == '_';
    text.chars().all(is_allowed)
}
