//! Groups of accounts, and the choice of their grantors.

use std::collections::HashMap;
use std::time::Duration;

use hemlocktack_protocol::{AccountId, BootTime, stable_hash};

use super::AccountGroup;

/// Returns the group of an account.
pub fn group_of(account: AccountId, groups: u32) -> AccountGroup {
    let hash = stable_hash(&[b"quota group", &account.to_be_bytes()]);
    (hash % u64::from(groups.max(1))) as AccountGroup
}

/// Chooses the grantor of each group: the ready node with the highest hash, unless it did not
/// answer lately.
///
/// Nodes may choose differently for a while. An account then has two grantors, each with the shares
/// of those that chose it.
#[derive(Debug, Default)]
pub struct GrantorChoice {
    passed_over: HashMap<String, BootTime>,
}

impl GrantorChoice {
    /// Returns the grantor of a group among the ready nodes, this one included.
    pub fn choose<'a>(
        &self,
        group: AccountGroup,
        ready: impl Iterator<Item = &'a str>,
        now: BootTime,
    ) -> Option<&'a str> {
        let is_passed_over = |id: &str| self.passed_over.get(id).is_some_and(|until| *until > now);
        let rank = |id: &str| stable_hash(&[b"grantor", &group.to_be_bytes(), id.as_bytes()]);
        ready.max_by_key(|id| (!is_passed_over(id), rank(id)))
    }

    /// Records that a node did not answer.
    pub fn pass_over(&mut self, node_id: &str, pause: Duration, now: BootTime) {
        self.passed_over.retain(|_, until| *until > now);
        self.passed_over.insert(node_id.to_owned(), now.plus(pause));
    }
}
