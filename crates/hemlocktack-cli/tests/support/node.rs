//! A fake node that serves only the operators' methods, and helpers that run the binary against it.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use hemlocktack_protocol::{OperatorError, OperatorErrorCode};
use prost::Message;

pub(crate) const TOKEN: &str = "not-for-the-eyes-of-others";
const PROTOBUF: &str = "application/x-protobuf";

/// One request that the fake node received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) path: String,
    pub(crate) authorization: String,
    pub(crate) body: Vec<u8>,
}

/// What the fake node does with a request.
pub(crate) enum Reply {
    Answer(Vec<u8>),
    Refusal(OperatorError),
    /// Closes the connection without a response.
    Lost,
    /// Declares the full length and sends half of the body.
    Truncated(Vec<u8>),
    /// An HTML page, as another program would send it.
    NotANode,
}

pub(crate) fn answer(message: impl Message) -> Reply {
    Reply::Answer(message.encode_to_vec())
}

pub(crate) fn refusal(code: OperatorErrorCode, message: &str) -> OperatorError {
    OperatorError {
        code: <&str>::from(code).to_owned(),
        message: message.to_owned(),
        ..OperatorError::default()
    }
}

type Handler = Box<dyn FnMut(&ReceivedRequest) -> Reply + Send>;

pub(crate) struct FakeNode {
    address: String,
    seen: Arc<Mutex<Vec<ReceivedRequest>>>,
    stopping: Arc<AtomicBool>,
    acceptor: Option<JoinHandle<()>>,
}

impl FakeNode {
    pub(crate) fn start(handler: impl FnMut(&ReceivedRequest) -> Reply + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let stopping = Arc::new(AtomicBool::new(false));
        let acceptor = thread::spawn({
            let seen = Arc::clone(&seen);
            let stopping = Arc::clone(&stopping);
            let mut handler: Handler = Box::new(handler);
            move || {
                for stream in listener.incoming() {
                    if stopping.load(Ordering::SeqCst) {
                        return;
                    }
                    serve(stream.unwrap(), &seen, &mut handler);
                }
            }
        });
        FakeNode {
            address,
            seen,
            stopping,
            acceptor: Some(acceptor),
        }
    }

    pub(crate) fn seen(&self) -> Vec<ReceivedRequest> {
        self.seen.lock().unwrap().clone()
    }

    /// Runs the binary against this node, from the root of the workspace.
    pub(crate) fn run(&self, line: &str) -> Report {
        let node_url = format!("http://{}", self.address);
        let variables = [
            ("HEMLOCKTACK_NODE_URL", node_url.as_str()),
            ("HEMLOCKTACK_OPERATOR_TOKEN", TOKEN),
            ("HEMLOCKTACK_AUTHOR", "asha"),
        ];
        let mut report = run(line, &variables);
        report.stderr = report.stderr.replace(&self.address, "NODE");
        report
    }
}

impl Drop for FakeNode {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(&self.address);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
    }
}

/// Output and exit code of one run of the binary.
pub(crate) struct Report {
    pub(crate) stdout: String,
    pub(crate) stderr: String,
    pub(crate) exit_code: i32,
}

impl Report {
    pub(crate) fn to_text(&self) -> String {
        format!(
            "{}{}exit code {}\n",
            self.stdout, self.stderr, self.exit_code
        )
    }
}

/// Runs the binary with these environment variables and no others.
pub(crate) fn run(line: &str, variables: &[(&str, &str)]) -> Report {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let output = Command::new(env!("CARGO_BIN_EXE_hemlocktack"))
        .args(line.split_whitespace())
        .current_dir(root)
        .env_clear()
        .envs(variables.iter().copied())
        .output()
        .unwrap();
    report(output)
}

fn report(output: Output) -> Report {
    let stdout = String::from_utf8(output.stdout).unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(!stdout.contains(TOKEN), "the token is printed");
    assert!(!stderr.contains(TOKEN), "the token is printed");
    Report {
        stdout,
        stderr,
        exit_code: output.status.code().unwrap(),
    }
}

fn serve(mut stream: TcpStream, seen: &Mutex<Vec<ReceivedRequest>>, handler: &mut Handler) {
    let request = read_request(&stream);
    seen.lock().unwrap().push(request.clone());
    let (status, content_type, body, sent) = match handler(&request) {
        Reply::Lost => return,
        Reply::Answer(body) => (200, PROTOBUF, body.clone(), body.len()),
        Reply::Truncated(body) => (200, PROTOBUF, body.clone(), body.len() / 2),
        Reply::NotANode => (200, "text/html", b"<html>".to_vec(), 6),
        Reply::Refusal(error) => {
            let status = error.code.parse::<OperatorErrorCode>().unwrap().status();
            let body = error.encode_to_vec();
            (status, PROTOBUF, body.clone(), body.len())
        }
    };
    let head = format!(
        "HTTP/1.1 {status} Fake\r\ncontent-type: {content_type}\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&body[..sent]).unwrap();
}

fn read_request(stream: &TcpStream) -> ReceivedRequest {
    let mut reader = BufReader::new(stream);
    let mut request_line = String::new();
    reader.read_line(&mut request_line).unwrap();
    let mut authorization = String::new();
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).unwrap();
        let Some((name, value)) = header.trim_end().split_once(": ") else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "authorization" => authorization = value.to_owned(),
            "content-length" => length = value.parse().unwrap(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    ReceivedRequest {
        path: request_line.split(' ').nth(1).unwrap().to_owned(),
        authorization,
        body,
    }
}
