//! The stopping home's side of a handover.

use hemlocktack_protocol::{Handover, HandoverAccepted};

use crate::handover::parts::{to_commit, to_parts};
use crate::peer::NodeIncarnation;
use crate::tickets::TicketTable;

/// Progress of a handover after a `HandoverAccepted` frame.
#[derive(Clone, Debug, PartialEq)]
pub enum HandoverProgress {
    /// More frames are expected, or the frame does not belong to this handover.
    Waiting,
    /// Every table was accepted: send these commit frames to the same successor.
    Commit(Vec<Handover>),
    /// The successor refused: try another one.
    Refused,
    /// The successor is now the home.
    Finished,
}

#[derive(Clone, Debug)]
enum Stage {
    NotOffered,
    Offered {
        successor: NodeIncarnation,
        accepted: Vec<NodeIncarnation>,
    },
    Committed {
        successor: NodeIncarnation,
        accepted: Vec<NodeIncarnation>,
    },
}

/// A handover in progress.
#[derive(Clone, Debug)]
pub struct OutgoingHandover {
    homes: Vec<NodeIncarnation>,
    parts: Vec<Handover>,
    stage: Stage,
}

impl OutgoingHandover {
    /// Freezes the table and starts the handover. No further request starts on this node, even if
    /// the handover fails.
    pub fn begin(table: &mut TicketTable) -> OutgoingHandover {
        let homes = table.homes().cloned().collect();
        let parts = table.freeze().into_iter().flat_map(to_parts).collect();
        OutgoingHandover {
            homes,
            parts,
            stage: Stage::NotOffered,
        }
    }

    /// Returns the frames for a successor: all parts, or the commit frames once every table was
    /// accepted. They are sent again over each new link to the same incarnation.
    ///
    /// Returns nothing if another successor has been chosen.
    pub fn offer(&mut self, successor: &NodeIncarnation) -> Vec<Handover> {
        match &self.stage {
            Stage::NotOffered => {
                let successor = successor.clone();
                self.stage = Stage::Offered {
                    successor,
                    accepted: Vec::new(),
                };
                self.parts.clone()
            }
            Stage::Offered {
                successor: current, ..
            } if current == successor => self.parts.clone(),
            Stage::Committed {
                successor: current, ..
            } if current == successor => self.commit(),
            _ => Vec::new(),
        }
    }

    /// Gives up a successor that does not answer. Returns `false` if a commit frame may have been
    /// sent: it may have arrived, and a second successor would then be a second home.
    pub fn abandon(&mut self) -> bool {
        if let Stage::Committed { .. } = self.stage {
            return false;
        }
        self.stage = Stage::NotOffered;
        true
    }

    /// Processes a `HandoverAccepted` frame from the node `from`.
    pub fn handle_accepted(
        &mut self,
        from: &NodeIncarnation,
        frame: &HandoverAccepted,
    ) -> HandoverProgress {
        let home = NodeIncarnation::new(&*frame.home_node_id, frame.home_incarnation);
        if !self.homes.contains(&home) {
            return HandoverProgress::Waiting;
        }
        if frame.refused {
            return self.refused(from);
        }
        let (successor, accepted) = match &mut self.stage {
            Stage::Offered {
                successor,
                accepted,
            } if frame.complete && !frame.committed => (successor, accepted),
            Stage::Committed {
                successor,
                accepted,
            } if frame.committed => (successor, accepted),
            _ => return HandoverProgress::Waiting,
        };
        if successor != from || accepted.contains(&home) {
            return HandoverProgress::Waiting;
        }
        accepted.push(home);
        if accepted.len() < self.homes.len() {
            return HandoverProgress::Waiting;
        }
        if frame.committed {
            return HandoverProgress::Finished;
        }
        let successor = successor.clone();
        self.stage = Stage::Committed {
            successor,
            accepted: Vec::new(),
        };
        HandoverProgress::Commit(self.commit())
    }

    fn refused(&self, from: &NodeIncarnation) -> HandoverProgress {
        match &self.stage {
            Stage::Offered { successor, .. } if successor == from => HandoverProgress::Refused,
            _ => HandoverProgress::Waiting,
        }
    }

    /// Returns the successor that the tickets are committed to.
    pub fn successor(&self) -> Option<&NodeIncarnation> {
        match &self.stage {
            Stage::Committed { successor, .. } => Some(successor),
            _ => None,
        }
    }

    fn commit(&self) -> Vec<Handover> {
        self.homes.iter().map(to_commit).collect()
    }
}
