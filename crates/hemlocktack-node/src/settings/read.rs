//! Parses and validates the settings, and reports all errors together.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use hemlocktack_fleet::membership::NODE_ID_LIMIT_BYTES;
use hemlocktack_platform::PlatformRates;
use hemlocktack_protocol::parse_duration;

use super::flags::{self, FLAGS, Flag, environment_name};
use super::{AdjustableSettings, InterfaceName, LogFormat, Settings};

/// Result of reading the settings.
pub(crate) type Result<T> = std::result::Result<T, Error>;

const FLEET_KEY_MIN_CHARS: usize = 32;
const OPERATOR_TOKEN_MIN_CHARS: usize = 16;
/// Leaves as much memory for bodies as the node itself takes.
const MIN_MEMORY_MB: f64 = 80.0;
/// More than any machine has; keeps the number of bytes in range.
const MAX_MEMORY_MB: f64 = 16_777_216.0;

/// Invalid settings, with all findings.
#[derive(Debug, Display, Error)]
#[display("{}", findings.join("\n"))]
pub(crate) struct Error {
    /// One line each: the flag, what is wrong, and what to do.
    pub(crate) findings: Vec<String>,
}

impl Error {
    /// Escapes control characters in the findings: they quote the input, and a line break
    /// in it would start a new line of the log.
    pub(super) fn new(findings: Vec<String>) -> Self {
        let findings = findings.iter().map(|finding| escape_control(finding));
        Self {
            findings: findings.collect(),
        }
    }

    /// Returns all findings as one line.
    pub(crate) fn to_line(&self) -> String {
        self.findings.join("; ")
    }
}

/// Returns a value in quotes for a finding, unless it may contain a secret.
///
/// If a line break of the settings file is lost, the next line becomes part of the value,
/// and quoting it could write the fleet key to the log. Such a line contains `=` or spaces,
/// which no valid value of the quoted kinds contains.
fn quoted(text: &str) -> String {
    let is_unexpected = |c: char| c == '=' || c.is_whitespace() || c.is_control();
    if text.contains(is_unexpected) {
        return "the value".to_owned();
    }
    format!("'{text}'")
}

fn escape_control(finding: &str) -> String {
    let mut line = String::with_capacity(finding.len());
    for character in finding.chars() {
        match character.is_control() {
            true => line.extend(character.escape_default()),
            false => line.push(character),
        }
    }
    line
}

/// Parsed settings, with the texts that they were parsed from.
pub(crate) struct LoadedSettings {
    pub(crate) settings: Settings,
    pub(crate) adjustable: AdjustableSettings,
    /// In the order of `FLAGS`.
    texts: Vec<Option<String>>,
}

/// Names of the flags whose values differ between two loads.
pub(crate) struct Changes {
    /// Applied at once.
    pub(crate) adjusted: Vec<&'static str>,
    /// Applied at the next start.
    pub(crate) deferred: Vec<&'static str>,
}

impl LoadedSettings {
    /// Returns the names of the changed settings, but not their values: the result is logged,
    /// and some values are secrets.
    pub(crate) fn changes_since(&self, before: &LoadedSettings) -> Changes {
        let pairs = self.texts.iter().zip(&before.texts);
        let changed = FLAGS
            .iter()
            .zip(pairs)
            .filter(|(_, (now, then))| now != then);
        let (adjusted, deferred): (Vec<_>, Vec<_>) = changed
            .map(|(flag, _)| flag)
            .partition(|flag| flag.is_adjustable);
        let names = |flags: Vec<&Flag>| flags.into_iter().map(|flag| flag.name).collect();
        Changes {
            adjusted: names(adjusted),
            deferred: names(deferred),
        }
    }
}

/// Parses the texts that `value` returns for the flags; `findings` are those already
/// found in their sources.
pub(super) fn parse_texts(
    value: impl Fn(&str) -> Option<String>,
    findings: Vec<String>,
) -> Result<LoadedSettings> {
    let default = |flag: &Flag| flag.default.map(str::to_owned);
    let text = |flag: &Flag| value(flag.name).filter(|text| !text.is_empty());
    let texts = FLAGS
        .iter()
        .map(|flag| text(flag).or_else(|| default(flag)));
    let mut reader = Reader {
        texts: texts.collect(),
        findings,
    };
    reader.require_all();
    let settings = read_settings(&mut reader);
    let adjustable = read_adjustable(&mut reader);
    if !reader.findings.is_empty() {
        return Err(Error::new(reader.findings));
    }
    Ok(LoadedSettings {
        settings,
        adjustable,
        texts: reader.texts,
    })
}

