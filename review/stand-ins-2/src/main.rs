//! Stand-ins for clients, backends and the platform, and the scripts of the second review.
//! `review-stand-ins-2 CASE FOLDER`, in the root of the repository; `TROUBLE=0` leaves the
//! disruption out. Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

mod backend;
mod cancelled_child;
mod configuration;
mod endless_answers;
mod http;
mod json;
mod large_bodies;
mod node;
mod pipelined_stop;
mod record;
mod split_heads;
mod store;

use std::process::ExitCode;

use record::Record;

/// How a case ended.
pub enum End {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-stand-ins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let scratch = std::env::temp_dir().join(format!("review-2-{}-{}", case, std::process::id()));
    std::fs::create_dir_all(&scratch).unwrap();
    let record = Record::new();
    record.note(format!("case {case}, trouble: {has_trouble}"));
    let end = match case.as_str() {
        "cancelled-child" => cancelled_child::run(&record, &scratch, has_trouble),
        "large-bodies" => large_bodies::run(&record, &scratch, has_trouble),
        "split-heads" => split_heads::run(&record, &scratch, has_trouble),
        "pipelined-stop" => pipelined_stop::run(&record, &scratch, has_trouble),
        "endless-answers" => endless_answers::run(&record, &scratch, has_trouble),
        other => End::NotRun(format!("no case {other}")),
    };
    let (code, word) = match end {
        End::Held => (0, "held".to_owned()),
        End::Broken => (1, "BROKEN".to_owned()),
        End::NotRun(why) => (2, format!("not run: {why}")),
    };
    record.note(format!("the rule: {word}"));
    println!("{case}, trouble {has_trouble}: {word}");
    record.write(&format!("{folder}/record.txt"));
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    ExitCode::from(code)
}
