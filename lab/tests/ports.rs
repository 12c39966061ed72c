//! Ports for processes that are started later.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};

use magpiemoor_lab::ports::{Block, free_ports};
use magpiemoor_lab::process::Process;

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

/// A process that is being started holds copies of all that this one has open until its program
/// runs, listeners too. 400 ports beside processes that start: one in some hundred was taken.
#[test]
fn a_port_that_is_handed_out_is_free_also_while_processes_start() {
    let folder = std::env::temp_dir().join(format!("magpiemoor-ports-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let is_over = AtomicBool::new(false);
    let taken = std::thread::scope(|scope| {
        for number in 0..4 {
            let log = folder.join(format!("{number}.log"));
            let is_over = &is_over;
            scope.spawn(move || {
                let program = std::path::Path::new("/bin/true");
                while !is_over.load(Ordering::Relaxed) {
                    let started = Process::start_program(program, "true", &[], &log);
                    started.unwrap().wait();
                }
            });
        }
        let ports = (0..40).flat_map(|_| free_ports(10).unwrap());
        let taken = ports.filter(|port| TcpListener::bind(("127.0.0.1", *port)).is_err());
        let taken = taken.collect::<Vec<_>>();
        is_over.store(true, Ordering::Relaxed);
        taken
    });
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(taken, Vec::<u16>::new());
}
