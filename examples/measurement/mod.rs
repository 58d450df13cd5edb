//! Steps that the measuring examples share: their reports and their arithmetic.

#![allow(dead_code, reason = "each example uses a part of it")]

use serde::Serialize;
use std::cmp::Ordering;
use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

/// Prints the report of `program`, as one JSON object or with `print_text`, or the error
/// that prevented it.
pub fn print_report<T: Serialize>(
    program: &str,
    report: Result<T, Box<dyn Error>>,
    as_json: bool,
    print_text: impl FnOnce(&T),
) -> ExitCode {
    match report {
        Ok(report) if as_json => {
            println!("{}", serde_json::to_string(&report).unwrap_or_default())
        }
        Ok(report) => print_text(&report),
        Err(error) => {
            eprintln!("{program}: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Returns the value below which `percent` percent of the values are; 0 without values.
pub fn percentile<T: Copy + Default + PartialOrd>(values: &[T], percent: usize) -> T {
    let mut sorted = values.to_vec();
    sorted.sort_by(|one, other| one.partial_cmp(other).unwrap_or(Ordering::Equal));
    let position = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(position).copied().unwrap_or_default()
}

/// Rounds to three decimal places.
pub fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// Returns a duration in milliseconds.
pub fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
