//! Reports as text for people or as JSON for programs.

mod failure;
mod table;

use std::io::Write;

use serde::Serialize;
use strum::EnumString;

use crate::error::{Error, Result};

pub(crate) use failure::failure;
pub(crate) use table::Table;

/// Output format of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum Format {
    /// For people.
    Text,
    /// For programs: one JSON value.
    Json,
}

/// Writes the reports of one command in the selected format.
pub(crate) struct Output<'a> {
    format: Format,
    writer: &'a mut dyn Write,
}

impl<'a> Output<'a> {
    pub(crate) fn new(format: Format, writer: &'a mut dyn Write) -> Self {
        Output { format, writer }
    }

    /// Writes one report: `text` for people, or `data` for programs.
    pub(crate) fn report(&mut self, text: &str, data: &impl Serialize) -> Result<()> {
        match self.format {
            Format::Text => self.writer.write_all(text.as_bytes())?,
            Format::Json => {
                let json = serde_json::to_string_pretty(data)
                    .map_err(|error| Error::Output(error.into()))?;
                writeln!(self.writer, "{json}")?;
            }
        }
        self.writer.flush()?;
        Ok(())
    }

    /// Clears the terminal before the next report. JSON output is left alone: programs get one value
    /// after the other.
    pub(crate) fn clear_screen(&mut self) -> Result<()> {
        const CLEAR: &str = "\x1b[2J\x1b[H";
        if self.format == Format::Text {
            self.writer.write_all(CLEAR.as_bytes())?;
        }
        Ok(())
    }
}
