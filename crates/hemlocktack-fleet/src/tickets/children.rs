//! Tickets of the non-idempotent child calls that an upstream makes while it runs a call.

use std::collections::HashMap;

use bytes::Bytes;
use derive_more::{Display, Error};
use hemlocktack_protocol::{Reason, ServiceName};

use crate::keys::{FleetKeys, MacPurpose};
use crate::peer::NodeIncarnation;
use crate::tickets::record::Nonce;
use crate::tickets::ticket::Ticket;

// An upstream makes only a few such calls for one request; the limit keeps a faulty upstream from
// exhausting the node's memory.
const CHILDREN_LIMIT: usize = 256;
const KEY_LIMIT_BYTES: usize = 256;

/// Why a child call gets no ticket. It has not run.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ChildRefusal {
    /// The call carries no idempotency key chosen by the upstream.
    #[display("a child call that is not idempotent needs an idempotency key")]
    KeyRequired,
    /// The parent call is idempotent and may be repeated; each repetition would run the child
    /// again.
    #[display("an idempotent call cannot make a non-idempotent child call without a ticket")]
    ParentIdempotent,
    /// The key is a ticket that was signed with no valid fleet key. It may have run under a fleet
    /// key that has since been removed.
    #[display("the idempotency key is a ticket that was not signed with this fleet's keys")]
    Foreign,
    /// The key is too long, or the parent has too many keys.
    #[display("the idempotency key is too long, or the parent call has too many keys")]
    LimitExceeded,
    /// No node of the service is known.
    #[display("no node of the service is known")]
    NoHome,
}

impl ChildRefusal {
    /// Returns the reason that is sent to the upstream.
    pub fn reason(self) -> Reason {
        match self {
            ChildRefusal::KeyRequired | ChildRefusal::ParentIdempotent => Reason::TicketRequired,
            ChildRefusal::Foreign => Reason::TicketForeign,
            ChildRefusal::LimitExceeded => Reason::TicketMalformed,
            ChildRefusal::NoHome => Reason::NoUpstream,
        }
    }
}

/// Home for a child call's new ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildHome {
    /// A node of the child call's service.
    pub home: NodeIncarnation,
    /// The home's current epoch, as far as this node knows.
    pub epoch: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ChildKey {
    service: ServiceName,
    key: Bytes,
}

/// Tickets of the child calls of one running call; kept as long as the call's context.
///
/// The parent runs at most once and each child call has one ticket for all its sends, so the whole
/// chain runs at most once. The ticket is stored, because choosing the home again could pick
/// another node, and both homes would run the call.
#[derive(Clone, Debug)]
pub struct ChildCalls {
    // `None` if the parent is idempotent and may be repeated.
    parent_nonce: Option<Nonce>,
    tickets: HashMap<ChildKey, Ticket>,
}

impl ChildCalls {
    /// Creates the table for a parent that runs at most once under a ticket.
    pub fn for_ticketed_parent(parent_nonce: Nonce) -> ChildCalls {
        ChildCalls {
            parent_nonce: Some(parent_nonce),
            tickets: HashMap::new(),
        }
    }

    /// Creates the table for a parent that may be repeated.
    pub fn for_idempotent_parent() -> ChildCalls {
        ChildCalls {
            parent_nonce: None,
            tickets: HashMap::new(),
        }
    }

    /// Returns the ticket of the child call that has this key. `choose_home` is called only on the
    /// first send.
    ///
    /// A key that is itself a valid ticket for the service is used unchanged, whether or not the
    /// parent is idempotent, because the ticket alone already limits the request to one run.
    ///
    /// # Errors
    /// The reason why the child call gets no ticket; it has not run.
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
        if let Some(passed_ticket) = passed_ticket(keys, service, key) {
            return passed_ticket;
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

// Returns `None` for a key that the upstream chose itself, which is no ticket.
fn passed_ticket(
    keys: &FleetKeys,
    service: &str,
    key: &[u8],
) -> Option<Result<Ticket, ChildRefusal>> {
    let text = std::str::from_utf8(key).ok()?;
    if !Ticket::has_ticket_format(service, text) {
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
