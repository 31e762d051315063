//! List of all commands, in the order in which the help shows them.

use crate::signature::Signature;
use crate::{commands, queries};

/// All commands, in the order in which the help shows them.
pub const CATALOGUE: [&Signature; 13] = [
    &queries::config::check::SIGNATURE,
    &queries::config::diff::SIGNATURE,
    &queries::config::show::SIGNATURE,
    &queries::config::history::SIGNATURE,
    &queries::config::new_key::SIGNATURE,
    &commands::config::apply::SIGNATURE,
    &queries::fleet::status::SIGNATURE,
    &queries::fleet::nodes::SIGNATURE,
    &queries::fleet::upstreams::SIGNATURE,
    &commands::fleet::drain::SIGNATURE,
    &queries::calls::explain::SIGNATURE,
    &queries::logs::story::SIGNATURE,
    &queries::logs::summary::SIGNATURE,
];

/// Returns the command selected by the first arguments, and the number of its words.
pub(crate) fn find(arguments: &[String]) -> Option<(&'static Signature, usize)> {
    CATALOGUE.into_iter().find_map(|signature| {
        let count = signature.words.split(' ').count();
        let selected = arguments.get(..count)?;
        let is_match = signature.words.split(' ').eq(selected);
        is_match.then_some((signature, count))
    })
}

/// Returns the commands of two words whose first one is `word`.
pub(crate) fn group(word: &str) -> impl Iterator<Item = &'static Signature> {
    CATALOGUE.into_iter().filter(move |signature| {
        let group = signature.words.split_once(' ').map(|(group, _)| group);
        group == Some(word)
    })
}
