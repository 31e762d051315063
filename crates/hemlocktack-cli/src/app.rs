//! Dispatches a command line to its command and returns the exit code.

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
/// `environment` looks up environment variables. Reports are written to `stdout`, errors to `stderr`.
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
    // If stderr cannot be written, there is nowhere left to report that.
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
    if let Some(word) = requested_group(arguments) {
        stdout.write_all(group_overview(word).as_bytes())?;
        return Ok(());
    }
    let Some((signature, word_count)) = find(arguments) else {
        return Err(unknown_command(arguments));
    };
    let options = options_of(signature);
    let matches = options
        .parse(&arguments[word_count..])
        .map_err(|fail| usage_error(&fail))?;
    if matches.opt_present("help") {
        stdout.write_all(help_of(signature, &options).as_bytes())?;
        return Ok(());
    }
    let mut arguments = Arguments::new(matches, environment);
    let format = arguments.format();
    let mut output = Output::new(format, stdout);
    (signature.run)(&mut arguments, &mut output)
}

/// Returns the command group whose overview is requested: the group's word alone or followed only by
/// the help flag.
fn requested_group(arguments: &[String]) -> Option<&str> {
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
        "" => "missing command".to_owned(),
        words => format!("{words:?} is not a command"),
    };
    usage_finding("command", label, format!("known commands: {known}"))
}

fn usage_error(fail: &Fail) -> Error {
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
    command_list("COMMAND", CATALOGUE)
}

fn group_overview(word: &str) -> String {
    command_list(&format!("{word} COMMAND"), group(word))
}

/// Formats a usage line with these command words and one line for each command.
fn command_list(words: &str, signatures: impl IntoIterator<Item = &'static Signature>) -> String {
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
