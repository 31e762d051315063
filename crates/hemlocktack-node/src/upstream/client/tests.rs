//! Answers of an upstream with the native interface that end at any byte.

#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures::StreamExt;
use hemlocktack_protocol::{Call, OUTCOME_HEADER};
use hemlocktack_testkit::cut_answers::{
    AnswerEnd, AnswerVerdict, CutAnswer, rejections, successful_answers, write_cut_answer,
};
use strum::IntoEnumIterator;

use super::NativeClient;
use crate::memory::{BodyMemory, BudgetSizes};
use crate::upstream::{Announcement, UpstreamOutcome, UpstreamRequest};

/// Calls that are sent at the same time.
const PARALLEL: usize = 32;
/// Time for an answer whose upstream goes silent.
const SILENT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for any other answer: far longer than it takes to see an end.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Failure: an upstream stops in the middle of an answer and closes, half-closes, resets or goes
/// silent, and the call ends with a part of the answer, or as one that has not run.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_at_any_byte_is_never_passed_on_as_whole() {
    let cuts = Arc::new(every_cut());
    let address = start_upstream(cuts.clone());
    let client = NativeClient::new().unwrap();
    let memory = BodyMemory::new(BudgetSizes::of_budget(1 << 20));
    let whole_count = cuts
        .iter()
        .filter(|cut| cut.verdict() == AnswerVerdict::Whole)
        .count();
    let answered_count = AtomicUsize::new(0);
    let false_ends = futures::stream::iter(0..cuts.len())
        .map(|number| {
            let (client, memory, cut) = (&client, &memory, &cuts[number]);
            let answered_count = &answered_count;
            async move {
                let outcome = send(client, memory, address, number, cut).await;
                if let UpstreamOutcome::Answered { .. } = outcome {
                    answered_count.fetch_add(1, Ordering::Relaxed);
                }
                let is_true = is_true(cut, &outcome);
                (!is_true).then(|| describe(cut, &outcome))
            }
        })
        .buffer_unordered(PARALLEL)
        .filter_map(|false_end| async move { false_end })
        .collect::<Vec<_>>()
        .await;
    assert!(false_ends.is_empty(), "{false_ends:#?}");
    let answered_count = answered_count.into_inner();
    assert!(
        2 * answered_count > whole_count,
        "{answered_count} of {whole_count} whole answers"
    );
}

/// Returns all answers, cut at each byte, with each end. Those whose upstream goes silent are the
/// last ones, because a call on such a connection gets no answer.
fn every_cut() -> Vec<CutAnswer> {
    let mut answers = successful_answers("");
    answers.extend(rejections(&format!("{OUTCOME_HEADER}: not-run\r\n")));
    let mut cuts = Vec::new();
    for end in AnswerEnd::iter() {
        for answer in &answers {
            for sent in 0..=answer.text.len() {
                let answer = answer.clone();
                cuts.push(CutAnswer { answer, sent, end });
            }
        }
    }
    cuts
}

/// Starts an upstream that gives the answer whose number is the path.
fn start_upstream(cuts: Arc<Vec<CutAnswer>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let cuts = cuts.clone();
            std::thread::spawn(move || respond(stream, &cuts));
        }
    });
    address
}

fn respond(stream: TcpStream, cuts: &[CutAnswer]) -> Option<()> {
    let mut reader = BufReader::new(stream);
    let mut first_line = String::new();
    reader.read_line(&mut first_line).ok()?;
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
    }
    let path = first_line.split(' ').nth(1)?;
    let number: usize = path.trim_start_matches('/').parse().ok()?;
    write_cut_answer(reader.get_mut(), &cuts[number]);
    Some(())
}

async fn send(
    client: &NativeClient,
    memory: &BodyMemory,
    address: SocketAddr,
    number: usize,
    cut: &CutAnswer,
) -> UpstreamOutcome {
    let call = Call {
        method: "POST".to_owned(),
        path: format!("/{number}"),
        ..Call::default()
    };
    let announcement = Announcement {
        address,
        slots: 1,
        connections: 1,
        cold: false,
        load_path: None,
        upstream_start: None,
        started_unix_ms: None,
        start_number: 1,
    };
    let timeout = match cut.end {
        AnswerEnd::Silence => SILENT_TIMEOUT,
        _ => TIMEOUT,
    };
    let request = UpstreamRequest {
        announcement: &announcement,
        call: &call,
        context: "",
        deadline: Instant::now() + timeout,
        answer_limit_bytes: 1_024,
        memory,
    };
    client.send(&request).await.outcome
}

/// Whether the call ended with what the upstream has said, and no more.
fn is_true(cut: &CutAnswer, outcome: &UpstreamOutcome) -> bool {
    let verdict = cut.verdict();
    let says_not_run = cut.answer.status == 503;
    match outcome {
        UpstreamOutcome::NotRun(_) => says_not_run && verdict != AnswerVerdict::Nothing,
        // A kept connection that the upstream closes after its answer takes the next call with it,
        // so any call may fail.
        UpstreamOutcome::Unknown(_) => true,
        UpstreamOutcome::Answered { status, body, .. } => {
            let is_same = *status == cut.answer.status;
            let whole_body = cut.answer.body.as_bytes();
            match verdict {
                AnswerVerdict::Nothing | AnswerVerdict::HeadOnly => false,
                AnswerVerdict::WholeAsFarAsKnown => is_same && whole_body.starts_with(&body[..]),
                AnswerVerdict::Whole | AnswerVerdict::WholeOrFailed => {
                    is_same && whole_body == &body[..]
                }
            }
        }
    }
}

fn describe(cut: &CutAnswer, outcome: &UpstreamOutcome) -> String {
    let actual = match outcome {
        UpstreamOutcome::NotRun(reason) => format!("not run: {reason:?}"),
        UpstreamOutcome::Unknown(reason) => format!("unknown: {reason:?}"),
        UpstreamOutcome::Answered { status, body, .. } => format!("{status}, {body:?}"),
    };
    let written = &cut.answer.text[..cut.sent];
    format!("{written:?}, {}: {actual}", cut.end)
}
