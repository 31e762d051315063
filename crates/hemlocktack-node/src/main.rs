//! `hemlocktackd`: runs one node beside one upstream instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    hemlocktack_node::run_from_command_line()
}
