//! Cases of the review: each starts nodes, stand-ins and clients, and checks one rule.
//!
//! Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod backend;
mod client;
mod configuration;
mod http;
mod json;
mod late_rejection;
mod load;
mod node;
mod record;
mod repeated_rejection;
mod returned_store;
mod store;

use std::path::PathBuf;
use std::time::Duration;

use record::Record;

/// Shorter than the time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

/// What disturbs the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// The first of two disruptions alone: to see that it breaks nothing.
    First,
    Full,
}

pub struct Case {
    pub folder: PathBuf,
    pub trouble: Trouble,
    pub record: Record,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder), Some(record)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("review-case NAME FOLDER RECORD");
        std::process::exit(2);
    };
    let trouble = match std::env::var("TROUBLE").as_deref() {
        Ok("0") => Trouble::None,
        Ok("first") => Trouble::First,
        _ => Trouble::Full,
    };
    let case = Case {
        folder: folder.into(),
        trouble,
        record: Record::new(&record),
    };
    let verdict_record = case.record.clone();
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        node::kill_all();
        std::process::exit(2);
    });
    let running = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match name.as_str() {
        "late-rejection" => late_rejection::run(&case),
        "returned-store" => returned_store::run(&case),
        "repeated-rejection" => repeated_rejection::run(&case),
        other => panic!("{other} is no case"),
    }));
    node::kill_all();
    let (code, verdict) = match running {
        Ok(None) => (0, "the rule held".to_owned()),
        Ok(Some(broken)) => (1, format!("the rule was broken: {broken}")),
        Err(_) => (2, "the case could not run".to_owned()),
    };
    verdict_record.line(&format!("verdict  {verdict}"));
    println!("{verdict}");
    std::process::exit(code);
}
