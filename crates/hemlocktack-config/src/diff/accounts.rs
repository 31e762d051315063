//! Differences between the client accounts of two documents.

use super::{Change, push_if_changed};
use crate::ClientAccount;

pub(super) fn diff(old: &[ClientAccount], new: &[ClientAccount], out: &mut Vec<Change>) {
    for account in old {
        if !new.iter().any(|other| other.name == account.name) {
            let name = account.name.clone();
            out.push(Change::ClientAccountRemoved { name });
        }
    }
    for account in new {
        match old.iter().find(|other| other.name == account.name) {
            Some(before) => diff_account(before, account, out),
            None => {
                let name = account.name.clone();
                out.push(Change::ClientAccountAdded { name });
            }
        }
    }
}

fn diff_account(old: &ClientAccount, new: &ClientAccount, out: &mut Vec<Change>) {
    for key in old.keys.iter().filter(|key| !new.keys.contains(key)) {
        out.push(Change::KeyRemoved {
            account: new.name.clone(),
            digest: key.to_string(),
        });
    }
    for key in new.keys.iter().filter(|key| !old.keys.contains(key)) {
        out.push(Change::KeyAdded {
            account: new.name.clone(),
            digest: key.to_string(),
        });
    }
    let place = format!("client account {}", new.name);
    let priority = |account: &ClientAccount| match account.priority {
        Some(priority) => priority.to_string(),
        None => "none".to_owned(),
    };
    push_if_changed(&place, "priority", priority(old), priority(new), out);
    let rate = |account: &ClientAccount| account.quota.map_or(0, |quota| quota.rate_per_s);
    push_if_changed(&place, "rate_per_s", rate(old), rate(new), out);
    let burst = |account: &ClientAccount| account.quota.map_or(0, |quota| quota.burst_requests);
    push_if_changed(&place, "burst_requests", burst(old), burst(new), out);
}
