//! Tickets and their text form in the `Idempotency-Key` header.

use derive_more::{Display, Error};
use hemlocktack_protocol::{Reason, ServiceName};

use crate::keys::{FleetKeys, MacPurpose};
use crate::peer::NodeIncarnation;
use crate::tickets::record::Nonce;

/// Maximum length of a ticket's text; a longer text is malformed.
pub const TICKET_TEXT_LIMIT_BYTES: usize = 320;

const VERSION: &str = "ht1";
const SEPARATOR: char = '~';
const NAME_LIMIT_BYTES: usize = 96;
const MAC_KEPT_BYTES: usize = 16;

/// Result of the functions of this module.
pub type Result<T> = std::result::Result<T, TicketError>;

/// Why a text is not a ticket of this fleet, or a ticket cannot be issued.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum TicketError {
    /// The text does not have the format of a ticket.
    #[display("the text does not have the format of a ticket")]
    Malformed,
    /// The ticket is signed with no valid key, or was issued for another service.
    #[display("the ticket was not issued by this fleet for this service")]
    Foreign,
    /// The service or node name cannot be encoded in a ticket.
    #[display(
        "a name in a ticket must have 1 to {NAME_LIMIT_BYTES} letters, digits, '-', '_' or '.'"
    )]
    InvalidName,
}

impl TicketError {
    /// Returns the reason that is sent to the caller.
    pub fn reason(self) -> Reason {
        match self {
            TicketError::Malformed | TicketError::InvalidName => Reason::TicketMalformed,
            TicketError::Foreign => Reason::TicketForeign,
        }
    }
}

/// Permission to run one non-idempotent request at most once, decided by its home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Service that the request is sent to.
    pub service: ServiceName,
    /// The only node incarnation that may start the request.
    pub home: NodeIncarnation,
    /// The home's epoch, as known to the issuing node.
    pub epoch: u64,
    /// Random number that identifies the request.
    pub nonce: Nonce,
    mac: [u8; MAC_KEPT_BYTES],
}

impl Ticket {
    /// Issues a signed ticket. `nonce` must come from a cryptographic random number generator or be
    /// derived with a secret key.
    ///
    /// # Errors
    /// [`TicketError::InvalidName`] if the service or node name cannot be encoded in a ticket.
    pub fn issue(
        keys: &FleetKeys,
        service: ServiceName,
        home: NodeIncarnation,
        epoch: u64,
        nonce: Nonce,
    ) -> Result<Ticket> {
        if !is_name(&service) || !is_name(&home.node_id) {
            return Err(TicketError::InvalidName);
        }
        let mut ticket = Ticket {
            service,
            home,
            epoch,
            nonce,
            mac: [0; MAC_KEPT_BYTES],
        };
        let mac = ticket.with_signed_parts(|parts| keys.sign(MacPurpose::Ticket, parts));
        ticket.mac.copy_from_slice(&mac[..MAC_KEPT_BYTES]);
        Ok(ticket)
    }

    /// Returns the text of the header.
    pub fn encode(&self) -> String {
        let mac = u128::from_be_bytes(self.mac);
        format!(
            "{VERSION}~{}~{}~{:016x}~{:x}~{:032x}~{mac:032x}",
            self.service, self.home.node_id, self.home.incarnation, self.epoch, self.nonce,
        )
    }

    /// Parses a header's text, with or without quotes, and checks its MAC and service.
    ///
    /// # Errors
    /// Whether the text is malformed, or the ticket is not one of this fleet for this service.
    pub fn decode(keys: &FleetKeys, service: &str, text: &str) -> Result<Ticket> {
        let ticket = parse(text).ok_or(TicketError::Malformed)?;
        let has_valid_mac =
            ticket.with_signed_parts(|parts| keys.verify(MacPurpose::Ticket, parts, &ticket.mac));
        if !has_valid_mac || &*ticket.service != service {
            return Err(TicketError::Foreign);
        }
        Ok(ticket)
    }

    /// Returns whether the text has the format of a ticket for the service; the MAC is not checked.
    pub(crate) fn has_ticket_format(service: &str, text: &str) -> bool {
        parse(text).is_some_and(|ticket| &*ticket.service == service)
    }

    fn with_signed_parts<T>(&self, use_parts: impl FnOnce(&[&[u8]]) -> T) -> T {
        use_parts(&[
            self.service.as_bytes(),
            self.home.node_id.as_bytes(),
            &self.home.incarnation.to_be_bytes(),
            &self.epoch.to_be_bytes(),
            &self.nonce.to_be_bytes(),
        ])
    }
}

fn parse(text: &str) -> Option<Ticket> {
    if text.len() > TICKET_TEXT_LIMIT_BYTES {
        return None;
    }
    let mut fields = unquote(text).split(SEPARATOR);
    if fields.next()? != VERSION {
        return None;
    }
    let service = fields.next().filter(|name| is_name(name))?;
    let node_id = fields.next().filter(|name| is_name(name))?;
    let incarnation = parse_fixed_hex(fields.next()?, 16)? as u64;
    let epoch = parse_epoch(fields.next()?)?;
    let nonce = parse_fixed_hex(fields.next()?, 32)?;
    let mac = parse_fixed_hex(fields.next()?, 32)?.to_be_bytes();
    if fields.next().is_some() {
        return None;
    }
    let home = NodeIncarnation::new(node_id, incarnation);
    Some(Ticket {
        service: service.into(),
        home,
        epoch,
        nonce,
        mac,
    })
}

fn unquote(text: &str) -> &str {
    let inner = text
        .strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'));
    inner.unwrap_or(text)
}

// Accepts one text only for each number, so that each ticket has exactly one text.
// `from_str_radix` alone would also accept signs, capital digits and fewer digits.
fn parse_fixed_hex(text: &str, digit_count: usize) -> Option<u128> {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if text.len() != digit_count || !text.bytes().all(is_digit) {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}

fn parse_epoch(text: &str) -> Option<u64> {
    if text.len() > 16 || (text.starts_with('0') && text != "0") {
        return None;
    }
    Some(parse_fixed_hex(text, text.len())? as u64)
}

fn is_name(name: &str) -> bool {
    let is_name_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    (1..=NAME_LIMIT_BYTES).contains(&name.len()) && name.bytes().all(is_name_byte)
}
