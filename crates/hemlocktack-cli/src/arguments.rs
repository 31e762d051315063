//! Reads the flags, operands and settings of one command line. Faults are collected as findings and
//! reported together.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufReader, Read};
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;
use hemlocktack_config::Document;
use hemlocktack_protocol::Finding;

use crate::error::{Error, Result};
use crate::log_lines::{self, LogLine};
use crate::output::Format;
use crate::rpc::Client;
use crate::settings::{self, Setting};

/// Looks up an environment variable.
pub(crate) type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Operand that selects standard input.
const STANDARD_INPUT: &str = "-";

/// A configuration document as text and in parsed form.
pub(crate) struct CheckedDocument {
    pub(crate) text: String,
    pub(crate) document: Document,
}

/// Parser state of one command line.
pub(crate) struct Arguments<'a> {
    matches: Matches,
    environment: Environment<'a>,
    operands: std::vec::IntoIter<String>,
    findings: Vec<Finding>,
}

impl<'a> Arguments<'a> {
    pub(crate) fn new(matches: Matches, environment: Environment<'a>) -> Self {
        let operands = matches.free.clone().into_iter();
        Arguments {
            matches,
            environment,
            operands,
            findings: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, place: &str, label: impl Display, help: impl Display) {
        self.findings.push(Finding {
            place: place.to_owned(),
            line: 0,
            label: label.to_string(),
            help: help.to_string(),
        });
    }

    /// Returns an error with every finding so far and one for each operand that was not read.
    pub(crate) fn finish(&mut self) -> Result<()> {
        while let Some(operand) = self.operands.next() {
            self.add(&operand, "unexpected operand", "see --help");
        }
        if self.findings.is_empty() {
            return Ok(());
        }
        let findings = std::mem::take(&mut self.findings);
        Err(Error::Input { findings })
    }

    /// Returns the next operand. If there is none, adds a finding and returns an empty string.
    pub(crate) fn operand(&mut self, name: &str) -> String {
        let Some(operand) = self.operands.next() else {
            self.add(name, "missing", "see --help");
            return String::new();
        };
        operand
    }

    /// Returns the contents of the file named by the next operand.
    pub(crate) fn file(&mut self) -> String {
        let path = self.operand("FILE");
        if path.is_empty() {
            return String::new();
        }
        self.read(&path)
    }

    /// Reads the log events of the files named by the remaining operands; at least one is required.
    pub(crate) fn logs(&mut self) -> Vec<LogLine> {
        let mut lines = Vec::new();
        self.each_log_line(|line| lines.push(line));
        lines
    }

    /// Passes the same events to `handle` one by one, so that memory use does not grow with the logs.
    pub(crate) fn each_log_line(&mut self, mut handle: impl FnMut(LogLine)) {
        let mut paths = vec![self.operand("FILE")];
        paths.extend(self.operands.by_ref());
        for path in paths.iter().filter(|path| !path.is_empty()) {
            if let Err(error) = read_log(path, &mut handle) {
                self.add(path, "cannot be read", error);
            }
        }
    }

    fn read(&mut self, path: &str) -> String {
        let contents = match path {
            STANDARD_INPUT => read_standard_input(),
            path => std::fs::read_to_string(path),
        };
        contents.unwrap_or_else(|error| {
            self.add(path, "cannot be read", error);
            String::new()
        })
    }

    /// Reads and parses the document named by the next operand. Its faults are reported together with
    /// those of the command line.
    pub(crate) fn document(&mut self) -> CheckedDocument {
        let findings_before = self.findings.len();
        let text = self.file();
        let is_read = self.findings.len() == findings_before;
        let mut document = Document::default();
        match hemlocktack_config::parse(&text) {
            Ok(checked) => document = checked,
            Err(error) if is_read => self.findings.extend(error.findings),
            Err(_) => {}
        }
        CheckedDocument { text, document }
    }

    pub(crate) fn is_set(&self, flag: &str) -> bool {
        self.matches.opt_present(flag)
    }

    pub(crate) fn text(&self, flag: &str) -> Option<String> {
        self.matches.opt_str(flag)
    }

    /// Returns the value of a flag that takes a whole number.
    pub(crate) fn number<T: FromStr>(&mut self, flag: &str) -> Option<T> {
        let text = self.text(flag)?;
        let number = text.parse().ok();
        if number.is_none() {
            let place = format!("--{flag}");
            let label = format!("{text:?} is not a whole number in the valid range");
            self.add(&place, label, "write a whole number");
        }
        number
    }

    /// Returns the value of a required flag that takes a whole number.
    pub(crate) fn required_number<T: FromStr + Default>(&mut self, flag: &str, help: &str) -> T {
        if !self.is_set(flag) {
            self.add(&format!("--{flag}"), "missing", help);
        }
        self.number(flag).unwrap_or_default()
    }

    /// Returns the value of an environment variable that is set and not empty.
    pub(crate) fn variable(&self, name: &str) -> Option<String> {
        (self.environment)(name).filter(|value| !value.is_empty())
    }

    fn setting(&self, setting: &Setting) -> Option<String> {
        self.text(setting.flag)
            .or_else(|| self.variable(setting.variable))
    }

    fn required_setting(&mut self, setting: &Setting) -> String {
        let value = self.setting(setting);
        if value.is_none() {
            let place = format!("--{}", setting.flag);
            let help = format!("give the flag or set {}", setting.variable);
            self.add(&place, "missing", help);
        }
        value.unwrap_or_default()
    }

    /// Returns the output format.
    pub(crate) fn format(&mut self) -> Format {
        let Some(name) = self.setting(&settings::OUTPUT) else {
            return Format::Text;
        };
        let Ok(format) = name.parse() else {
            let label = format!("{name:?} is not an output format");
            self.add("--output", label, "write text or json");
            return Format::Text;
        };
        format
    }

    /// Creates a client of the node that the settings select.
    pub(crate) fn client(&mut self) -> Client {
        let node_url = self.required_setting(&settings::NODE_URL);
        let token = self.required_setting(&settings::TOKEN);
        let timeout = self.timeout();
        let is_http = node_url.starts_with("http://") && node_url.len() > "http://".len();
        if !node_url.is_empty() && !is_http {
            let label = format!("{node_url:?} is not a URL of a node");
            let help = "write it as http://10.0.0.7:7401";
            self.add("--node-url", label, help);
        }
        if token.chars().any(char::is_control) {
            let help = "it contains control characters, perhaps a trailing line break";
            self.add("--token", "the token cannot be sent", help);
        }
        Client::new(node_url, token, timeout)
    }

    fn timeout(&mut self) -> Duration {
        let Some(text) = self.setting(&settings::TIMEOUT) else {
            return settings::DEFAULT_TIMEOUT;
        };
        match text.parse() {
            Ok(timeout_ms) if timeout_ms > 0 => Duration::from_millis(timeout_ms),
            _ => {
                let label = format!("{text:?} is not a valid timeout");
                let help = "write milliseconds, 1 or more";
                self.add("--timeout-ms", label, help);
                settings::DEFAULT_TIMEOUT
            }
        }
    }
}

fn read_log(path: &str, handle: impl FnMut(LogLine)) -> std::io::Result<()> {
    match path {
        STANDARD_INPUT => log_lines::for_each(std::io::stdin().lock(), path, handle),
        path => log_lines::for_each(BufReader::new(File::open(path)?), path, handle),
    }
}

fn read_standard_input() -> std::io::Result<String> {
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    Ok(text)
}
