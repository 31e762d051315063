//! What goes wrong: cuts, freezes, kills, joins and leaves.

use rand::RngExt;

use crate::support::{MS, Micros, SECOND};
use crate::world::{Event, World};

impl World {
    pub(crate) fn grow(&mut self, nodes: usize) {
        let length = 9 * SECOND;
        for node in 0..self.nodes.len() {
            self.nodes[node].reaches_store = false;
            self.after(length, Event::Heal { node });
        }
        while self.nodes.len() < nodes {
            self.join();
        }
    }

    pub(crate) fn disturb(&mut self) {
        let pause = self.rng.random_range(300 * MS..2 * SECOND);
        self.after(pause, Event::Disturb);
        let node = self.rng.random_range(0..self.nodes.len());
        let length = self.rng.random_range(200 * MS..8 * SECOND);
        match self.rng.random_range(0..7) {
            0 => {
                self.nodes[node].is_frozen = true;
                self.after(length, Event::Wake { node });
            }
            1 => {
                self.nodes[node].is_up = false;
                self.nodes[node].is_frozen = false;
                self.nodes[node].held.clear();
                self.after(length / 4, Event::Restart { node });
            }
            2 => self.split(length),
            3 => self.join(),
            4 => {
                self.nodes[node].reaches_store = false;
                self.after(length, Event::Heal { node });
            }
            5 => self.leave(node, length),
            _ => {
                self.nodes[node].side = 2;
                self.nodes[node].reaches_store = self.rng.random_bool(0.5);
                self.after(length, Event::Heal { node });
            }
        }
    }

    /// Cuts the fleet into two sides, one of which may lose the store.
    fn split(&mut self, length: Micros) {
        let loses_store = self.rng.random_bool(0.5);
        for node in 0..self.nodes.len() {
            if self.rng.random_bool(0.5) {
                self.nodes[node].side = 1;
                self.nodes[node].reaches_store = !loses_store;
                self.after(length, Event::Heal { node });
            }
        }
    }

    /// A node stops for good: it removes its record once it uses its share no more.
    fn leave(&mut self, node: usize, length: Micros) {
        if self.nodes[node].reaches_store && self.nodes[node].is_up {
            self.nodes[node].is_up = false;
            self.nodes[node].is_frozen = false;
            self.nodes[node].held.clear();
            self.store.remove(&node);
            self.after(length, Event::Restart { node });
        }
    }

    pub(crate) fn wake(&mut self, node: usize) {
        self.nodes[node].is_frozen = false;
        for event in std::mem::take(&mut self.nodes[node].held) {
            self.after(0, event);
        }
    }
}
