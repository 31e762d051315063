//! Runs the platform's stand-in as a process. Prints its address on the first line.

use std::net::SocketAddr;
use std::process::ExitCode;

use getopts::Options;
use hemlocktack_testkit::platform;

const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt(
        "",
        "address",
        "address to listen on; port 0 selects a free one",
        "IP:PORT",
    );
    options.optflag("h", "help", "show this help");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return refuse(&format!("unexpected argument {:?}", matches.free[0])),
        Err(error) => return refuse(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("platform --address IP:PORT"));
        return ExitCode::SUCCESS;
    }
    let address = match matches.opt_get_default("address", SocketAddr::from(([127, 0, 0, 1], 0))) {
        Ok(address) => address,
        Err(error) => return refuse(&format!("--address: {error}")),
    };
    match run(address) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("platform: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(address: SocketAddr) -> Result<(), Box<dyn std::error::Error>> {
    let platform = platform::spawn(address).await?;
    println!("{}", platform.address());
    std::future::pending::<()>().await;
    Ok(())
}

fn refuse(message: &str) -> ExitCode {
    eprintln!("platform: {message}; --help lists the flags");
    ExitCode::from(USAGE_EXIT_CODE)
}
