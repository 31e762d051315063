//! HTTP answers that end at any byte: their texts, and what is left of one that ends too early.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use socket2::SockRef;
use strum::{Display, EnumIter};

/// An answer as an upstream writes it, and where its parts end.
#[derive(Clone, Debug)]
pub struct AnswerText {
    /// Status of the final answer, after any interim answers.
    pub status: u16,
    /// Body of the answer, without its coding.
    pub body: &'static str,
    /// All bytes of the answer.
    pub text: String,
    /// Length up to and including the blank line of the final head.
    pub head_bytes: usize,
    /// Whether the answer itself says where it ends. Otherwise it ends with its connection.
    pub is_delimited: bool,
}

/// What an upstream does after the last byte that it writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
pub enum AnswerEnd {
    /// It closes the connection.
    Close,
    /// It closes its direction and goes on reading.
    HalfClose,
    /// It resets the connection.
    Reset,
    /// It leaves the connection open.
    Silence,
}

/// What a client may make of an answer that ended like this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The answer is complete.
    Whole,
    /// The end of the connection is the end of the answer: nobody can tell whether the upstream
    /// has written more.
    WholeAsFarAsKnown,
    /// The answer is complete, and its connection failed after it.
    WholeOrFailed,
    /// The head is complete and the body is not.
    HeadOnly,
    /// Not even the head is complete.
    Nothing,
}

/// An answer that ends after some of its bytes.
#[derive(Clone, Debug)]
pub struct CutAnswer {
    /// The answer.
    pub answer: AnswerText,
    /// Number of bytes that are written.
    pub sent: usize,
    /// What happens after these bytes.
    pub end: AnswerEnd,
}

impl CutAnswer {
    /// Returns what a client may make of this answer.
    #[must_use]
    pub fn verdict(&self) -> AnswerVerdict {
        let (answer, sent) = (&self.answer, self.sent);
        let is_orderly = matches!(self.end, AnswerEnd::Close | AnswerEnd::HalfClose);
        if sent < answer.head_bytes {
            return AnswerVerdict::Nothing;
        }
        if !answer.is_delimited && is_orderly {
            return AnswerVerdict::WholeAsFarAsKnown;
        }
        if !answer.is_delimited || sent < answer.text.len() {
            return AnswerVerdict::HeadOnly;
        }
        match self.end {
            AnswerEnd::Reset => AnswerVerdict::WholeOrFailed,
            _ => AnswerVerdict::Whole,
        }
    }
}

/// Writes a cut answer and ends it; the caller closes the connection after that.
pub fn write_cut_answer(stream: &mut TcpStream, answer: &CutAnswer) {
    let bytes = &answer.answer.text.as_bytes()[..answer.sent];
    if stream.write_all(bytes).is_err() {
        return;
    }
    match answer.end {
        AnswerEnd::Close => {}
        AnswerEnd::HalfClose => {
            let _ = stream.shutdown(Shutdown::Write);
            read_to_end(stream);
        }
        AnswerEnd::Reset => {
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
        AnswerEnd::Silence => read_to_end(stream),
    }
}

/// Reads until the other side closes the connection.
fn read_to_end(stream: &mut TcpStream) {
    let mut buffer = [0; 1 << 10];
    while matches!(stream.read(&mut buffer), Ok(1..)) {}
}

/// Returns successful answers of all forms. `headers` are lines that each of them carries.
#[must_use]
pub fn successful_answers(headers: &str) -> Vec<AnswerText> {
    let answer = |framing: &Framing| AnswerText::new(200, headers, framing);
    let with_length = answer(&WITH_LENGTH);
    let mut length_first = AnswerText::new(200, WITH_LENGTH.headers, &WITHOUT_LENGTH);
    length_first.text = length_first
        .text
        .replacen("\r\n\r\n", &format!("\r\n{headers}\r\n"), 1);
    length_first.head_bytes += headers.len();
    length_first.is_delimited = true;
    vec![
        answer(&CHUNKED),
        answer(&WITH_TRAILER),
        answer(&WITHOUT_BODY),
        answer(&WITHOUT_LENGTH),
        answer(&WITHOUT_LENGTH).with_version_1_0(),
        length_first,
        with_length.after("HTTP/1.1 103 x\r\nlink: </x>\r\n\r\n"),
        with_length.after(&"HTTP/1.1 100 Continue\r\n\r\n".repeat(2)),
        with_length.with_bare_line_feeds(),
        with_length.with_version_1_0(),
        with_length,
    ]
}

/// Returns answers that say by `headers` that their request has not run.
#[must_use]
pub fn rejections(headers: &str) -> Vec<AnswerText> {
    let empty = AnswerText::new(503, headers, &WITHOUT_BODY);
    vec![
        AnswerText::new(503, headers, &WITH_LENGTH),
        AnswerText::new(503, headers, &CHUNKED),
        AnswerText::new(429, headers, &WITH_LENGTH),
        AnswerText::new(421, headers, &WITH_LENGTH),
        empty.after("HTTP/1.1 103 x\r\n\r\n"),
        empty.with_bare_line_feeds(),
        empty.with_version_1_0(),
        empty,
    ]
}

/// How a body is written.
struct Framing {
    headers: &'static str,
    text: &'static str,
    body: &'static str,
    is_delimited: bool,
}

const WITH_LENGTH: Framing = Framing {
    headers: "content-length: 6\r\n",
    text: "answer",
    body: "answer",
    is_delimited: true,
};
const CHUNKED: Framing = Framing {
    headers: "transfer-encoding: chunked\r\n",
    text: "3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n",
    ..WITH_LENGTH
};
const WITH_TRAILER: Framing = Framing {
    text: "3\r\nans\r\n3\r\nwer\r\n0\r\nx-t: 1\r\n\r\n",
    ..CHUNKED
};
const WITHOUT_BODY: Framing = Framing {
    headers: "content-length: 0\r\n",
    text: "",
    body: "",
    is_delimited: true,
};
const WITHOUT_LENGTH: Framing = Framing {
    headers: "",
    is_delimited: false,
    ..WITH_LENGTH
};

impl AnswerText {
    fn new(status: u16, headers: &str, framing: &Framing) -> AnswerText {
        let head = format!("HTTP/1.1 {status} x\r\n{headers}{}\r\n", framing.headers);
        AnswerText {
            status,
            body: framing.body,
            head_bytes: head.len(),
            text: head + framing.text,
            is_delimited: framing.is_delimited,
        }
    }

    /// Returns this answer after interim ones.
    fn after(&self, interim: &str) -> AnswerText {
        AnswerText {
            text: format!("{interim}{}", self.text),
            head_bytes: interim.len() + self.head_bytes,
            ..self.clone()
        }
    }

    fn with_bare_line_feeds(&self) -> AnswerText {
        let (head, body) = self.text.split_at(self.head_bytes);
        let head = head.replace("\r\n", "\n");
        AnswerText {
            head_bytes: head.len(),
            text: head + body,
            ..self.clone()
        }
    }

    fn with_version_1_0(&self) -> AnswerText {
        AnswerText {
            text: self.text.replace("HTTP/1.1", "HTTP/1.0"),
            ..self.clone()
        }
    }
}
