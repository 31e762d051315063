//! Runs one node as a process and reads its log.

use std::io::{BufRead, BufReader};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

const LINE_TIMEOUT: Duration = Duration::from_secs(20);

/// A complete set of settings; the ports are placeholders.
pub(crate) const COMPLETE: [&str; 10] = [
    "--node=listings-1",
    "--service=listings",
    "--data-centre=salt-lake",
    "--caller-address=127.0.0.1:1",
    "--control-address=127.0.0.1:2",
    "--link-address=127.0.0.1:3",
    "--gossip-address=127.0.0.1:4",
    "--platform-url=http://127.0.0.1:5",
    "--fleet-key=a fleet key for tests, long enough",
    "--operator-token=a token for tests",
];

/// A node process on free ports; killed when dropped, so also when the test panics.
pub(crate) struct RunningNode {
    child: Child,
    lines: mpsc::Receiver<String>,
}

impl RunningNode {
    /// Starts a node with these flags; each replaces the default flag of the same name.
    pub(crate) fn start(flags: &[&str]) -> Self {
        let is_overridden = |default: &&str| {
            let name = default.split('=').next();
            flags.iter().any(|flag| flag.split('=').next() == name)
        };
        let defaults = COMPLETE.iter().filter(|default| !is_overridden(default));
        let defaults = defaults.map(|flag| match flag.contains("-address=") {
            true => format!("{}0", flag.trim_end_matches(char::is_numeric)),
            false => (*flag).to_owned(),
        });
        let mut child = Command::new(env!("CARGO_BIN_EXE_hemlocktackd"))
            .args(defaults)
            .args(flags)
            .env_clear()
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary runs");
        let lines = lines_of(child.stdout.take().expect("its log"));
        RunningNode { child, lines }
    }

    /// Returns the next log line that contains the text.
    pub(crate) fn line_with(&self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(LINE_TIMEOUT).expect("a line");
            if line.contains(text) {
                return line;
            }
        }
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the lines of a log in a thread of its own.
fn lines_of(stdout: ChildStdout) -> mpsc::Receiver<String> {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let lines = BufReader::new(stdout).lines();
        for line in lines.map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    receiver
}
