//! The example documents of both deployments, and the page that describes the fields.
#![allow(clippy::unwrap_used)]

use hemlocktack_config::{BOUNDS, Document, Service, parse};

const BHADRALOK: &str = include_str!("../../../docs/examples/bhadralok.toml");
const PASES_DORADOS: &str = include_str!("../../../docs/examples/pases-dorados.toml");
const PAGE: &str = include_str!("../../../docs/CONFIGURATION.md");

/// Returns the class rank and the idempotency of one request.
fn request(document: &Document, service: &str, method: &str, path: &str) -> (usize, bool) {
    let rule = document.service(service).unwrap().rule(method, path);
    let rule = rule.unwrap();
    (document.class_rank(&rule.class).unwrap(), rule.idempotent)
}

#[test]
fn bhadralok_sheds_browsing_before_bookings() {
    let document = parse(BHADRALOK).unwrap();
    let booking = request(&document, "bookings", "POST", "/viewings");
    let confirmation = request(&document, "keys", "POST", "/confirmations/17");
    let browsing = request(&document, "listings", "GET", "/flats?page=2");
    assert_eq!((booking, confirmation), ((0, false), (0, false)));
    assert_eq!(browsing, (document.classes.len() - 1, true));
    assert_eq!(document.caller_kind(None).unwrap().name, "tenant");
}

#[test]
fn pases_dorados_sheds_lookups_before_payments() {
    let document = parse(PASES_DORADOS).unwrap();
    let payment = request(&document, "renewal", "POST", "/payments");
    let status = request(&document, "validity", "GET", "/status/4711");
    let hours = request(&document, "branch-directory", "GET", "/hours");
    assert_eq!(payment, (0, false));
    assert_eq!(status, (document.classes.len() - 1, true));
    assert_eq!(hours, status);
    let kiosk = document.caller_kind(Some("kiosk")).unwrap();
    assert!(kiosk.patience_ms > document.caller_kind(Some("phone")).unwrap().patience_ms);
}

#[test]
fn no_example_cuts_calls_at_a_drain() {
    for text in [BHADRALOK, PASES_DORADOS] {
        let document = parse(text).unwrap();
        let longest = document.caller_kinds.iter().map(|kind| kind.patience_ms);
        assert!(document.limits.drain_limit_ms > longest.max().unwrap());
    }
}

#[test]
fn a_request_without_a_rule_is_not_repeatable() {
    let document = parse(BHADRALOK).unwrap();
    let listings = document.service("listings").unwrap();
    assert_eq!(listings.rule("DELETE", "/flats/3"), None);
    assert_eq!(Service::new("listings").rule("GET", "/"), None);
}

#[test]
fn the_page_gives_every_bound() {
    for bound in BOUNDS {
        let default = match bound.default {
            Some(default) => default.to_string(),
            None => "required".to_owned(),
        };
        let row = PAGE
            .lines()
            .find(|line| line.starts_with(&format!("| `{}` |", bound.field)))
            .unwrap_or_else(|| panic!("{} is not on the page", bound.field));
        let limits = format!("| {default} | {} | {} |", bound.min, bound.max);
        assert!(row.contains(&limits), "{row}\nlacks {limits}");
    }
}
