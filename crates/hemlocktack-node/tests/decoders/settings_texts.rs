//! Settings with errors that a tool, a template or a typing error causes.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;

use hemlocktack_testkit::mutated_json::fixed_seed_config;
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::sample::{Index, select};

use crate::settings::{Invocation, LoadedSettings, RunSettings, read};

const FLEET_KEY: &str = "a fleet key for tests, long enough";
const VALID: [(&str, &str); 17] = [
    ("node", "listings-1"),
    ("service", "listings"),
    ("data-centre", "salt-lake"),
    ("region", "kolkata"),
    ("caller-address", "127.0.0.1:1"),
    ("control-address", "127.0.0.1:2"),
    ("link-address", "127.0.0.1:3"),
    ("gossip-address", "127.0.0.1:4"),
    ("platform-url", "http://127.0.0.1:5"),
    ("fleet-key", FLEET_KEY),
    ("operator-token", "a token for tests"),
    ("seed-peers", "127.0.0.1:6, 127.0.0.1:7"),
    ("platform-reads-per-second", "100"),
    ("platform-writes-per-second", "40.5"),
    ("stop-grace", "6s"),
    ("retry-share", "0.2"),
    ("retries-beside-share", "50"),
];
const OTHER_NAMES: [&str; 4] = ["drain-limit-ms", "log-format", "interface", "colour"];

type Texts = BTreeMap<String, String>;

fn variable(flag: &str) -> String {
    format!("HEMLOCKTACK_{}", flag.replace('-', "_").to_uppercase())
}

fn valid_settings() -> Texts {
    let pairs = VALID.iter();
    pairs
        .map(|(flag, text)| (variable(flag), (*text).to_owned()))
        .collect()
}

fn name() -> impl Strategy<Value = String> {
    let known = VALID.iter().map(|(flag, _)| *flag);
    let all: Vec<&str> = known.chain(OTHER_NAMES).collect();
    select(all).prop_map(variable)
}

fn text() -> impl Strategy<Value = String> {
    prop_oneof![
        ".{0,24}",
        "(-|)([0-9]{1,24}|[0-9]\\.[0-9]|1e-?[0-9]{1,3}|NaN|inf)(ms|s|)",
        "[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,6}(, ?.{0,8}){0,2}",
        "https?://.{0,12}",
        select(vec!["", "own", "cooperative", "json", "text"]).prop_map(str::to_owned),
        "[a-z.]{100,300}",
    ]
}

fn changes() -> impl Strategy<Value = Texts> {
    btree_map(name(), text(), 0..4)
}

/// A settings file with some values changed, and sometimes a few of its bytes.
fn contents() -> impl Strategy<Value = Vec<u8>> {
    let bytes = vec((any::<Index>(), any::<u8>()), 0..3);
    let lines = vec(".{0,30}", 0..2);
    (changes(), lines, bytes, 0..4_u8).prop_map(|(changes, lines, bytes, mutation)| {
        let mut texts = valid_settings();
        texts.extend(changes);
        let mut file: String = texts
            .iter()
            .map(|(name, text)| format!("{name}={text}\n"))
            .collect();
        if mutation == 0 {
            file += &lines.join("\n");
        }
        let mut file = file.into_bytes();
        for (position, byte) in bytes.into_iter().filter(|_| mutation == 1) {
            let position = position.index(file.len());
            file[position] = byte;
        }
        file
    })
}

/// Returns the settings of a node run_settings_from with a valid file.
fn run_settings_from(file: &Path) -> RunSettings {
    let flag = format!("--settings-file={}", file.display());
    let Ok(Invocation::Run(run)) = read(&[flag], |_| None) else {
        panic!("the valid settings are refused");
    };
    *run
}

fn valid_file() -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    for (name, text) in valid_settings() {
        writeln!(file, "{name}={text}").unwrap();
    }
    file
}

/// Checks that accepted settings are within their limits, and that each finding is one line.
fn check(outcome: std::result::Result<&LoadedSettings, &[String]>) -> Result<(), TestCaseError> {
    let loaded = match outcome {
        Ok(loaded) => loaded,
        Err(findings) => return check_findings(findings),
    };
    if let Some(rates) = loaded.adjustable.platform_rates {
        let both = [rates.reads_per_second, rates.writes_per_second];
        prop_assert!(both.iter().all(|rate| rate.is_finite() && *rate > 0.0));
    }
    let share = loaded.adjustable.retry_share_per_mille;
    prop_assert!(share.is_none_or(|share| share <= 1_000));
    prop_assert!(loaded.settings.node_id.len() <= 128);
    Ok(())
}

fn check_findings(findings: &[String]) -> Result<(), TestCaseError> {
    prop_assert!(!findings.is_empty());
    for finding in findings {
        let is_line = !finding.chars().any(char::is_control);
        prop_assert!(is_line && !finding.is_empty(), "{finding:?}");
        prop_assert!(!finding.contains(FLEET_KEY), "a secret: {finding:?}");
    }
    Ok(())
}

#[test]
fn the_settings_that_cases_start_from_are_valid() {
    let texts = valid_settings();
    let read = read(&[], move |name| texts.get(name).cloned());
    assert!(matches!(read, Ok(Invocation::Run(_))));
}

proptest! {
    #![proptest_config(fixed_seed_config(27))]

    /// An invalid variable or flag fails the start with findings, rather than a running node
    /// an hour later.
    #[test]
    fn flags_and_variables_are_applied_or_refused(
        by_variable in changes(), by_flag in changes(),
    ) {
        let mut texts = valid_settings();
        texts.extend(by_variable);
        let flags: Vec<String> = by_flag
            .iter()
            .map(|(name, text)| {
                let flag = name.trim_start_matches("HEMLOCKTACK_").to_lowercase();
                format!("--{}={text}", flag.replace('_', "-"))
            })
            .collect();
        match read(&flags, move |name| texts.get(name).cloned()) {
            Ok(Invocation::Run(run)) => check(Ok(&run.loaded))?,
            Ok(_) => prop_assert!(false, "no other invocation was asked for"),
            Err(error) => check(Err(&error.findings))?,
        }
    }

    /// A running node that reads its file again either applies it, or reports the findings and
    /// keeps its present settings.
    #[test]
    fn settings_files_are_applied_or_refused(files in vec(contents(), 1..4)) {
        let file = valid_file();
        let RunSettings {
            mut loaded, sources, ..
        } = run_settings_from(file.path());
        for contents in files {
            match sources.read(Some(Ok(contents))) {
                Ok(read) => {
                    check(Ok(&read))?;
                    let _ = read.changes_since(&loaded);
                    loaded = read;
                }
                Err(error) => check(Err(&error.findings))?,
            }
        }
    }
}
