//! Limits that endpoints name: how rates are read, and what a box knows of them.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::net::SocketAddr;
use std::time::Duration;

use fixtures::{QUOTES, World, box_state, endpoint, listed, records};
use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::{Event, Outcome};
use magpiemoor::gateway::dispatch::fleet::limits::{Limits, PERMIT_LIFETIME, RequestRate};
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
fn what_is_no_rate_is_refused(#[case] text: &str) {
    let refused = text.parse::<RequestRate>().unwrap_err();
    assert!(refused.to_string().contains("decimal number"), "{refused}");
}

fn rate(text: &str) -> RequestRate {
    text.parse().unwrap()
}

#[test]
fn a_limit_is_recorded_when_it_is_named_changes_and_ends() {
    let mut world = World::ready();
    // All are sent before any limit is named, so none needs a permit.
    let mut sent = Vec::new();
    while sent.len() < 6 {
        let (request, attempt) = world.arrive(QUOTES);
        sent.extend(
            attempt
                .filter(|a| &*a.endpoint == "till-n1")
                .map(|a| (request, a.attempt)),
        );
    }
    let mut told = Vec::new();
    let named = [None, Some("3"), Some("3"), Some("1.9"), None, None];
    for ((request, attempt), limit) in sent.into_iter().zip(named) {
        let limit = limit.map(rate);
        world.handle(Event::LimitNamed {
            request,
            attempt,
            limit,
        });
        told.extend(records(&world.actions).into_iter().cloned());
        world.end(request, attempt, Outcome::Answered { status: 200 });
    }
    let limits: Vec<Option<f64>> = told
        .iter()
        .filter_map(|record| match record {
            Record::Limited { per_second, .. } => Some(*per_second),
            _ => None,
        })
        .collect();
    assert_eq!(limits, [Some(3.0), Some(1.9), None]);
}

/// A till that has started again names what it takes anew.
#[test]
fn a_limit_ends_with_the_life_that_named_it() {
    let mut world = World::ready();
    let (request, sent) = world.arrive(QUOTES);
    let sent = sent.unwrap();
    world.handle(Event::LimitNamed {
        request,
        attempt: sent.attempt,
        limit: Some(rate("1")),
    });
    assert_eq!(world.dispatcher.fleet().limits.count(), 1);
    let others = fixtures::endpoints();
    let others = others.into_iter().filter(|e| e.id != sent.endpoint);
    world.handle(listed(others.collect()));
    world.end(request, sent.attempt, Outcome::Answered { status: 200 });
    assert_eq!(world.dispatcher.fleet().limits.count(), 0);
    let mut again = endpoint("till-n1", "till", "north", 9_101);
    again.revision = 9;
    world.handle(listed(vec![again]));
    assert_eq!(world.dispatcher.fleet().limits.count(), 0);
}

fn report(endpoint: &str, milli: Option<u32>, age_ms: u32) -> LimitReport {
    LimitReport {
        endpoint: endpoint.parse().unwrap(),
        milli_per_second: milli,
        age_ms,
    }
}

const AT: Micros = Micros(100_000_000);

fn named(milli: Option<u32>) -> Limits {
    let mut limits = Limits::default();
    let life = "till-n1".parse().unwrap();
    limits.on_answer(&life, Some(RequestRate::from_milli(5_000)), AT);
    limits.on_answer(&life, milli.map(RequestRate::from_milli), AT);
    limits
}

#[rstest]
#[case::newer(Some(3_000), 0, 200, Some(3_000))]
#[case::an_end(None, 0, 200, None)]
#[case::older(Some(3_000), 500, 200, Some(1_900))]
#[case::as_old_as_the_way_between_boxes(Some(3_000), 10, 50, Some(1_900))]
fn of_two_accounts_the_newer_one_counts(
    #[case] told: Option<u32>,
    #[case] age_ms: u32,
    #[case] after_ms: u64,
    #[case] then: Option<u32>,
) {
    let mut limits = named(Some(1_900));
    let now = AT.after(Duration::from_millis(after_ms));
    let is_news = limits.on_peer_report(&report("till-n1", told, age_ms), now);
    let id = "till-n1".parse().unwrap();
    assert_eq!(limits.of(&id).map(RequestRate::milli), then);
    assert_eq!(is_news, then != Some(1_900));
}

