//! Which bundle is in force at this box: always the greatest version that it has heard of and that
//! is signed, never a smaller one.
//!
//! The scribe of a failure domain watches the platform's pointer; all boxes say in their heartbeats
//! which version they have, so that a new one spreads without a call of the platform each, and to
//! failure domains that are cut off from the platform.

use std::sync::Arc;
use std::time::Duration;

use crate::keyed::bundle::objects::POINTER;
use crate::keyed::bundle::{Bundle, SignedBundle};
use crate::keyed::node::Node;
use crate::keyed::node::action::{Action, PlatformOp};
use crate::keyed::node::config::POINTER_READ;
use crate::keyed::node::event::{PlatformAnswer, Timer};
use crate::keyed::node::platform::Purpose;
use crate::schema::{
    BoxId, BundleFetch, BundleMark, BundlePart, BundlePointer, BundleReply, BundleVersion, Micros,
    PartHash,
};

/// How long a fetch may take before another one is begun.
const FETCH_AGAIN: Duration = Duration::from_millis(500);
/// How long a watch that ended at once is not begun again.
const WATCH_AGAIN: Duration = Duration::from_millis(300);
/// How long a box that starts waits for the platform's and its peers' word.
const START_WAIT: Duration = Duration::from_secs(2);
/// The retry horizon before a bundle says one.
const UNKNOWN_HORIZON: Duration = Duration::from_secs(600);

/// The bundle in force, and the one on its way.
#[derive(Debug, Default)]
pub struct Bundles {
    current: Option<Arc<Bundle>>,
    signed: Option<Arc<SignedBundle>>,
    fetching: Option<(BundleVersion, Micros)>,
    pointer_version: u64,
    pointer_read: bool,
    ready: bool,
    started: Option<Micros>,
    last_read: Option<Micros>,
    watching: bool,
}

impl Bundles {
    /// The bundle in force.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Bundle>> {
        self.current.clone()
    }

    /// The version in force.
    #[must_use]
    pub fn version(&self) -> Option<BundleVersion> {
        self.current.as_ref().map(|b| b.version())
    }

    /// The version in force with its hash.
    #[must_use]
    pub fn mark(&self) -> Option<BundleMark> {
        self.current.as_ref().map(|b| b.mark().clone())
    }

    /// Whether the box may serve with what it has.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// How long callers may repeat a call.
    #[must_use]
    pub fn retry_horizon(&self) -> Duration {
        self.current
            .as_ref()
            .map_or(UNKNOWN_HORIZON, |b| b.policy().retry_horizon.into())
    }
}

impl Node {
    /// Asks the platform which bundle is accepted.
    pub(super) fn start_bundles(&mut self) {
        self.bundles.started = Some(self.now);
        self.read_pointer();
        self.out.timer(Timer::Bundle, self.now.after(WATCH_AGAIN));
    }

    fn read_pointer(&mut self) {
        self.bundles.last_read = Some(self.now);
        let op = PlatformOp::Get {
            name: POINTER.to_owned(),
            known: None,
        };
        self.call_platform(op, Purpose::Pointer);
    }

    /// Watches the pointer, if this box is the one that does, or else reads it now and then.
    pub(super) fn watch_bundle(&mut self) {
        self.out.timer(Timer::Bundle, self.now.after(WATCH_AGAIN));
        self.settle_start();
        let waited = self
            .bundles
            .last_read
            .is_none_or(|at| self.now.since(at) >= POINTER_READ);
        let unread = !self.bundles.pointer_read;
        if self.membership.is_scribe() {
            if !self.bundles.watching {
                self.bundles.watching = true;
                let after = self.bundles.pointer_version;
                let op = PlatformOp::Watch {
                    name: POINTER.to_owned(),
                    after,
                };
                self.call_platform(op, Purpose::WatchPointer);
            }
        } else if waited || unread {
            self.read_pointer();
        }
    }

    /// A box that starts waits a moment for the word of the platform and of its peers, so that it
    /// doesn't begin with a version that is out of force.
    fn settle_start(&mut self) {
        let started = self.bundles.started.unwrap_or(self.now);
        let waited = self.now.since(started) >= START_WAIT;
        if self.bundles.current.is_some()
            && (self.bundles.pointer_read || waited)
            && !self.bundles.ready
        {
            self.bundles.ready = true;
            let me = self.cfg.me.id.clone();
            self.out.note("box_ready", me, "");
        }
    }

