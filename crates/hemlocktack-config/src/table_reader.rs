//! Reads one TOML table field by field and records a finding for each error.

use std::collections::BTreeSet;

use hemlocktack_protocol::Finding;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::accounts::KeyDigest;
use crate::bounds::Bound;
use crate::places::{self, Places};

/// Lines and findings collected while a document is read.
pub(crate) struct ParseState {
    pub(crate) places: Places,
    pub(crate) findings: Vec<Finding>,
}

impl ParseState {
    pub(crate) fn new(text: &str) -> Self {
        ParseState {
            places: Places::new(text),
            findings: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, place: &str, label: String, help: String) {
        self.findings.push(Finding {
            line: self.places.line(place),
            place: place.to_owned(),
            label,
            help,
        });
    }
}

/// Reads the fields of one table of the document.
pub(crate) struct TableReader<'a, 'text> {
    place: String,
    table: &'a DeTable<'text>,
    known_fields: BTreeSet<&'static str>,
}

impl<'a, 'text> TableReader<'a, 'text> {
    pub(crate) fn new(place: String, table: &'a DeTable<'text>, state: &mut ParseState) -> Self {
        for (key, _) in table {
            let place = places::field(&place, key.get_ref());
            state.places.record(&place, key.span());
        }
        TableReader {
            place,
            table,
            known_fields: BTreeSet::new(),
        }
    }

    fn value(&mut self, name: &'static str) -> Option<&'a Spanned<DeValue<'text>>> {
        self.known_fields.insert(name);
        self.table.get(name)
    }

    /// Returns the value of a required field; adds a finding if it is missing.
    fn required_value(
        &mut self,
        name: &'static str,
        kind: &str,
        state: &mut ParseState,
    ) -> Option<&'a DeValue<'text>> {
        let value = self.value(name);
        if value.is_none() {
            let place = places::field(&self.place, name);
            state.add(&place, "missing".to_owned(), format!("write {kind}"));
        }
        value.map(Spanned::get_ref)
    }

    fn add_type_finding(
        &self,
        name: &str,
        kind: &str,
        value: &DeValue<'_>,
        state: &mut ParseState,
    ) {
        let place = places::field(&self.place, name);
        let label = format!("expected {kind}, found type {}", value.type_str());
        state.add(&place, label, format!("write {kind}"));
    }

    pub(crate) fn string(&mut self, name: &'static str, state: &mut ParseState) -> String {
        const KIND: &str = "a string in quotation marks";
        let Some(value) = self.required_value(name, KIND, state) else {
            return String::new();
        };
        let Some(text) = value.as_str() else {
            self.add_type_finding(name, KIND, value, state);
            return String::new();
        };
        text.to_owned()
    }

    pub(crate) fn boolean(&mut self, name: &'static str, state: &mut ParseState) -> bool {
        const KIND: &str = "`true` or `false`";
        let Some(value) = self.required_value(name, KIND, state) else {
            return false;
        };
        let Some(boolean) = value.as_bool() else {
            self.add_type_finding(name, KIND, value, state);
            return false;
        };
        boolean
    }

    /// Reads an integer within its bound. Returns the default, or the minimum of a required field,
    /// if there is no valid value.
    pub(crate) fn integer(&mut self, bound: Bound, state: &mut ParseState) -> u64 {
        let kind = format!("an integer from {} to {}", bound.min, bound.max);
        let fallback = bound.default.unwrap_or(bound.min);
        let value = match bound.default {
            Some(_) => self.value(bound.field).map(Spanned::get_ref),
            None => self.required_value(bound.field, &kind, state),
        };
        let Some(value) = value else {
            return fallback;
        };
        let Some(integer) = value.as_integer() else {
            self.add_type_finding(bound.field, &kind, value, state);
            return fallback;
        };
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        let within = number.filter(|number| (bound.min..=bound.max).contains(number));
        let Some(number) = within else {
            let place = places::field(&self.place, bound.field);
            state.add(&place, "out of bounds".to_owned(), format!("write {kind}"));
            return fallback;
        };
        number
    }

    /// Reads an integer that may be absent.
    pub(crate) fn optional_integer(&mut self, bound: Bound, state: &mut ParseState) -> Option<u64> {
        self.value(bound.field)?;
        Some(self.integer(bound, state))
    }

