//! One node as a process, and the lines of its log.

use std::io::{BufRead, BufReader};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

const LONGEST_WAIT: Duration = Duration::from_secs(20);

/// Settings of a node; its addresses are nowhere to listen.
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

/// A node that listens on free ports and ends with the test, also on a panic.
pub(crate) struct RunningNode {
    child: Child,
    lines: mpsc::Receiver<String>,
}

impl RunningNode {
    /// Starts it with flags beside the usual ones, of which the last counts.
    pub(crate) fn start(flags: &[&str]) -> Self {
        let is_given = |usual: &&str| {
            let name = usual.split('=').next();
            flags.iter().any(|flag| flag.split('=').next() == name)
        };
        let usual = COMPLETE.iter().filter(|usual| !is_given(usual));
        let usual = usual.map(|flag| match flag.contains("-address=") {
            true => format!("{}0", flag.trim_end_matches(char::is_numeric)),
            false => (*flag).to_owned(),
        });
        let mut child = Command::new(env!("CARGO_BIN_EXE_hemlocktackd"))
            .args(usual)
            .args(flags)
            .env_clear()
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary runs");
        let lines = lines_of(child.stdout.take().expect("its log"));
        RunningNode { child, lines }
    }

    /// The next line that has this text in it.
    pub(crate) fn line_with(&self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(LONGEST_WAIT).expect("a line");
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

/// Lines of a log, read as they come.
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
