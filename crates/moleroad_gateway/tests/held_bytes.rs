//! The bound on bytes of answers that a process holds.

use bytes::Bytes;
use moleroad_gateway::held_bytes::{HeldBody, HeldBytes};

const KIB: usize = 1 << 10;

#[test]
fn large_bodies_share_a_quarter_of_the_memory_and_small_ones_always_fit() {
    let held = HeldBytes::for_memory(4);
    let mut large = HeldBody::new(&held);
    while large.push(&[0; 16 * KIB]) {}
    assert!(large.len() >= 500 * KIB, "{}", large.len());
    assert!(held.used() <= 1_000_000);
    let mut other_large = HeldBody::new(&held);
    while other_large.push(&[0; 16 * KIB]) {}
    let mut small = HeldBody::new(&held);
    assert!(small.push(&[0; 60 * KIB]));
    drop((large, other_large, small));
    assert_eq!(held.used(), 0);
}

#[test]
fn a_body_counts_until_its_last_part_is_dropped() {
    let held = HeldBytes::for_memory(4);
    let mut body = HeldBody::new(&held);
    assert!(body.push(&[7; 256 * KIB]));
    let mut bytes = body.into_bytes();
    let part = bytes.split_to(10);
    drop(bytes);
    assert!(held.used() > 0);
    assert_eq!(part, [7; 10][..]);
    drop(part);
    assert_eq!(held.used(), 0);
}

#[test]
fn parts_of_streams_count_until_they_are_taken_and_small_ones_are_free() {
    let held = HeldBytes::for_memory(4);
    let large = || Bytes::from(vec![0; 400 * KIB]);
    let first = held.hold(large()).expect("room for one");
    let _second = held.hold(large()).expect("room for two");
    assert!(held.hold(large()).is_err());
    assert!(held.hold(Bytes::from_static(b"small")).is_ok());
    drop(first);
    assert!(held.hold(large()).is_ok());
}
