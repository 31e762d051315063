//! Settings as a tool, a template or a slip of the hand leaves them.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;

use hemlocktack_testkit::mutated_json::fixed_seed_config;
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::sample::{Index, select};

use crate::settings::{Invocation, LoadedSettings, RunSettings, read};

const FLEET_KEY: &str = "a fleet key for tests, long enough";
const SOUND: [(&str, &str); 17] = [
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
const OTHERS: [&str; 4] = ["drain-limit-ms", "log-format", "interface", "colour"];

type Texts = BTreeMap<String, String>;

fn variable(flag: &str) -> String {
    format!("HEMLOCKTACK_{}", flag.replace('-', "_").to_uppercase())
}

fn sound() -> Texts {
    let pairs = SOUND.iter();
    pairs
        .map(|(flag, text)| (variable(flag), (*text).to_owned()))
        .collect()
}

fn name() -> impl Strategy<Value = String> {
    let known = SOUND.iter().map(|(flag, _)| *flag);
    let all: Vec<&str> = known.chain(OTHERS).collect();
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

/// A settings file with some values changed, and seldom some of its bytes.
fn contents() -> impl Strategy<Value = Vec<u8>> {
    let bytes = vec((any::<Index>(), any::<u8>()), 0..3);
    let lines = vec(".{0,30}", 0..2);
    (changes(), lines, bytes, 0..4_u8).prop_map(|(changes, lines, bytes, rare)| {
        let mut texts = sound();
        texts.extend(changes);
        let mut file: String = texts
            .iter()
            .map(|(name, text)| format!("{name}={text}\n"))
            .collect();
        if rare == 0 {
            file += &lines.join("\n");
        }
        let mut file = file.into_bytes();
        for (place, byte) in bytes.into_iter().filter(|_| rare == 1) {
            let place = place.index(file.len());
            file[place] = byte;
        }
        file
    })
}

/// A node that was started with a sound file.
fn started(file: &Path) -> RunSettings {
    let flag = format!("--settings-file={}", file.display());
    let Ok(Invocation::Run(run)) = read(&[flag], |_| None) else {
        panic!("the sound settings are refused");
    };
    *run
}

fn sound_file() -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    for (name, text) in sound() {
        writeln!(file, "{name}={text}").unwrap();
    }
    file
}

/// What is in force is of use; what is refused is told in single lines.
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
fn the_settings_that_cases_are_made_from_are_sound() {
    let texts = sound();
    let read = read(&[], move |name| texts.get(name).cloned());
    assert!(matches!(read, Ok(Invocation::Run(_))));
}

proptest! {
    #![proptest_config(fixed_seed_config(27))]

    /// A variable or a flag that cannot be used ends the start with what is wrong,
    /// and not a running node an hour later.
    #[test]
    fn flags_and_variables_are_taken_or_refused(
        by_variable in changes(), by_flag in changes(),
    ) {
        let mut texts = sound();
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

    /// A running node looks at its file again: it takes it, or tells what is wrong
    /// and keeps what it has.
    #[test]
    fn files_of_settings_are_taken_or_refused(files in vec(contents(), 1..4)) {
        let file = sound_file();
        let RunSettings { mut loaded, sources } = started(file.path());
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
