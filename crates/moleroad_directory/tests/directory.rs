//! Tests of merging the records of targets and daemons.

mod support;

use moleroad_directory::prelude::*;
use moleroad_directory::target::complete_version;
use moleroad_types::prelude::*;
use support::{entry, target};

fn lifecycle_of(directory: &Directory, id: &str) -> Option<TargetLifecycle> {
    let observed = directory.target(&TargetId::new(id))?;
    Some(directory.lifecycle(observed))
}

#[test]
fn a_late_heartbeat_does_not_bring_a_leaving_target_back() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(0), target("a", 1, 1), 0);
    let mut draining = target("a", 1, 5);
    draining.life = TargetLifecycle::Draining;
    assert_eq!(
        directory.merge_target(Millis(10), draining, 0),
        TargetChange::Changed
    );
    assert_eq!(
        directory.merge_target(Millis(20), target("a", 1, 4), 0),
        TargetChange::Stale
    );
    directory.merge_target(Millis(30), target("a", 1, 6), 0);
    assert_eq!(
        lifecycle_of(&directory, "a"),
        Some(TargetLifecycle::Draining)
    );
}

#[test]
fn a_new_incarnation_at_an_address_replaces_the_old_one() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(0), target("old", 1, 9), 0);
    directory.merge_target(Millis(100), target("new", 1, 1), 0);
    assert_eq!(lifecycle_of(&directory, "old"), Some(TargetLifecycle::Gone));
    assert_eq!(
        lifecycle_of(&directory, "new"),
        Some(TargetLifecycle::Ready)
    );
    // A record of the old incarnation that arrives through another daemon changes
    // nothing.
    directory.merge_target(Millis(120), target("old", 1, 10), 90);
    assert_eq!(lifecycle_of(&directory, "old"), Some(TargetLifecycle::Gone));
}

#[test]
fn a_target_stays_gone() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(0), target("a", 1, 1), 0);
    assert!(directory.mark_target_gone(Millis(5), &TargetId::new("a")));
    assert!(!directory.mark_target_gone(Millis(6), &TargetId::new("a")));
    directory.merge_target(Millis(7), target("a", 1, 2), 0);
    assert_eq!(lifecycle_of(&directory, "a"), Some(TargetLifecycle::Gone));
}

#[test]
fn a_repeated_record_counts_as_a_renewal() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(0), target("a", 1, 1), 0);
    let change = directory.merge_target(Millis(1_000), target("a", 1, 2), 0);
    assert_eq!(change, TargetChange::Refreshed);
}

#[test]
fn a_restarted_daemon_replaces_its_earlier_incarnation_in_any_order() {
    let mut directory = Directory::new();
    let mut restarted = entry("a", "h", "r", 1);
    restarted.incarnation = 2;
    directory.merge_daemon(Millis(1_000), restarted.clone(), 0);
    // The earlier incarnation, as another daemon still has it.
    assert!(!directory.merge_daemon(Millis(1_001), entry("a", "h", "r", 1), 700));
    let known = directory.daemon(&InstanceId::new("a")).unwrap();
    assert_eq!(known.record, restarted);
}

#[test]
fn only_layers_of_one_version_without_gaps_make_a_whole_model() {
    let holding = |from, to, version| Holding {
        model: "m".into(),
        from,
        to,
        version,
    };
    assert_eq!(complete_version(&[holding(0, 16, 2)], "m", 16), Some(2));
    assert_eq!(
        complete_version(&[holding(8, 16, 2), holding(0, 8, 2)], "m", 16),
        Some(2)
    );
    assert_eq!(
        complete_version(&[holding(0, 8, 2), holding(8, 16, 1)], "m", 16),
        None
    );
    assert_eq!(
        complete_version(&[holding(0, 8, 2), holding(9, 16, 2)], "m", 16),
        None
    );
    assert_eq!(complete_version(&[holding(0, 15, 2)], "m", 16), None);
    assert_eq!(complete_version(&[], "m", 16), None);
}

#[test]
fn pieces_are_counted() {
    let mut pieces = PieceMap::empty("m", 1, 70);
    pieces.set(0, true);
    pieces.set(69, true);
    pieces.set(500, true);
    assert!(pieces.has(69) && !pieces.has(68) && !pieces.has(500));
    assert_eq!(pieces.count(), 2);
    pieces.set(0, false);
    assert_eq!(pieces.count(), 1);
}