    /// Adds a finding if only one of two fields is present.
    pub(crate) fn check_both_or_neither(
        &mut self,
        fields: [&'static str; 2],
        state: &mut ParseState,
    ) {
        let [first, second] = fields.map(|field| self.value(field).is_some());
        let (missing, present) = match (first, second) {
            (true, false) => (fields[1], fields[0]),
            (false, true) => (fields[0], fields[1]),
            _ => return,
        };
        let place = places::field(&self.place, missing);
        let help = format!("`{present}` and `{missing}` apply only together");
        state.add(&place, "missing".to_owned(), help);
    }

    /// Reads a list of key digests. The findings don't repeat the texts: one of them may be a key
    /// that was written in place of its digest.
    pub(crate) fn digests(&mut self, name: &'static str, state: &mut ParseState) -> Vec<KeyDigest> {
        const KIND: &str = "a list of key digests, each in quotation marks";
        let Some(value) = self.required_value(name, KIND, state) else {
            return Vec::new();
        };
        let Some(elements) = value.as_array() else {
            self.add_type_finding(name, KIND, value, state);
            return Vec::new();
        };
        let list = places::field(&self.place, name);
        let mut digests = Vec::with_capacity(elements.len());
        for (position, element) in elements.iter().enumerate() {
            let place = places::element(&list, position);
            state.places.record(&place, element.span());
            let text = element.get_ref().as_str().unwrap_or_default();
            match KeyDigest::parse(text) {
                Ok(digest) => digests.push(digest),
                Err(error) => {
                    let help = "write the digest that `hemlocktack config new-key` prints";
                    state.add(&place, error.to_string(), help.to_owned());
                }
            }
        }
        digests
    }

    /// Reads each table of a list; an absent list counts as empty.
    pub(crate) fn list<T>(
        &mut self,
        name: &'static str,
        state: &mut ParseState,
        read: fn(TableReader<'_, '_>, &mut ParseState) -> T,
    ) -> Vec<T> {
        let Some(value) = self.value(name) else {
            return Vec::new();
        };
        let Some(elements) = value.get_ref().as_array() else {
            self.add_type_finding(name, "a list of tables", value.get_ref(), state);
            return Vec::new();
        };
        let list = places::field(&self.place, name);
        let mut items = Vec::with_capacity(elements.len());
        for (position, element) in elements.iter().enumerate() {
            let place = places::element(&list, position);
            state.places.record(&place, element.span());
            let item = match element.get_ref().as_table() {
                Some(table) => read(TableReader::new(place, table, state), state),
                None => {
                    let label = "expected a table".to_owned();
                    state.add(
                        &place,
                        label,
                        format!("write [[{}]]", places::without_positions(&list)),
                    );
                    placeholder_item(read)
                }
            };
            items.push(item);
        }
        items
    }

    /// Reads one table; returns `None` if it is absent or of another type.
    pub(crate) fn table<T>(
        &mut self,
        name: &'static str,
        state: &mut ParseState,
        read: fn(TableReader<'_, '_>, &mut ParseState) -> T,
    ) -> Option<T> {
        let value = self.value(name)?.get_ref();
        let Some(table) = value.as_table() else {
            self.add_type_finding(name, "a table", value, state);
            return None;
        };
        let place = places::field(&self.place, name);
        Some(read(TableReader::new(place, table, state), state))
    }

    /// Adds a finding for each unknown field: a misspelt name would otherwise silently leave the
    /// default in place.
    pub(crate) fn finish(self, state: &mut ParseState) {
        let known = self
            .known_fields
            .iter()
            .map(|name| format!("`{name}`"))
            .collect::<Vec<_>>()
            .join(", ");
        for (key, _) in self.table {
            let name = key.get_ref();
            if self.known_fields.contains(name.as_ref()) {
                continue;
            }
            let place = places::field(&self.place, name);
            let label = format!("unknown field `{name}`");
            state.add(&place, label, format!("known fields: {known}"));
        }
    }
}

/// Returns an item in place of an element that is not a table, so that later elements keep their
/// positions. Findings about the placeholder itself are discarded.
fn placeholder_item<T>(read: fn(TableReader<'_, '_>, &mut ParseState) -> T) -> T {
    let table = DeTable::new();
    let mut discarded = ParseState::new("");
    let reader = TableReader::new(String::new(), &table, &mut discarded);
    read(reader, &mut discarded)
}
