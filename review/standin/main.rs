//! Cases of the independent review. Each plays one run and tells whether the rule held: exit code 0 if it did, 1 if it
//! was broken, 2 if the run could not be made.

mod bad_entry;
mod brittle;
mod brittle_engine;
mod client;
mod dead_engine;
mod engine;
mod engine_process;
mod hosts;
mod http;
mod json;
mod large_bodies;
mod large_entry;
mod record;
mod store;
mod stream_engine;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::record::Record;
use crate::stream_engine::Framing;

/// Result of a run.
pub enum Outcome {
    Held,
    Broken,
    /// It could not be made, for this reason.
    NotRun(String),
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    // The engines that are processes of their own.
    let option = words.next().unwrap_or_default();
    match case.as_str() {
        "stream-engine" => {
            let is_chunked = option == "chunks";
            let framing = if is_chunked { Framing::Chunks } else { Framing::Connection };
            stream_engine::run(&folder, framing);
        }
        "brittle-engine" => {
            brittle_engine::run(&folder, option.parse().ok().map(Duration::from_millis));
        }
        _ => {}
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(&folder).join("record.txt"));
    let outcome = match case.as_str() {
        "bad-entry" => bad_entry::run(&record, has_trouble),
        "brittle" => brittle::run(&record, has_trouble),
        "dead-engine" => dead_engine::run(&record, has_trouble),
        "large-entry" => large_entry::run(&record, has_trouble),
        "large-bodies" => large_bodies::run(&record, has_trouble),
        _ => Outcome::NotRun(format!("no case {case}")),
    };
    let code = match outcome {
        Outcome::Held => {
            record.say("result: the rule held");
            0
        }
        Outcome::Broken => {
            record.say("result: the rule was broken");
            1
        }
        Outcome::NotRun(reason) => {
            record.say(&format!("result: not run: {reason}"));
            2
        }
    };
    record.flush();
    ExitCode::from(code)
}
