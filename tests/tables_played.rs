//! Routing tables of any content and order, beside everything else that befalls a box. `TABLE_PLAYS`
//! sets how many plays are made, `TABLE_FIRST` the first seed.

#[path = "gateway/fixtures.rs"]
mod fixtures;
#[path = "gateway/table_changes.rs"]
mod table_changes;
#[path = "gateway/table_play.rs"]
mod table_play;

use table_play::{Counts, Play};

/// Plays unless the environment says otherwise.
const PLAYS: u64 = 40;
/// The first seed unless the environment says otherwise.
const FIRST: u64 = 1;

/// Requests that waited at a service that a new table changed were held until their deadline.
#[test]
fn every_request_ends_in_time_beside_tables_of_any_content() {
    let first = number("TABLE_FIRST", FIRST);
    let seeds = first..first + number("TABLE_PLAYS", PLAYS);
    let mut all = Counts::default();
    let mut broken = Vec::new();
    for seed in seeds {
        let counts = Play::run(seed);
        all.add(&counts);
        if let Some(fault) = counts.faults.first() {
            broken.push(format!("seed {seed}: {fault}"));
        }
    }
    println!("{all}");
    let count = broken.len();
    assert!(broken.is_empty(), "{count} broken: {broken:#?}\n{all}");
    assert!(all.answered > all.requests / 4, "{all}");
}

fn number(name: &str, default: u64) -> u64 {
    let set = std::env::var(name).ok();
    set.map_or(default, |text| text.parse().expect("a whole number"))
}
