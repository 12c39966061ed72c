//! Formats records as text for people.

use super::Record;

impl Record {
    /// Describes the record in one sentence.
    #[must_use]
    pub fn sentence(&self) -> String {
        match self {
            Self::Arrived { .. }
            | Self::Waiting { .. }
            | Self::Begun { .. }
            | Self::Resumed { .. }
            | Self::Answered { .. }
            | Self::CallerGone { .. }
            | Self::Refused { .. } => self.request_sentence(),
            Self::Held { .. } => self.held_sentence(),
            Self::Unanswered { .. } => self.unanswered_sentence(),
            Self::StreamVersion { .. } => self.version_sentence(),
            Self::Sent { .. }
            | Self::Retry { .. }
            | Self::Relayed { .. }
            | Self::Ended { .. }
            | Self::Copied { .. }
            | Self::Suspected { .. }
            | Self::Crashed { .. } => self.attempt_sentence(),
            Self::TableInForce { .. } | Self::TableRead { .. } | Self::TableFetched { .. } => {
                self.table_sentence()
            }
            Self::Endpoint { .. }
            | Self::Endpoints { .. }
            | Self::Reborn { .. }
            | Self::Checks { .. }
            | Self::Limited { .. }
            | Self::RestAsked { .. }
            | Self::LeavingStated { .. }
            | Self::EngineSpeeds { .. } => self.endpoint_sentence(),
            Self::Quarantined {
                fingerprint,
                crashes,
            } => format!("{fingerprint} is quarantined, crashes that count: {crashes}"),
            Self::Released { fingerprint } => format!("{fingerprint} is no longer quarantined"),
            Self::Rollout {
                service,
                target,
                phase,
                why,
            } => format!("roll-out of {service} to {target}: {phase}, {why}"),
            Self::Process { state, detail } => format!("{state} {detail}"),
        }
    }

    fn endpoint_sentence(&self) -> String {
        match self {
            Self::Endpoint { endpoint, state } => format!("{endpoint} {state}"),
            Self::Endpoints {
                at,
                present,
                leaving,
                absent,
                unreadable,
            } => format!(
                "endpoints at {at}: {present} present, {leaving} leaving, {absent} absent, \
                 {unreadable} unreadable"
            ),
            Self::Checks { counts } => format!("checks of endpoints: {counts:?}"),
            Self::Reborn { endpoint, born, .. } => {
                format!(
                    "{endpoint} has restarted, start time {}",
                    born.unwrap_or_default()
                )
            }
            Self::Limited {
                endpoint,
                per_second,
            } => match per_second {
                Some(rate) => {
                    format!("{endpoint} accepts {rate} requests per second from all boxes")
                }
                None => format!("{endpoint} no longer announces a limit"),
            },
            Self::RestAsked { endpoint, for_ms } => {
                format!("{endpoint} wants no request from this box for {for_ms} ms")
            }
            Self::LeavingStated { endpoint } => format!("{endpoint} says that it is leaving"),
            Self::EngineSpeeds {
                service,
                differing,
                known,
                median,
            } => format!(
                "{differing} of {known} engines of {service} differ from {median:.1} tokens/ms"
            ),
            _ => String::new(),
        }
    }

    fn version_sentence(&self) -> String {
        let Self::StreamVersion {
            resumes,
            version,
            source,
            age_ms,
            after_ms,
            ..
        } = self
        else {
            return String::new();
        };
        let stream = match resumes {
            Some(began) => format!("continues the stream that {began} began"),
            None => "continues a stream without naming the attempt that began it".to_owned(),
        };
        let known = match (version, source.as_ref()) {
            (Some(version), source) => {
                let age = age_ms.map_or(String::new(), |ms| format!(", {ms} ms old"));
                format!("at version {version}, by {source}{age}")
            }
            (None, "sole") => "whose service has had one version only".to_owned(),
            (None, _) => "whose version no box knows".to_owned(),
        };
        format!("{stream} {known}, {after_ms} ms after the arrival")
    }

    fn table_sentence(&self) -> String {
        match self {
            Self::TableInForce { version } => format!("table {version} in force"),
            Self::TableRead {
                version,
                from,
                bytes,
                check_ms,
                age_ms,
                ..
            } => format!(
                "table {version} from {from}, {bytes} bytes, checked in {check_ms} ms, \
                 {age_ms} ms after the store answered"
            ),
            Self::TableFetched {
                from,
                after,
                bytes,
                after_ms,
                outcome,
            } => format!(
                "fetch of a table newer than {after} from {from}: {outcome}, {bytes} bytes in \
                 {after_ms} ms"
            ),
            _ => String::new(),
        }
    }

