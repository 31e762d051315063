//! Runs the upstream's stand-in as a process. Prints its address on the first line.

use std::process::ExitCode;
use std::str::FromStr;

use getopts::{Matches, Options};
use hemlocktack_testkit::upstream::{self, Crash, Settings};

const USAGE_EXIT_CODE: u8 = 2;

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "address",
        "address to listen on; port 0 selects a free one",
        "IP:PORT",
    );
    options.optopt("", "service", "name of its service", "NAME");
    options.optopt("", "node-control", "control address of its node", "IP:PORT");
    options.optopt("", "node-callers", "caller address of its node", "IP:PORT");
    options.optopt(
        "",
        "slots",
        "number of calls that run concurrently",
        "COUNT",
    );
    options.optopt(
        "",
        "connections",
        "number of connections that it announces",
        "COUNT",
    );
    options.optopt("", "service-time-ms", "time that a call runs", "MS");
    options.optopt("", "cold-ms", "duration of the cold start", "MS");
    options.optmulti(
        "",
        "deeper",
        "child call made for each call",
        "'METHOD service/path'",
    );
    options.optflag("h", "help", "show this help");
    options
}

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return refuse(&format!("unexpected argument {:?}", matches.free[0])),
        Err(error) => return refuse(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("upstream --service NAME [FLAGS]"));
        return ExitCode::SUCCESS;
    }
    let settings = match settings(&matches) {
        Ok(settings) => settings,
        Err(message) => return refuse(&message),
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("upstream: {error}");
            ExitCode::FAILURE
        }
    }
}

fn settings(matches: &Matches) -> Result<Settings, String> {
    let Some(service) = matches.opt_str("service") else {
        return Err("--service is missing".to_owned());
    };
    let mut settings = Settings::new(&service);
    settings.crash = Crash::Exit;
    settings.address = value(matches, "address")?.unwrap_or(settings.address);
    settings.node_control = value(matches, "node-control")?;
    settings.node_callers = value(matches, "node-callers")?;
    settings.slots = value(matches, "slots")?.unwrap_or(settings.slots);
    settings.connections = value(matches, "connections")?.unwrap_or(settings.connections);
    let switches = &mut settings.switches;
    switches.service_time_ms =
        value(matches, "service-time-ms")?.unwrap_or(switches.service_time_ms);
    switches.cold_ms = value(matches, "cold-ms")?.unwrap_or(switches.cold_ms);
    for text in matches.opt_strs("deeper") {
        let call = text.parse().map_err(|error| format!("--deeper: {error}"))?;
        settings.child_calls.push(call);
    }
    Ok(settings)
}

fn value<T>(matches: &Matches, name: &str) -> Result<Option<T>, String>
where
    T: FromStr<Err: std::fmt::Display>,
{
    matches
        .opt_get(name)
        .map_err(|error| format!("--{name}: {error}"))
}

#[tokio::main]
async fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let upstream = upstream::spawn(settings).await?;
    println!("{}", upstream.address());
    std::future::pending::<()>().await;
    Ok(())
}

fn refuse(message: &str) -> ExitCode {
    eprintln!("upstream: {message}; --help lists the flags");
    ExitCode::from(USAGE_EXIT_CODE)
}
