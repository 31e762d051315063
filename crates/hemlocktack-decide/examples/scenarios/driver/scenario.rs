//! Scenarios: demand over time, faults and the behaviour of callers.

use std::time::Duration;

use strum::{Display, EnumString, VariantNames};

/// How calls are admitted and placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Policy {
    /// Unbounded queue inside the upstreams, random placement.
    None,
    /// Fixed limit at the announced slots, bounded queue, random placement.
    Static,
    /// The decisions of this crate.
    Hemlocktack,
}

/// Duration of a long call relative to a normal one. Nothing in the request shows which it is.
pub(crate) const LONG_FACTOR: f64 = 10.0;
/// One request in this many is long.
pub(crate) const LONG_ONE_IN: u64 = 10;

/// The fault while the pressure is on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// No fault.
    Nothing,
    /// The first upstream of a service is slower by this factor.
    SlowUpstream { service: usize, factor: f64 },
    /// All upstreams of a service are slower by this factor.
    SlowService { service: usize, factor: f64 },
    /// The first upstream of each service restarts cold: down for a second, then five times
    /// slower, warming up over three seconds.
    ColdStart,
    /// The first upstream of each service announces twice its slots.
    OverstatedSlots,
    /// The first node of the first and of the third service hangs until the pressure ends: it
    /// accepts calls and sends nothing.
    Frozen,
    /// The load endpoints report that all slots are taken, or none.
    WrongReports { full: bool },
    /// A request crashes the upstream that runs it and is sent every half second by its caller;
    /// crashed upstreams are back after two seconds.
    CrashingRequest,
}

/// One row of the table.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// Demand before and after the pressure, as a multiple of the saturation rate.
    pub(crate) calm: f64,
    /// Demand under pressure.
    pub(crate) pressure: f64,
    /// Shares of the kinds under pressure, if they differ from the normal ones.
    pub(crate) shares: Option<[f64; 4]>,
    /// All requests enter in the first data centre.
    pub(crate) skewed_entry: bool,
    /// Pressure comes in bursts of this length, once per second.
    pub(crate) burst: Option<Duration>,
    /// One request in ten of the last kind takes [`LONG_FACTOR`] times as long.
    pub(crate) long_calls: bool,
    pub(crate) fault: Fault,
    pub(crate) begins: Duration,
    pub(crate) ends: Duration,
    pub(crate) lasts: Duration,
    /// Maximum number of sends of one request by its caller.
    pub(crate) caller_sends: u32,
    /// Mean delay of a caller before it sends again; callers ignore Retry-After.
    pub(crate) caller_pause: Duration,
}

impl Scenario {
    /// Returns the demand as a multiple of the saturation rate.
    pub(crate) fn demand_at(&self, at: Duration) -> f64 {
        if !self.is_under_pressure(at) {
            return self.calm;
        }
        let Some(burst) = self.burst else {
            return self.pressure;
        };
        let into_second = (at - self.begins).subsec_nanos();
        if into_second < burst.subsec_nanos() {
            self.pressure
        } else {
            self.calm
        }
    }

    /// Returns whether the pressure is on.
    pub(crate) fn is_under_pressure(&self, at: Duration) -> bool {
        (self.begins..self.ends).contains(&at)
    }
}

fn scenario(name: &'static str, pressure: f64) -> Scenario {
    Scenario {
        name,
        calm: 0.7,
        pressure,
        shares: None,
        skewed_entry: false,
        burst: None,
        long_calls: false,
        fault: Fault::Nothing,
        begins: Duration::from_secs(3),
        ends: Duration::from_secs(13),
        lasts: Duration::from_secs(25),
        caller_sends: 3,
        caller_pause: Duration::from_millis(100),
    }
}

/// Returns every scenario, in the order of the table.
pub(crate) fn all_scenarios() -> Vec<Scenario> {
    let base = scenario;
    vec![
        Scenario {
            calm: 0.5,
            ..base("quiet", 0.5)
        },
        Scenario {
            calm: 0.5,
            burst: Some(Duration::from_millis(150)),
            ..base("bursts", 3.0)
        },
        base("surge-2x", 2.0),
        base("surge-4x", 4.0),
        Scenario {
            ends: Duration::from_secs(63),
            lasts: Duration::from_secs(80),
            ..base("surge-60s", 3.0)
        },
        base("saturation-8x", 8.0),
        Scenario {
            shares: Some([0.05, 0.75, 0.10, 0.10]),
            skewed_entry: true,
            ..base("skewed-2x", 2.0)
        },
        Scenario {
            fault: Fault::SlowUpstream {
                service: 0,
                factor: 5.0,
            },
            ..base("slow-upstream", 0.7)
        },
        Scenario {
            fault: Fault::SlowUpstream {
                service: 0,
                factor: 5.0,
            },
            ..base("slow-upstream-2x", 2.0)
        },
        Scenario {
            fault: Fault::SlowService {
                service: 3,
                factor: 4.0,
            },
            ..base("deep-slow", 0.7)
        },
        Scenario {
            long_calls: true,
            ..base("short-long-2x", 2.0)
        },
        Scenario {
            fault: Fault::ColdStart,
            ..base("cold-start", 0.7)
        },
        Scenario {
            fault: Fault::WrongReports { full: true },
            ..base("reports-full-2x", 2.0)
        },
        Scenario {
            fault: Fault::WrongReports { full: false },
            ..base("reports-idle-2x", 2.0)
        },
        Scenario {
            caller_sends: 8,
            caller_pause: Duration::from_millis(50),
            ..base("hard-retries-2x", 2.0)
        },
        Scenario {
            fault: Fault::CrashingRequest,
            ..base("crashing-request", 0.7)
        },
        Scenario {
            fault: Fault::OverstatedSlots,
            ..base("overstated-slots-2x", 2.0)
        },
        Scenario {
            fault: Fault::SlowService {
                service: 3,
                factor: 4.0,
            },
            ..base("deep-slow-2x", 2.0)
        },
        Scenario {
            fault: Fault::ColdStart,
            ..base("cold-start-2x", 2.0)
        },
        Scenario {
            fault: Fault::CrashingRequest,
            ..base("crashing-2x", 2.0)
        },
        Scenario {
            fault: Fault::Frozen,
            ..base("frozen", 0.7)
        },
    ]
}
