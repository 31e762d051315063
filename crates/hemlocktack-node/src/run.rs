//! From the command line to a running node and to its planned stop.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use hemlocktack_fleet::keys::{FleetKeys, KeyError};
use hemlocktack_interface::Interface;
use hemlocktack_platform::{BackoffSettings, Client, ClientSettings};
use hemlocktack_telemetry::{Event, ExportError, log_event};
use rocket::error::ErrorKind;
use rocket::{Build, Config, Ignite, Rocket};
use tokio::net::TcpListener;

use crate::node::Node;
use crate::settings::{self, AdjustableSettings, Invocation, RunSettings, Settings};
use crate::upstream::UpstreamClient;
use crate::{
    callers, configuration, control, gateway, interfaces, links, operators, peers, reload, stop,
    telemetry, upstream,
};

/// Result of starting a node.
pub(crate) type Result<T> = std::result::Result<T, StartError>;

/// Seconds in which the last pieces of answers leave after the drain, which has
/// waited for all but what the HTTP server holds of each; longer waits would only serve connections that are kept open
/// with nothing on them, which the framework waits for as well.
const LAST_ANSWERS_S: u32 = 2;
/// Seconds in which connections close after that.
const CLOSING_S: u32 = 1;
/// Waits after failures of a platform whose changes have to be in force within
/// a second or two of its return. Few nodes of a data centre call it at all
/// once they have found each other.
const SHORT_BACKOFF: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(100),
    longest: Duration::from_secs(1),
};
/// Exit code for settings that cannot be used.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Why a node did not start.
#[derive(Debug, Display, Error, From)]
pub(crate) enum StartError {
    #[display("cannot listen on {address}: {source}")]
    #[from(ignore)]
    Listen {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[display("no runtime: {_0}")]
    Runtime(std::io::Error),
    #[display("no HTTP client: {_0}")]
    HttpClient(reqwest::Error),
    #[display("HTTP listener: {_0}")]
    Rocket(Box<rocket::Error>),
    #[display("{_0}")]
    FleetKey(KeyError),
    #[display("{_0}")]
    Export(ExportError),
    #[display("{_0}")]
    Platform(hemlocktack_platform::Error),
}

/// Reads the settings and runs the node until it is told to stop.
///
/// Exit codes: 0 after a planned stop, `--help`, `--version` or a clean
/// `--check`; 1 if the node could not start; 2 for settings that cannot be used.
pub fn run_from_command_line() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match settings::read(&arguments, |name| std::env::var(name).ok()) {
        Ok(Invocation::Help) => print!("{}", settings::usage()),
        Ok(Invocation::Version) => println!("hemlocktackd {}", env!("CARGO_PKG_VERSION")),
        Ok(Invocation::Check) => println!("settings are usable"),
        Ok(Invocation::Run(order)) => return run_to_exit_code(*order),
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    }
    ExitCode::SUCCESS
}

