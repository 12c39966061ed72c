//! The costs by which placement compares endpoints, in milliseconds of expected delay or its
//! equivalent.
//!
//! The costs must keep this order, the cheapest first (checked by `tests/placement.rs`):
//!
//! | cost | ms | reason for its place |
//! |---|---|---|
//! | [`PLAIN_RUNNING`] | 10 | one call at a plain service delays the next by less than a hop to another domain |
//! | [`TIE_BREAK_PLAIN`] | 15 | separates servers that differ by one call; must not outweigh a domain |
//! | [`ENGINE_RUNNING`] | 30 | one stream slows another a little, less than any prefill |
//! | [`COLD`] | 35 | an endpoint that is slow from its start is taken before one of another domain |
//! | [`OTHER_DOMAIN_PLAIN`] | 40 | a hop to another domain costs as much as four running calls |
//! | [`SAMPLE_RANK`] | 60 | two running streams; more than a stale report should decide, less than a prefill |
//! | [`TIE_BREAK`] | 100 | separates engines that differ by three streams or less; must not outweigh a domain |
//! | [`OTHER_DOMAIN_ENGINE`] | 300 | traffic between domains is expensive, but less so than a third of a prefill |
//! | [`SLOW_ANSWER`] | 1,000 | a server that is slow now is worse than a hop, better than one that fails everything |
//! | [`OWN_PROMPT`] | 1,400 | a faster engine outweighs a queued prompt, but not a missing slot |
//! | [`FAILING`] | 1,500 | an endpoint that fails everything costs a second attempt, and more than waiting for a prompt |
//! | [`FULL`] | 2,000 | without a free slot a request waits for another to end |
//! | [`NOT_ALONE`] | 2,500 | a request that may crash its endpoint runs alone wherever a healthy endpoint is free |
//! | [`SUSPECTED`], [`SAME_DOMAIN_AS_ATTEMPT`] | 3,000 | worse than a full endpoint, better than none |
//! | [`NO_MEMORY`] | 4,000 | the engine would evict KV memory of other requests; worse than a suspected one |
//! | [`AVOIDED`] | 20,000 | used only if no other endpoint is left |

/// Cost of each request that runs at an engine, ms.
pub const ENGINE_RUNNING: f64 = 30.0;
/// Cost of each request that runs at an endpoint of a plain service, ms.
pub const PLAIN_RUNNING: f64 = 10.0;
/// Cost of an endpoint that is still slow from its start, ms.
pub const COLD: f64 = 35.0;
/// Cost of an engine in another failure domain than the box, ms.
pub const OTHER_DOMAIN_ENGINE: f64 = 300.0;
/// Cost of a plain service's endpoint in another failure domain than the box, ms.
pub const OTHER_DOMAIN_PLAIN: f64 = 40.0;
/// Greatest cost of a plain server whose answers take longer than usual, ms.
pub const SLOW_ANSWER: f64 = 1_000.0;
/// Greatest cost, or credit, of an engine for the speed at which it prefills the request's own prompt,
/// ms.
pub const OWN_PROMPT: f64 = 1_400.0;
/// Cost of an endpoint without a free slot, ms.
pub const FULL: f64 = 2_000.0;
/// Cost of an endpoint that runs other requests, for a request that endpoints crashed under, ms.
pub const NOT_ALONE: f64 = 2_500.0;
/// Cost of an endpoint that recently failed all its requests, ms; scaled by the share that failed
/// beyond the lowest share in the service.
pub const FAILING: f64 = 1_500.0;
/// Cost of an endpoint that may have been lost with others of its failure domain, ms.
pub const SUSPECTED: f64 = 3_000.0;
/// Cost of a mirror's host in the failure domain of the attempt, ms.
pub const SAME_DOMAIN_AS_ATTEMPT: f64 = 3_000.0;
/// Cost of an endpoint that is avoided after a recent failure, ms.
pub const AVOIDED: f64 = 20_000.0;
/// Cost of an engine without enough free KV memory for the request, ms.
pub const NO_MEMORY: f64 = 4_000.0;
/// Cost of each place in the sample of engines of other failure domains, ms. When 27 boxes place 243
/// streams at once on 80 engines (mean 3) by the same report, engines that it shows as idle get up
/// to 18 of them with 0, up to 12 with 30, and up to 8 with 60 or more; 7 is the most where all look
/// alike (each the median of 12 calculated runs, the worst of four distributions of load).
pub const SAMPLE_RANK: f64 = 60.0;
/// Upper bound of the tie-break for a plain service, ms. Boxes see each other's calls, so they need
/// different choices only between equally loaded servers. With 100 ms most calls went to other
/// domains.
pub const TIE_BREAK_PLAIN: f64 = 15.0;
/// Upper bound of the tie-break for an engine, ms. Boxes place requests without seeing each other's
/// latest placements, so they must not all rank equal engines alike.
pub const TIE_BREAK: f64 = 100.0;
