//! Hybrid logical clock (Kulkarni and others, "Logical Physical Clocks", 2014).

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A point in causal order that stays close to the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch, never going back.
    pub unix_ms: u64,
    /// Order among events of the same millisecond.
    pub counter: u32,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.unix_ms, self.counter)
    }
}

impl FromStr for Stamp {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (unix_ms, counter) = text.split_once('.').unwrap_or((text, "0"));
        Ok(Self { unix_ms: unix_ms.parse()?, counter: counter.parse()? })
    }
}

/// Gives stamps that grow with every local event and every message received.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// The stamp of a local event at wall clock `unix_ms`.
    pub fn tick(&mut self, unix_ms: u64) -> Stamp {
        self.last = if unix_ms > self.last.unix_ms {
            Stamp { unix_ms, counter: 0 }
        } else {
            Stamp { counter: self.last.counter + 1, ..self.last }
        };
        self.last
    }

    /// The stamp of receiving a message stamped `received`.
    pub fn observe(&mut self, unix_ms: u64, received: Stamp) -> Stamp {
        self.last = self.last.max(received);
        self.tick(unix_ms)
    }
}
