//! Operators, who run the command-line tool as a process.

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Stdio};

use serde_json::Value;

use super::OPERATOR_TOKEN;
use super::process::operator_program;

/// Result of one run of the command-line tool.
#[derive(Debug)]
pub(crate) struct CommandResult {
    pub(crate) exit_code: i32,
    pub(crate) report: Value,
    pub(crate) stderr: String,
}

/// An operator who sends commands to one node.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    node_control: SocketAddr,
    name: String,
}

impl Operator {
    pub(crate) fn at(node_control: SocketAddr, name: &str) -> Operator {
        Operator {
            node_control,
            name: name.to_owned(),
        }
    }

    /// Runs `config apply` with this expected generation.
    pub(crate) async fn apply(&self, document: &str, expected_generation: u64) -> CommandResult {
        let expected = expected_generation.to_string();
        let arguments = ["config", "apply", "-", "--expect-generation", &expected];
        self.run(&arguments, document).await
    }

    /// Runs a command with this text on its standard input.
    pub(crate) async fn run(&self, arguments: &[&str], input: &str) -> CommandResult {
        let mut command = Command::new(operator_program());
        command
            .args(arguments)
            .args(["--output", "json"])
            .env(
                "HEMLOCKTACK_NODE_URL",
                format!("http://{}", self.node_control),
            )
            .env("HEMLOCKTACK_OPERATOR_TOKEN", OPERATOR_TOKEN)
            .env("HEMLOCKTACK_AUTHOR", &self.name)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let input = input.to_owned();
        let output = tokio::task::spawn_blocking(move || {
            let mut child = command.spawn().unwrap();
            // Writing fails if the command fails before it reads its input.
            let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
            child.wait_with_output().unwrap()
        })
        .await
        .unwrap();
        CommandResult {
            exit_code: output.status.code().unwrap(),
            report: serde_json::from_slice(&output.stdout).unwrap_or_default(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

impl CommandResult {
    /// The generation in the report; `None` if the change was not accepted.
    pub(crate) fn generation(&self) -> Option<u64> {
        let generation = &self.report["generation"];
        let text = generation.as_str().map(str::to_owned);
        text.unwrap_or_else(|| generation.to_string()).parse().ok()
    }
}
