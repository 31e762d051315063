//! The settings file: lines `NAME=value` under the names of the environment.

use std::collections::HashMap;
use std::fs::File;
use std::io::Read;
use std::path::Path;

use super::flags::{FLAGS, environment_name};

/// Result of reading a settings file; the error lists findings with their place.
pub(super) type Result<T> = std::result::Result<T, Vec<String>>;

/// Values by the name of their environment variable.
pub(super) type Values = HashMap<String, String>;

/// A settings file is a few hundred bytes; one that is much larger is another file.
const SIZE_LIMIT_BYTES: usize = 64 << 10;

/// Bytes of the file at `path`, no more than tell that it is too large.
pub(super) fn read_bytes(path: &Path) -> std::io::Result<Vec<u8>> {
    let mut contents = Vec::new();
    let most = SIZE_LIMIT_BYTES as u64 + 1;
    File::open(path)?.take(most).read_to_end(&mut contents)?;
    Ok(contents)
}

/// Reads what the file at `path` holds.
pub(super) fn read(path: &Path, contents: Vec<u8>) -> Result<Values> {
    let place = path.display();
    if contents.len() > SIZE_LIMIT_BYTES {
        return Err(vec![format!(
            "{place}: over {SIZE_LIMIT_BYTES} bytes; is it a settings file?"
        )]);
    }
    let text = String::from_utf8(contents).map_err(|error| vec![format!("{place}: {error}")])?;
    parse(&text).map_err(|findings| {
        let with_place = |finding| format!("{place}:{finding}");
        findings.into_iter().map(with_place).collect()
    })
}

/// Blank lines and lines that begin with `#` say nothing. A value stands as it
/// is written, without quotes.
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
            findings.push(format!("{number}: '{name}' is no setting; see --help"));
        } else if values
            .insert(name.to_owned(), value.trim().to_owned())
            .is_some()
        {
            findings.push(format!("{number}: '{name}' stands twice"));
        }
    }
    if findings.is_empty() {
        Ok(values)
    } else {
        Err(findings)
    }
}

/// Anything else may be a secret with a `=` in it, and is not repeated.
fn is_name(text: &str) -> bool {
    let is_of_names = |c: char| c.is_ascii_uppercase() || c.is_ascii_digit() || c == '_';
    text.chars().all(is_of_names)
}
