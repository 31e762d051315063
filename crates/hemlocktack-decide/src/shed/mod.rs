//! Load shedding: the shed level is computed on the node beside an upstream and applied where
//! requests enter.

mod chain_edges;
mod controller;
mod entry;
mod level;

pub use chain_edges::ChainEdges;
pub(crate) use controller::Pressure;
pub use controller::{ShedController, ShedPolicy};
pub use entry::{EntryShedPolicy, EntryShedder};
pub use level::ShedLevel;
