//! Carries out the actions that the state machines of a process return.

use std::net::SocketAddr;

use hemlocktack_fleet::configuration::ConfigurationAction;
use hemlocktack_fleet::drain::LifecycleAction;
use hemlocktack_fleet::membership::MembershipAction;
use hemlocktack_protocol::{Gossip, NodeState};
use prost::Message;

use crate::node::Process;
use crate::world::{Event, World};

impl World {
    pub(crate) fn apply_membership_actions(
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
                    process.configuration.peer_announced(&node_id, generation);
                }
                MembershipAction::Superseded { .. } => {
                    let actions = process.lifecycle.drain(self.instant());
                    self.apply_lifecycle_actions(number, process, &actions);
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
            self.push_to_outbox(target, delay, event);
        }
    }

    pub(crate) fn apply_configuration_actions(
        &mut self,
        number: usize,
        process: &mut Process,
        actions: Vec<ConfigurationAction>,
    ) -> Result<(), String> {
        for action in actions {
            match action {
                ConfigurationAction::ReadPlatform { above, wait } => {
                    self.read_platform(number, above, wait);
                }
                ConfigurationAction::Pull { node_id, above } => {
                    self.pull(number, node_id, above);
                }
                ConfigurationAction::Install { document } => {
                    self.checks
                        .check_installed(number, process, document.generation)?;
                    let generation = document.generation;
                    self.note(format!("node {number} installs generation {generation}"));
                    let actions = process.membership.set_generation(generation, &mut self.rng);
                    self.apply_membership_actions(number, process, actions);
                }
                ConfigurationAction::ReportUnreadable { generation } => {
                    return Err(format!("node {number} cannot read generation {generation}"));
                }
                ConfigurationAction::CaughtUp => {
                    self.note(format!("node {number} has caught up"));
                    self.checks
                        .check_caught_up(number, process, &self.slots[number])?;
                    let actions = process.lifecycle.configuration_caught_up();
                    self.apply_lifecycle_actions(number, process, &actions);
                }
            }
        }
        Ok(())
    }

    pub(crate) fn apply_lifecycle_actions(
        &mut self,
        number: usize,
        process: &mut Process,
        actions: &[LifecycleAction],
    ) -> bool {
        for action in actions {
            match action {
                LifecycleAction::Publish(publication) => {
                    self.note(format!("node {number} publishes {:?}", publication.state));
                    let actions = process.membership.update_own(*publication, &mut self.rng);
                    self.apply_membership_actions(number, process, actions);
                }
                LifecycleAction::HandOver => {
                    let actions = process.lifecycle.handed_over();
                    return self.apply_lifecycle_actions(number, process, &actions);
                }
                LifecycleAction::ReportOverrun { .. } => {}
                LifecycleAction::Leave => return true,
            }
        }
        let is_leaving = process.lifecycle.state() != NodeState::Starting
            && !process.lifecycle.accepts_new_calls();
        if !is_leaving {
            process.leaving_since = None;
        } else if process.leaving_since.is_none() {
            process.leaving_since = Some(self.now);
        }
        false
    }
}
