//! Error reports and exit codes.
#![allow(clippy::unwrap_used)]

#[path = "support/node.rs"]
mod support;

use hemlocktack_protocol::{
    ApplyConfigurationRequest, ApplyConfigurationResponse, DrainNodeResponse, Finding,
    OperatorError, OperatorErrorCode,
};
use prost::Message;
use support::{FakeNode, Reply, TOKEN, answer, refusal, run};

const APPLY: &str = "config apply docs/examples/bhadralok.toml --expect-generation 7";

#[test]
fn bad_usage_is_reported_whole() {
    let lines = [
        "",
        "config --colour",
        "config aply x",
        "config aply --help",
        "logs --help story",
        "logz",
        "logz --help",
        "status --colour",
        "status --service",
        "status one two --output yaml --node-url ftp://x --timeout-ms 0",
        "config apply nowhere.toml",
        "config apply crates/hemlocktack-config/tests/documents/wrong_types.toml \
         --expect-generation seven --node-url http://127.0.0.1:9 --token x",
        "config check crates/hemlocktack-config/tests/documents/wrong_types.toml",
        "explain 4711 --node-url http://127.0.0.1:9 --token x",
    ];
    let reports = lines.map(|line| format!("$ hemlocktack {line}\n{}", run(line, &[]).to_text()));
    insta::assert_snapshot!(reports.join("\n"));
}

#[test]
fn findings_of_a_check_are_data_for_programs() {
    let line =
        "config check crates/hemlocktack-config/tests/documents/wrong_types.toml --output json";
    let report = run(line, &[]);
    let json = serde_json::from_str::<serde_json::Value>(&report.stdout).unwrap();
    assert_eq!(json["findings"].as_array().unwrap().len(), 10);
    assert_eq!(report.exit_code, 2);
}

#[test]
fn refusals_tell_what_to_do() {
    let conflict = OperatorError {
        current_generation: 9,
        ..refusal(
            OperatorErrorCode::GenerationConflict,
            "generation 7 was expected, 9 is stored",
        )
    };
    let invalid = OperatorError {
        findings: vec![Finding {
            place: "services[0].colour".to_owned(),
            line: 12,
            label: "`colour` is no field of this table".to_owned(),
            help: "known here: `name`".to_owned(),
        }],
        ..refusal(
            OperatorErrorCode::InvalidConfiguration,
            "1 finding, nothing was stored",
        )
    };
    let cases = [
        (APPLY, conflict),
        (APPLY, invalid),
        (
            "drain keys-9",
            refusal(OperatorErrorCode::UnknownNode, "no node keys-9 is known"),
        ),
        (
            "status",
            refusal(
                OperatorErrorCode::Unauthorized,
                "the token is not the operators'",
            ),
        ),
        (
            "config show --generation 3",
            refusal(
                OperatorErrorCode::UnknownGeneration,
                "generation 3 is not kept",
            ),
        ),
    ];
    let mut reports = String::new();
    for (line, refusal) in cases {
        let node = FakeNode::start(move |_| Reply::Refusal(refusal.clone()));
        reports += &format!("$ hemlocktack {line}\n{}\n", node.run(line).to_text());
        assert_eq!(node.seen().len(), 1, "a refusal is final");
    }
    insta::assert_snapshot!(reports);
}

/// The node stores a change and its response is lost. A repeat with another change id would be refused
/// as a conflict with the operator's own change.
#[test]
fn a_lost_answer_is_asked_for_again_with_the_same_change_id() {
    let mut stored = None;
    let node = FakeNode::start(move |seen| {
        let request = ApplyConfigurationRequest::decode(seen.body.as_slice()).unwrap();
        if stored.is_none() {
            stored = Some(request.change_id);
            return Reply::Lost;
        }
        assert_eq!(stored.as_ref(), Some(&request.change_id));
        answer(ApplyConfigurationResponse {
            generation: 8,
            already_applied: true,
        })
    });
    let report = node.run(APPLY);
    insta::assert_snapshot!(report.to_text());
    assert_eq!(node.seen().len(), 2);
}

/// The command dies before it receives the response, and the operator runs it again: the change id must
/// be the same.
#[test]
fn a_repeated_command_line_is_the_same_change_and_another_one_is_not() {
    let node = FakeNode::start(|_| answer(ApplyConfigurationResponse::default()));
    node.run(APPLY);
    node.run(APPLY);
    node.run(&APPLY.replace('7', "8"));
    node.run(&format!("{APPLY} --author joaquin"));
    let ids = node
        .seen()
        .iter()
        .map(|seen| ApplyConfigurationRequest::decode(seen.body.as_slice()).unwrap())
        .map(|request| request.change_id)
        .collect::<Vec<_>>();
    assert_eq!(ids[0], ids[1]);
    assert_ne!(ids[0], ids[2]);
    assert_ne!(ids[0], ids[3]);
}

/// The platform is unavailable for a moment while a change is applied. The node reports that the
/// outcome is unknown, and a repeat succeeds.
#[test]
fn a_passing_refusal_is_tried_again() {
    let mut count = 0;
    let node = FakeNode::start(move |_| {
        count += 1;
        match count {
            1 => Reply::Refusal(refusal(OperatorErrorCode::PlatformUnavailable, "no answer")),
            2 => Reply::Refusal(refusal(OperatorErrorCode::OutcomeUnknown, "answer lost")),
            _ => answer(ApplyConfigurationResponse {
                generation: 8,
                already_applied: true,
            }),
        }
    });
    assert_eq!(node.run(APPLY).exit_code, 0);
    assert_eq!(node.seen().len(), 3);
}

#[test]
fn answers_that_cannot_be_taken_count_as_not_reachable() {
    let truncated = || DrainNodeResponse { state: 3 }.encode_to_vec();
    let mut reports = String::new();
    for (name, reply) in [
        ("lost", (|| Reply::Lost) as fn() -> Reply),
        ("foreign", || Reply::NotANode),
        ("garbled", || Reply::Answer(vec![0xff; 9])),
    ] {
        let node = FakeNode::start(move |_| reply());
        let report = node.run("drain keys-1");
        assert_eq!(report.exit_code, 3, "{name}: {}", report.to_text());
        reports += &format!("{name}: {} sends\n", node.seen().len());
    }
    let node = FakeNode::start(move |_| Reply::Truncated(truncated()));
    assert_eq!(node.run("drain keys-1").exit_code, 3);
    insta::assert_snapshot!(reports);
}

#[test]
fn nobody_listens() {
    let address = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let report = run(
        &format!("nodes --node-url http://{address} --token {TOKEN}"),
        &[],
    );
    assert_eq!(report.exit_code, 3);
}
