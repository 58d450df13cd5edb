//! Stand-ins and cases of the review. `standin CASE RECORD` plays a case; it ends with 1 if
//! the rule was broken, 0 if it held and 2 if the case could not run.

mod caller;
mod cases;
mod documents;
mod engine;
mod http;
mod origin;
mod record;
mod sha256;
mod system;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (Some(what), Some(path)) = (arguments.first(), arguments.get(1)) else {
        eprintln!("standin CASE RECORD");
        return ExitCode::from(2);
    };
    let path = PathBuf::from(path);
    record::open(&path);
    if what == "engine" {
        let number = |at: usize| arguments[at].parse::<u64>().expect("a number");
        let control = arguments[3].split(',').map(|address| address.parse().expect("an address"));
        let shape = engine::Shape { events: number(5), event_bytes: number(6) as usize, gap_ms: number(7) };
        let held = Some(number(4)).filter(|version| *version != 0);
        let store = PathBuf::from(&arguments[8]);
        engine::run(arguments[2].parse().expect("an address"), control.collect(), held, shape, &store);
        return ExitCode::SUCCESS;
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let play = || match what.as_str() {
        "slow-reader" => cases::slow_reader(&path, trouble),
        "spoilt-manifest" => cases::spoilt_manifest(&path, trouble),
        "crashed-engine" => cases::crashed_engine(&path, trouble),
        _ => Err("no such case".to_string()),
    };
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play));
    let result = result.unwrap_or_else(|_| Err("a stand-in failed".to_string()));
    let (text, code) = match result {
        Ok(verdict) if verdict.is_broken => (format!("BROKEN: {}", verdict.why), 1),
        Ok(verdict) => (format!("HELD: {}", verdict.why), 0),
        Err(reason) => (format!("COULD NOT RUN: {reason}"), 2),
    };
    record::line(&text);
    println!("{text}");
    ExitCode::from(code)
}
