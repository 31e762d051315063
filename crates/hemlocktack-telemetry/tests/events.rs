//! The event catalogue and its page in the docs.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::fmt::Write;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};

use hemlocktack_telemetry::{Event, log_event};
use strum::IntoEnumIterator;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
/// Set this to regenerate the table after a change of the catalogue.
const REGENERATE_VARIABLE: &str = "HEMLOCKTACK_REGENERATE";
const TABLE_BEGIN: &str = "| number | name | level | meaning | what to do |\n";

fn table() -> String {
    let mut table = format!("{TABLE_BEGIN}|---|---|---|---|---|\n");
    for event in Event::iter() {
        let name = <&str>::from(event);
        writeln!(
            table,
            "| {} | {name} | {} | {} | {} |",
            event.number(),
            event.level(),
            event.meaning(),
            event.action()
        )
        .unwrap();
    }
    table
}

#[test]
fn the_page_lists_every_event() {
    let mut page = std::fs::read_to_string(PAGE).unwrap();
    let (introduction, found) = page.split_once(TABLE_BEGIN).unwrap();
    if std::env::var_os(REGENERATE_VARIABLE).is_some() {
        page = format!("{introduction}{}", table());
        std::fs::write(PAGE, page).unwrap();
        return;
    }
    let found = format!("{TABLE_BEGIN}{found}");
    assert!(
        found == table(),
        "run this test with {REGENERATE_VARIABLE}=1"
    );
}

#[test]
fn numbers_are_unique_and_in_order() {
    let numbers = Event::iter().map(Event::number).collect::<Vec<_>>();
    let in_order = numbers.iter().copied().collect::<BTreeSet<_>>();
    assert!(in_order.into_iter().eq(numbers));
}

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_line_carries_number_level_meaning_and_fields() {
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt()
        .without_time()
        .with_ansi(false)
        .with_target(false)
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        log_event!(Event::PlatformLost);
        log_event!(Event::DrainBegun, in_flight_count = 3, node = "keys-1");
    });
    let text = String::from_utf8(lines.0.lock().unwrap().clone()).unwrap();
    assert_eq!(
        text,
        " WARN the platform does not respond; calls continue with the configuration in force number=303\n \
         INFO the node is draining: it accepts no new calls and finishes those in flight number=103 in_flight_count=3 node=\"keys-1\"\n"
    );
}

/// Operators would wait in vain for an event that nothing logs.
#[test]
fn every_event_is_logged_somewhere() {
    let packages = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut sources = String::new();
    for package in ["hemlocktack-node", "hemlocktack-telemetry"] {
        read_sources(&packages.join(package).join("src"), &mut sources);
    }
    let sources = sources.split_whitespace().collect::<String>();
    let is_logged = |event: &Event| {
        let name = format!("Event::{event:?}");
        let calls = [
            format!("log_event!({name}"),
            format!("log_event!(Log{name}"),
        ];
        calls.iter().any(|call| sources.contains(call))
    };
    let unused = Event::iter().filter(|event| !is_logged(event));
    assert_eq!(unused.collect::<Vec<_>>(), []);
}

fn read_sources(directory: &Path, sources: &mut String) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            read_sources(&path, sources);
        } else {
            sources.push_str(&std::fs::read_to_string(path).unwrap());
        }
    }
}
