//! Reading of one table, field by field, with a finding for each fault.

use std::collections::BTreeSet;

use hemlocktack_protocol::Finding;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::bounds::Bound;
use crate::places::{self, Places};

/// What the reading of a whole document has gathered.
pub(crate) struct Reading {
    pub(crate) places: Places,
    pub(crate) findings: Vec<Finding>,
}

impl Reading {
    pub(crate) fn new(text: &str) -> Self {
        Reading {
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

/// One table of the document while it is read.
pub(crate) struct Entry<'a, 'text> {
    place: String,
    table: &'a DeTable<'text>,
    asked: BTreeSet<&'static str>,
}

impl<'a, 'text> Entry<'a, 'text> {
    pub(crate) fn new(place: String, table: &'a DeTable<'text>, reading: &mut Reading) -> Self {
        for (key, _) in table {
            let place = places::field(&place, key.get_ref());
            reading.places.record(&place, key.span());
        }
        Entry {
            place,
            table,
            asked: BTreeSet::new(),
        }
    }

    fn value(&mut self, name: &'static str) -> Option<&'a Spanned<DeValue<'text>>> {
        self.asked.insert(name);
        self.table.get(name)
    }

    /// Value of a field that must be there.
    fn needed(
        &mut self,
        name: &'static str,
        kind: &str,
        reading: &mut Reading,
    ) -> Option<&'a DeValue<'text>> {
        let value = self.value(name);
        if value.is_none() {
            let place = places::field(&self.place, name);
            reading.add(&place, "missing".to_owned(), format!("write {kind}"));
        }
        value.map(Spanned::get_ref)
    }

    fn wrong_type(&self, name: &str, kind: &str, value: &DeValue<'_>, reading: &mut Reading) {
        let place = places::field(&self.place, name);
        let label = format!("{kind} is expected, this is of type {}", value.type_str());
        reading.add(&place, label, format!("write {kind}"));
    }

    pub(crate) fn text(&mut self, name: &'static str, reading: &mut Reading) -> String {
        const KIND: &str = "text in quotation marks";
        let Some(value) = self.needed(name, KIND, reading) else {
            return String::new();
        };
        let Some(text) = value.as_str() else {
            self.wrong_type(name, KIND, value, reading);
            return String::new();
        };
        text.to_owned()
    }

    pub(crate) fn flag(&mut self, name: &'static str, reading: &mut Reading) -> bool {
        const KIND: &str = "`true` or `false`";
        let Some(value) = self.needed(name, KIND, reading) else {
            return false;
        };
        let Some(flag) = value.as_bool() else {
            self.wrong_type(name, KIND, value, reading);
            return false;
        };
        flag
    }

    /// A whole number within its bound; the default or the least one where it
    /// cannot be read.
    pub(crate) fn number(&mut self, bound: Bound, reading: &mut Reading) -> u64 {
        let kind = format!("a whole number from {} to {}", bound.least, bound.greatest);
        let fallback = bound.default.unwrap_or(bound.least);
        let value = match bound.default {
            Some(_) => self.value(bound.field).map(Spanned::get_ref),
            None => self.needed(bound.field, &kind, reading),
        };
        let Some(value) = value else {
            return fallback;
        };
        let Some(integer) = value.as_integer() else {
            self.wrong_type(bound.field, &kind, value, reading);
            return fallback;
        };
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        let within = number.filter(|number| (bound.least..=bound.greatest).contains(number));
        let Some(number) = within else {
            let place = places::field(&self.place, bound.field);
            reading.add(&place, "out of bounds".to_owned(), format!("write {kind}"));
            return fallback;
        };
        number
    }

    /// Reads each table of a list; an absent list is an empty one.
    pub(crate) fn list<T>(
        &mut self,
        name: &'static str,
        reading: &mut Reading,
        read: fn(Entry<'_, '_>, &mut Reading) -> T,
    ) -> Vec<T> {
        let Some(value) = self.value(name) else {
            return Vec::new();
        };
        let Some(elements) = value.get_ref().as_array() else {
            self.wrong_type(name, "a list of tables", value.get_ref(), reading);
            return Vec::new();
        };
        let list = places::field(&self.place, name);
        let mut items = Vec::with_capacity(elements.len());
        for (position, element) in elements.iter().enumerate() {
            let place = places::element(&list, position);
            reading.places.record(&place, element.span());
            let item = match element.get_ref().as_table() {
                Some(table) => read(Entry::new(place, table, reading), reading),
                None => {
                    let label = "a table is expected".to_owned();
                    reading.add(
                        &place,
                        label,
                        format!("write [[{}]]", places::without_positions(&list)),
                    );
                    stand_in(read)
                }
            };
            items.push(item);
        }
        items
    }

    /// Reads one table; `None` where it is absent or of another type.
    pub(crate) fn table<T>(
        &mut self,
        name: &'static str,
        reading: &mut Reading,
        read: fn(Entry<'_, '_>, &mut Reading) -> T,
    ) -> Option<T> {
        let value = self.value(name)?.get_ref();
        let Some(table) = value.as_table() else {
            self.wrong_type(name, "a table", value, reading);
            return None;
        };
        let place = places::field(&self.place, name);
        Some(read(Entry::new(place, table, reading), reading))
    }

    /// A finding for each field that nothing asked for: a misspelt name would
    /// otherwise pass for a default.
    pub(crate) fn finish(self, reading: &mut Reading) {
        let known = self
            .asked
            .iter()
            .map(|name| format!("`{name}`"))
            .collect::<Vec<_>>()
            .join(", ");
        for (key, _) in self.table {
            let name = key.get_ref();
            if self.asked.contains(name.as_ref()) {
                continue;
            }
            let place = places::field(&self.place, name);
            let label = format!("`{name}` is no field of this table");
            reading.add(&place, label, format!("known here: {known}"));
        }
    }
}

/// An item for an element that is no table, so that the later elements keep
/// their positions. Its own faults are not reported.
fn stand_in<T>(read: fn(Entry<'_, '_>, &mut Reading) -> T) -> T {
    let table = DeTable::new();
    let mut discarded = Reading::new("");
    let entry = Entry::new(String::new(), &table, &mut discarded);
    read(entry, &mut discarded)
}
