//! Which software versions each service has, and had as long as its streams last.
//!
//! A service counts as having one version only once no stream can be left of any other: a version
//! that has gone counts for the lifetime of a stream after its last endpoint was listed.
//!
//! Boxes see a new version at different times. A box that has not seen it takes the service for one
//! of a single version and looks nothing up, so no stream may begin at a new version until all boxes
//! know of it, or know that they may have missed it. Versions newer than [`VERSION_SETTLE_TIME`] are
//! therefore newcomers: they take streams only where no other version has an endpoint. An engine that
//! answers before any list has named it has a version that is not known. It takes streams where no
//! other engine is known to live, and counts as a version of its own until a list names it: all boxes
//! hear of it before it can have sent an event ([`crate::gateway::dispatch::fleet::identities`]).
//!
//! Input: the endpoint list, whenever it changes. State: for each service its versions, since when,
//! and when they went.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::gateway::dispatch::fleet::Fleet;
use crate::schema::{Micros, ServiceId, VersionId};

/// Time for which a new version is a newcomer: longer than lists take to reach all boxes, and than a
/// box takes to notice that it is cut off from the others.
pub const VERSION_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time after a version came in which no stream can have begun there, at any box: less than
/// [`VERSION_SETTLE_TIME`] by what boxes differ in when they see it.
pub const PRESUMED_FOR: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug)]
struct SeenVersion {
    /// When this box first saw it; [`Micros::ZERO`] if it was in the first list.
    since: Micros,
    /// When its last endpoint went; `None` while one is listed.
    gone_at: Option<Micros>,
    /// The last list that named it.
    list: u64,
    /// Whether this box saw it as soon as other boxes did.
    is_prompt: bool,
}

impl SeenVersion {
    fn matters(&self, lifetime: Duration, now: Micros) -> bool {
        self.gone_at.is_none_or(|at| now.since(at) < lifetime)
    }
}

#[derive(Debug, Default)]
struct ServiceHistory {
    versions: BTreeMap<VersionId, SeenVersion>,
    newcomers: BTreeSet<VersionId>,
    /// Those of them that a list has named.
    settling: BTreeSet<VersionId>,
    /// When an engine was last known that no list has named.
    last_unlisted: Option<Micros>,
}

impl ServiceHistory {
    /// Number of versions. Those that no list has named may be any number of others, so a service that
    /// has some has several.
    fn count(&self, lifetime: Duration, now: Micros) -> usize {
        let versions = self.versions.iter();
        let counted = versions.filter(|(_, v)| v.matters(lifetime, now));
        let (unlisted, named): (Vec<_>, Vec<_>) = counted.partition(|(id, _)| id.is_unlisted());
        if unlisted.is_empty() {
            named.len()
        } else {
            named.len().max(1) + 1
        }
    }

    /// Decides which versions are newcomers: those that no list has named, and those that came lately
    /// while an older one is listed.
    fn settle(&mut self, now: Micros) {
        let listed = || self.versions.iter().filter(|(_, v)| v.gone_at.is_none());
        let named = listed().filter(|(id, _)| !id.is_unlisted());
        let oldest = named.map(|(_, seen)| seen.since).min();
        let is_new = |since: Micros| {
            oldest.is_some_and(|oldest| since > oldest) && now.since(since) < VERSION_SETTLE_TIME
        };
        let newcomers = listed().filter(|(id, seen)| id.is_unlisted() || is_new(seen.since));
        let newcomers: BTreeSet<VersionId> = newcomers.map(|(id, _)| id.clone()).collect();
        let named = newcomers.iter().filter(|id| !id.is_unlisted());
        self.settling = named.cloned().collect();
        self.newcomers = newcomers;
    }
}

/// The versions by which incarnations were known before a list named them that it names now.
fn named_incarnations(fleet: &Fleet) -> BTreeSet<VersionId> {
    let named = fleet.iter().filter(|e| !e.spec.version.is_unlisted());
    let unlisted = named.flat_map(|e| {
        let by_id = VersionId::unlisted(&e.spec.id.clone().into());
        let by_start = VersionId::unlisted(&e.spec.incarnation());
        let has_start = e.spec.born.is_some();
        std::iter::once(by_start).chain((!has_start).then_some(by_id))
    });
    unlisted.collect()
}

/// The versions of all services.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<ServiceId, ServiceHistory>,
    lists: u64,
}

