//! The reasons for which a box sends an endpoint anything that is not a caller's request.
//!
//! Each such check has a cost at the endpoint, so they are counted by reason: by
//! `endpoint_checks_total`, and in [`super::record::Record::Checks`].

/// Why an endpoint is sent anything that is not a caller's request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CheckReason {
    /// A stream that has begun pauses.
    ProbeInStream,
    /// A stream has no first event yet.
    ProbeInPrefill,
    /// A stream is to move to the endpoint because its engine is silent.
    BeforeMove,
    /// An engine may keep the prompt of a caller that reconnects.
    PromptSearch,
    /// A suspected endpoint may have restarted or been replaced.
    Identity,
    /// An attempt is about to be sent to an endpoint whose process may have been replaced.
    BeforeSend,
    /// Another version may run under an engine's id since it restarted.
    StartTime,
    /// Another process than the listed one has an engine's address.
    Successor,
    /// An attempt broke off, and its endpoint may have exited.
    ExitCheck,
    /// The box may have lost its own path to the endpoints.
    DirectPath,
    /// A snapshot of an attempt is wanted.
    Snapshot,
    /// A snapshot is not needed any more.
    SnapshotDrop,
}

impl CheckReason {
    /// All reasons, in the order of their values.
    pub const ALL: [Self; 12] = [
        Self::ProbeInStream,
        Self::ProbeInPrefill,
        Self::BeforeMove,
        Self::PromptSearch,
        Self::Identity,
        Self::BeforeSend,
        Self::StartTime,
        Self::Successor,
        Self::ExitCheck,
        Self::DirectPath,
        Self::Snapshot,
        Self::SnapshotDrop,
    ];

    /// The name of the reason in metrics and in the decision log.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::ProbeInStream => "probe_in_stream",
            Self::ProbeInPrefill => "probe_in_prefill",
            Self::BeforeMove => "before_move",
            Self::PromptSearch => "prompt_search",
            Self::Identity => "identity",
            Self::BeforeSend => "before_send",
            Self::StartTime => "start_time",
            Self::Successor => "successor",
            Self::ExitCheck => "exit_check",
            Self::DirectPath => "direct_path",
            Self::Snapshot => "snapshot",
            Self::SnapshotDrop => "snapshot_drop",
        }
    }
}
