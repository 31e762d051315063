//! Crashes and restarts of upstreams.

use std::time::Duration;

use hemlocktack_protocol::LoadHint;

use super::arena::{CallEnd, CallKey};
use super::scenario::Policy;
use super::simulation::{Event, Simulation};

impl Simulation<'_> {
    pub(super) fn crash(&mut self, node: usize) {
        const DOWN_FOR: Duration = Duration::from_secs(2);
        self.outcomes.crashes += 1;
        self.stop(node, DOWN_FOR);
    }

    /// Stops the upstream, losing its calls; it returns cold later.
    pub(crate) fn stop(&mut self, node: usize, down_for: Duration) {
        let now = self.now();
        let mut calls = self.nodes[node].upstream.crash();
        if self.policy == Policy::Hemlocktack {
            calls.clear();
            self.nodes[node].admission.crashed(&mut calls, now);
            calls.sort_unstable();
            self.nodes[node].admission.lost(now);
            self.share_quarantine_updates(node);
        }
        calls.extend(std::mem::take(&mut self.nodes[node].fifo));
        for key in calls {
            self.end_crashed(key);
        }
        self.take_decisions(node);
        self.schedule(down_for, Event::Back(node));
    }

    fn end_crashed(&mut self, key: CallKey) {
        let Some(call) = self.arena.calls.get_mut(&key) else {
            return;
        };
        call.phase += 1;
        if let Some(child) = call.child_call.take() {
            self.cancel(child);
        }
        self.send_reply(key, CallEnd::Crashed, LoadHint::default(), 0);
    }

    /// Sends one node's quarantine updates to the others; here at once, in a real node by
    /// gossip.
    fn share_quarantine_updates(&mut self, from: usize) {
        let now = self.now();
        let updates = self.nodes[from].admission.quarantine().take_updates();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if index != from {
                for suspect in &updates {
                    node.admission.quarantine().learn(*suspect, now);
                }
            }
        }
    }
}
