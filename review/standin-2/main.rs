//! Cases of the second review. Starts the project's front as processes beside stand-ins of the platform, its replicas
//! and its clients. `review-2 CASE FOLDER` exits with 0 if the rule held, 1 if it was broken, and 2 if the case could
//! not run.

mod deployment;
mod http;
mod json;
mod store;

mod hand_over;
mod large_bodies;
mod spoilt_start;
mod told_not_run;
mod wall;

use std::{env, path::PathBuf, process, thread, time::Duration};

/// Longest run of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Outcome {
    Held(String),
    Broken(String),
}

/// The error says why a case could not run.
pub type Result = std::result::Result<Outcome, String>;

/// Whether the case brings its disruption about.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let name = arguments.get(1).map_or("", String::as_str);
    let folder = PathBuf::from(arguments.get(2).map_or(".", String::as_str));
    let record = deployment::Record::create(&folder);
    let case = match name {
        "hand-over" => hand_over::run,
        "large-bodies" => large_bodies::run,
        "spoilt-start" => spoilt_start::run,
        "told-not-run" => told_not_run::run,
        "wall" => wall::run,
        _ => {
            eprintln!("no such case: {name}");
            process::exit(2);
        }
    };
    let running = {
        let record = record.clone();
        thread::spawn(move || case(record))
    };
    let deadline = std::time::Instant::now() + TIME_LIMIT;
    while !running.is_finished() && std::time::Instant::now() < deadline {
        thread::sleep(Duration::from_millis(50));
    }
    let result = match running.is_finished() {
        true => running
            .join()
            .unwrap_or_else(|_| Err("the case panicked".into())),
        false => {
            deployment::end_processes();
            Err("the case did not end in time".into())
        }
    };
    let (code, text) = match result {
        Ok(Outcome::Held(text)) => (0, format!("HELD: {text}")),
        Ok(Outcome::Broken(text)) => (1, format!("BROKEN: {text}")),
        Err(text) => (2, format!("COULD NOT RUN: {text}")),
    };
    record.line(&text);
    println!("{text}");
    process::exit(code);
}
