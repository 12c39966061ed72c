//! Memory that a process has freed goes back to the system.

use magpiemoor::memory;

/// Size of a block, in bytes: an event of a flood.
const BLOCK_BYTES: usize = 300 << 10;
const BLOCKS: usize = 200;
/// The most that may be left of the blocks, in KiB.
const LEFT_KIB: u64 = 8 << 10;

/// The memory that this process has now, in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    kib.unwrap().parse().unwrap()
}

/// Blocks of a flood, each with a small one that is used longer.
fn flood() -> Vec<(Vec<u8>, Box<[u8; 64]>)> {
    let pair = |number: usize| (vec![number as u8 + 1; BLOCK_BYTES], Box::new([1; 64]));
    (0..BLOCKS).map(pair).collect()
}

/// After the first large block was freed, a box kept the memory of all later ones.
#[test]
fn large_blocks_go_back_to_the_system_once_they_are_freed() {
    memory::return_freed_blocks();
    drop(vec![1_u8; 1 << 20]);
    let before = resident_kib();
    let blocks = flood();
    let with_blocks = resident_kib();
    assert!(with_blocks - before > ((BLOCKS * BLOCK_BYTES) >> 10) as u64 / 2);
    let kept: Vec<_> = blocks.into_iter().map(|(_, small)| small).collect();
    let left = resident_kib().saturating_sub(before);
    assert!(left < LEFT_KIB, "{left} KiB of {with_blocks} are left");
    drop(kept);
}
