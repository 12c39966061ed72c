//! Request rate limits set by endpoints: how rates are parsed, which limits a box knows, and how the owner of a limit
//! allocates permits.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::net::SocketAddr;
use std::time::Duration;

use fixtures::{QUOTES, World, box_state, endpoint, listed, records};
use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::{AttemptNumber, Event, Outcome, RequestNumber};
use magpiemoor::gateway::dispatch::fleet::directives::limits::{
    Limits, PERMIT_LIFETIME, RequestRate,
};
use magpiemoor::gateway::dispatch::fleet::directives::{AnswerDirectives, StatedLimit};
use magpiemoor::gateway::dispatch::permits::allocator::{PermitAllocator, PermitRequester};
use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::rendezvous;
use magpiemoor::schema::{
    DomainSize, EndpointId, EndpointIncarnation, LimitReport, LimitUpdate, Micros, PermitGrant,
    PermitRequest,
};
use rstest::rstest;

#[rstest]
#[case::whole("3", 3_000)]
#[case::decimal("1.9", 1_900)]
#[case::spaces(" 0.25 ", 250)]
#[case::none("0", 0)]
#[case::thousandths("0.0014", 1)]
#[case::beyond_what_is_kept("1e12", u32::MAX)]
fn a_rate_is_a_decimal_number(#[case] text: &str, #[case] milli: u32) {
    let rate: RequestRate = text.parse().unwrap();
    assert_eq!(rate, RequestRate::from_milli(milli));
    let again: RequestRate = rate.to_string().parse().unwrap();
    assert_eq!(again, rate);
}

#[rstest]
#[case::nothing("")]
#[case::negative("-1")]
#[case::not_a_number("NaN")]
#[case::infinite("inf")]
#[case::words("a few")]
fn an_invalid_rate_is_refused(#[case] text: &str) {
    let refused = text.parse::<RequestRate>().unwrap_err();
    assert!(refused.to_string().contains("decimal number"), "{refused}");
}

/// The event after an answer that states this limit, or none.
fn limit_in_answer(
    request: RequestNumber,
    attempt: AttemptNumber,
    limit: Option<RequestRate>,
) -> Event {
    let limit = limit.map_or(StatedLimit::None, StatedLimit::Rate);
    Event::DirectivesRead {
        request,
        attempt,
        directives: AnswerDirectives {
            limit,
            ..AnswerDirectives::default()
        },
    }
}

fn rate(text: &str) -> RequestRate {
    text.parse().unwrap()
}

#[test]
fn a_limit_is_recorded_when_it_is_set_changes_and_ends() {
    let mut world = World::ready();
    // All are sent before any limit is set, so none needs a permit.
    let mut sent = Vec::new();
    while sent.len() < 6 {
        let (request, attempt) = world.arrive(QUOTES);
        sent.extend(
            attempt
                .filter(|a| &*a.endpoint == "till-n1")
                .map(|a| (request, a.attempt)),
        );
    }
    let mut recorded = Vec::new();
    let named = [None, Some("3"), Some("3"), Some("1.9"), None, None];
    for ((request, attempt), limit) in sent.into_iter().zip(named) {
        let limit = limit.map(rate);
        world.handle(limit_in_answer(request, attempt, limit));
        recorded.extend(records(&world.actions).into_iter().cloned());
        world.end(request, attempt, Outcome::Answered { status: 200 });
    }
    let limits: Vec<Option<f64>> = recorded
        .iter()
        .filter_map(|record| match record {
            Record::Limited { per_second, .. } => Some(*per_second),
            _ => None,
        })
        .collect();
    assert_eq!(limits, [Some(3.0), Some(1.9), None]);
}

/// A restarted server reports its limit again: the limit of the previous incarnation no longer applies.
#[test]
fn a_limit_ends_with_the_incarnation_that_set_it() {
    let mut world = World::ready();
    let (request, sent) = world.arrive(QUOTES);
    let sent = sent.unwrap();
    world.handle(limit_in_answer(request, sent.attempt, Some(rate("1"))));
    assert_eq!(world.dispatcher.fleet().directives.limits.count(), 1);
    let others = fixtures::endpoints();
    let others = others.into_iter().filter(|e| e.id != sent.endpoint);
    world.handle(listed(others.collect()));
    world.end(request, sent.attempt, Outcome::Answered { status: 200 });
    assert_eq!(world.dispatcher.fleet().directives.limits.count(), 0);
    let mut again = endpoint("till-n1", "till", "north", 9_101);
    again.revision = 9;
    world.handle(listed(vec![again]));
    assert_eq!(world.dispatcher.fleet().directives.limits.count(), 0);
}

