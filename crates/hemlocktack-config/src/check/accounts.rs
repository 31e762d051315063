//! Checks of the client accounts.

use std::collections::BTreeMap;

use hemlocktack_protocol::Finding;

use super::{add, check_length_limit, check_names};
use crate::bounds::{ACCOUNT_KEY_LIMIT, ACCOUNT_LIMIT};
use crate::places;
use crate::{ClientAccount, Document};

pub(super) fn check(document: &Document, findings: &mut Vec<Finding>) {
    let accounts = &document.client_accounts;
    check_length_limit("client_accounts", accounts.len(), ACCOUNT_LIMIT, findings);
    let names = accounts.iter().map(|account| &account.name);
    check_names("client_accounts", names, findings);
    check_keys(accounts, findings);
    for (position, account) in accounts.iter().enumerate() {
        let place = places::element("client_accounts", position);
        check_priority(&place, account, document, findings);
    }
}

/// Checks that each account has keys and each key one account. With a key at two accounts, it
/// would depend on the order of the document whose requests they are.
fn check_keys(accounts: &[ClientAccount], findings: &mut Vec<Finding>) {
    let mut first_places = BTreeMap::new();
    for (position, account) in accounts.iter().enumerate() {
        let list = places::field(&places::element("client_accounts", position), "key_digests");
        if account.keys.is_empty() {
            let help = "add the digest of a key; without one the account can send nothing";
            add(findings, list.clone(), "no key".to_owned(), help.to_owned());
        }
        check_length_limit(&list, account.keys.len(), ACCOUNT_KEY_LIMIT, findings);
        for (key_position, key) in account.keys.iter().enumerate() {
            let place = places::element(&list, key_position);
            let Some(first) = first_places.get(key) else {
                first_places.insert(key, place);
                continue;
            };
            let help = format!("first used by {first}");
            add(findings, place, "duplicate key".to_owned(), help);
        }
    }
}

fn check_priority(
    place: &str,
    account: &ClientAccount,
    document: &Document,
    findings: &mut Vec<Finding>,
) {
    let class_count = document.classes.len();
    let Some(priority) = account.priority else {
        return;
    };
    if class_count == 0 || (priority as usize) < class_count {
        return;
    }
    let label = format!("there is no class of rank {priority}");
    let help = format!("the last declared class has rank {}", class_count - 1);
    add(findings, places::field(place, "priority"), label, help);
}