/// Runs a node in this process until `stop` ends, with the flags of
/// `hemlocktackd`; for examples and tests. It drains before it returns.
///
/// # Errors
/// All faults of the flags in one text, or why the node did not start.
pub async fn run_until(
    arguments: &[String],
    stop: impl Future<Output = ()>,
) -> std::result::Result<(), String> {
    match settings::read(arguments, |_| None) {
        Ok(Invocation::Run(order)) => run(*order, stop).await.map_err(|error| error.to_string()),
        Ok(_) => Err("the flags do not ask for a run".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

fn run_to_exit_code(order: RunSettings) -> ExitCode {
    let _written_before_exit = telemetry::start_logs(order.loaded.settings.log_format);
    match run_on_runtime(order) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log_event!(Event::NodeFailed, %error);
            eprintln!("hemlocktackd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_on_runtime(order: RunSettings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        // Before anything listens: until then the signal ends the process, and
        // whatever it has taken with it.
        let stop_signal = stop::stop_signal();
        run(order, stop_signal).await
    })
}

/// Runs one node until `stop_signal` ends; then drains and stops it.
pub(crate) async fn run(order: RunSettings, stop_signal: impl Future<Output = ()>) -> Result<()> {
    let RunSettings { loaded, sources } = order;
    let node = new_node(loaded.settings.clone(), loaded.adjustable.clone())?;
    let interface = node.interface;
    let node = Arc::new(node);
    tokio::spawn(reload::follow_settings(node.clone(), sources, loaded));
    tokio::spawn(node.admission_queue.clone().keep_awake());
    let link_listener = listen(node.settings.link_listen_address).await?;
    let control = http(&node, node.settings.control_address)
        .mount("/", control::routes())
        .mount("/", upstream::routes())
        .mount("/", operators::routes(&node));
    let callers = match interface {
        Some(_) => None,
        None => Some(own_callers(&node).await?),
    };
    let control = control.ignite().await.map_err(Box::new)?;
    let mut shutdowns = vec![control.shutdown()];
    shutdowns.extend(callers.as_ref().map(Rocket::<Ignite>::shutdown));
    tokio::spawn(links::serve_links(node.clone(), link_listener));
    peers::start(&node).await?;
    configuration::start(&node)?;
    tokio::spawn(upstream::follow_load(node.clone()));
    tokio::spawn(telemetry::monitor(node.clone()));
    log_event!(
        Event::NodeStarted,
        node = %node.identity.node_id,
        incarnation = node.identity.incarnation,
        service = %node.settings.service
    );
    if let Some(interface) = interface {
        gateway::start(&node, interface).await?;
    }
    let mut callers = tokio::spawn(serve_callers(callers));
    let mut control = tokio::spawn(serve_http(control));
    tokio::pin!(stop_signal);
    let failed = tokio::select! {
        () = &mut stop_signal => None,
        () = node.stop_requested() => None,
        ended = &mut callers => Some(ended),
        ended = &mut control => Some(ended),
    };
    if let Some(ended) = failed {
        return ended.unwrap_or(Ok(()));
    }
    stop::drain(&node).await;
    if interface.is_some() {
        gateway::close(&node).await;
    }
    peers::say_farewell(&node).await;
    node.signals.stopped.cancel();
    // The gateway's answers have left with their calls, and the process has
    // little time left.
    if interface.is_some() {
        return Ok(());
    }
    for shutdown in shutdowns {
        shutdown.notify();
    }
    // The calls have ended, but the last pieces of answers, and an operator's
    // answer on the control port, may still be on their way out.
    let _ = tokio::join!(callers, control);
    Ok(())
}

/// A node that nothing has been started for.
pub(crate) fn new_node(settings: Settings, adjustable: AdjustableSettings) -> Result<Node> {
    let previous = settings.previous_fleet_key.as_deref().map(str::as_bytes);
    let keys = FleetKeys::new(settings.fleet_key.as_bytes(), previous)?;
    let interface = interfaces::find(settings.interface);
    let platform = Client::new(platform_settings(&settings, &adjustable, interface))?;
    let tracer = telemetry::start_tracer(&settings)?;
    let upstream_client = UpstreamClient::new(interface)?;
    Ok(Node::new(
        settings,
        adjustable,
        keys,
        Arc::new(platform),
        upstream_client,
        tracer,
    ))
}

async fn own_callers(node: &Arc<Node>) -> Result<Rocket<Ignite>> {
    let callers = http(node, node.settings.caller_address).mount("/", callers::routes(node));
    Ok(callers.ignite().await.map_err(Box::new)?)
}

/// Callers who speak another interface have listeners that last until the
/// process ends.
async fn serve_callers(callers: Option<Rocket<Ignite>>) -> Result<()> {
    match callers {
        Some(callers) => serve_http(callers).await,
        None => std::future::pending().await,
    }
}

fn platform_settings(
    settings: &Settings,
    adjustable: &AdjustableSettings,
    interface: Option<Interface>,
) -> ClientSettings {
    let usual = ClientSettings::new(&settings.platform_url);
    ClientSettings {
        codec: interface.map_or(usual.codec, |interface| interface.store),
        rates: adjustable.platform_rates,
        backoff: match interface {
            Some(_) => SHORT_BACKOFF,
            None => usual.backoff,
        },
        ..usual
    }
}

/// Serves until it is told to stop and the last answers have left.
async fn serve_http(rocket: Rocket<Ignite>) -> Result<()> {
    match rocket.launch().await {
        Ok(_) => Ok(()),
        // Connections that a caller keeps open were closed: no answer was on them.
        Err(error) if matches!(error.kind(), ErrorKind::Shutdown(..)) => Ok(()),
        Err(error) => Err(Box::new(error).into()),
    }
}

pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })
}

/// An HTTP listener whose own signal handling and grace period are off: the
/// node has drained before the listener is told to stop.
fn http(node: &Arc<Node>, address: SocketAddr) -> Rocket<Build> {
    let mut config = Config {
        address: address.ip(),
        port: address.port(),
        ..Config::release_default()
    };
    config.log_level = rocket::config::LogLevel::Off;
    config.cli_colors = false;
    config.shutdown.ctrlc = false;
    config.shutdown.signals.clear();
    config.shutdown.grace = LAST_ANSWERS_S;
    config.shutdown.mercy = CLOSING_S;
    // The framework's own headers would mix with the upstream's.
    config.ident = rocket::config::Ident::none();
    rocket::custom(config)
        .attach(rocket::shield::Shield::new())
        .manage(node.clone())
}
