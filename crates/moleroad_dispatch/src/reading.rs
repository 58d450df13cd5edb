//! When the first event of a prompt can be expected.

/// How fast the engines of a service read prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSpeed {
    /// Prompt tokens read in a millisecond.
    pub tokens_per_ms: f64,
    /// Tokens of a usual prompt.
    pub usual_prompt: f64,
    /// Time of the steps of one pass, after which the first event of a prompt
    /// that was read comes, in milliseconds.
    pub steps_ms: f64,
    /// Most tokens read in one pass; 0 unbounded.
    pub tokens_per_pass: f64,
}

impl PrefillSpeed {
    /// Time until the first event of a prompt of `own` tokens that is sent to
    /// an engine with `unread` tokens before it, of which `running` requests
    /// write: half of the pass under way, then passes until all is read, each
    /// with its steps.
    pub fn first_event_ms(&self, own: f64, unread: f64, running: f64) -> f64 {
        let rate = self.tokens_per_ms.max(0.001);
        let per_pass = if self.tokens_per_pass > 0.0 {
            self.tokens_per_pass
        } else {
            f64::INFINITY
        };
        let busy = running.min(1.0);
        let under_way = (self.steps_ms + unread.min(per_pass) / rate) * busy / 2.0;
        let tokens = own + unread;
        let passes = (tokens / per_pass).ceil().max(1.0);
        under_way + tokens / rate + passes * self.steps_ms
    }
}