fn read_settings(reader: &mut Reader) -> Settings {
    let link_address = reader.address(flags::LINK_ADDRESS);
    let gossip_address = reader.address(flags::GOSSIP_ADDRESS);
    Settings {
        node_id: reader.name(flags::NODE).into(),
        service: reader.name(flags::SERVICE).into(),
        data_centre: reader.name(flags::DATA_CENTRE).into(),
        region: reader.name(flags::REGION),
        caller_address: reader.address(flags::CALLER_ADDRESS),
        control_address: reader.address(flags::CONTROL_ADDRESS),
        link_address,
        link_listen_address: reader.address_or(flags::LINK_LISTEN_ADDRESS, link_address),
        gossip_address,
        gossip_listen_address: reader.address_or(flags::GOSSIP_LISTEN_ADDRESS, gossip_address),
        platform_url: reader.url(flags::PLATFORM_URL).unwrap_or_default(),
        fleet_key: reader
            .secret(flags::FLEET_KEY, FLEET_KEY_MIN_CHARS)
            .unwrap_or_default(),
        previous_fleet_key: reader.secret(flags::PREVIOUS_FLEET_KEY, FLEET_KEY_MIN_CHARS),
        log_format: reader.parsed(flags::LOG_FORMAT, "text or json", LogFormat::Text),
        otlp_endpoint: reader.url(flags::OTLP_ENDPOINT),
        interface: reader.parsed(flags::INTERFACE, "own or cooperative", InterfaceName::Own),
        readiness_address: reader.optional_address(flags::READINESS_ADDRESS),
        announce_address: reader.optional_address(flags::ANNOUNCE_ADDRESS),
        upstream_address: reader.optional_address(flags::UPSTREAM_ADDRESS),
        memory_bytes: reader.memory_bytes(flags::MEMORY_MB),
    }
}

fn read_adjustable(reader: &mut Reader) -> AdjustableSettings {
    let drain_limit_ms = reader.parsed(flags::DRAIN_LIMIT_MS, "a number of milliseconds", 0);
    AdjustableSettings {
        seed_peers: reader.addresses(flags::SEED_PEERS),
        operator_token: reader
            .secret(flags::OPERATOR_TOKEN, OPERATOR_TOKEN_MIN_CHARS)
            .unwrap_or_default(),
        previous_operator_token: reader
            .secret(flags::PREVIOUS_OPERATOR_TOKEN, OPERATOR_TOKEN_MIN_CHARS),
        drain_limit: Duration::from_millis(drain_limit_ms),
        platform_rates: reader.platform_rates(),
        stop_grace: reader.duration(flags::STOP_GRACE),
        retry_share_per_mille: reader.share_per_mille(flags::RETRY_SHARE),
        retries_beside_share: reader.count(flags::RETRIES_BESIDE_SHARE),
        revocation_bound: reader.duration(flags::REVOCATION_BOUND),
    }
}

struct Reader {
    /// In the order of `FLAGS`.
    texts: Vec<Option<String>>,
    findings: Vec<String>,
}

impl Reader {
    fn require_all(&mut self) {
        for flag in FLAGS.iter().filter(|flag| flag.required) {
            if self.value(flag.name).is_none() {
                let variable = environment_name(flag.name);
                self.findings.push(format!(
                    "--{}: missing; set --{} {} or {variable}",
                    flag.name, flag.name, flag.hint
                ));
            }
        }
    }

    fn value(&self, name: &str) -> Option<String> {
        let index = FLAGS.iter().position(|flag| flag.name == name)?;
        self.texts[index].clone()
    }

    fn add_finding(&mut self, name: &str, fault: &str) {
        self.findings.push(format!("--{name}: {fault}"));
    }

    fn parsed<T: FromStr>(&mut self, name: &str, expected: &str, fallback: T) -> T {
        let Some(text) = self.value(name) else {
            return fallback;
        };
        match text.parse() {
            Ok(value) => value,
            Err(_) => {
                self.add_finding(name, &format!("{} is not {expected}", quoted(&text)));
                fallback
            }
        }
    }

    fn name(&mut self, name: &str) -> String {
        let text = self.value(name).unwrap_or_default();
        let usable = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
        if !text.chars().all(usable) {
            self.add_finding(
                name,
                &format!(
                    "{} is not a name; use letters, digits, '-', '_' and '.'",
                    quoted(&text)
                ),
            );
        }
        if text.len() > NODE_ID_LIMIT_BYTES {
            self.add_finding(
                name,
                &format!("too long; {NODE_ID_LIMIT_BYTES} characters or fewer"),
            );
        }
        text
    }

