//! Errors that point at the place in the file.

use quick_error::quick_error;

quick_error! {
    /// Why settings cannot be used.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// The file cannot be read.
        Unreadable(file: String, reason: String) {
            display("{}: {}", file, reason)
        }
        /// The text is not valid YAML for the settings.
        Invalid(file: String, line: u64, column: u64, reason: String) {
            display("{}:{}:{}: {}", file, line, column, reason)
        }
        /// A value is out of range.
        OutOfRange(file: String, key: &'static str, reason: String) {
            display("{}: {}: {}", file, key, reason)
        }
    }
}

/// Longest distance at which a key is offered as the one that was meant.
const MAX_SUGGESTION_DISTANCE: usize = 3;

impl SettingsError {
    /// Turns a parser's error into one that names the nearest valid key.
    pub(crate) fn from_parser(file: &str, error: &serde_saphyr::Error) -> Self {
        let (line, column) = error.location().map_or((0, 0), |place| (place.line(), place.column()));
        let message = error.to_string();
        let first_line = message.lines().next().unwrap_or_default();
        // The parser puts the place before its reason; it is given apart here.
        let place = format!("line {line} column {column}: ");
        let mut reason = first_line.split_once(&place).map_or(first_line, |(_, rest)| rest).to_string();
        if let Some(nearest) = nearest_key(&message) {
            reason.push_str(&format!("; did you mean `{nearest}`?"));
        }
        Self::Invalid(file.to_string(), line, column, reason)
    }
}

/// The expected key nearest to the unknown one, both taken from the parser's
/// message: ``unknown field `x`, expected one of a, b``.
fn nearest_key(message: &str) -> Option<String> {
    let (_, after) = message.split_once("unknown field `")?;
    let (unknown, after) = after.split_once('`')?;
    let (_, expected) = after.lines().next()?.split_once("expected ")?;
    let expected = expected.strip_prefix("one of ").unwrap_or(expected);
    let keys = expected.split(", ").flat_map(|keys| keys.split(" or "));
    let keys = keys.map(|key| key.trim_matches('`'));
    let (distance, nearest) = keys.map(|key| (edit_distance(unknown, key), key)).min()?;
    (distance <= MAX_SUGGESTION_DISTANCE).then(|| nearest.to_string())
}

/// Levenshtein distance between two keys.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, from) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
