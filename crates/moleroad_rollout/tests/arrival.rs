//! Expected time until weights that are being fetched are served.

use moleroad_rollout::prelude::ArrivalEstimate;
use moleroad_types::prelude::Millis;

const PIECE_MS: f64 = 43.0;

#[test]
fn the_estimated_arrival_falls_as_pieces_arrive() {
    let mut arrival = ArrivalEstimate::default();
    arrival.note(Millis(0), 0, 48);
    let at_first = arrival.expected_ms(Millis(0), PIECE_MS).unwrap();
    arrival.note(Millis(1_000), 24, 48);
    let half_way = arrival.expected_ms(Millis(1_000), PIECE_MS).unwrap();
    arrival.note(Millis(2_000), 48, 48);
    let whole = arrival.expected_ms(Millis(2_000), PIECE_MS).unwrap();
    assert!(at_first > half_way && half_way > whole);
    assert!(at_first - half_way >= 1_000);
    // The engine still has to load them.
    assert!(whole > 0);
}

#[test]
fn no_arrival_is_estimated_while_no_pieces_arrive() {
    let mut arrival = ArrivalEstimate::default();
    assert_eq!(arrival.expected_ms(Millis(0), PIECE_MS), None);
    arrival.note(Millis(100), 30, 48);
    assert!(arrival.expected_ms(Millis(500), PIECE_MS).is_some());
    arrival.note(Millis(900), 30, 48);
    assert_eq!(arrival.expected_ms(Millis(2_000), PIECE_MS), None);
    arrival.note(Millis(2_100), 31, 48);
    assert!(arrival.expected_ms(Millis(2_100), PIECE_MS).is_some());
}
