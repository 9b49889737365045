//! Names of the HTTP headers towards callers and runners.
//!
//! All are lower case, as HTTP/2 asks. Headers that begin with `x-figscale-`
//! on a caller's request and are not listed as the caller's are removed, so
//! that nobody outside can pass for an entry instance.

/// Owner on whose behalf the caller asks; required.
pub const OWNER: &str = "x-figscale-owner";
/// Request id, a UUIDv7; made by the entry instance when absent.
pub const REQUEST_ID: &str = "x-figscale-request-id";
/// Time that the caller is willing to wait, in milliseconds.
pub const BUDGET_MS: &str = "x-figscale-budget-ms";
/// `true` when running the request twice does no harm; `false` when absent.
pub const IDEMPOTENT: &str = "x-figscale-idempotent";
/// Verdict on every answer: `ran`, `not-run` or `may-have-run`.
pub const VERDICT: &str = "x-figscale-verdict";
/// Entry instance that answered, for support.
pub const SERVED_BY: &str = "x-figscale-served-by";
/// Runner that ran the request, for support.
pub const RUNNER: &str = "x-figscale-runner";
/// Set by a runner that refused a request without running it.
pub const REFUSED: &str = "x-refused-not-run";
/// Catalogue entry, towards runners.
pub const ENTRY: &str = "x-figscale-entry";
/// Shard and epoch of the holder that dispatched, towards runners.
pub const HOLDER: &str = "x-figscale-holder";
/// Set by a runner on every answer once it is leaving.
pub const LEAVING: &str = "x-leaving";
/// Time that a stand-in runner works on a request, in milliseconds.
pub const RUN_MS: &str = "x-run-ms";
/// Bytes of filling in a stand-in runner's answer.
pub const ANSWER_BYTES: &str = "x-answer-bytes";
/// SHA-256 of an answer's body in lower-case hexadecimal, set by the runner.
pub const CHECKSUM: &str = "x-checksum";
