//! The roster of a failure domain: which boxes it has and which of them holds each slice.
//!
//! A roster is one object of the platform, changed only by conditional update; its version is the
//! epoch. These functions compute the next roster from the present one. A slice that moves keeps
//! its former holders in a list until its new home has cleared them, so that a chain of changes
//! forgets no one who might still act.

use crate::rendezvous;
use crate::schema::{
    BoxId, DomainId, Holding, Incarnation, Member, RequestKey, Roster, Slice, SliceId,
};

/// How many slices a failure domain's keys are spread over.
pub const SLICES: u16 = 64;

/// The slice whose home writes the domain's deferrable work.
pub const SCRIBE_SLICE: SliceId = SliceId(0);

/// Returns the slice that a key falls into.
#[must_use]
pub fn slice_of(key: &RequestKey) -> SliceId {
    let place = rendezvous::item(key) % u64::from(SLICES);
    SliceId(u16::try_from(place).unwrap_or(0))
}

/// Returns the roster with a box added, or renewed in its present life.
#[must_use]
pub fn join(present: Option<&Roster>, domain: &DomainId, me: &Member, mark: u64) -> Roster {
    let mut members: Vec<Member> = present.map_or_else(Vec::new, |r| r.members.clone());
    members.retain(|m| m.id != me.id);
    members.push(me.clone());
    members.sort_by(|a, b| a.id.cmp(&b.id));
    next(present, domain, members, &me.id, mark)
}

/// Returns the roster without some boxes.
#[must_use]
pub fn remove(
    present: &Roster,
    gone: &[(BoxId, Incarnation)],
    writer: &BoxId,
    mark: u64,
) -> Roster {
    let mut members = present.members.clone();
    members.retain(|m| {
        !gone
            .iter()
            .any(|(id, life)| id == &m.id && *life == m.incarnation)
    });
    next(Some(present), &present.domain, members, writer, mark)
}

/// Returns the roster in which the slices that `home` has opened have no former holders any more.
#[must_use]
pub fn settle(present: &Roster, home: &BoxId, open: &[SliceId], mark: u64) -> Roster {
    let mut roster = present.clone();
    for id in open {
        let slice = &mut roster.slices[usize::from(id.0)];
        if &slice.home == home {
            slice.former.clear();
        }
    }
    roster.writer = home.clone();
    roster.mark = mark;
    roster
}

fn next(
    present: Option<&Roster>,
    domain: &DomainId,
    members: Vec<Member>,
    writer: &BoxId,
    mark: u64,
) -> Roster {
    let slices = (0..SLICES)
        .map(|place| {
            let before = present.and_then(|r| r.slices.get(usize::from(place)).map(|s| (r, s)));
            next_slice(before, &members, place, writer)
        })
        .collect();
    Roster {
        domain: domain.clone(),
        members,
        slices,
        writer: writer.clone(),
        mark,
    }
}

fn next_slice(
    before: Option<(&Roster, &Slice)>,
    members: &[Member],
    place: u16,
    writer: &BoxId,
) -> Slice {
    let names: Vec<&str> = members.iter().map(|m| m.id.as_str()).collect();
    let ranked = rendezvous::rank(&names, u64::from(place));
    let member = |name: &str| members.iter().find(|m| m.id.as_str() == name);
    let home = ranked.first().and_then(|n| member(n));
    let successor = ranked.get(1).and_then(|n| member(n)).map(|m| m.id.clone());
    let Some((roster, slice)) = before else {
        let home = home.map_or_else(|| writer.clone(), |m| m.id.clone());
        return Slice {
            home,
            successor,
            term: 1,
            former: Vec::new(),
        };
    };
    let Some(home) = home else {
        // No box is left; the last home stays named, so that whoever comes next clears it.
        return Slice {
            home: slice.home.clone(),
            successor: None,
            term: slice.term + 1,
            former: former_after(roster, slice),
        };
    };
    let moved =
        slice.home != home.id || life(&roster.members, &slice.home) != Some(home.incarnation);
    let life_of = |members, id: &Option<BoxId>| id.as_ref().and_then(|id| life(members, id));
    let succeeded = slice.successor != successor
        || life_of(&roster.members, &slice.successor) != life_of(members, &successor);
    let former = if moved {
        former_after(roster, slice)
    } else {
        slice.former.clone()
    };
    Slice {
        home: home.id.clone(),
        successor,
        term: slice.term + u64::from(moved || succeeded),
        former,
    }
}

fn life(members: &[Member], id: &BoxId) -> Option<Incarnation> {
    members.iter().find(|m| &m.id == id).map(|m| m.incarnation)
}

/// The former holders once the present home has lost the slice.
fn former_after(roster: &Roster, slice: &Slice) -> Vec<Holding> {
    let mut former = slice.former.clone();
    let Some(incarnation) = life(&roster.members, &slice.home) else {
        return former;
    };
    let holding = Holding {
        home: slice.home.clone(),
        incarnation,
        successor: slice.successor.clone(),
        term: slice.term,
    };
    former.push(holding);
    former
}
