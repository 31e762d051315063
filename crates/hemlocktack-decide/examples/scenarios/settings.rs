//! Command-line flags.

use std::path::PathBuf;

use derive_more::Display;
use getopts::Options;
use strum::{EnumString, VariantNames};

use crate::driver::{Policy, Scenario, all_scenarios};

const DEFAULT_SEED: u64 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Output {
    Text,
    Json,
}

#[derive(Debug)]
pub(crate) struct Settings {
    pub(crate) seed: u64,
    pub(crate) scenarios: Vec<Scenario>,
    pub(crate) policies: Vec<Policy>,
    pub(crate) output: Output,
    pub(crate) plot: Option<PathBuf>,
}

#[derive(Debug, Display)]
pub(crate) enum Error {
    #[display("{_0}")]
    Flags(getopts::Fail),
    #[display("unexpected argument: {_0}")]
    Argument(String),
    #[display("--{flag} {value}: choose from {choices}")]
    Value {
        flag: &'static str,
        value: String,
        choices: String,
    },
}

type Result<T, E = Error> = std::result::Result<T, E>;

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "seed",
        "number that the run's random draws start from (1)",
        "N",
    );
    options.optmulti(
        "",
        "scenario",
        "run only this scenario; may be repeated",
        "NAME",
    );
    options.optmulti(
        "",
        "policy",
        "run only this policy; may be repeated",
        "NAME",
    );
    options.optopt("", "output", "text (default) or json", "FORM");
    options.optopt(
        "",
        "plot",
        "write goodput and waiting calls over time",
        "FILE.svg",
    );
    options.optflag("h", "help", "show this text");
    options
}

pub(crate) fn usage() -> String {
    let names: Vec<_> = all_scenarios()
        .iter()
        .map(|scenario| scenario.name)
        .collect();
    let brief = format!(
        "Usage: scenarios [flags]\n\nScenarios: {}\nPolicies: {}",
        names.join(", "),
        Policy::VARIANTS.join(", "),
    );
    options().usage(&brief)
}

/// Parses the command line; returns `None` if help was requested.
pub(crate) fn parse(arguments: impl Iterator<Item = String>) -> Result<Option<Settings>> {
    let matches = options().parse(arguments).map_err(Error::Flags)?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    if let Some(argument) = matches.free.first() {
        return Err(Error::Argument(argument.clone()));
    }
    let seed = match matches.opt_str("seed") {
        Some(seed) => seed
            .parse()
            .map_err(|_| bad("seed", &seed, "whole numbers"))?,
        None => DEFAULT_SEED,
    };
    let output = matches.opt_str("output").unwrap_or_else(|| "text".into());
    let output = output
        .parse()
        .map_err(|_| bad("output", &output, &Output::VARIANTS.join(", ")))?;
    Ok(Some(Settings {
        seed,
        scenarios: scenarios(&matches.opt_strs("scenario"))?,
        policies: policies(&matches.opt_strs("policy"))?,
        output,
        plot: matches.opt_str("plot").map(PathBuf::from),
    }))
}

fn scenarios(names: &[String]) -> Result<Vec<Scenario>> {
    let all = all_scenarios();
    let known: Vec<_> = all.iter().map(|scenario| scenario.name).collect();
    for name in names {
        if !known.contains(&name.as_str()) {
            return Err(bad("scenario", name, &known.join(", ")));
        }
    }
    let is_chosen =
        |scenario: &Scenario| names.is_empty() || names.iter().any(|name| name == scenario.name);
    Ok(all.into_iter().filter(is_chosen).collect())
}

fn policies(names: &[String]) -> Result<Vec<Policy>> {
    if names.is_empty() {
        return Ok(vec![Policy::None, Policy::Static, Policy::Hemlocktack]);
    }
    let parse = |name: &String| {
        name.parse()
            .map_err(|_| bad("policy", name, &Policy::VARIANTS.join(", ")))
    };
    names.iter().map(parse).collect()
}

fn bad(flag: &'static str, value: &str, choices: &str) -> Error {
    Error::Value {
        flag,
        value: value.to_owned(),
        choices: choices.to_owned(),
    }
}
