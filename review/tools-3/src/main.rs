//! Scenarios of the third review. Each starts gateway processes beside stand-ins on loopback.
//!
//! `review-3 CASE REPOSITORY RECORD` exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

mod foreign_page;
mod gateway;
mod json;
mod lost_machines;
mod member;
mod platform;
mod proxy;
mod record;
mod requester;
mod session_values;
mod store;
mod traffic;
mod turned_away;

use std::{env, path::Path, process::exit};

use record::Record;

/// What a case shows.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, for this reason.
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, repository, file] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE REPOSITORY RECORD");
        exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let repository = Path::new(repository);
    if !repository.join("target/release/hibiscusladder").exists() {
        eprintln!("target/release/hibiscusladder is missing; run the build of the deploy file");
        exit(2);
    }
    let Ok(record) = Record::create(Path::new(file)) else {
        eprintln!("the record cannot be written");
        exit(2);
    };
    record.say(&format!("case {case}, trouble {has_trouble}"));
    let verdict = match case.as_str() {
        "lost-machines" => lost_machines::run(repository, &record, has_trouble),
        "foreign-page" => foreign_page::run(repository, &record, has_trouble),
        "turned-away" => turned_away::run(repository, &record, has_trouble),
        "session-values" => session_values::run(repository, &record, has_trouble),
        _ => Verdict::NotRun(format!("there is no case {case}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.say(&text);
    exit(code);
}
