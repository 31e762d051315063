//! Recognises the client account of a request.

use std::sync::Arc;

use hemlocktack_config::{ClientAccount, Route};
use hemlocktack_decide::accounts::{IdentityDecision, IdentityPolicy, KeyCheck, decide_identity};
use hemlocktack_interface::Credential;
use hemlocktack_protocol::Reason;

use crate::freshness::boot_time;
use crate::node::{ActiveConfiguration, DENY_WITHIN, Node};

/// Returns the client account of a request of a caller, which has been read whole; `None` if it
/// needs none.
pub(crate) fn identify(
    node: &Node,
    active: &ActiveConfiguration,
    route: &Route,
    credential: Credential,
) -> Result<Option<Arc<ClientAccount>>, Reason> {
    if active.accounts.is_empty() {
        return Ok(None);
    }
    let (check, account) = match credential {
        Credential::Missing | Credential::Malformed => (KeyCheck::Absent, None),
        Credential::Key(digest) => match active.accounts.by_key(&digest) {
            Some(account) => (KeyCheck::Known, Some(account.clone())),
            None => (KeyCheck::Unknown, None),
        },
    };
    // The clock is read after the request: a process that stood still in between must not take the
    // proof for younger than it is.
    let proof_age = node.freshness_age(active.generation, boot_time());
    let policy = IdentityPolicy {
        admit_within: node.admit_keys_within(),
        deny_within: DENY_WITHIN,
    };
    match decide_identity(route.is_public, check, proof_age, &policy) {
        IdentityDecision::Anonymous => Ok(None),
        IdentityDecision::Account => Ok(account),
        IdentityDecision::Refuse(reason) => Err(reason),
    }
}