fn report(endpoint: &str, milli: Option<u32>, age_ms: u32) -> LimitReport {
    LimitReport {
        endpoint: endpoint.parse().unwrap(),
        milli_per_second: milli,
        age_ms,
    }
}

const AT: Micros = Micros(100_000_000);

fn limits_after_answer(milli: Option<u32>) -> Limits {
    let mut limits = Limits::default();
    let incarnation = "till-n1".parse().unwrap();
    limits.on_answer(&incarnation, Some(RequestRate::from_milli(5_000)), AT);
    limits.on_answer(&incarnation, milli.map(RequestRate::from_milli), AT);
    limits
}

#[rstest]
#[case::newer(Some(3_000), 0, 200, Some(3_000))]
#[case::an_end(None, 0, 200, None)]
#[case::older(Some(3_000), 500, 200, Some(1_900))]
#[case::within_the_network_delay(Some(3_000), 10, 50, Some(1_900))]
fn the_newer_of_two_reports_counts(
    #[case] reported: Option<u32>,
    #[case] age_ms: u32,
    #[case] after_ms: u64,
    #[case] then: Option<u32>,
) {
    let mut limits = limits_after_answer(Some(1_900));
    let now = AT.after(Duration::from_millis(after_ms));
    let is_newer = limits.on_peer_report(&report("till-n1", reported, age_ms), now);
    let id = "till-n1".parse().unwrap();
    assert_eq!(limits.of(&id).map(RequestRate::milli), then);
    assert_eq!(is_newer, then != Some(1_900));
}

#[test]
fn an_older_report_does_not_restore_a_limit() {
    let mut limits = limits_after_answer(None);
    let id = "till-n1".parse().unwrap();
    let now = AT.after(Duration::from_secs(20));
    limits.forget_expired(now);
    assert!(!limits.on_peer_report(&report("till-n1", Some(1_900), 21_000), now));
    assert_eq!(limits.of(&id), None);
    let now = AT.after(Duration::from_secs(31));
    limits.forget_expired(now);
    assert!(limits.is_empty());
    assert!(!limits.on_peer_report(&report("till-n1", Some(1_900), 31_000), now));
    assert_eq!(limits.of(&id), None);
}

#[test]
fn a_permit_serves_one_request_and_expires() {
    let mut limits = limits_after_answer(Some(1_900));
    let id: EndpointId = "till-n1".parse().unwrap();
    let incarnation: EndpointIncarnation = "till-n1".parse().unwrap();
    assert!(!limits.may_send(&id, AT));
    limits.on_granted(&incarnation, 2, AT);
    assert!(limits.may_send(&id, AT));
    assert!(limits.on_sent(&id, AT));
    assert!(limits.may_send(&id, AT));
    let expired = AT.after(PERMIT_LIFETIME);
    assert!(!limits.may_send(&id, expired));
    let other = "till-s1".parse().unwrap();
    assert!(limits.may_send(&other, AT), "the endpoint has no limit");
    assert!(!limits.on_sent(&other, AT), "no permit was needed");
}

fn requester(port: u16, wanted: u32) -> PermitRequester {
    PermitRequester {
        reply_to: ([127, 0, 0, 1], port).into(),
        wanted,
    }
}

