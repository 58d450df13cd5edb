//! Names of HTTP headers.

/// Caller's key, as `Bearer KEY`.
pub const AUTHORIZATION: &str = "Authorization";
/// Key under which a request marked not repeatable runs at most once.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Seconds after which to come back.
pub const RETRY_AFTER: &str = "Retry-After";
/// Media type of a body.
pub const CONTENT_TYPE: &str = "Content-Type";
/// Identity of a request, chosen by the caller or by the entry.
pub const REQUEST_ID: &str = "X-Request-Id";
/// Milliseconds within which the caller wants the answer.
pub const DEADLINE_MS: &str = "X-Deadline-Ms";
/// `true` or `false`: whether the request may run more than once.
pub const REPEATABLE: &str = "X-Repeatable";
/// Result code of an answer that moleroad made itself.
pub const RESULT_CODE: &str = "X-Moleroad-Code";
/// Account of the caller, from entry to agent.
pub const ACCOUNT: &str = "X-Moleroad-Account";
/// Root digest that a request is bound to.
pub const ROOT: &str = "X-Moleroad-Root";
/// Incarnation of the target that a request was routed to.
pub const INCARNATION: &str = "X-Moleroad-Incarnation";
/// Proof that an entry of this system sent the request.
pub const PROOF: &str = "X-Moleroad-Proof";
/// Causal time of the sender.
pub const STAMP: &str = "X-Moleroad-Stamp";
/// Work of the target, in tokens, from agent to entry.
pub const WORK: &str = "X-Moleroad-Work";
/// Expected work of a request, in tokens, from entry to agent.
pub const REQUEST_WORK: &str = "X-Moleroad-Request-Work";
/// Instance of the agent that asks for a chunk.
pub const AGENT: &str = "X-Moleroad-Agent";
/// Sealed ticket of that agent.
pub const TICKET: &str = "X-Moleroad-Ticket";
/// Chunks that the answering agent holds.
pub const CHUNKS: &str = "X-Moleroad-Chunks";
