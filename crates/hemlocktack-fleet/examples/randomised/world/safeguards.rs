//! Safeguards under test, each of which can be disabled.

use strum::{Display, EnumIter, EnumString};

/// One safeguard. If it is disabled, the simulation drives the same state machines but omits or
/// defeats what the safeguard does.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Safeguard {
    /// A home starts only tickets of its own incarnation.
    HomeIncarnation,
    /// A ticket is bound to the request that it was first sent with.
    RequestBound,
    /// A ticket that is sent again while its request is in flight joins that request.
    Join,
    /// A ticket is started or delegated only in a state that allows it.
    StateChecked,
    /// A delegation is recorded before the call is sent.
    DelegationRecorded,
    /// A ticket whose delegate's outcome is unknown is not started again.
    UnknownIsFinal,
    /// A new incarnation of a peer does not prove that calls to the earlier one never ran.
    PeerIncarnation,
    /// Frames of a link reach only the incarnation that the link was established with.
    LinkIncarnation,
    /// A call is reported as never arrived only after it was fenced.
    FenceOnResolve,
    /// A duplicate call frame is dropped.
    DuplicateCalls,
    /// A call whose record may have been evicted is not reported as never arrived.
    Mark,
    /// A ticket that was reported as `not_run` never starts.
    FenceOnRefusal,
    /// A ticket that a stopping home reported as `not_run` never starts.
    FenceWhileStopping,
    /// A call frame still in the send queue when its link is lost is not written.
    QueuedFrameWithdrawn,
    /// Tickets of epochs whose records were evicted are refused.
    Expiry,
    /// A stopping home starts nothing once the handover of its table has begun.
    Freeze,
    /// Requests still running are handed over as possibly run.
    RunningHandedOver,
    /// A successor becomes the home at the commit, not when it has accepted the table.
    Commit,
    /// After the commit the table is offered to no other successor.
    CommitOnce,
    /// A child call that is sent again keeps its first ticket.
    ChildTicketKept,
    /// An idempotent call makes child calls only with a ticket that it forwards.
    IdempotentParent,
    /// A stopping node starts no requests at its upstream.
    DrainRefuses,
    /// A planned stop waits for the calls in flight.
    StopWaits,
}

/// Which safeguards are enabled: all, or all but one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Safeguards {
    pub(crate) without: Option<Safeguard>,
}

impl Safeguards {
    pub(crate) fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }
}