    fn address(&mut self, name: &str) -> SocketAddr {
        let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
        self.parsed(
            name,
            "an IP address with a port, such as 10.0.0.7:7000",
            fallback,
        )
    }

    fn address_or(&mut self, name: &str, default: SocketAddr) -> SocketAddr {
        match self.value(name) {
            Some(_) => self.address(name),
            None => default,
        }
    }

    fn optional_address(&mut self, name: &str) -> Option<SocketAddr> {
        self.value(name)?;
        Some(self.address(name))
    }

    /// Returns the platform's rates. They must be given together, because a limit on only
    /// one kind of request does not protect the platform.
    fn platform_rates(&mut self) -> Option<PlatformRates> {
        let is_given =
            [flags::PLATFORM_READS, flags::PLATFORM_WRITES].map(|name| self.value(name).is_some());
        match is_given {
            [false, false] => return None,
            [true, true] => {}
            _ => self.add_finding(
                flags::PLATFORM_READS,
                &format!("set it together with --{}", flags::PLATFORM_WRITES),
            ),
        }
        Some(PlatformRates {
            reads_per_second: self.rate(flags::PLATFORM_READS),
            writes_per_second: self.rate(flags::PLATFORM_WRITES),
        })
    }

    /// Returns a rate in requests per second. It must be positive: with 0 the node would
    /// wait forever.
    fn rate(&mut self, name: &str) -> f64 {
        let rate: f64 = self.parsed(name, "a number", 1.0);
        if !(rate > 0.0 && rate.is_finite()) {
            self.add_finding(name, "a rate must be greater than 0");
        }
        rate
    }

    fn share_per_mille(&mut self, name: &str) -> Option<u32> {
        self.value(name)?;
        let share: f64 = self.parsed(name, "a number between 0 and 1", 0.0);
        if !(0.0..=1.0).contains(&share) {
            self.add_finding(name, "a share must be between 0 and 1");
        }
        Some((share * 1_000.0) as u32)
    }

    /// Returns a count. A decimal fraction is accepted, because some platforms write counts
    /// that way; its fractional part is dropped.
    fn count(&mut self, name: &str) -> Option<u32> {
        self.value(name)?;
        let count: f64 = self.parsed(name, "a number such as 50", 0.0);
        if !(0.0..=f64::from(u32::MAX)).contains(&count) {
            self.add_finding(name, "a count must be 0 or more");
        }
        Some(count as u32)
    }

    /// Returns an amount of memory that leaves room for bodies beside the node itself. A decimal
    /// fraction is accepted, as in a count.
    fn memory_bytes(&mut self, name: &str) -> usize {
        let memory_mb: f64 = self.parsed(name, "a number of MiB such as 256", MIN_MEMORY_MB);
        if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&memory_mb) {
            let fault = format!("must be between {MIN_MEMORY_MB} and {MAX_MEMORY_MB} MiB");
            self.add_finding(name, &fault);
        }
        (memory_mb as usize) << 20
    }

    fn duration(&mut self, name: &str) -> Option<Duration> {
        let text = self.value(name)?;
        let read = parse_duration(&text);
        if read.is_none() {
            self.add_finding(
                name,
                &format!(
                    "{} is not a duration; write for example 6s or 1500ms",
                    quoted(&text)
                ),
            );
        }
        read
    }

    fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        let text = self.value(name).unwrap_or_default();
        let mut addresses = Vec::new();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            match part.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self.add_finding(
                    name,
                    &format!("{} is not an IP address with a port", quoted(part)),
                ),
            }
        }
        addresses
    }

    fn url(&mut self, name: &str) -> Option<String> {
        let text = self.value(name)?;
        if !text.starts_with("http://") && !text.starts_with("https://") {
            self.add_finding(
                name,
                &format!(
                    "{} is not a URL; it begins with http:// or https://",
                    quoted(&text)
                ),
            );
        }
        Some(text.trim_end_matches('/').to_owned())
    }

    /// Returns a secret. Its findings never quote the value, because they are logged.
    fn secret(&mut self, name: &str, min_chars: usize) -> Option<String> {
        let text = self.value(name)?;
        if text.chars().count() < min_chars {
            self.add_finding(name, &format!("too short; {min_chars} characters or more"));
        }
        Some(text)
    }
}