    fn request_sentence(&self) -> String {
        match self {
            Self::Arrived {
                route,
                table,
                prompt,
                fingerprint,
                tier,
                ..
            } => format!(
                "arrived for route {route}, table {table}, prompt of {prompt} tokens, fingerprint \
                 {fingerprint}{}",
                of_tier(*tier)
            ),
            Self::Waiting { tier, place, .. } => format!(
                "waits for room at an engine{}; requests before it: {place}",
                of_tier(*tier)
            ),
            Self::Begun {
                endpoint, after_ms, ..
            } => format!("first event from {endpoint}, {after_ms} ms after the arrival"),
            Self::Resumed {
                endpoint, pause_ms, ..
            } => format!("resumed at {endpoint} after a pause of {pause_ms} ms"),
            Self::Answered {
                after_ms, attempts, ..
            } => format!("answered after {after_ms} ms, attempts: {attempts}"),
            Self::CallerGone { after_ms, .. } => format!("caller disconnected after {after_ms} ms"),
            Self::Refused {
                reason,
                after_ms,
                attempts,
                fault,
                waited_ms,
                ..
            } => {
                let waited = waited(*waited_ms);
                let fault = fault.map_or(String::new(), |f| format!(", last fault: {f:?}"));
                let reason = reason.word();
                format!(
                    "given up after {after_ms} ms: {reason}, attempts: {attempts}{waited}{fault}"
                )
            }
            _ => String::new(),
        }
    }

    fn held_sentence(&self) -> String {
        let Self::Held {
            holder,
            after_ms,
            place,
            wait_ms,
            run_ms,
            grace_ms,
            ..
        } = self
        else {
            return String::new();
        };
        let place = place.map_or(String::new(), |place| {
            format!(", requests before it: {place}")
        });
        let wait = wait_ms.map_or(String::new(), |ms| format!(", estimated wait {ms} ms"));
        format!(
            "waits for {holder} at a stopping box, {after_ms} ms after the arrival{place}{wait}; \
             expected run {run_ms} ms, {grace_ms} ms left"
        )
    }

    fn unanswered_sentence(&self) -> String {
        let Self::Unanswered {
            ended_by,
            holder,
            after_ms,
            table,
            table_in_force,
            ..
        } = self
        else {
            return String::new();
        };
        let version = |table: &Option<u64>| table.map_or("none".to_owned(), |v| v.to_string());
        format!(
            "ended without a complete answer after {after_ms} ms, by {}, while it was held by {}; \
             table at its admission: {}, table in force: {}",
            ended_by.word(),
            holder.word(),
            version(table),
            version(table_in_force)
        )
    }

    fn attempt_sentence(&self) -> String {
        match self {
            Self::Sent { .. } => self.sent_sentence(),
            Self::Relayed { relay, .. } => format!("through the box at {relay}"),
            Self::Retry { cause, result, .. } => {
                format!("retry after an attempt that ended with {cause}: {result}")
            }
            Self::Ended { .. } => self.ended_sentence(),
            Self::Copied {
                holder,
                is_made,
                after_ms,
                failure,
                ..
            } => {
                let taken = if *is_made { "taken" } else { "not taken" };
                let why = failure.map(|failure| format!(": {failure}"));
                let why = why.unwrap_or_default();
                format!("snapshot {taken} at {holder} after {after_ms} ms{why}")
            }
            Self::Suspected {
                endpoint,
                silent_ms,
                ..
            } => format!("abandoned {endpoint} after {silent_ms} ms without any data"),
            Self::Crashed {
                endpoint,
                beside,
                fell_with_domain,
                counted,
                ..
            } => {
                let fell = if *fell_with_domain {
                    ", together with others of its failure domain"
                } else {
                    ""
                };
                format!(
                    "{endpoint} crashed while running it{fell}; concurrent requests: {beside}, crashes that count: {counted}"
                )
            }
            _ => String::new(),
        }
    }

    fn sent_sentence(&self) -> String {
        let Self::Sent {
            attempt,
            endpoint,
            domain,
            backup,
            from_backup,
            after_event,
            reading,
            running,
            left_ms,
            waited_ms,
            version,
            doubt,
            ..
        } = self
        else {
            return String::new();
        };
        let doubt = doubt
            .as_ref()
            .map_or(String::new(), |word| format!(", though {word}"));
        let from = if *from_backup { " from a replica" } else { "" };
        let after = after_event.map_or(String::new(), |e| format!(" after event {e}"));
        let mirror = backup.as_deref().unwrap_or("none");
        let version = version
            .as_ref()
            .map_or(String::new(), |v| format!(" ({v})"));
        format!(
            "attempt {attempt} at {endpoint}{version} in {domain}{doubt}{from}{after}, mirror: {mirror}; \
             running there: {running}, prompt tokens waiting: {reading}; {left_ms} ms left{}",
            waited(*waited_ms)
        )
    }

    fn ended_sentence(&self) -> String {
        let Self::Ended {
            attempt,
            endpoint,
            outcome,
            status,
            after_ms,
            last_event,
            ..
        } = self
        else {
            return String::new();
        };
        let status = match status {
            0 => String::new(),
            status => format!(", status {status}"),
        };
        let last = last_event.map_or(String::new(), |e| format!(", last event {e}"));
        format!(
            "attempt {attempt} at {endpoint} ended after {after_ms} ms: {outcome}{status}{last}"
        )
    }
}

fn of_tier(tier: Option<u8>) -> String {
    tier.map_or(String::new(), |rank| format!(", tier {rank}"))
}

fn waited(waited_ms: Option<u64>) -> String {
    waited_ms.map_or(String::new(), |ms| {
        format!(", after a wait of {ms} ms for room")
    })
}
