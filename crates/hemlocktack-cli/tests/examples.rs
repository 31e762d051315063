//! Runs every example of every command against fixed responses of a small fleet.
#![allow(clippy::unwrap_used)]

mod support {
    pub(crate) mod answers;
    mod node;
    pub(crate) use node::*;
}

use std::collections::BTreeSet;

use hemlocktack_cli::{CATALOGUE, Effect};
use support::{FakeNode, TOKEN, answers};

#[test]
fn every_example_does_what_it_says() {
    let node = FakeNode::start(answers::fleet);
    let mut reports = String::new();
    for signature in CATALOGUE {
        assert!(!signature.examples.is_empty(), "{}", signature.words);
        for example in signature.examples {
            let report = node.run(example.line);
            assert_eq!(report.exit_code, 0, "{}", report.to_text());
            let stdout = without_random_digits(&report.stdout);
            reports += &format!("$ hemlocktack {}\n{stdout}\n", example.line);
        }
    }
    insta::assert_snapshot!(reports);
    let seen = node.seen();
    let authorization = format!("Bearer {TOKEN}");
    assert!(seen.iter().all(|one| one.authorization == authorization));
}

/// Replaces keys and digests, which are new in each run, by their length.
fn without_random_digits(text: &str) -> String {
    const MIN_DIGITS: usize = 64;
    let words = text.split_inclusive(char::is_whitespace);
    let replaced = words.map(|word| {
        let digits = word.trim_end();
        let is_random = digits.len() >= MIN_DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
        match is_random {
            true => word.replace(digits, &format!("<{} digits>", digits.len())),
            false => word.to_owned(),
        }
    });
    replaced.collect()
}

#[test]
fn every_query_answers_programs_with_json() {
    let node = FakeNode::start(answers::fleet);
    let queries = CATALOGUE
        .into_iter()
        .filter(|signature| signature.effect == Effect::Query);
    for signature in queries {
        let line = format!("{} --output json", signature.examples[0].line);
        let report = node.run(&line);
        let json = serde_json::from_str::<serde_json::Value>(&report.stdout).unwrap();
        assert!(json.is_object(), "{line}");
    }
}

#[test]
fn queries_call_no_method_that_changes_anything() {
    let node = FakeNode::start(answers::fleet);
    for signature in CATALOGUE {
        if signature.effect == Effect::Query {
            node.run(signature.examples[0].line);
        }
    }
    let methods = node.seen().into_iter().map(|seen| seen.path);
    let methods = methods.collect::<BTreeSet<_>>();
    let is_command =
        |path: &String| path.ends_with("ApplyConfiguration") || path.ends_with("DrainNode");
    assert!(!methods.iter().any(is_command), "{methods:?}");
}

#[test]
fn help_names_every_command_and_flag() {
    let node = FakeNode::start(answers::fleet);
    let mut help = node.run("--help").stdout;
    for signature in CATALOGUE {
        help += &format!("\n---- {}\n", signature.words);
        help += &node.run(&format!("{} --help", signature.words)).stdout;
    }
    insta::assert_snapshot!(help);
}

/// Guards against answering the first word of a command with `is not a command`, which would make the
/// operator search the list of all commands.
#[test]
fn a_group_alone_or_with_a_flag_for_help_lists_its_commands() {
    let node = FakeNode::start(answers::fleet);
    let mut reports = String::new();
    for group in ["config", "logs"] {
        let alone = node.run(group).to_text();
        assert_eq!(node.run(&format!("{group} --help")).to_text(), alone);
        assert_eq!(node.run(&format!("{group} -h")).to_text(), alone);
        reports += &format!("$ hemlocktack {group}\n{alone}\n");
    }
    insta::assert_snapshot!(reports);
    assert!(node.seen().is_empty());
}

/// If a document could have more classes than `hemlocktack-decide` distinguishes, its last classes
/// would be shed as one, contrary to the document.
#[test]
fn documents_have_no_more_classes_than_decisions_keep_apart() {
    assert_eq!(
        hemlocktack_config::CLASS_LIMIT,
        hemlocktack_decide::MAX_CLASSES
    );
}
