//! Decision whether a request may enter, by its key.

use std::time::Duration;

use hemlocktack_protocol::Reason;

/// What the active configuration says of the key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyCheck {
    /// The request has no key, or not exactly one.
    Absent,
    /// No client account has the key.
    Unknown,
    /// A client account has the key.
    Known,
}

/// Time limits of [`decide_identity`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdentityPolicy {
    /// Maximum age of the proof that the configuration is current, for requests with known keys;
    /// `None` admits them without a proof.
    pub admit_within: Option<Duration>,
    /// The same for refusals that tell the caller that its key is wrong. Such a caller does not
    /// come back, so a key that was just added must not be refused by an older configuration.
    pub deny_within: Duration,
}

/// How a request enters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityDecision {
    /// On behalf of no client account.
    Anonymous,
    /// On behalf of the account that has the key.
    Account,
    /// Not at all. None of the reasons lets the request run later.
    Refuse(Reason),
}

/// Decides how a request of a caller enters. `proof_age` is the time since the active configuration
/// was proved to be the newest one; `None` if it never was.
///
/// Without the limit on the age, a node that has lost the store and all other nodes would go on
/// admitting keys that operators have taken away, for as long as it is cut off.
pub fn decide_identity(
    is_public: bool,
    key: KeyCheck,
    proof_age: Option<Duration>,
    policy: &IdentityPolicy,
) -> IdentityDecision {
    let is_within = |limit: Duration| proof_age.is_some_and(|age| age <= limit);
    if is_public {
        return match key {
            KeyCheck::Known => IdentityDecision::Account,
            _ => IdentityDecision::Anonymous,
        };
    }
    match key {
        KeyCheck::Known if policy.admit_within.is_none_or(is_within) => IdentityDecision::Account,
        KeyCheck::Absent if is_within(policy.deny_within) => {
            IdentityDecision::Refuse(Reason::KeyRequired)
        }
        KeyCheck::Unknown if is_within(policy.deny_within) => {
            IdentityDecision::Refuse(Reason::KeyUnknown)
        }
        _ => IdentityDecision::Refuse(Reason::ConfigurationStale),
    }
}
