//! The safeguards under test, each of which can be switched off.

use strum::{Display, EnumIter, EnumString};

/// One safeguard. Switched off, the world drives the same state machines and
/// leaves out, or works against, what the safeguard says.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Safeguard {
    /// A home starts tickets of its own incarnation only.
    HomeIncarnation,
    /// A ticket stands for the request that it was first sent with.
    RequestBound,
    /// A re-send of a ticket in flight joins it.
    Join,
    /// A ticket in a state that does not allow it is not let out.
    StateChecked,
    /// A delegation is recorded before the call is sent.
    DelegationRecorded,
    /// A delegate that came to no proof leaves the ticket ended.
    UnknownIsFinal,
    /// Another incarnation under a peer's name proves nothing.
    PeerIncarnation,
    /// Frames of a link reach only the incarnation that it was made with.
    LinkIncarnation,
    /// "Never arrived" is told only after the call was fenced.
    FenceOnResolve,
    /// A call frame that came before is dropped.
    DuplicateCalls,
    /// What may have been forgotten is not told as never arrived.
    Mark,
    /// A ticket told `not_run` never starts.
    FenceOnRefusal,
    /// So does a ticket told `not_run` by a home that stops.
    FenceWhileStopping,
    /// A frame still in the node's queue when its link went is not written.
    QueuedFrameWithdrawn,
    /// Tickets of epochs whose records are gone are refused.
    Expiry,
    /// A stopping home starts nothing once its table is on its way.
    Freeze,
    /// Requests still running go over as "may have run".
    RunningHandedOver,
    /// A successor begins with the commit and not with its acceptance.
    Commit,
    /// After the commit no other successor is tried.
    CommitOnce,
    /// A child call keeps its first ticket.
    ChildTicketKept,
    /// An idempotent call makes no other call than with a ticket.
    IdempotentParent,
    /// A stopping node starts nothing at its upstream.
    DrainRefuses,
    /// A planned stop waits for what is in flight.
    StopWaits,
}

/// All safeguards on, or all but one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Safeguards {
    pub(crate) without: Option<Safeguard>,
}

impl Safeguards {
    pub(crate) fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }
}