#[test]
fn a_target_turning_cold_is_propagated_but_its_countdown_is_not() {
    let mut directory = Directory::new();
    let cold_record = |sequence, cold_left_ms| TargetRecord {
        cold_left_ms,
        ..target("a", 1, sequence)
    };
    let merge =
        |directory: &mut Directory, at: u64, record| directory.merge_target(Millis(at), record, 0);
    merge(&mut directory, 0, cold_record(1, 0));
    let before = directory.position();
    assert_eq!(
        merge(&mut directory, 1_000, cold_record(2, 3_000)),
        TargetChange::Changed
    );
    assert!(directory.position() > before);
    // The remaining time counts down as announced, up to the latency of a call.
    for (at, sequence, left_ms) in [(2_000, 3, 2_100), (4_200, 4, 0)] {
        let change = merge(&mut directory, at, cold_record(sequence, left_ms));
        assert_eq!(change, TargetChange::Refreshed);
    }
    // The cold period is extended while the target is still cold.
    assert_eq!(
        merge(&mut directory, 5_000, cold_record(5, 3_000)),
        TargetChange::Changed
    );
    assert_eq!(
        merge(&mut directory, 6_000, cold_record(6, 3_000)),
        TargetChange::Changed
    );
}

fn born(born_ms: u64, sequence: u64) -> TargetRecord {
    TargetRecord {
        born_ms,
        ..target("t-1", 9001, sequence)
    }
}

#[test]
fn a_later_start_time_begins_an_incarnation_without_earlier_state() {
    let mut directory = Directory::new();
    let former = TargetRecord {
        life: TargetLifecycle::Draining,
        holdings: Some(Vec::new()),
        ..born(1_000, 40)
    };
    directory.merge_target(Millis(100), former, 0);
    let change = directory.merge_target(Millis(200), born(2_000, 1), 0);
    assert_eq!(change, TargetChange::Changed);
    let observed = directory.target(&TargetId::new("t-1")).unwrap();
    assert_eq!(observed.record, born(2_000, 1));
}

#[test]
fn late_updates_of_an_earlier_incarnation_are_ignored() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 1), 0);
    let position = directory.position();
    let late = TargetRecord {
        life: TargetLifecycle::Draining,
        ..born(1_000, 40)
    };
    assert_eq!(
        directory.merge_target(Millis(200), late, 0),
        TargetChange::Stale
    );
    assert_eq!(
        lifecycle_of(&directory, "t-1"),
        Some(TargetLifecycle::Ready)
    );
    assert_eq!(directory.position(), position);
}

#[test]
fn a_target_without_a_start_time_belongs_to_the_known_incarnation() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 5), 0);
    assert_eq!(
        directory.merge_target(Millis(200), born(0, 4), 0),
        TargetChange::Stale
    );
    let observed = directory.target(&TargetId::new("t-1")).unwrap();
    assert_eq!(observed.record, born(2_000, 5));
}

#[test]
fn a_record_without_a_start_time_keeps_the_known_start_time() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 5), 0);
    directory.merge_target(Millis(200), born(0, 6), 0);
    directory.merge_target(Millis(300), born(3_000, 1), 0);
    let observed = directory.target(&TargetId::new("t-1")).unwrap();
    assert_eq!(
        observed.record,
        born(3_000, 1),
        "another incarnation started"
    );
}

#[test]
fn a_target_that_said_in_an_answer_that_it_leaves_is_never_ready_again() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 5), 0);
    let id = TargetId::new("t-1");
    let position = directory.position();
    assert!(directory.mark_target_draining(&id, 2_000));
    assert!(directory.position() > position, "the change is forwarded");
    assert!(!directory.mark_target_draining(&id, 2_000), "no change");
    directory.merge_target(Millis(300), born(2_000, 6), 0);
    directory.merge_target(Millis(400), born(0, 7), 0);
    assert_eq!(
        lifecycle_of(&directory, "t-1"),
        Some(TargetLifecycle::Draining)
    );
    // The next incarnation is ready.
    directory.merge_target(Millis(500), born(3_000, 1), 0);
    assert_eq!(
        lifecycle_of(&directory, "t-1"),
        Some(TargetLifecycle::Ready)
    );
}

#[test]
fn a_late_answer_of_an_earlier_incarnation_does_not_affect_the_current_one() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 5), 0);
    let id = TargetId::new("t-1");
    assert!(!directory.mark_target_draining(&id, 1_000));
    assert!(!directory.mark_target_draining(&TargetId::new("unknown"), 0));
    assert_eq!(
        lifecycle_of(&directory, "t-1"),
        Some(TargetLifecycle::Ready)
    );
    directory.mark_target_gone(Millis(300), &id);
    assert!(!directory.mark_target_draining(&id, 2_000));
    assert_eq!(lifecycle_of(&directory, "t-1"), Some(TargetLifecycle::Gone));
}

#[test]
fn a_leaving_target_is_propagated_without_a_changed_heartbeat() {
    let mut receiver = Directory::new();
    let mut sender = Directory::new();
    for directory in [&mut receiver, &mut sender] {
        directory.merge_target(Millis(100), born(2_000, 5), 0);
    }
    let id = TargetId::new("t-1");
    sender.mark_target_draining(&id, 2_000);
    let update = sender.target(&id).unwrap().aged(Millis(250));
    let change = receiver.merge_target(Millis(1_000), update.record, update.age_ms);
    assert_eq!(change, TargetChange::Changed);
    assert_eq!(
        lifecycle_of(&receiver, "t-1"),
        Some(TargetLifecycle::Draining)
    );
}