#[test]
fn older_word_of_a_limit_does_not_bring_it_back() {
    let mut limits = named(None);
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
fn a_permit_serves_one_request_and_lapses() {
    let mut limits = named(Some(1_900));
    let id: EndpointId = "till-n1".parse().unwrap();
    let life: EndpointIncarnation = "till-n1".parse().unwrap();
    assert!(!limits.may_send(&id, AT));
    limits.on_granted(&life, 2, AT);
    assert!(limits.may_send(&id, AT));
    assert!(limits.on_sent(&id, AT));
    assert!(limits.may_send(&id, AT));
    let lapsed = AT.after(PERMIT_LIFETIME);
    assert!(!limits.may_send(&id, lapsed));
    let other = "till-s1".parse().unwrap();
    assert!(limits.may_send(&other, AT), "it names no limit");
    assert!(!limits.on_sent(&other, AT), "no permit was needed");
}

fn asker(port: u16, wanted: u32) -> PermitRequester {
    PermitRequester {
        reply_to: ([127, 0, 0, 1], port).into(),
        wanted,
    }
}

/// In any four seconds no more permits are allocated than the limit allows plus the burst.
#[rstest]
#[case::slow(400)]
#[case::as_in_the_incident(1_900)]
#[case::fast(30_000)]
fn a_dealer_deals_what_the_limit_allows(#[case] milli: u32) {
    let rate = RequestRate::from_milli(milli);
    let mut allocator = PermitAllocator::new(AT);
    let mut allocated = Vec::new();
    for step in 0..6_000_u64 {
        let now = AT.after(Duration::from_millis(step * 5));
        // Nobody asks for a while, then all do.
        if step % 2_000 > 1_000 {
            allocator.on_request(asker(1, 40), now);
            allocator.on_request(asker(2, 40), now);
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
fn a_dealer_serves_whoever_asked_last_and_forgets_old_asks() {
    let rate = RequestRate::from_milli(2_000);
    let mut allocator = PermitAllocator::new(AT);
    let at = |ms| AT.after(Duration::from_millis(ms));
    allocator.on_request(asker(1, 1), at(300));
    allocator.on_request(asker(2, 1), at(440));
    assert_eq!(allocator.allocate(rate, at(440)), []);
    assert_eq!(allocator.due(rate), Some(at(500)));
    assert_eq!(allocator.allocate(rate, at(500)), [asker(2, 1)]);
    assert_eq!(allocator.due(rate), None, "the first ask is too old");
}

#[test]
fn a_dealer_that_pauses_deals_nothing_and_saves_nothing() {
    let rate = RequestRate::from_milli(10_000);
    let mut allocator = PermitAllocator::new(AT);
    let until = AT.after(Duration::from_secs(4));
    allocator.pause_until(until);
    for ms in (0..4_000).step_by(50) {
        let now = AT.after(Duration::from_millis(ms));
        allocator.on_request(asker(1, 9), now);
        assert_eq!(allocator.allocate(rate, now), []);
    }
    allocator.on_request(asker(1, 9), until);
    let allocated = allocator.allocate(rate, until.after(Duration::from_millis(100)));
    assert_eq!(allocated, [asker(1, 1)]);
}

/// What was to be told of an endpoint that is gone by then must not keep the box busy.
#[test]
fn a_box_rests_after_an_endpoint_with_a_changed_limit_has_gone() {
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
        world.handle(Event::LimitNamed {
            request,
            attempt,
            limit: Some(rate(limit)),
        });
    }
    world.end(request, attempt, Outcome::Answered { status: 200 });
    world.handle(listed(Vec::new()));
    assert_eq!(world.dispatcher.fleet().limits.count(), 0);
    world.pass(5_000);
    world.handle(Event::Tick);
    assert!(world.dispatcher.next_tick() > world.now);
}

/// A box of the own domain, at an address by which it owns the limit of an endpoint.
fn limit_owner_peer(world: &mut World, endpoint: &str) -> SocketAddr {
    let item = rendezvous::item(endpoint);
    let score = |address: &SocketAddr| rendezvous::score(&address.to_string(), item);
    let me: SocketAddr = "127.0.0.1:7200".parse().unwrap();
    let mut addresses = (2..250).map(|host| SocketAddr::from(([127, 0, 0, host], 7_200)));
    let address = addresses.find(|address| score(address) > score(&me));
    let address = address.unwrap();
    let mut state = box_state("box-2", "north", &address.to_string());
    state.beat = 1;
    world.handle(Event::Peer(state));
    address
}

/// Permits that a box asks others for, by the endpoint.
fn asks(actions: &[Action]) -> Vec<(Vec<SocketAddr>, PermitRequest)> {
    let asked = actions.iter().filter_map(|action| match action {
        Action::PublishLimits { to, update: news } => Some((to, news)),
        _ => None,
    });
    let asked = asked.flat_map(|(to, news)| {
        let asks = news.asks.iter().cloned();
        asks.map(move |ask| (to.clone(), ask))
    });
    asked.collect()
}

/// A box with a limited till of its domain, the box that owns its limit, and a call that used it.
fn limited_world() -> (World, SocketAddr) {
    let mut world = World::ready();
    let owner = limit_owner_peer(&mut world, "till-n1");
    let (request, sent) = world.arrive(QUOTES);
    let sent = sent.unwrap();
    assert_eq!(&*sent.endpoint, "till-n1");
    world.handle(Event::LimitNamed {
        request,
        attempt: sent.attempt,
        limit: Some(rate("200")),
    });
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
fn an_ask_is_not_held_back_once_the_one_before_was_answered() {
    let (mut world, owner) = limited_world();
    for _ in 0..5 {
        let (_, sent) = world.arrive(QUOTES);
        assert_eq!(&*sent.unwrap().endpoint, "till-s1", "it goes elsewhere");
        let asked = asks(&world.actions);
        assert_eq!(asked.len(), 1);
        assert_eq!(asked[0].0, [owner]);
        // While nobody answers, it is not asked again.
        world.arrive(QUOTES);
        assert_eq!(asks(&world.actions), []);
        world.handle(granted(1));
        let (_, sent) = world.arrive(QUOTES);
        assert_eq!(&*sent.unwrap().endpoint, "till-n1", "with the permit");
        world.pass(1);
    }
}

/// An ask of another domain's box comes to any box here, which passes it on once.
#[test]
fn an_ask_is_passed_on_to_the_box_that_deals_but_only_once() {
    let (mut world, owner) = limited_world();
    for is_passed_on in [false, true] {
        let news = LimitUpdate {
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
        world.handle(Event::PeerLimits(news));
        let passed = asks(&world.actions);
        let to: Vec<_> = passed.into_iter().map(|(to, _)| to).collect();
        let expected = if is_passed_on {
            vec![]
        } else {
            vec![vec![owner]]
        };
        assert_eq!(to, expected);
    }
}
