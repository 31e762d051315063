//! A fake platform and clients with short waits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hemlocktack_platform::{
    BackoffSettings, BudgetSettings, Client, ClientSettings, Effect, Error, Rate,
};
use hemlocktack_testkit::platform::{self, Platform};

/// Far below the fake platform's `slow` delay of a minute, so that a slow platform always times
/// out.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
const UNLIMITED: Rate = Rate {
    calls_per_second: 10_000.0,
    burst: 10_000.0,
};

pub(crate) async fn start_platform() -> Platform {
    platform::spawn(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap()
}

pub(crate) fn settings(address: SocketAddr) -> ClientSettings {
    ClientSettings {
        budget: BudgetSettings {
            reads: UNLIMITED,
            writes: UNLIMITED,
        },
        backoff: BackoffSettings {
            first: Duration::from_millis(1),
            longest: Duration::from_millis(4),
        },
        call_timeout: CALL_TIMEOUT,
        ..ClientSettings::new(&format!("http://{address}"))
    }
}

pub(crate) fn client(address: SocketAddr) -> Arc<Client> {
    Arc::new(Client::new(settings(address)).unwrap())
}

/// Describes an error without its text and waits, which differ from run to run.
pub(crate) fn kind(error: &Error) -> String {
    match error {
        Error::Conflict { current_version } => format!("Conflict with version {current_version}"),
        Error::Unavailable { effect, .. } => format!("Unavailable, {}", effect_name(*effect)),
        Error::Malformed { effect, .. } => format!("Malformed, {}", effect_name(*effect)),
        Error::TooLarge { limit_bytes } => format!("TooLarge over {limit_bytes} bytes"),
        Error::RevisionGone => "RevisionGone".to_owned(),
        Error::EraEnded { effect } => format!("EraEnded, {}", effect_name(*effect)),
        Error::BadAddress { .. } => "BadAddress".to_owned(),
        Error::BudgetSpent { .. } => "BudgetSpent".to_owned(),
    }
}

fn effect_name(effect: Effect) -> &'static str {
    match effect {
        Effect::None => "no effect",
        Effect::Possible => "effect possible",
    }
}
