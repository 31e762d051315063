//! Documents of any generation from any source, readable or not.
//!
//! The environment variable `PROPTEST_CASES=1000000` runs that many cases.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::{ConfigurationAction, ConfigurationState, PeerView};
use hemlocktack_protocol::{ConfigurationDocument, Generation};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

use crate::{document, older_version, peers, rng, unreadable};

/// Maximum number of actions that one event may cause.
const ACTION_LIMIT: usize = 4;

#[derive(Clone, Debug)]
enum Event {
    PeerAnnounced(Generation),
    StoredLocally(ConfigurationDocument),
    PlatformAnswered(Option<ConfigurationDocument>),
    PlatformFailed,
    RevisionGone,
    StoreReturned,
    PeerAnswered(Generation, Option<ConfigurationDocument>),
    PeerFailed,
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(27),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn generation() -> impl Strategy<Value = Generation> {
    prop_oneof![
        4 => 0..6_u64,
        1 => any::<u64>(),
        1 => select(vec![u64::MAX - 1, u64::MAX]),
    ]
}

fn any_document() -> impl Strategy<Value = ConfigurationDocument> {
    (generation(), any::<bool>()).prop_map(|(generation, can_read)| match can_read {
        true => document(generation),
        false => unreadable(generation),
    })
}

fn event() -> impl Strategy<Value = Event> {
    let maybe = || proptest::option::of(any_document());
    prop_oneof![
        generation().prop_map(Event::PeerAnnounced),
        any_document().prop_map(Event::StoredLocally),
        maybe().prop_map(Event::PlatformAnswered),
        (generation(), maybe())
            .prop_map(|(generation, document)| { Event::PeerAnswered(generation, document) }),
        select(vec![
            Event::PlatformFailed,
            Event::RevisionGone,
            Event::StoreReturned,
            Event::PeerFailed,
        ]),
    ]
}

fn handle(
    in_force: &mut ConfigurationState,
    event: Event,
    now: Instant,
    view: &PeerView,
) -> Vec<ConfigurationAction> {
    match event {
        Event::PeerAnnounced(generation) => in_force.peer_announced("a", generation),
        Event::StoredLocally(document) => return in_force.stored_locally(document),
        Event::PlatformAnswered(document) => {
            return in_force.platform_answered(now, document, view, &mut rng());
        }
        Event::PlatformFailed => in_force.platform_failed(now, &mut rng()),
        Event::RevisionGone => in_force.revision_gone(now),
        Event::StoreReturned => in_force.store_returned(now),
        Event::PeerAnswered(generation, document) => {
            return in_force.peer_answered(now, "a", generation, document);
        }
        Event::PeerFailed => in_force.peer_failed(now, "a", &mut rng()),
    }
    Vec::new()
}

proptest! {
    #![proptest_config(config())]

    /// With a faulty store and peers of other versions, the active document is always readable and
    /// never goes back to a lower generation, and each unreadable document is reported once.
    #[test]
    fn the_last_readable_document_stays_active(
        events in vec((event(), 0..3_000_u64), 1..24), is_watcher in any::<bool>(),
    ) {
        let mut now = Instant::now();
        let view = PeerView { is_watcher, ..peers(&["a", "b"]) };
        let mut in_force = older_version(now);
        let mut reported = BTreeSet::new();
        let mut before = 0;
        for (event, pause_ms) in events {
            let mut actions = handle(&mut in_force, event, now, &view);
            now += Duration::from_millis(pause_ms);
            actions.extend(in_force.tick(now, &view, &mut rng()));
            prop_assert!(actions.len() <= ACTION_LIMIT, "{actions:?}");
            prop_assert!(in_force.generation() >= before);
            before = in_force.generation();
            prop_assert!(in_force.current().is_none_or(|document| document.document == "text"));
            for action in actions {
                match action {
                    ConfigurationAction::Install { document } => {
                        prop_assert_eq!(document.generation, before);
                    }
                    ConfigurationAction::ReportUnreadable { generation } => {
                        prop_assert!(reported.insert(generation), "reported twice: {generation}");
                    }
                    _ => {}
                }
            }
        }
    }
}
