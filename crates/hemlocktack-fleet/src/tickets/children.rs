//! Tickets of the non-idempotent calls that an upstream makes for one call.

use std::collections::HashMap;

use bytes::Bytes;
use derive_more::{Display, Error};
use hemlocktack_protocol::{Reason, ServiceName};

use crate::keys::{FleetKeys, MacPurpose};
use crate::peer::NodeIncarnation;
use crate::tickets::record::Nonce;
use crate::tickets::ticket::Ticket;

// An upstream makes a handful of such calls for one request; the bound keeps a
// faulty one from filling the node's memory.
const CHILDREN_LIMIT: usize = 256;
const KEY_LIMIT_BYTES: usize = 256;

/// Why a deeper call gets no ticket. Nothing has run.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ChildRefusal {
    /// It carries no key of the upstream's own.
    #[display("a deeper call that is not idempotent needs a key")]
    KeyRequired,
    /// Its parent may be repeated, and each repetition would run it again.
    #[display("an idempotent call cannot make a call that is not, except with a ticket")]
    ParentIdempotent,
    /// The key is a ticket that no valid key signed. It may have run, under a
    /// key that has been dropped since.
    #[display("the key is a ticket that this fleet's keys did not sign")]
    Foreign,
    /// Key too long, or too many keys under one parent.
    #[display("the key is too long or the parent has too many")]
    LimitExceeded,
    /// No node of the service is known.
    #[display("no home is known for the service")]
    NoHome,
}

impl ChildRefusal {
    /// Reason that the upstream is told.
    pub fn reason(self) -> Reason {
        match self {
            ChildRefusal::KeyRequired | ChildRefusal::ParentIdempotent => Reason::TicketRequired,
            ChildRefusal::Foreign => Reason::TicketForeign,
            ChildRefusal::LimitExceeded => Reason::TicketMalformed,
            ChildRefusal::NoHome => Reason::NoUpstream,
        }
    }
}

/// Where a child's ticket may be homed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildHome {
    /// A node of the child's service.
    pub home: NodeIncarnation,
    /// That home's epoch as this node knows it.
    pub epoch: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ChildKey {
    service: ServiceName,
    key: Bytes,
}

/// Children of one running call; lives as long as the call's context.
///
/// The parent runs at most once, and each of its children has one ticket for
/// all its sends: so the whole chain runs at most once. The home must be
/// remembered and not chosen again, because two homes would both start it.
#[derive(Clone, Debug)]
pub struct ChildCalls {
    // `None`: the parent is idempotent and may be repeated.
    parent_nonce: Option<Nonce>,
    tickets: HashMap<ChildKey, Ticket>,
}

impl ChildCalls {
    /// For a parent that runs at most once under a ticket.
    pub fn for_ticketed_parent(parent_nonce: Nonce) -> ChildCalls {
        ChildCalls {
            parent_nonce: Some(parent_nonce),
            tickets: HashMap::new(),
        }
    }

    /// For a parent that may be repeated.
    pub fn for_idempotent_parent() -> ChildCalls {
        ChildCalls {
            parent_nonce: None,
            tickets: HashMap::new(),
        }
    }

    /// The child's one ticket. `choose_home` is asked on its first send only.
    ///
    /// A key that is itself a valid ticket for the service is used as it is,
    /// whatever the parent: it binds the request by itself.
    ///
    /// # Errors
    /// Why the deeper call gets no ticket; nothing has run.
    pub fn ticket_for(
        &mut self,
        keys: &FleetKeys,
        service: &ServiceName,
        key: Option<&[u8]>,
        choose_home: impl FnOnce() -> Option<ChildHome>,
    ) -> Result<Ticket, ChildRefusal> {
        let Some(key) = key.filter(|key| !key.is_empty()) else {
            return Err(ChildRefusal::KeyRequired);
        };
        if let Some(passed_along) = passed_along(keys, service, key) {
            return passed_along;
        }
        let Some(parent_nonce) = self.parent_nonce else {
            return Err(ChildRefusal::ParentIdempotent);
        };
        if key.len() > KEY_LIMIT_BYTES {
            return Err(ChildRefusal::LimitExceeded);
        }
        let child = ChildKey {
            service: service.clone(),
            key: Bytes::copy_from_slice(key),
        };
        if let Some(ticket) = self.tickets.get(&child) {
            return Ok(ticket.clone());
        }
        if self.tickets.len() >= CHILDREN_LIMIT {
            return Err(ChildRefusal::LimitExceeded);
        }
        let ChildHome { home, epoch } = choose_home().ok_or(ChildRefusal::NoHome)?;
        let nonce = child_nonce(keys, parent_nonce, service, key);
        let ticket = Ticket::issue(keys, service.clone(), home, epoch, nonce)
            .map_err(|_| ChildRefusal::NoHome)?;
        self.tickets.insert(child, ticket.clone());
        Ok(ticket)
    }
}

// `None`: a key of the upstream's own.
fn passed_along(
    keys: &FleetKeys,
    service: &str,
    key: &[u8],
) -> Option<Result<Ticket, ChildRefusal>> {
    let text = std::str::from_utf8(key).ok()?;
    if !Ticket::is_form_for(service, text) {
        return None;
    }
    Some(Ticket::decode(keys, service, text).map_err(|_| ChildRefusal::Foreign))
}

fn child_nonce(keys: &FleetKeys, parent: Nonce, service: &str, key: &[u8]) -> Nonce {
    let parts: [&[u8]; 3] = [&parent.to_be_bytes(), service.as_bytes(), key];
    let mac = keys.sign(MacPurpose::ChildNonce, &parts);
    let (nonce, _) = mac.split_at(size_of::<Nonce>());
    nonce
        .iter()
        .fold(0, |nonce, byte| nonce << 8 | Nonce::from(*byte))
}
