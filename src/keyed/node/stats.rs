//! Counts of what a node has done, from which the metrics are made.

macro_rules! counters {
    ($($(#[doc = $doc:expr])+ $name:ident,)+) => {
        /// Counts since the node started.
        #[derive(Clone, Debug, Default)]
        pub struct Stats {
            $($(#[doc = $doc])+ pub $name: u64,)+
        }

        impl Stats {
            /// Every count with its name and help text.
            #[must_use]
            pub fn list(&self) -> Vec<(&'static str, &'static str, u64)> {
                vec![$((stringify!($name), concat!($($doc),+), self.$name),)+]
            }
        }
    };
}

counters! {
    /// Requests that callers sent.
    requests,
    /// Requests that were refused.
    refusals,
    /// Generations that were started.
    generations,
    /// Answers that were completed.
    completions,
    /// Runs of generations that were started.
    runs,
    /// Runs that were lost.
    runs_lost,
    /// Runs that were suspected.
    suspected,
    /// Runs that were suspected and went on all the same.
    suspected_wrongly,
    /// Generations that resumed after a loss.
    resumes,
    /// Microseconds from losses to the next token, summed.
    resume_micros,
    /// Tokens that engines produced and that were dropped.
    tokens_wasted,
    /// Tokens that were added to answers.
    tokens,
    /// Takeovers of another box's generations.
    takeovers,
    /// Calls of plain services that were sent.
    calls_sent,
    /// Calls whose outcome stayed unknown.
    calls_unknown,
    /// Copies that were refused for a newer generation.
    copies_refused,
    /// Outputs that did not fit what the caller had.
    outputs_rejected,
    /// Engine events that belonged to no run.
    engine_strays,
    /// Deferrable requests that were accepted.
    deferred_accepted,
    /// Deferrable requests that were finished.
    deferred_done,
    /// Bundles that were put in force.
    bundles,
    /// Orders that were given to endpoints.
    orders,
    /// Calls of the platform.
    platform_calls,
    /// Heartbeats that were sent.
    heartbeats,
}
