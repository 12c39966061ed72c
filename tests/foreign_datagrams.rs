//! Datagrams that no box sends, before the decisions of a gateway: each is refused, or handled
//! without a panic of the control thread. The seed gives all bytes.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use fixtures::{PAYMENTS, QUOTES, STREAMS, World};
use magpiemoor::gateway::shell::datagram::read;
use magpiemoor::schema::DatagramSection;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Seeds of a run in CI; `FOREIGN_DATAGRAM_SEEDS` sets another number.
const SEEDS: u64 = 150;
/// Datagrams of a seed.
const DATAGRAMS: usize = 80;
/// Kinds of sections: those that boxes write, and one more.
const SECTION_KINDS: std::ops::RangeInclusive<u16> = 0..=13;
/// Texts that name something a box knows.
const NAMES: [&str; 10] = [
    "engines",
    "till",
    "engine-n1",
    "engine-s1",
    "till-n1",
    "north",
    "south",
    "box-1",
    "box-2",
    "127.0.0.2:7200",
];
/// Numbers at the ends of their ranges.
const NUMBERS: [u64; 10] = [
    0,
    1,
    2,
    5,
    127,
    (1 << 32) - 2,
    (1 << 32) - 1,
    1 << 53,
    u64::MAX - 1,
    u64::MAX,
];
const FLOATS: [f64; 8] = [
    0.0,
    -1.0,
    0.5,
    1e18,
    1e300,
    f64::INFINITY,
    f64::NAN,
    f64::MIN_POSITIVE,
];

/// Appends a value as messages contain it.
fn push_value(content: &mut Vec<u8>, rng: &mut ChaCha8Rng) {
    let value = match rng.random_range(0..6) {
        0 => postcard::to_stdvec(NAMES.choose(rng).unwrap()),
        1 => postcard::to_stdvec(NUMBERS.choose(rng).unwrap()),
        2 => postcard::to_stdvec(FLOATS.choose(rng).unwrap()),
        3 => Ok(vec![u8::from(rng.random::<bool>())]),
        4 => Ok(vec![rng.random_range(0..4)]),
        _ => Ok(vec![rng.random()]),
    };
    content.extend(value.unwrap());
}

fn content(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut content = Vec::new();
    for _ in 0..rng.random_range(0..40) {
        push_value(&mut content, rng);
    }
    content
}

/// A message, whole or with changed bytes, and sections behind it.
fn datagram(messages: &[Vec<u8>], rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = messages.choose(rng).unwrap().clone();
    if rng.random() {
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.random();
        }
    }
    for _ in 0..rng.random_range(0..4) {
        let kind = rng.random_range(SECTION_KINDS);
        let content = content(rng);
        bytes = postcard::to_extend(&DatagramSection { kind, content }, bytes).unwrap();
    }
    bytes
}

fn messages() -> Vec<Vec<u8>> {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/production");
    let texts = ["state.hex", "usage.hex"].map(|file| std::fs::read_to_string(folder.join(file)));
    let bytes = texts.map(|text| hex::decode(text.unwrap().trim()).unwrap());
    bytes.to_vec()
}

/// Plays one seed; returns how many events boxes would have handled.
fn play(messages: &[Vec<u8>], seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::ready();
    let mut events = 0;
    for _ in 0..DATAGRAMS {
        let bytes = datagram(messages, &mut rng);
        for event in read(&bytes).unwrap_or_default() {
            events += 1;
            world.handle(event);
        }
        if rng.random() {
            let path = [STREAMS, QUOTES, PAYMENTS].choose(&mut rng).unwrap();
            world.arrive(path);
        }
        world.run(rng.random_range(0..400));
    }
    events
}

#[test]
fn foreign_datagrams_end_no_box() {
    let seeds = std::env::var("FOREIGN_DATAGRAM_SEEDS").map(|n| n.parse().unwrap());
    let messages = messages();
    let mut events = 0;
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let played = std::panic::catch_unwind(|| play(&messages, seed));
        events += played.unwrap_or_else(|_| panic!("seed {seed}"));
    }
    println!("{events} events");
    assert!(events > 0);
}
