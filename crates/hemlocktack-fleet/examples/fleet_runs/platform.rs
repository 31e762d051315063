//! Stand-in for the platform: one document with a generation.

use std::time::Duration;

use hemlocktack_protocol::{ConfigurationDocument, Generation};

/// What the platform does to calls at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Weather {
    Fine,
    Out,
    Slow,
    /// Writes take effect and their answers are lost.
    LosesAnswers,
}

/// A watch that waits for a generation above one.
pub(crate) struct Watch {
    pub(crate) number: usize,
    pub(crate) above: Generation,
    pub(crate) ends: Duration,
}

/// The stored document and the outage that is on.
pub(crate) struct Platform {
    pub(crate) stored: Option<ConfigurationDocument>,
    pub(crate) weather: Weather,
    pub(crate) weather_ends: Duration,
    pub(crate) calls: u64,
    pub(crate) watches: Vec<Watch>,
    /// When the weather last was not fine.
    pub(crate) disturbed: Duration,
    /// When the stored document was written.
    pub(crate) written: Duration,
}

impl Platform {
    pub(crate) fn new() -> Self {
        let mut platform = Self {
            stored: None,
            weather: Weather::Fine,
            weather_ends: Duration::ZERO,
            calls: 0,
            watches: Vec::new(),
            disturbed: Duration::ZERO,
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
        if now >= self.weather_ends {
            self.weather = Weather::Fine;
        }
        if self.weather != Weather::Fine {
            self.disturbed = now;
        }
    }

    /// Conditional update; `None` where the generation has moved on.
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
