//! Learns which child calls each kind of call makes.

use std::collections::HashMap;

use super::ShedLevel;
use crate::WorkKind;

/// Records which services calls of one kind depend on. It is learnt on the node beside the
/// upstream that makes the child calls.
///
/// When a service deep in the chain sheds, its refusal arrives only after every hop above it has
/// done work. The shed level of a service that (nearly) every call of a kind needs is therefore
/// passed up with the replies to the entry. A service that only some calls need is left out,
/// because the entry cannot tell which calls these are.
#[derive(Debug, Default)]
pub struct ChainEdges {
    /// Share of the caller's calls that call the callee.
    shares: HashMap<Edge, f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Edge {
    caller: WorkKind,
    callee: WorkKind,
}

/// Minimum share of a kind's calls that must need a service for its level to be passed up.
const REQUIRED_SHARE: f64 = 0.9;
const SAMPLE_WEIGHT: f64 = 0.05;

impl ChainEdges {
    /// Records that a call of `kind` was answered after making child calls of these kinds.
    pub fn record_answer(&mut self, kind: WorkKind, child_kinds: &[WorkKind]) {
        let of_kind = |edge: &Edge| edge.caller == kind;
        for (edge, share) in self.shares.iter_mut().filter(|(edge, _)| of_kind(edge)) {
            let needed = f64::from(u8::from(child_kinds.contains(&edge.callee)));
            *share += (needed - *share) * SAMPLE_WEIGHT;
        }
        for &callee in child_kinds {
            let edge = Edge {
                caller: kind,
                callee,
            };
            self.shares.entry(edge).or_insert(1.0);
        }
    }

    /// Returns the strictest level among the kinds of child calls that calls of `kind` need.
    pub fn level(&self, kind: WorkKind, level_of: impl Fn(WorkKind) -> ShedLevel) -> ShedLevel {
        self.shares
            .iter()
            .filter(|(edge, share)| edge.caller == kind && **share >= REQUIRED_SHARE)
            .map(|(edge, _)| level_of(edge.callee))
            .min()
            .unwrap_or(ShedLevel::OPEN)
    }
}
