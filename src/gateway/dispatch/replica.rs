//! Replicas of an attempt's KV memory: their hosts, their locations and their lifetimes.

use std::net::SocketAddr;

use super::event::SnapshotName;
use crate::schema::{EndpointIncarnation, Micros};

/// Where an endpoint fetches the KV memory that it resumes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaLocation {
    /// For a mirror the address of its host; for a snapshot that of the engine that took it and
    /// named it.
    pub address: SocketAddr,
    /// Name of a snapshot; `None` for a mirror, which is identified by the request's id.
    pub name: Option<SnapshotName>,
}

/// A replica that another attempt can resume from.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Replica {
    /// The endpoint that holds the replica; a restart of it loses the replica.
    pub host: EndpointIncarnation,
    pub location: ReplicaLocation,
    /// The host keeps the replica until then.
    pub expires_at: Micros,
}

/// A snapshot that this box requested during an attempt.
#[derive(Clone, Debug)]
pub(super) struct Snapshot {
    /// The endpoint that holds the snapshot; a restart of it loses the snapshot.
    pub host: EndpointIncarnation,
    /// `None` until the snapshot is taken.
    pub name: Option<SnapshotName>,
    /// Time of a request that is not answered yet.
    pub requested_at: Option<Micros>,
    /// Time of the last successful snapshot; that of the first request until then.
    pub taken_at: Micros,
    /// Tokens of KV memory that are counted for the snapshot at its host.
    pub memory: u32,
}
