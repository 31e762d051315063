//! A child process that is killed when its owner is dropped, so also on a panic.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use super::wait_until;

/// Log filter of the processes; a failed test reports their log.
const LOG_FILTER: &str = "warn,rocket=off";

/// A child process.
pub(crate) struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program of this workspace; its log goes to the test's stderr.
    pub(crate) fn start(name: &str, program: &Path, arguments: &[String]) -> Process {
        assert!(
            program.exists(),
            "{} is missing: cargo build --workspace --bins --examples",
            program.display()
        );
        let child = Command::new(program)
            .args(arguments)
            .env("RUST_LOG", LOG_FILTER)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Process {
            name: name.to_owned(),
            child,
        }
    }

    /// Sends a signal such as `STOP`.
    pub(crate) fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(status.unwrap().success(), "{}: kill -{signal}", self.name);
    }

    /// Kills it without a chance to clean up.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Waits until it ends and returns its exit code; `None` if a signal ended it.
    pub(crate) async fn exit_code(&mut self) -> Option<i32> {
        let what = format!("{} ends", self.name);
        let child = &mut self.child;
        let mut status = None;
        wait_until(&what, || {
            status = child.try_wait().unwrap();
            std::future::ready(status.is_some())
        })
        .await;
        status.unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The node's binary.
pub(crate) fn node_program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_hemlocktackd"))
}

/// The command-line tool of operators, built beside the node.
pub(crate) fn operator_program() -> PathBuf {
    node_program().with_file_name("hemlocktack")
}

/// A stand-in that is built as an example.
pub(crate) fn example_program(name: &str) -> PathBuf {
    node_program().with_file_name("examples").join(name)
}