/// In any four seconds no more permits are allocated than the limit allows plus the burst.
#[rstest]
#[case::slow(400)]
#[case::medium(1_900)]
#[case::fast(30_000)]
fn an_allocator_allocates_what_the_limit_allows(#[case] milli: u32) {
    let rate = RequestRate::from_milli(milli);
    let mut allocator = PermitAllocator::new(AT);
    let mut allocated = Vec::new();
    for step in 0..6_000_u64 {
        let now = AT.after(Duration::from_millis(step * 5));
        // No box requests permits for a while, then all do.
        if step % 2_000 > 1_000 {
            allocator.on_request(requester(1, 40), now);
            allocator.on_request(requester(2, 40), now);
        }
        let count: u32 = allocator.allocate(rate, now).iter().map(|a| a.wanted).sum();
        allocated.extend(std::iter::repeat_n(now, count as usize));
    }
    let window = Duration::from_secs(4);
    let most = allocated.iter().map(|last| {
        let within = allocated.iter().filter(|at| **at <= *last);
        within.filter(|at| last.since(**at) < window).count()
    });
    let most = most.max().unwrap_or_default() as f64;
    let allowed = rate.per_second() * 4.0;
    assert!(
        most <= allowed + (rate.per_second() * 0.25).max(2.0) + 1.0,
        "{most} of {allowed}"
    );
    assert!(most >= allowed * 0.9, "{most} of {allowed}");
}

#[test]
fn an_allocator_serves_the_latest_requester_and_drops_old_requests() {
    let rate = RequestRate::from_milli(2_000);
    let mut allocator = PermitAllocator::new(AT);
    let at = |ms| AT.after(Duration::from_millis(ms));
    allocator.on_request(requester(1, 1), at(300));
    allocator.on_request(requester(2, 1), at(440));
    assert_eq!(allocator.allocate(rate, at(440)), []);
    assert_eq!(allocator.due(rate), Some(at(500)));
    assert_eq!(allocator.allocate(rate, at(500)), [requester(2, 1)]);
    assert_eq!(allocator.due(rate), None, "the first request is too old");
}

#[test]
fn a_paused_allocator_allocates_nothing_and_accumulates_nothing() {
    let rate = RequestRate::from_milli(10_000);
    let mut allocator = PermitAllocator::new(AT);
    let until = AT.after(Duration::from_secs(4));
    allocator.pause_until(until);
    for ms in (0..4_000).step_by(50) {
        let now = AT.after(Duration::from_millis(ms));
        allocator.on_request(requester(1, 9), now);
        assert_eq!(allocator.allocate(rate, now), []);
    }
    allocator.on_request(requester(1, 9), until);
    let allocated = allocator.allocate(rate, until.after(Duration::from_millis(100)));
    assert_eq!(allocated, [requester(1, 1)]);
}

/// An unpublished limit change of an endpoint that has been removed must not keep the box busy.
#[test]
fn a_box_is_idle_after_an_endpoint_with_a_changed_limit_is_removed() {
    let mut world = World::ready();
    // Boxes of the other domain allocate the permits for its endpoints.
    let mut other = box_state("box-9", "south", "127.0.0.9:7200");
    other.domains = vec![DomainSize {
        domain: "south".parse().unwrap(),
        boxes: 1,
        age_ms: 0,
    }];
    world.handle(Event::Peer(other));
    let (request, attempt) = loop {
        let (request, sent) = world.arrive(QUOTES);
        let sent = sent.unwrap();
        if &*sent.endpoint == "till-s1" {
            break (request, sent.attempt);
        }
    };
    for limit in ["3", "2"] {
        world.handle(limit_in_answer(request, attempt, Some(rate(limit))));
    }
    world.end(request, attempt, Outcome::Answered { status: 200 });
    world.handle(listed(Vec::new()));
    assert_eq!(world.dispatcher.fleet().directives.limits.count(), 0);
    world.pass(5_000);
    world.handle(Event::Tick);
    assert!(world.dispatcher.next_tick() > world.now);
}

/// A box of the same domain, at an address by which it owns the limit of an endpoint.
fn limit_owner_peer(world: &mut World, endpoint: &str) -> SocketAddr {
    let item = rendezvous::item(endpoint);
    let score = |address: &SocketAddr| rendezvous::score(&address.to_string(), item);
    let own: SocketAddr = "127.0.0.1:7200".parse().unwrap();
    let mut addresses = (2..250).map(|host| SocketAddr::from(([127, 0, 0, host], 7_200)));
    let address = addresses.find(|address| score(address) > score(&own));
    let address = address.unwrap();
    let mut state = box_state("box-2", "north", &address.to_string());
    state.beat = 1;
    world.handle(Event::Peer(state));
    address
}

