//! Description of a command.

use getopts::Options;

use crate::arguments::Arguments;
use crate::error::Result;
use crate::output::Output;

/// Whether a command changes the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Changes the system. Repeating it is safe.
    Command,
    /// Changes nothing.
    Query,
}

/// An example command line with its explanation, shown by `--help` and run by a test.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// Command line without the program's name.
    pub line: &'static str,
    /// Short explanation.
    pub meaning: &'static str,
}

/// One command: its words, its arguments and its run function.
pub struct Signature {
    /// Words that select it, such as `config apply`.
    pub words: &'static str,
    /// Operands after the words, for the usage line.
    pub operands: &'static str,
    /// Whether it changes the system.
    pub effect: Effect,
    /// One-sentence description.
    pub summary: &'static str,
    /// Adds the command's own flags.
    pub(crate) flags: fn(&mut Options),
    /// Example command lines.
    pub examples: &'static [Example],
    /// Runs the command.
    pub(crate) run: fn(&mut Arguments<'_>, &mut Output<'_>) -> Result<()>,
}

/// `flags` function of commands without flags of their own.
pub(crate) fn no_flags(_: &mut Options) {}
