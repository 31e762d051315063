//! Answers are neither truncated nor mixed up when upstreams fail.

use hemlocktack_testkit::upstream::{Fault, Switches};

use crate::harness::{Fleet, Plan};

const CALLERS: usize = 12;
const REQUESTS: usize = 25;
/// Query parameters of successive requests that select the fault.
const FAULTS: [&str; 5] = ["&fault=short-body", "", "", "&fault=no-answer", ""];

/// Many concurrent callers request answers of different lengths through every node, and upstreams
/// close some connections before or during an answer. Each caller gets its own answer whole, or is
/// told that there is none.
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_neither_cut_nor_mixed_up() {
    let fleet = Fleet::start(&[Plan::new("listings", 2), Plan::new("diaries", 2)]).await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let caller = fleet.caller(number % fleet.nodes.len());
        callers.push(tokio::spawn(async move {
            for request in 0..REQUESTS {
                let marker = format!("caller {number}, request {request}");
                let padding = (number * 7_919 + request * 104_729) % 200_000;
                let fault = FAULTS[request % FAULTS.len()];
                let is_faulty = !fault.is_empty();
                let path = format!("diaries/slots?padding-bytes={padding}{fault}");
                let reply = caller.get(&path, &marker).await;
                if is_faulty {
                    assert_ne!(reply.outcome, "answered", "{reply:?}");
                    assert_ne!(reply.outcome, "cut", "{reply:?}");
                    continue;
                }
                assert!(reply.is_answered(), "{marker}: {}", reply.summary());
                assert_eq!(reply.body["marker"], marker);
                let length = reply.body["padding"].as_str().unwrap().len();
                assert_eq!(length, padding);
            }
        }));
    }
    for caller in callers {
        caller.await.unwrap();
    }
}

/// The upstream stalls during an answer and keeps the connection open. The caller is told `unknown`
/// after its timeout and gets no partial answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_answer_is_unknown() {
    let fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 1)]).await;
    let switches = Switches {
        fault: Some(Fault::StalledBody),
        fault_markers: vec!["stalled".to_owned()],
        ..Switches::default()
    };
    fleet.nodes[1].upstream.set_switches(switches).await;
    let headers = [
        ("x-marker", "stalled"),
        ("hemlocktack-caller-kind", "kiosk"),
    ];
    let reply = fleet
        .caller(0)
        .send(reqwest::Method::GET, "diaries/slots", &headers, "")
        .await;
    assert_eq!(reply.outcome, "unknown", "{reply:?}");
    let next = fleet.caller(0).get("diaries/slots", "next").await;
    assert!(next.is_answered(), "{next:?}");
    assert_eq!(next.body["marker"], "next");
}

/// The upstream answers with an error and a `Retry-After`. Its status, body and headers are passed
/// to the caller unchanged.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstreams_error_is_its_answer() {
    let fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 1)]).await;
    let caller = fleet.caller(0);
    let reply = caller.get("diaries/slots?fault=error", "error").await;
    assert_eq!((reply.status, reply.outcome.as_str()), (500, "answered"));
    assert_eq!(reply.body["error"], "failed");
    assert_eq!(reply.retry_after.as_deref(), Some("7"));
}
