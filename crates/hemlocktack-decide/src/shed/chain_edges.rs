//! Which deeper calls a call goes on to.

use std::collections::HashMap;

use super::ShedLevel;
use crate::WorkKind;

/// Which deeper services calls of one kind need, learnt on the node beside the
/// upstream that makes those deeper calls.
///
/// Load: a deep service that sheds. Harm: its refusal comes after every hop
/// above it has worked. The level of a service that (nearly) every call of a
/// kind goes on to is therefore passed up, reply by reply, to the entry. A
/// service that only some calls need is not: their entry cannot tell which.
#[derive(Debug, Default)]
pub struct ChainEdges {
    /// Share of the caller's calls that go on to the callee.
    shares: HashMap<Edge, f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Edge {
    caller: WorkKind,
    callee: WorkKind,
}

/// Share of a kind's calls that must need a service before its level is passed
/// up.
const NEEDED_SHARE: f64 = 0.9;
const EDGE_WEIGHT: f64 = 0.05;

impl ChainEdges {
    /// A call of `kind` was answered having made deeper calls of these kinds.
    pub fn record_answer(&mut self, kind: WorkKind, deeper: &[WorkKind]) {
        let of_kind = |edge: &Edge| edge.caller == kind;
        for (edge, share) in self.shares.iter_mut().filter(|(edge, _)| of_kind(edge)) {
            let needed = f64::from(u8::from(deeper.contains(&edge.callee)));
            *share += (needed - *share) * EDGE_WEIGHT;
        }
        for &callee in deeper {
            let edge = Edge {
                caller: kind,
                callee,
            };
            self.shares.entry(edge).or_insert(1.0);
        }
    }

    /// Strictest level among the kinds of deeper calls that calls of `kind` need.
    pub fn level(&self, kind: WorkKind, level_of: impl Fn(WorkKind) -> ShedLevel) -> ShedLevel {
        self.shares
            .iter()
            .filter(|(edge, share)| edge.caller == kind && **share >= NEEDED_SHARE)
            .map(|(edge, _)| level_of(edge.callee))
            .min()
            .unwrap_or(ShedLevel::OPEN)
    }
}
