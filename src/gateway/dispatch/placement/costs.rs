//! The costs by which endpoints are compared, all in milliseconds by which a request is expected to
//! be delayed there, or as if it were.
//!
//! The order that they must keep, the dearest last, and why (`tests/placement.rs` holds it):
//!
//! | cost | ms | why it stands there |
//! |---|---|---|
//! | [`PLAIN_RUNNING`] | 10 | one call at a plain service delays the next by less than a hop to another domain |
//! | [`TIE_BREAK_PLAIN`] | 15 | sets apart servers that differ by one call; must not outweigh a domain |
//! | [`ENGINE_RUNNING`] | 30 | one stream slows another a little, less than any prefill |
//! | [`OTHER_DOMAIN_PLAIN`] | 40 | a hop to another domain is worth avoiding four running calls |
//! | [`TIE_BREAK`] | 100 | sets apart engines that differ by three streams or less; must not outweigh a domain |
//! | [`OTHER_DOMAIN_ENGINE`] | 300 | bytes between domains are dear, but less so than a third of a prefill |
//! | [`FAILING`] | 1,500 | an endpoint that fails everything costs a second attempt, and more than waiting for a prompt |
//! | [`FULL`] | 2,000 | without a free slot a request waits for another to end |
//! | [`BESIDE_OTHERS`] | 2,500 | what may crash its endpoint runs alone wherever a sound one is free |
//! | [`SUSPECTED`], [`SAME_DOMAIN_AS_ATTEMPT`] | 3,000 | worse than a full one, better than nothing |
//! | [`NO_MEMORY`] | 4,000 | the engine would evict what others need; worse than a suspected one |
//! | [`AVOIDED`] | 20,000 | only where nothing else is left |
//!

/// What one request that runs at an engine costs the next one.
pub const ENGINE_RUNNING: f64 = 30.0;
/// What one request that runs at a plain service costs the next one.
pub const PLAIN_RUNNING: f64 = 10.0;
/// What an engine of another failure domain costs.
pub const OTHER_DOMAIN_ENGINE: f64 = 300.0;
/// What a plain service of another failure domain costs.
pub const OTHER_DOMAIN_PLAIN: f64 = 40.0;
/// What an endpoint without a free slot costs.
pub const FULL: f64 = 2_000.0;
/// What an endpoint costs that runs anything, for a request under which endpoints ended.
pub const BESIDE_OTHERS: f64 = 2_500.0;
/// What an endpoint costs that failed all its requests lately; one that failed a part of them costs
/// that part.
pub const FAILING: f64 = 1_500.0;
/// What an endpoint costs that may have been lost with others of its failure domain.
pub const SUSPECTED: f64 = 3_000.0;
/// What a host costs, for a mirror, in the failure domain of the attempt.
pub const SAME_DOMAIN_AS_ATTEMPT: f64 = 3_000.0;
/// What an endpoint costs that failed a short while ago.
pub const AVOIDED: f64 = 20_000.0;
/// What an engine costs that has not enough free KV memory.
pub const NO_MEMORY: f64 = 4_000.0;
/// The greatest tie-breaking jitter for a plain service: boxes see each other's calls, and need
/// only differ where servers run the same. With 100 most calls went to other domains.
pub const TIE_BREAK_PLAIN: f64 = 15.0;
/// The greatest tie-breaking jitter per request and endpoint. Boxes choose without seeing each
/// other's latest choices, so equal engines must not look the same to all of them.
pub const TIE_BREAK: f64 = 100.0;
