//! Index of the client accounts of one configuration.

use std::collections::HashMap;
use std::sync::Arc;

use hemlocktack_protocol::AccountId;

use super::account::ClientAccount;
use super::key::KeyDigest;

/// The client accounts of one configuration, by key and by id.
#[derive(Clone, Debug, Default)]
pub struct AccountDirectory {
    by_key: HashMap<KeyDigest, Arc<ClientAccount>>,
    by_id: HashMap<AccountId, Arc<ClientAccount>>,
    has_quotas: bool,
}

impl AccountDirectory {
    /// Creates the index.
    pub fn new(accounts: &[ClientAccount]) -> AccountDirectory {
        let mut directory = AccountDirectory {
            has_quotas: accounts.iter().any(|account| account.quota.is_some()),
            ..AccountDirectory::default()
        };
        for account in accounts {
            let account = Arc::new(account.clone());
            for key in &account.keys {
                directory.by_key.insert(*key, account.clone());
            }
            directory.by_id.insert(account.id(), account);
        }
        directory
    }

    /// Returns whether no accounts are configured, so that requests need no keys.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the account that holds a key.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }

    /// Returns the account with this id.
    pub fn by_id(&self, id: AccountId) -> Option<&Arc<ClientAccount>> {
        self.by_id.get(&id)
    }

    /// Returns whether any account has a quota.
    pub fn has_quotas(&self) -> bool {
        self.has_quotas
    }
}