/// The permit requests that a box sends, with the boxes that they go to.
fn permit_requests(actions: &[Action]) -> Vec<(Vec<SocketAddr>, PermitRequest)> {
    let requested = actions.iter().filter_map(|action| match action {
        Action::PublishLimits { to, update } => Some((to, update)),
        _ => None,
    });
    let requested = requested.flat_map(|(to, update)| {
        let asks = update.asks.iter().cloned();
        asks.map(move |request| (to.clone(), request))
    });
    requested.collect()
}

/// A box with a limited server in its domain, the box that owns the limit, and a call that used the server.
fn limited_world() -> (World, SocketAddr) {
    let mut world = World::ready();
    let owner = limit_owner_peer(&mut world, "till-n1");
    let (request, sent) = world.arrive(QUOTES);
    let sent = sent.unwrap();
    assert_eq!(&*sent.endpoint, "till-n1");
    world.handle(limit_in_answer(request, sent.attempt, Some(rate("200"))));
    world.end(request, sent.attempt, Outcome::Answered { status: 200 });
    (world, owner)
}

fn granted(permits: u32) -> Event {
    Event::PeerLimits(LimitUpdate {
        from: "box-2".parse().unwrap(),
        reply_to: "127.0.0.2:7200".to_owned(),
        is_passed_on: false,
        notes: Vec::new(),
        asks: Vec::new(),
        grants: vec![PermitGrant {
            endpoint: "till-n1".parse().unwrap(),
            permits,
        }],
    })
}

#[test]
fn a_permit_request_is_not_delayed_once_the_previous_one_was_answered() {
    let (mut world, owner) = limited_world();
    for _ in 0..5 {
        let (_, sent) = world.arrive(QUOTES);
        assert_eq!(
            &*sent.unwrap().endpoint,
            "till-s1",
            "sent to another endpoint"
        );
        let requested = permit_requests(&world.actions);
        assert_eq!(requested.len(), 1);
        assert_eq!(requested[0].0, [owner]);
        // While no answer arrives, no further permit request is sent.
        world.arrive(QUOTES);
        assert_eq!(permit_requests(&world.actions), []);
        world.handle(granted(1));
        let (_, sent) = world.arrive(QUOTES);
        assert_eq!(&*sent.unwrap().endpoint, "till-n1", "with the permit");
        world.pass(1);
    }
}

/// A permit request from a box of another domain may reach any box here, which forwards it once.
#[test]
fn a_permit_request_is_forwarded_to_the_owner_of_the_limit_only_once() {
    let (mut world, owner) = limited_world();
    for is_passed_on in [false, true] {
        let update = LimitUpdate {
            from: "box-s".parse().unwrap(),
            reply_to: "127.0.1.1:7200".to_owned(),
            is_passed_on,
            notes: Vec::new(),
            asks: vec![PermitRequest {
                endpoint: "till-n1".parse().unwrap(),
                wanted: 1,
            }],
            grants: Vec::new(),
        };
        world.handle(Event::PeerLimits(update));
        let passed = permit_requests(&world.actions);
        let to: Vec<_> = passed.into_iter().map(|(to, _)| to).collect();
        let expected = if is_passed_on {
            vec![]
        } else {
            vec![vec![owner]]
        };
        assert_eq!(to, expected);
    }
}

/// A restarted server named a limit from its first answer on. Boxes dropped the reports of others while their lists didn't
/// name the server yet, and each of them sent it a request of its own once it was listed.
#[rstest]
#[case::recent(2_000, true)]
#[case::old(12_000, false)]
fn a_report_about_an_endpoint_that_is_not_listed_yet_counts_once_it_is(
    #[case] after_ms: u64,
    #[case] is_limited: bool,
) {
    let mut world = World::ready();
    let id: EndpointId = "till-n9".parse().unwrap();
    world.handle(Event::PeerLimits(LimitUpdate {
        from: "box-2".parse().unwrap(),
        reply_to: "127.0.0.2:7200".to_owned(),
        is_passed_on: false,
        notes: vec![report("till-n9", Some(400), 10)],
        asks: Vec::new(),
        grants: Vec::new(),
    }));
    world.pass(after_ms);
    let mut specs = fixtures::endpoints();
    specs.push(endpoint("till-n9", "till", "north", 9_109));
    world.handle(listed(specs));
    let limits = &world.dispatcher.fleet().directives.limits;
    assert_eq!(limits.of(&id).is_some(), is_limited);
}

