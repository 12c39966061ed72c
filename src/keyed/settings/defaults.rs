//! The settings an entry box has when nothing else is said.

use crate::schema::SettingsFile;

/// Returns every setting with its default.
#[must_use]
pub fn defaults() -> SettingsFile {
    SettingsFile {
        box_id: Some("box-1".to_owned()),
        domain: Some("domain-1".to_owned()),
        callers: Some("127.0.0.1:8080".to_owned()),
        peers_address: Some("127.0.0.1:8081".to_owned()),
        operators: Some("127.0.0.1:8082".to_owned()),
        platform: Some("127.0.0.1:8090".to_owned()),
        domains: vec!["domain-1".to_owned()],
        seeds: Vec::new(),
        trusted_keys: Vec::new(),
        signatures_needed: Some(1),
        lease_ms: Some(3_000),
        heartbeat_ms: Some(200),
        clock_bound_ms: Some(200),
        max_body_bytes: Some(1 << 20),
        max_requests: Some(4_096),
        max_tokens_held: Some(2_000_000),
        stop_grace_ms: Some(60_000),
        timeline_events: Some(10_000),
        traffic_threads: Some(2),
        log_file: Some(String::new()),
        log_level: Some("info".to_owned()),
        recovery: Some("resume".to_owned()),
        routing: Some("cost".to_owned()),
    }
}
