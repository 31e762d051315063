//! Starts a node from the command line, runs it, and stops it after a drain.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::keys::{FleetKeys, KeyError};
use hemlocktack_interface::Interface;
use hemlocktack_platform::{BackoffSettings, Client, ClientSettings};
use hemlocktack_telemetry::{Event, ExportError, log_event};
use rocket::error::ErrorKind;
use rocket::{Build, Config, Ignite, Rocket};
use tokio::net::TcpListener;

use crate::configuration::StoreAccess;
use crate::freshness::StoreQuestions;
use crate::node::{Node, PlatformAccess};
use crate::settings::{self, AdjustableSettings, Invocation, RunSettings, Settings};
use crate::upstream::UpstreamClient;
use crate::{
    callers, configuration, control, freshness, gateway, interfaces, links, operators, peers,
    quotas, reload, stop, telemetry, upstream,
};

/// Result of starting a node.
pub(crate) type Result<T> = std::result::Result<T, StartError>;

/// Seconds for sending the ends of responses after the drain, which has already waited for
/// everything but what the HTTP server has buffered. The framework also waits for idle
/// keep-alive connections, so a longer time would only delay the exit.
const SHUTDOWN_GRACE_S: u32 = 2;
/// Seconds for closing the connections after that.
const SHUTDOWN_MERCY_S: u32 = 1;
/// Backoff for a platform whose changes must take effect within a second or two of its
/// return. The load is low: once the nodes of a data centre have found each other, few of
/// them call the platform.
const SHORT_BACKOFF: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(100),
    longest: Duration::from_secs(1),
};
/// Exit code for invalid settings.
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
    #[display("cannot start the async runtime: {_0}")]
    Runtime(std::io::Error),
    #[display("cannot create the HTTP client: {_0}")]
    HttpClient(reqwest::Error),
    #[display("HTTP listener failed: {_0}")]
    Rocket(Box<rocket::Error>),
    #[display("{_0}")]
    FleetKey(KeyError),
    #[display("{_0}")]
    Export(ExportError),
    #[display("{_0}")]
    Platform(hemlocktack_platform::Error),
}

/// Reads the settings and runs the node until it is stopped.
///
/// Exit codes: 0 after a planned stop, `--help`, `--version` or a successful
/// `--check`; 1 if the node could not start; 2 for invalid settings.
pub fn run_from_command_line() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match settings::read(&arguments, |name| std::env::var(name).ok()) {
        Ok(Invocation::Help) => print!("{}", settings::usage()),
        Ok(Invocation::Version) => println!("hemlocktackd {}", env!("CARGO_PKG_VERSION")),
        Ok(Invocation::Check) => println!("the settings are valid"),
        Ok(Invocation::Run(settings)) => return run_to_exit_code(*settings),
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    }
    ExitCode::SUCCESS
}