/// Limits that a box publishes, and the boxes that they go to.
#[derive(Debug, PartialEq)]
struct Published {
    to: Vec<SocketAddr>,
    reports: Vec<LimitReport>,
}

fn published_limits(actions: &[Action]) -> Vec<Published> {
    let published = actions.iter().filter_map(|action| match action {
        Action::PublishLimits { to, update } if !update.notes.is_empty() => Some(Published {
            to: to.clone(),
            reports: update.notes.clone(),
        }),
        _ => None,
    });
    published.collect()
}

const NEIGHBOUR: &str = "127.0.0.2:7200";
const REMOTE: [&str; 2] = ["127.0.1.1:7200", "127.0.1.2:7200"];

/// A box that knows a neighbour and two boxes of another domain.
fn world_of_two_domains() -> World {
    let mut world = World::ready();
    let boxes = [
        ("north", NEIGHBOUR),
        ("south", REMOTE[0]),
        ("south", REMOTE[1]),
    ];
    for (number, (domain, address)) in boxes.into_iter().enumerate() {
        let mut state = box_state(&format!("box-{}", number + 2), domain, address);
        state.beat = 1;
        world.handle(Event::Peer(state));
    }
    world
}

/// Sends a call and answers it with a limit; returns the endpoint and what the box then publishes.
fn answer_with_limit(world: &mut World) -> (EndpointId, Vec<Published>) {
    let (request, sent) = world.arrive(QUOTES);
    let sent = sent.unwrap();
    world.handle(limit_in_answer(request, sent.attempt, Some(rate("3"))));
    let published = published_limits(&world.actions);
    world.end(request, sent.attempt, Outcome::Answered { status: 200 });
    (sent.endpoint, published)
}

/// Boxes send without a limit until they know of one. A first limit waited for up to 100 ms after one of another endpoint,
/// and for the gossip to other domains.
#[test]
fn the_first_limit_of_an_endpoint_reaches_all_domains_at_once() {
    let mut world = world_of_two_domains();
    let (first, _) = answer_with_limit(&mut world);
    world.pass(1);
    let (second, published) = answer_with_limit(&mut world);
    assert_ne!(second, first);
    let [Published { to, reports }] = &published[..] else {
        panic!("one message, not {published:?}");
    };
    let ids: Vec<&EndpointId> = reports.iter().map(|report| &report.endpoint.id).collect();
    assert_eq!(ids, [&second]);
    let is_remote = |to: &SocketAddr| REMOTE.contains(&to.to_string().as_str());
    assert!(to.contains(&NEIGHBOUR.parse().unwrap()), "{to:?}");
    assert_eq!(to.iter().filter(|to| is_remote(to)).count(), 1, "{to:?}");
}

fn limits_from(address: &str, notes: Vec<LimitReport>) -> Event {
    Event::PeerLimits(LimitUpdate {
        from: "box-9".parse().unwrap(),
        reply_to: address.to_owned(),
        is_passed_on: false,
        notes,
        asks: Vec::new(),
        grants: Vec::new(),
    })
}

/// Only one box of a domain is told by other domains.
#[rstest]
#[case::listed("till-n1")]
#[case::not_listed_yet("till-n9")]
fn a_limit_from_another_domain_is_relayed_to_the_own_domain_once(#[case] id: &str) {
    let mut world = world_of_two_domains();
    world.handle(limits_from(REMOTE[0], vec![report(id, Some(3_000), 10)]));
    let relayed = Published {
        to: vec![NEIGHBOUR.parse().unwrap()],
        reports: vec![report(id, Some(3_000), 10)],
    };
    assert_eq!(published_limits(&world.actions), [relayed]);
    world.handle(limits_from(REMOTE[1], vec![report(id, Some(3_000), 5)]));
    assert_eq!(published_limits(&world.actions), []);
}

#[test]
fn a_limit_from_the_own_domain_is_not_relayed() {
    let mut world = world_of_two_domains();
    world.handle(limits_from(
        NEIGHBOUR,
        vec![report("till-n1", Some(3_000), 10)],
    ));
    assert_eq!(published_limits(&world.actions), []);
}
