//! The interfaces that a node can speak beside its own.

use hemlocktack_interface::Interface;
use hemlocktack_protocol::ConfigurationDocument;

use crate::settings::InterfaceName;

/// `None` for the product's own interface, which is not translated by a package
/// of its own.
pub(crate) fn find(name: InterfaceName) -> Option<Interface> {
    match name {
        InterfaceName::Own => None,
        InterfaceName::Cooperative => Some(hemlocktack_cooperative::INTERFACE),
    }
}

/// Whether a stored configuration can be brought into force.
pub(crate) fn can_read(name: InterfaceName) -> fn(&ConfigurationDocument) -> bool {
    match name {
        InterfaceName::Own => |stored| hemlocktack_config::parse(&stored.document).is_ok(),
        InterfaceName::Cooperative => |stored| {
            (hemlocktack_cooperative::INTERFACE.read_configuration)(&stored.document).is_ok()
        },
    }
}