impl VersionHistory {
    /// Applies the endpoint list as it is now; returns the services that have had one version only
    /// and now have several. `lifetime` is how long a version matters that has gone; `is_prompt` means
    /// that this box had no older list than others lately.
    pub fn observe(
        &mut self,
        fleet: &Fleet,
        lifetime: Duration,
        is_prompt: bool,
        now: Micros,
    ) -> Vec<ServiceId> {
        self.lists += 1;
        let before: BTreeMap<ServiceId, usize> = self
            .services
            .iter()
            .map(|(service, history)| (service.clone(), history.count(lifetime, now)))
            .collect();
        for endpoint in fleet.iter().filter(|e| e.listed) {
            let spec = &endpoint.spec;
            self.see(&spec.service, &spec.version, is_prompt, now);
        }
        let named = named_incarnations(fleet);
        for history in self.services.values_mut() {
            if history.versions.keys().any(VersionId::is_unlisted) {
                history.last_unlisted = Some(now);
            }
            // What a list has named since was of the version that it names.
            history.versions.retain(|id, _| !named.contains(id));
            for seen in history.versions.values_mut() {
                if seen.list != self.lists {
                    seen.gone_at.get_or_insert(now);
                }
            }
            history
                .versions
                .retain(|_, seen| seen.matters(lifetime, now));
            history.settle(now);
        }
        let was_sole = |service: &ServiceId| before.get(service).is_none_or(|count| *count <= 1);
        let mixed = self
            .services
            .iter()
            .filter(|(service, history)| was_sole(service) && history.count(lifetime, now) > 1);
        mixed.map(|(service, _)| service.clone()).collect()
    }

    fn see(&mut self, service: &ServiceId, version: &VersionId, is_prompt: bool, now: Micros) {
        let known = self.services.get_mut(service);
        let since = if known.is_some() { now } else { Micros::ZERO };
        let is_first_list = self.lists == 1;
        if let Some(seen) = known.and_then(|history| history.versions.get_mut(version)) {
            seen.list = self.lists;
            seen.gone_at = None;
            return;
        }
        let seen = SeenVersion {
            since: if is_first_list { Micros::ZERO } else { since },
            gone_at: None,
            list: self.lists,
            is_prompt,
        };
        let history = self.services.entry(service.clone()).or_default();
        history.versions.insert(version.clone(), seen);
    }

    /// Whether a service has had at most one version for the lifetime of a stream.
    #[must_use]
    pub fn is_sole(&self, service: &ServiceId, lifetime: Duration, now: Micros) -> bool {
        let history = self.services.get(service);
        history.is_none_or(|history| history.count(lifetime, now) <= 1)
    }

    /// The services of which a list has named endpoints.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }

    /// Adds a version that left before this box had its first list; returns whether the service
    /// counts as having several versions only since then.
    pub fn note_earlier(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        lifetime: Duration,
        now: Micros,
    ) -> bool {
        let Some(history) = self.services.get_mut(service) else {
            return false;
        };
        let was_sole = history.count(lifetime, now) <= 1;
        let seen = SeenVersion {
            since: Micros::ZERO,
            gone_at: Some(now),
            list: 0,
            is_prompt: false,
        };
        history.versions.entry(version.clone()).or_insert(seen);
        was_sole && history.count(lifetime, now) > 1
    }

    /// Some version of a service that is listed.
    #[must_use]
    pub fn any_version(&self, service: &ServiceId) -> Option<&VersionId> {
        let versions = self.services.get(service)?.versions.iter();
        let mut listed = versions.filter(|(id, v)| v.gone_at.is_none() && !id.is_unlisted());
        listed.next().map(|(id, _)| id)
    }

    /// The services that have several versions.
    #[must_use]
    pub fn mixed(&self, lifetime: Duration, now: Micros) -> Vec<ServiceId> {
        let services = self.services.iter();
        let mixed = services.filter(|(_, history)| history.count(lifetime, now) > 1);
        mixed.map(|(service, _)| service.clone()).collect()
    }

    /// The only version of a service at which streams can have begun so far: all others came within
    /// [`PRESUMED_FOR`], and this box saw them come in time. There is none while a stream may be left
    /// that began at an engine before a list named it: its version may be one of the others.
    #[must_use]
    pub fn settled(
        &self,
        service: &ServiceId,
        lifetime: Duration,
        now: Micros,
    ) -> Option<&VersionId> {
        let history = self.services.get(service)?;
        if history
            .last_unlisted
            .is_some_and(|at| now.since(at) < lifetime)
        {
            return None;
        }
        let is_old = |v: &SeenVersion| !v.is_prompt || now.since(v.since) >= PRESUMED_FOR;
        let mut old = history.versions.iter().filter(|(_, seen)| is_old(seen));
        let first = old.next().map(|(id, _)| id);
        first.filter(|_| old.next().is_none())
    }

    /// The newcomers among the versions of a service that a list has named, if there are any.
    #[must_use]
    pub fn settling(&self, service: &ServiceId) -> Option<&BTreeSet<VersionId>> {
        let settling = &self.services.get(service)?.settling;
        (!settling.is_empty()).then_some(settling)
    }

    /// The newcomers among the versions of a service, if there are any.
    #[must_use]
    pub fn newcomers(&self, service: &ServiceId) -> Option<&BTreeSet<VersionId>> {
        let newcomers = &self.services.get(service)?.newcomers;
        (!newcomers.is_empty()).then_some(newcomers)
    }

    /// Ends the time of newcomers that have settled.
    pub fn settle(&mut self, now: Micros) {
        let services = self.services.values_mut();
        for history in services.filter(|history| !history.newcomers.is_empty()) {
            history.settle(now);
        }
    }
}
