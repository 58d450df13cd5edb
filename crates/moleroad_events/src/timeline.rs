//! The events of all processes in one line.

use crate::event::Event;
use moleroad_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// Which events to show; an unset field lets all pass.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventFilter {
    /// Events about this request.
    pub request: Option<RequestId>,
    /// Events about weights whose root begins with these hexadecimal digits.
    pub root: Option<String>,
    /// Events on, or naming, this instance.
    pub instance: Option<InstanceId>,
    /// Events naming this account.
    pub account: Option<AccountId>,
}

impl EventFilter {
    /// Whether `event` passes.
    pub fn passes(&self, event: &Event) -> bool {
        let request = self
            .request
            .as_ref()
            .is_none_or(|wanted| event.kind.request() == Some(wanted));
        let root = self.root.as_ref().is_none_or(|wanted| {
            event
                .kind
                .root()
                .is_some_and(|root| root.to_hex().starts_with(wanted.as_str()))
        });
        let instance = self.instance.as_ref().is_none_or(|wanted| {
            event.instance == *wanted || event.kind.other_instance() == Some(wanted.as_str())
        });
        let account = self
            .account
            .as_ref()
            .is_none_or(|wanted| event.kind.account() == Some(wanted));
        request && root && instance && account
    }
}

/// Merges the events of several processes by their stamps.
pub fn merge(logs: impl IntoIterator<Item = Vec<Event>>, filter: &EventFilter) -> Vec<Event> {
    let events = logs.into_iter().flatten();
    let mut events: Vec<Event> = events.filter(|event| filter.passes(event)).collect();
    events.sort_by(|a, b| (a.at, &a.instance).cmp(&(b.at, &b.instance)));
    events
}

/// One line of text for each event, with milliseconds since the first.
pub fn to_text(events: &[Event]) -> String {
    let start = events.first().map_or(0, |event| event.at.unix_ms);
    let mut text = String::new();
    for event in events {
        let offset_ms = event.at.unix_ms - start;
        let fields = fields_of(event);
        let _ = writeln!(
            text,
            "{offset_ms:>8} ms  {:<16} {fields}",
            event.instance.as_str()
        );
    }
    text
}

/// Name and `key=value` fields of an event, root digests shortened.
fn fields_of(event: &Event) -> String {
    let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(&event.kind) else {
        return String::new();
    };
    let mut text = fields
        .get("event")
        .and_then(|name| name.as_str())
        .unwrap_or("")
        .to_string();
    for (key, value) in fields.iter().filter(|(key, _)| *key != "event") {
        let value = match value {
            serde_json::Value::String(text) if text.len() == 64 => text[..8].to_string(),
            serde_json::Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        let _ = write!(text, " {key}={value}");
    }
    text
}

/// The events as trace-viewer JSON: instant events, one track an instance.
pub fn to_trace(events: &[Event]) -> serde_json::Value {
    let traced = events.iter().map(|event| {
        serde_json::json!({
            "name": fields_of(event),
            "ph": "i",
            "s": "t",
            "ts": event.at.unix_ms * 1_000 + u64::from(event.at.counter),
            "pid": event.instance.as_str(),
            "tid": event.instance.as_str(),
            "args": event.kind,
        })
    });
    serde_json::json!({ "traceEvents": traced.collect::<Vec<_>>() })
}
