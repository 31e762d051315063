//! Upstreams that stop with all that they hold.

use std::time::Duration;

use hemlocktack_protocol::LoadHint;

use super::arena::{CallEnd, CallKey};
use super::scenario::Policy;
use super::world::{Event, World};

impl World<'_> {
    pub(super) fn crash(&mut self, node: usize) {
        const DOWN_FOR: Duration = Duration::from_secs(2);
        self.outcomes.crashes += 1;
        self.stop(node, DOWN_FOR);
    }

    /// The upstream stops with all that it holds; it is back, cold, later.
    pub(crate) fn stop(&mut self, node: usize, down_for: Duration) {
        let now = self.now();
        let mut calls = self.nodes[node].upstream.crash();
        if self.policy == Policy::Hemlocktack {
            calls.clear();
            self.nodes[node].admission.crashed(&mut calls, now);
            calls.sort_unstable();
            self.nodes[node].admission.lost(now);
            self.spread_suspects(node);
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
        if let Some(deeper) = call.deeper_call.take() {
            self.cancel(deeper);
        }
        self.send_reply(key, CallEnd::Crashed, LoadHint::default(), 0);
    }

    /// What one node found out reaches the others; here at once, by gossip in
    /// the node.
    fn spread_suspects(&mut self, from: usize) {
        let now = self.now();
        let news = self.nodes[from].admission.quarantine().take_updates();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if index != from {
                for suspect in &news {
                    node.admission.quarantine().learn(*suspect, now);
                }
            }
        }
    }
}
