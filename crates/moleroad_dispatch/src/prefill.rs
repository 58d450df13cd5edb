//! Expected time until the first event of a prompt.

/// Prefill performance of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSpeed {
    /// Prompt tokens prefilled per millisecond.
    pub tokens_per_ms: f64,
    /// Number of tokens in a typical prompt.
    pub typical_prompt_tokens: f64,
    /// Duration of the generation steps of one pass, in milliseconds; the first event
    /// of a prefilled prompt comes after them.
    pub steps_ms: f64,
    /// Maximum number of tokens prefilled in one pass; 0 if unlimited.
    pub tokens_per_pass: f64,
}

impl PrefillSpeed {
    /// Returns the time until the first event of a prompt of `own` tokens, in
    /// milliseconds, at an engine with `unread` prompt tokens ahead of it and `running`
    /// requests that are generating: half of the current pass, then passes until all
    /// tokens are prefilled, each with its generation steps.
    pub fn first_event_ms(&self, own: f64, unread: f64, running: f64) -> f64 {
        let rate = self.tokens_per_ms.max(0.001);
        let per_pass = if self.tokens_per_pass > 0.0 {
            self.tokens_per_pass
        } else {
            f64::INFINITY
        };
        let busy = running.min(1.0);
        let current_pass_ms = (self.steps_ms + unread.min(per_pass) / rate) * busy / 2.0;
        let tokens = own + unread;
        let passes = (tokens / per_pass).ceil().max(1.0);
        current_pass_ms + tokens / rate + passes * self.steps_ms
    }
}
