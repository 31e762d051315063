//! Token bucket whose size and rate may change.

/// Tokens saved for one account.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    tokens: f64,
}

impl Bucket {
    /// Adds what has accrued, and cuts the tokens to what the bucket holds now.
    pub(crate) fn fill(&mut self, accrued: f64, capacity: f64) {
        self.tokens = (self.tokens + accrued).min(capacity).max(0.0);
    }

    /// Takes up to `wanted` tokens, but leaves at least `reserve`.
    pub(crate) fn take(&mut self, wanted: u32, reserve: f64) -> u32 {
        let available = (self.tokens - reserve).max(0.0).floor();
        let taken = available.min(f64::from(wanted));
        self.tokens -= taken;
        taken as u32
    }
}
