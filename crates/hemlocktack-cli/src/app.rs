//! From a command line to a report and an exit code.

use std::io::Write;
use std::process::ExitCode;

use getopts::{Fail, Options};
use hemlocktack_protocol::Finding;

use crate::arguments::{Arguments, Environment};
use crate::catalogue::{CATALOGUE, find, group};
use crate::error::{Error, Result};
use crate::output::{self, Output};
use crate::settings;
use crate::signature::Signature;

const PROGRAM: &str = "hemlocktack";
const EXIT_CODES: &str = "Exit codes: 0 done, 1 refused by the system, \
                          2 bad usage or input (all findings are listed), 3 not reachable.";

/// Runs one command line.
///
/// `environment` looks up variables; reports go to `stdout`, everything about a
/// failure to `stderr`.
pub fn run(
    arguments: Vec<String>,
    environment: &dyn Fn(&str) -> Option<String>,
    stdout: &mut dyn Write,
    stderr: &mut dyn Write,
) -> ExitCode {
    let Err(error) = dispatch(&arguments, environment, stdout) else {
        return ExitCode::SUCCESS;
    };
    let report = output::failure(&error);
    // Nothing is left to tell a failure to when stderr itself fails.
    let _ = stderr.write_all(report.as_bytes());
    error.exit_code()
}

fn dispatch(
    arguments: &[String],
    environment: Environment<'_>,
    stdout: &mut dyn Write,
) -> Result<()> {
    match arguments.first().map(String::as_str) {
        Some("--version" | "-V") => {
            writeln!(stdout, "{PROGRAM} {}", env!("CARGO_PKG_VERSION"))?;
            return Ok(());
        }
        Some("--help" | "-h" | "help") => {
            stdout.write_all(overview().as_bytes())?;
            return Ok(());
        }
        _ => {}
    }
    if let Some(word) = asked_group(arguments) {
        stdout.write_all(group_overview(word).as_bytes())?;
        return Ok(());
    }
    let Some((signature, word_count)) = find(arguments) else {
        return Err(unknown_command(arguments));
    };
    let options = options_of(signature);
    let matches = options
        .parse(&arguments[word_count..])
        .map_err(|fail| usage_fault(&fail))?;
    if matches.opt_present("help") {
        stdout.write_all(help_of(signature, &options).as_bytes())?;
        return Ok(());
    }
    let mut arguments = Arguments::new(matches, environment);
    let format = arguments.format();
    let mut output = Output::new(format, stdout);
    (signature.run)(&mut arguments, &mut output)
}

/// Word of the group whose commands are asked for: it stands alone, or with the
/// flag for help and nothing else.
fn asked_group(arguments: &[String]) -> Option<&str> {
    let word = match arguments {
        [word] => word,
        [word, flag] if flag == "--help" || flag == "-h" => word,
        _ => return None,
    };
    let is_group = group(word).next().is_some();
    is_group.then_some(word)
}

fn options_of(signature: &Signature) -> Options {
    let mut options = Options::new();
    (signature.flags)(&mut options);
    settings::add_flags(&mut options);
    options
}

fn unknown_command(arguments: &[String]) -> Error {
    let words = arguments
        .iter()
        .take_while(|word| !word.starts_with('-'))
        .take(2)
        .map(String::as_str)
        .collect::<Vec<_>>()
        .join(" ");
    let known = CATALOGUE.map(|signature| signature.words).join(", ");
    let label = match words.as_str() {
        "" => "a command is missing".to_owned(),
        words => format!("{words:?} is no command"),
    };
    usage_finding("command", label, format!("known: {known}"))
}

fn usage_fault(fail: &Fail) -> Error {
    let flag = match fail {
        Fail::ArgumentMissing(flag)
        | Fail::UnrecognizedOption(flag)
        | Fail::OptionMissing(flag)
        | Fail::OptionDuplicated(flag)
        | Fail::UnexpectedArgument(flag) => flag,
    };
    usage_finding(&format!("--{flag}"), fail.to_string(), "see --help".into())
}

fn usage_finding(place: &str, label: String, help: String) -> Error {
    let finding = Finding {
        place: place.to_owned(),
        line: 0,
        label,
        help,
    };
    Error::Input {
        findings: vec![finding],
    }
}

fn overview() -> String {
    list_of("COMMAND", CATALOGUE)
}

fn group_overview(word: &str) -> String {
    list_of(&format!("{word} COMMAND"), group(word))
}

/// Usage with these command words, and a line for each of these commands.
fn list_of(words: &str, signatures: impl IntoIterator<Item = &'static Signature>) -> String {
    let mut text = format!("Usage: {PROGRAM} {words} [operands] [flags]\n\n");
    for signature in signatures {
        let usage = format!("{} {}", signature.words, signature.operands);
        text += &format!("  {:<22} {}\n", usage.trim_end(), signature.summary);
    }
    text += &format!("\n{PROGRAM} {words} --help shows flags and examples.\n{EXIT_CODES}\n");
    text
}

fn help_of(signature: &Signature, options: &Options) -> String {
    let brief = format!(
        "{}\n\nUsage: {PROGRAM} {} {} [flags]",
        signature.summary, signature.words, signature.operands
    );
    let mut text = options.usage(&brief);
    text += "\nExamples:\n";
    for example in signature.examples {
        text += &format!("  {}\n    {PROGRAM} {}\n", example.meaning, example.line);
    }
    text += &format!("\n{EXIT_CODES}\n");
    text
}
