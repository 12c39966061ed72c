//! Ports for processes that are started later.

use std::collections::BTreeSet;

use magpiemoor_lab::ports::{Block, free_ports};

#[test]
fn two_that_begin_at_the_same_block_get_different_ones() {
    let mut first = Block::claim(7).unwrap();
    let mut second = Block::claim(7).unwrap();
    let of_first: BTreeSet<u16> = std::iter::from_fn(|| first.next_free()).collect();
    let of_second: BTreeSet<u16> = std::iter::from_fn(|| second.next_free()).collect();
    assert!(!of_first.is_empty() && !of_second.is_empty());
    assert!(of_first.is_disjoint(&of_second));
}

#[test]
fn a_block_is_claimed_for_as_long_as_it_is_kept() {
    let mut kept = Block::claim(50).unwrap();
    let port = kept.next_free().unwrap();
    let mut other = Block::claim(50).unwrap();
    assert_ne!(other.next_free(), Some(port));
    drop((kept, other));
}

#[test]
fn no_port_is_handed_out_twice_even_beyond_one_block() {
    let ports: Vec<u16> = (0..25).flat_map(|_| free_ports(10).unwrap()).collect();
    let different: BTreeSet<u16> = ports.iter().copied().collect();
    assert_eq!(different.len(), 250);
}
