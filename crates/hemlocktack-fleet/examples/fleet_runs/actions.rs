//! What the actions of a process's state machines lead to.

use std::net::SocketAddr;

use hemlocktack_fleet::configuration::ConfigurationAction;
use hemlocktack_fleet::drain::LifecycleAction;
use hemlocktack_fleet::membership::MembershipAction;
use hemlocktack_protocol::{Gossip, NodeState};
use prost::Message;

use crate::node::Process;
use crate::world::{Event, World};

impl World {
    pub(crate) fn act(
        &mut self,
        number: usize,
        process: &mut Process,
        actions: Vec<MembershipAction>,
    ) {
        for action in actions {
            match action {
                MembershipAction::Send { to, gossip } => self.send(number, to, gossip),
                MembershipAction::NewerGenerationSeen {
                    node_id,
                    generation,
                } => {
                    process.in_force.peer_announced(&node_id, generation);
                }
                MembershipAction::Superseded { .. } => {
                    let actions = process.life.drain(self.instant());
                    self.live(number, process, &actions);
                }
                MembershipAction::MembersChanged | MembershipAction::SuspectsReceived { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, gossip: Box<Gossip>) {
        const IP_AND_UDP_BYTES: usize = 28;
        let membership = &self.settings.membership;
        let length = gossip.encoded_len() + membership.mac_bytes;
        assert!(
            length <= membership.datagram_limit_bytes,
            "datagram of {length} bytes"
        );
        self.bytes_sent += (length + IP_AND_UDP_BYTES) as u64;
        let Some(target) = self.slots.iter().position(|slot| slot.address == to) else {
            return;
        };
        let address = self.slots[from].address;
        for delay in self.network.deliveries(from, target, &mut self.rng) {
            let gossip = gossip.clone();
            let event = Event::Datagram {
                from: address,
                gossip,
            };
            self.follow(target, delay, event);
        }
    }

    pub(crate) fn configure(
        &mut self,
        number: usize,
        process: &mut Process,
        actions: Vec<ConfigurationAction>,
    ) -> Result<(), String> {
        for action in actions {
            match action {
                ConfigurationAction::ReadPlatform { above, wait } => {
                    self.ask_platform(number, above, wait);
                }
                ConfigurationAction::Pull { node_id, above } => {
                    self.pull(number, node_id, above);
                }
                ConfigurationAction::Install { document } => {
                    self.checks
                        .installed(number, process, document.generation)?;
                    let generation = document.generation;
                    self.note(format!("{number} installs {generation}"));
                    let actions = process.membership.set_generation(generation, &mut self.rng);
                    self.act(number, process, actions);
                }
                ConfigurationAction::ReportUnreadable { generation } => {
                    return Err(format!("{number} cannot read {generation}"));
                }
                ConfigurationAction::CaughtUp => {
                    self.note(format!("{number} caught up"));
                    self.checks
                        .caught_up(number, process, &self.slots[number])?;
                    let actions = process.life.configuration_caught_up();
                    self.live(number, process, &actions);
                }
            }
        }
        Ok(())
    }

    pub(crate) fn live(
        &mut self,
        number: usize,
        process: &mut Process,
        actions: &[LifecycleAction],
    ) -> bool {
        for action in actions {
            match action {
                LifecycleAction::Publish(publication) => {
                    self.note(format!("{number} publishes {:?}", publication.state));
                    let actions = process.membership.update_own(*publication, &mut self.rng);
                    self.act(number, process, actions);
                }
                LifecycleAction::HandOver => {
                    let actions = process.life.handed_over();
                    return self.live(number, process, &actions);
                }
                LifecycleAction::ReportOverrun { .. } => {}
                LifecycleAction::Leave => return true,
            }
        }
        let is_leaving =
            process.life.state() != NodeState::Starting && !process.life.accepts_new_calls();
        if !is_leaving {
            process.leaving_since = None;
        } else if process.leaving_since.is_none() {
            process.leaving_since = Some(self.now);
        }
        false
    }
}
