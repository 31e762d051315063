//! `config new-key`: makes a key for a client account.

use serde::Serialize;

use crate::arguments::Arguments;
use crate::error::Result;
use crate::output::Output;
use crate::signature::{Effect, Example, Signature, no_flags};

pub(crate) const SIGNATURE: Signature = Signature {
    words: "config new-key",
    operands: "",
    effect: Effect::Query,
    summary: "Make a key for a client account, and the digest for the document.",
    flags: no_flags,
    examples: &[Example {
        line: "config new-key",
        meaning: "print a key for the client and its digest for key_digests; neither is stored",
    }],
    run,
};

/// A new key with its digest.
#[derive(Serialize)]
struct NewKey {
    /// For the client; it cannot be recovered from the digest.
    key: String,
    /// For `key_digests` of the client account.
    digest: String,
}

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    arguments.finish()?;
    let key = random_key();
    let digest = hemlocktack_config::digest_key(key.as_bytes()).to_string();
    let text = format!("key     {key}\ndigest  {digest}\n");
    output.report(&text, &NewKey { key, digest })
}

/// Returns 256 random bits as text.
fn random_key() -> String {
    let words: [u64; 4] = rand::random();
    let words = words.iter().map(|word| format!("{word:016x}"));
    words.collect()
}
