//! Client accounts of the requests that enter at this node.

mod identify;

pub(crate) use identify::identify;
