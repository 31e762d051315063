//! Parts of the operator's configuration.

use crate::json::{Json, table, text};

pub fn resource(kind: &str, name: &str, specification: Json) -> Json {
    table([
        ("resource_kind", text(kind)),
        ("metadata", table([("name", text(name))])),
        ("specification", specification),
    ])
}