    /// The platform said which bundle is accepted.
    pub(super) fn on_pointer(&mut self, answer: PlatformAnswer, watched: bool) {
        if watched {
            self.bundles.watching = false;
        }
        match answer {
            PlatformAnswer::Object(object) => {
                self.bundles.pointer_read = true;
                let Ok(pointer) = serde_json::from_str::<BundlePointer>(&object.value) else {
                    return self.out.note("pointer_unreadable", POINTER, "");
                };
                self.bundles.pointer_version = object.version.max(self.bundles.pointer_version);
                self.fetch_from_platform(&pointer.bundle);
            }
            PlatformAnswer::Missing | PlatformAnswer::Unchanged => self.bundles.pointer_read = true,
            _ => {}
        }
        self.settle_start();
    }

    fn wants(&mut self, mark: &BundleMark) -> bool {
        if self.bundles.version().is_some_and(|v| v >= mark.version) {
            return false;
        }
        let under_way = self.bundles.fetching.is_some_and(|(version, since)| {
            version >= mark.version && self.now.since(since) < FETCH_AGAIN
        });
        if !under_way {
            self.bundles.fetching = Some((mark.version, self.now));
        }
        !under_way
    }

    fn fetch_from_platform(&mut self, mark: &BundleMark) {
        if self.wants(mark) {
            self.out.push(Action::FetchBundle {
                mark: mark.clone(),
                from_peer: None,
            });
        }
    }

    /// Asks a peer for a bundle that it has.
    pub(super) fn fetch_from_peer(&mut self, peer: &BoxId, mark: &BundleMark) {
        if !self.wants(mark) {
            return;
        }
        let have = self.bundles.signed.as_ref().map_or_else(Vec::new, |s| {
            s.parts
                .keys()
                .filter_map(|hash| hash.parse().ok())
                .collect()
        });
        if let Some(member) = self.member(peer) {
            self.out.send(
                &member,
                BundleFetch {
                    version: mark.version,
                    have,
                },
            );
        }
    }

    /// A peer asks for a bundle.
    pub(super) fn on_bundle_fetch(&mut self, from: &BoxId, fetch: &BundleFetch) {
        let (Some(signed), Some(version)) = (self.bundles.signed.clone(), self.bundles.version())
        else {
            return;
        };
        let parts = signed
            .parts
            .iter()
            .filter(|(hash, _)| {
                !fetch
                    .have
                    .iter()
                    .any(|h: &PartHash| h.as_str() == hash.as_str())
            })
            .filter_map(|(hash, body)| {
                Some(BundlePart {
                    hash: hash.parse().ok()?,
                    body: body.clone(),
                })
            })
            .collect();
        let manifest = serde_json::to_string(&signed.manifest).unwrap_or_default();
        if let Some(member) = self.member(from) {
            self.out.send(
                &member,
                BundleReply {
                    version,
                    manifest,
                    parts,
                },
            );
        }
    }

    /// A peer sent a bundle; it is checked like one from the platform.
    pub(super) fn on_bundle_reply(&mut self, reply: BundleReply) {
        if self.bundles.version().is_some_and(|v| v >= reply.version) {
            return;
        }
        let Ok(manifest) = serde_json::from_str(&reply.manifest) else {
            return;
        };
        let mut parts = self
            .bundles
            .signed
            .as_ref()
            .map_or_else(Default::default, |s| s.parts.clone());
        parts.extend(
            reply
                .parts
                .into_iter()
                .map(|p| (p.hash.to_string(), p.body)),
        );
        let signed = SignedBundle { manifest, parts };
        let hash = crate::keyed::bundle::parts::content_hash(&signed.manifest.manifest);
        let mark = BundleMark {
            version: reply.version,
            hash,
        };
        self.out.push(Action::FetchBundle {
            mark,
            from_peer: Some(Arc::new(signed)),
        });
    }

    /// A bundle was fetched and holds.
    pub(super) fn on_bundle(&mut self, bundle: Arc<Bundle>, signed: Arc<SignedBundle>) {
        if self
            .bundles
            .version()
            .is_some_and(|v| v >= bundle.version())
        {
            return;
        }
        self.stats.bundles += 1;
        self.out.note("bundle_in_force", bundle.version(), "");
        self.endpoints.adopt(&bundle);
        self.bundles.current = Some(bundle);
        self.bundles.signed = Some(signed);
        self.bundles.fetching = None;
        self.settle_start();
        self.dispatch_all();
    }

    /// A bundle could not be fetched or must not be used.
    pub(super) fn on_bundle_failed(&mut self, version: BundleVersion, reason: &str) {
        self.out.note("bundle_refused", version, reason);
        self.bundles.pointer_version = 0;
    }
}
