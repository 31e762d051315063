//! Interfaces of other deployments that a node supports besides the native one.

use hemlocktack_interface::Interface;
use hemlocktack_protocol::ConfigurationDocument;

use crate::settings::InterfaceName;

/// Returns the adapter of an interface; `None` for the native interface, which needs none.
pub(crate) fn find(name: InterfaceName) -> Option<Interface> {
    match name {
        InterfaceName::Own => None,
        InterfaceName::Cooperative => Some(hemlocktack_cooperative::INTERFACE),
    }
}

/// Returns the check whether a stored configuration can be parsed and activated.
pub(crate) fn can_read(name: InterfaceName) -> fn(&ConfigurationDocument) -> bool {
    match name {
        InterfaceName::Own => |stored| hemlocktack_config::parse(&stored.document).is_ok(),
        InterfaceName::Cooperative => |stored| {
            (hemlocktack_cooperative::INTERFACE.read_configuration)(&stored.document).is_ok()
        },
    }
}
