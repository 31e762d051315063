//! `hemlocktack`: the operators' command line.

use std::env;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = env::args().skip(1).collect();
    let environment = |name: &str| env::var(name).ok();
    let mut stdout = io::stdout().lock();
    let mut stderr = io::stderr().lock();
    hemlocktack_cli::run(arguments, &environment, &mut stdout, &mut stderr)
}
