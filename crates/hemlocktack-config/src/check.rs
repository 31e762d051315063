//! Checks of a document that go beyond the type and range of single fields.

mod accounts;

use std::collections::BTreeMap;

use hemlocktack_protocol::Finding;
use strum::{EnumString, VariantNames};

use crate::bounds::{
    CALLER_KIND_LIMIT, CLASS_LIMIT, NAME_LIMIT_BYTES, PATH_PREFIX_LIMIT_BYTES, RULE_LIMIT,
    SERVICE_LIMIT,
};
use crate::document::ANY_METHOD;
use crate::places;
use crate::{Document, RequestRule, Service};

/// HTTP methods that a rule may name.
#[derive(EnumString, VariantNames)]
#[strum(serialize_all = "UPPERCASE")]
enum Method {
    Get,
    Head,
    Post,
    Put,
    Patch,
    Delete,
    Options,
}

/// Checks a document and returns the findings; their line numbers are not set.
pub(crate) fn document(document: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_list_length(
        "classes",
        document.classes.len(),
        CLASS_LIMIT,
        &mut findings,
    );
    check_list_length(
        "caller_kinds",
        document.caller_kinds.len(),
        CALLER_KIND_LIMIT,
        &mut findings,
    );
    check_list_length(
        "services",
        document.services.len(),
        SERVICE_LIMIT,
        &mut findings,
    );
    let classes = document.classes.iter().map(|class| &class.name);
    check_names("classes", classes, &mut findings);
    let kinds = document.caller_kinds.iter().map(|kind| &kind.name);
    check_names("caller_kinds", kinds, &mut findings);
    let services = document.services.iter().map(|service| &service.name);
    check_names("services", services, &mut findings);
    accounts::check(document, &mut findings);
    check_drain_limit(document, &mut findings);
    for (position, service) in document.services.iter().enumerate() {
        let place = places::element("services", position);
        check_requests(&place, service, document, &mut findings);
    }
    findings
}

fn add(findings: &mut Vec<Finding>, place: String, label: String, help: String) {
    findings.push(Finding {
        place,
        line: 0,
        label,
        help,
    });
}

fn check_list_length(place: &str, length: usize, limit: usize, findings: &mut Vec<Finding>) {
    if length == 0 {
        let help = format!("add at least one [[{place}]]");
        add(findings, place.to_owned(), "the list is empty".into(), help);
    }
    check_length_limit(place, length, limit, findings);
}

fn check_length_limit(place: &str, length: usize, limit: usize, findings: &mut Vec<Finding>) {
    if length > limit {
        let label = format!("the list has {length} entries");
        let help = format!("the maximum is {limit}");
        add(findings, place.to_owned(), label, help);
    }
}

fn check_names<'a>(
    list: &str,
    names: impl Iterator<Item = &'a String>,
    findings: &mut Vec<Finding>,
) {
    let mut first_elements = BTreeMap::new();
    for (position, name) in names.enumerate() {
        let element = places::element(list, position);
        let place = places::field(&element, "name");
        if !is_name(name) {
            let label = format!("{name:?} is not a valid name");
            let help = format!(
                "use 1 to {NAME_LIMIT_BYTES} of a-z, 0-9 and -, beginning with a letter or digit"
            );
            add(findings, place, label, help);
            continue;
        }
        if let Some(first) = first_elements.get(name) {
            let label = format!("duplicate name `{name}`");
            add(findings, place, label, format!("first used by {first}"));
            continue;
        }
        first_elements.insert(name, element);
    }
}

/// Checks that a drain lasts at least as long as the most patient caller waits. A shorter drain
/// would cut off calls in flight, and their callers would see unknown outcomes at a planned stop.
/// No call outlives its caller's patience, so this bound is enough.
fn check_drain_limit(document: &Document, findings: &mut Vec<Finding>) {
    let patience = document.caller_kinds.iter().map(|kind| kind.patience_ms);
    let longest_ms = patience.max().unwrap_or(0);
    if document.limits.drain_limit_ms >= longest_ms {
        return;
    }
    let label = format!(
        "{} is shorter than the longest patience, {longest_ms}",
        document.limits.drain_limit_ms
    );
    let help = format!("write {longest_ms} or more: a drain must not cut off calls in flight");
    add(findings, "limits.drain_limit_ms".into(), label, help);
}

fn is_name(name: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let starts_well = name.bytes().next().is_some_and(is_plain);
    let all_plain = name.bytes().all(|byte| is_plain(byte) || byte == b'-');
    starts_well && all_plain && name.len() <= NAME_LIMIT_BYTES
}

fn check_requests(
    place: &str,
    service: &Service,
    document: &Document,
    findings: &mut Vec<Finding>,
) {
    let list = places::field(place, "requests");
    let count = service.requests.len();
    if count == 0 {
        let label = "the service has no request rule".to_owned();
        let help = "add at least one [[services.requests]]; \
                    requests without a rule belong to the last class and run at most once";
        add(findings, list.clone(), label, help.to_owned());
    }
    if count > RULE_LIMIT {
        let label = format!("the list has {count} entries");
        let help = format!("the maximum is {RULE_LIMIT}");
        add(findings, list.clone(), label, help);
    }
    for (position, rule) in service.requests.iter().enumerate() {
        let place = places::element(&list, position);
        check_method(&place, rule, findings);
        check_path_prefix(&place, rule, findings);
        check_class(&place, rule, document, findings);
        let earlier = &service.requests[..position];
        if let Some(cover) = earlier.iter().position(|earlier| earlier.covers(rule)) {
            let label = "this rule is never reached".to_owned();
            let cover = places::element(&list, cover);
            let help =
                format!("{cover} already matches all its requests; put the narrower rule first");
            add(findings, place, label, help);
        }
    }
}

fn check_method(place: &str, rule: &RequestRule, findings: &mut Vec<Finding>) {
    let is_known = rule.method.parse::<Method>().is_ok();
    if rule.method == ANY_METHOD || is_known {
        return;
    }
    let label = format!("{:?} is not a known method", rule.method);
    let help = format!("use {} or {ANY_METHOD}", Method::VARIANTS.join(", "));
    add(findings, places::field(place, "method"), label, help);
}

fn check_path_prefix(place: &str, rule: &RequestRule, findings: &mut Vec<Finding>) {
    let prefix = &rule.path_prefix;
    let place = places::field(place, "path_prefix");
    let is_plain = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#');
    if !prefix.starts_with('/') || !prefix.bytes().all(is_plain) {
        let label = format!("{prefix:?} is not a valid path prefix");
        let help = "begin with / and use no spaces, query or fragment".to_owned();
        add(findings, place, label, help);
        return;
    }
    if prefix.len() > PATH_PREFIX_LIMIT_BYTES {
        let label = format!("the prefix is {} bytes long", prefix.len());
        let help = format!("the maximum is {PATH_PREFIX_LIMIT_BYTES}");
        add(findings, place, label, help);
    }
}

fn check_class(place: &str, rule: &RequestRule, document: &Document, findings: &mut Vec<Finding>) {
    let is_declared = document.class_rank(&rule.class).is_some();
    if is_declared || document.classes.is_empty() {
        return;
    }
    let known = document
        .classes
        .iter()
        .map(|class| class.name.as_str())
        .collect::<Vec<_>>()
        .join(", ");
    let label = format!("class {:?} is not declared", rule.class);
    let help = format!("declared classes: {known}");
    add(findings, places::field(place, "class"), label, help);
}
