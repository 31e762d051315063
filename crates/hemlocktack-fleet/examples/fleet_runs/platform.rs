//! Simulated platform: stores one configuration document with its generation.

use std::time::Duration;

use hemlocktack_protocol::{ConfigurationDocument, Generation};

/// How the platform treats calls at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlatformCondition {
    Healthy,
    Unavailable,
    Slow,
    /// Writes take effect but their answers are lost.
    LosesAnswers,
}

/// A pending watch of a node for a generation above `above`.
pub(crate) struct Watch {
    pub(crate) number: usize,
    pub(crate) above: Generation,
    pub(crate) ends: Duration,
}

/// The stored document and the present condition of the platform.
pub(crate) struct Platform {
    pub(crate) stored: Option<ConfigurationDocument>,
    pub(crate) condition: PlatformCondition,
    pub(crate) condition_ends: Duration,
    pub(crate) calls: u64,
    pub(crate) watches: Vec<Watch>,
    /// When the platform last was not healthy.
    pub(crate) disturbed_at: Duration,
    /// When the stored document was written.
    pub(crate) written: Duration,
}

impl Platform {
    pub(crate) fn new() -> Self {
        let mut platform = Self {
            stored: None,
            condition: PlatformCondition::Healthy,
            condition_ends: Duration::ZERO,
            calls: 0,
            watches: Vec::new(),
            disturbed_at: Duration::ZERO,
            written: Duration::ZERO,
        };
        platform.write(Duration::ZERO, 0, "first".to_owned());
        platform
    }

    pub(crate) fn generation(&self) -> Generation {
        self.stored
            .as_ref()
            .map_or(0, |document| document.generation)
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        if now >= self.condition_ends {
            self.condition = PlatformCondition::Healthy;
        }
        if self.condition != PlatformCondition::Healthy {
            self.disturbed_at = now;
        }
    }

    /// Writes a document if the stored generation is still `expected`; otherwise returns `None`.
    pub(crate) fn write(
        &mut self,
        now: Duration,
        expected: Generation,
        change_id: String,
    ) -> Option<ConfigurationDocument> {
        if self.generation() != expected {
            return None;
        }
        let document = ConfigurationDocument {
            generation: expected + 1,
            document: format!("document of {change_id}"),
            change_id,
            ..ConfigurationDocument::default()
        };
        self.stored = Some(document.clone());
        self.written = now;
        Some(document)
    }

    pub(crate) fn read(&self, above: Generation) -> Option<ConfigurationDocument> {
        self.stored
            .clone()
            .filter(|document| document.generation > above)
    }
}
