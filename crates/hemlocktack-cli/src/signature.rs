//! How a command describes itself.

use getopts::Options;

use crate::arguments::Arguments;
use crate::error::Result;
use crate::output::Output;

/// Whether repeating a command can change anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Changes the system. Repeating it is safe.
    Command,
    /// Changes nothing.
    Query,
}

/// A command line and what it does, shown by `--help` and run by a test.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// Command line without the program's name.
    pub line: &'static str,
    /// What it does, in a few words.
    pub meaning: &'static str,
}

/// One command: its words, its arguments and its run function.
pub struct Signature {
    /// Words that select it, such as `config apply`.
    pub words: &'static str,
    /// Arguments after the words, for the usage line.
    pub operands: &'static str,
    /// Whether it changes anything.
    pub effect: Effect,
    /// One sentence.
    pub summary: &'static str,
    /// Adds its own flags.
    pub(crate) flags: fn(&mut Options),
    /// Ways to use it.
    pub examples: &'static [Example],
    /// Does it.
    pub(crate) run: fn(&mut Arguments<'_>, &mut Output<'_>) -> Result<()>,
}

/// For commands that have no flags of their own.
pub(crate) fn no_flags(_: &mut Options) {}
