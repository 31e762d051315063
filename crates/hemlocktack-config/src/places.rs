//! Places in a document: the paths of fields and their line numbers.

use std::collections::BTreeMap;
use std::ops::Range;

/// Maps byte offsets to line numbers.
pub(crate) struct LineIndex {
    starts: Vec<usize>,
}

impl LineIndex {
    pub(crate) fn new(text: &str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        LineIndex {
            starts: std::iter::once(0).chain(after_breaks).collect(),
        }
    }

    /// Returns the line of an offset, counted from 1.
    pub(crate) fn line(&self, offset: usize) -> u32 {
        let line = self.starts.partition_point(|start| *start <= offset);
        u32::try_from(line).unwrap_or(u32::MAX)
    }
}

/// Line numbers of the places recorded while a document is read.
pub(crate) struct Places {
    index: LineIndex,
    lines: BTreeMap<String, u32>,
}

impl Places {
    pub(crate) fn new(text: &str) -> Self {
        Places {
            index: LineIndex::new(text),
            lines: BTreeMap::new(),
        }
    }

    pub(crate) fn record(&mut self, place: &str, span: Range<usize>) {
        let line = self.index.line(span.start);
        self.lines.insert(place.to_owned(), line);
    }

    pub(crate) fn line_of_offset(&self, offset: usize) -> u32 {
        self.index.line(offset)
    }

    /// Returns the line of a place, or of the nearest recorded place that contains it; 0 for the
    /// whole document.
    pub(crate) fn line(&self, place: &str) -> u32 {
        let mut place = place;
        loop {
            if let Some(line) = self.lines.get(place) {
                return *line;
            }
            let Some(end) = place.rfind(['.', '[']) else {
                return 0;
            };
            place = &place[..end];
        }
    }
}

/// Returns the place of a field within another place.
pub(crate) fn field(parent: &str, name: &str) -> String {
    if parent.is_empty() {
        return name.to_owned();
    }
    format!("{parent}.{name}")
}

/// Returns the place of an element of a list.
pub(crate) fn element(list: &str, position: usize) -> String {
    format!("{list}[{position}]")
}

/// Returns a place in the form of a TOML table header, without element positions.
pub(crate) fn without_positions(place: &str) -> String {
    let parts = place.split('.').map(|part| match part.split_once('[') {
        Some((name, _)) => name,
        None => part,
    });
    parts.collect::<Vec<_>>().join(".")
}

/// Returns whether `place` is `around` or lies within it; always false if `around` is the whole
/// document.
pub(crate) fn is_within(place: &str, around: &str) -> bool {
    if around.is_empty() {
        return false;
    }
    let Some(rest) = place.strip_prefix(around) else {
        return false;
    };
    rest.is_empty() || rest.starts_with(['.', '['])
}