/// Runs a node in this process, with the flags of `hemlocktackd`, until `stop` completes;
/// drains before it returns. For examples and tests.
///
/// # Errors
/// All invalid flags in one text, or why the node did not start.
pub async fn run_until(
    arguments: &[String],
    stop: impl Future<Output = ()>,
) -> std::result::Result<(), String> {
    match settings::read(arguments, |_| None) {
        Ok(Invocation::Run(settings)) => run(*settings, stop)
            .await
            .map_err(|error| error.to_string()),
        Ok(_) => Err("the flags do not start a node".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

fn run_to_exit_code(settings: RunSettings) -> ExitCode {
    let _flushed_before_exit = telemetry::start_logs(settings.loaded.settings.log_format);
    match run_on_runtime(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log_event!(Event::NodeFailed, %error);
            eprintln!("hemlocktackd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_on_runtime(settings: RunSettings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        // Installed before anything listens: until then the signal terminates the process
        // at once, with every request it has accepted.
        let stop_signal = stop::stop_signal();
        run(settings, stop_signal).await
    })
}

/// Runs one node until `stop_signal` completes; then drains and stops it.
pub(crate) async fn run(
    settings: RunSettings,
    stop_signal: impl Future<Output = ()>,
) -> Result<()> {
    let loaded = &settings.loaded;
    let node = new_node(loaded.settings.clone(), loaded.adjustable.clone())?;
    let interface = node.interface;
    let node = Arc::new(node);
    tokio::spawn(reload::follow_settings(node.clone(), settings));
    tokio::spawn(node.admission_queue.clone().run_timer());
    let link_listener = listen(node.settings.link_listen_address).await?;
    let control = http(&node, node.settings.control_address)
        .mount("/", control::routes())
        .mount("/", upstream::routes())
        .mount("/", operators::routes(&node));
    let callers = match interface {
        Some(_) => None,
        None => Some(caller_server(&node).await?),
    };
    let control = control.ignite().await.map_err(Box::new)?;
    let mut shutdowns = vec![control.shutdown()];
    shutdowns.extend(callers.as_ref().map(Rocket::<Ignite>::shutdown));
    tokio::spawn(links::serve_links(node.clone(), link_listener));
    tokio::spawn(links::send_cancellations(node.clone()));
    peers::start(&node).await?;
    configuration::start(&node)?;
    freshness::start(&node);
    quotas::start(&node);
    tokio::spawn(upstream::poll_load(node.clone()));
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
    stop::stop(&node).await;
    // The gateway has already sent its responses, and the process has little time left.
    if interface.is_some() {
        return Ok(());
    }
    for shutdown in shutdowns {
        shutdown.notify();
    }
    // All calls have ended, but the ends of their responses, or the response to an operator
    // on the control address, may not be sent yet.
    let _ = tokio::join!(callers, control);
    Ok(())
}

/// Creates a node without starting its tasks and listeners.
pub(crate) fn new_node(settings: Settings, adjustable: AdjustableSettings) -> Result<Node> {
    let previous = settings.previous_fleet_key.as_deref().map(str::as_bytes);
    let keys = FleetKeys::new(settings.fleet_key.as_bytes(), previous)?;
    let interface = interfaces::find(settings.interface);
    let platform_settings = platform_settings(&settings, &adjustable, interface);
    let identity = NodeIncarnation::new(settings.node_id.clone(), rand::random());
    let platform = PlatformAccess {
        questions: StoreQuestions::new(identity.clone(), platform_settings.clone())?,
        store_access: StoreAccess::new(Arc::new(follower_client(&platform_settings, interface)?)),
        client: Arc::new(Client::new(platform_settings)?),
    };
    let tracer = telemetry::start_tracer(&settings)?;
    let upstream_client = UpstreamClient::new(interface)?;
    Ok(Node::new(
        identity,
        settings,
        adjustable,
        keys,
        platform,
        upstream_client,
        tracer,
    ))
}

async fn caller_server(node: &Arc<Node>) -> Result<Rocket<Ignite>> {
    let callers = http(node, node.settings.caller_address).mount("/", callers::routes(node));
    Ok(callers.ignite().await.map_err(Box::new)?)
}

/// Serves callers of the native interface. With another interface the gateway serves them,
/// whose listeners stay open until the process exits.
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
    let defaults = ClientSettings::new(&settings.platform_url);
    ClientSettings {
        codec: interface.map_or(defaults.codec, |interface| interface.store),
        rates: adjustable.platform_rates,
        backoff: match interface {
            Some(_) => SHORT_BACKOFF,
            None => defaults.backoff,
        },
        ..defaults
    }
}

/// Returns the client that follows the configuration. Few nodes read and watch, and their own
/// schedule limits their calls.
fn follower_client(settings: &ClientSettings, interface: Option<Interface>) -> Result<Client> {
    let no_backoff = BackoffSettings {
        first: Duration::ZERO,
        longest: Duration::ZERO,
    };
    Ok(Client::new(ClientSettings {
        rates: None,
        backoff: interface.map_or(settings.backoff, |_| no_backoff),
        ..settings.clone()
    })?)
}

/// Serves until shutdown is requested and the last responses are sent.
async fn serve_http(rocket: Rocket<Ignite>) -> Result<()> {
    match rocket.launch().await {
        Ok(_) => Ok(()),
        // Only idle keep-alive connections were closed; no response was lost.
        Err(error) if matches!(error.kind(), ErrorKind::Shutdown(..)) => Ok(()),
        Err(error) => Err(Box::new(error).into()),
    }
}

pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })
}

/// Builds an HTTP server without the framework's signal handling, and with a short grace
/// period: the node has drained before the server is told to stop.
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
    config.shutdown.grace = SHUTDOWN_GRACE_S;
    config.shutdown.mercy = SHUTDOWN_MERCY_S;
    // The framework's own headers would mix with those of the upstream.
    config.ident = rocket::config::Ident::none();
    rocket::custom(config)
        .attach(rocket::shield::Shield::new())
        .manage(node.clone())
}
