//! What one daemon tells another of what changed.

use moleroad_directory::news::MAX_RECORDS;
use moleroad_directory::prelude::*;
use moleroad_types::prelude::*;
use std::net::SocketAddr;

/// Of the daemon that answers.
const INCARNATION: u64 = 7;
const HALL: &str = "h1";

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2_000 + number))
}

fn daemon(number: u16, hall: &str) -> DaemonRecord {
    let instance = InstanceId::new(format!("{hall}-{number}"));
    DaemonRecord {
        engine: Some(address(number)),
        service: Some("chat".into()),
        report: Some(EngineReport::default()),
        ..DaemonRecord::new(instance, DaemonRole::Agent, address(number), hall)
    }
}

fn target(number: u16) -> TargetRecord {
    TargetRecord::new(
        TargetId::new(format!("i-{number}")),
        "chat",
        address(number),
    )
}

/// The asker's side of a conversation with one directory.
struct Asker {
    name: InstanceId,
    directory: Directory,
    known: KnownSlots,
    cursor: Cursor,
}

impl Asker {
    fn new(name: &str) -> Self {
        Self {
            name: InstanceId::new(name),
            directory: Directory::new(),
            known: KnownSlots::default(),
            cursor: Cursor::default(),
        }
    }

    fn ask(&mut self, now: u64, callee: &Directory, question: DeltaRequest) -> News {
        let question = DeltaRequest {
            after: self.cursor,
            ..question
        };
        let news = callee.news(Millis(now), INCARNATION, HALL, &self.name, question);
        self.cursor = news.cursor;
        news
    }

    fn hear(&mut self, now: u64, callee: &Directory, question: DeltaRequest) -> DeltaOutcome {
        let news = self.ask(now, callee, question);
        self.take(now, news)
    }

    fn take(&mut self, now: u64, news: News) -> DeltaOutcome {
        let name = self.name.clone();
        self.directory
            .apply_delta(Millis(now), &name, news, &mut self.known)
    }

    fn heard_at(&self, instance: &str) -> Option<u64> {
        let heard = self.directory.daemon(&InstanceId::new(instance))?;
        Some(heard.at.0)
    }
}

fn all(lives: bool) -> DeltaRequest {
    DeltaRequest {
        scope: Scope::All,
        lives,
        ..DeltaRequest::default()
    }
}

fn of_hall(lives: bool) -> DeltaRequest {
    DeltaRequest {
        scope: Scope::CalleesHall,
        ..all(lives)
    }
}

fn many(daemons: u16, targets: u16) -> Directory {
    let mut directory = Directory::new();
    for number in 0..daemons {
        directory.merge_daemon(Millis(0), daemon(number, HALL), 0);
    }
    for number in 0..targets {
        directory.merge_target(Millis(0), target(number), 0);
    }
    directory
}

#[test]
fn what_is_too_much_for_one_answer_comes_in_several() {
    let mut callee = many(300, 250);
    let mut asker = Asker::new("asker");
    let mut answers = 0;
    loop {
        let news = asker.ask(1, &callee, all(true));
        assert!(news.daemons.len() + news.targets.len() <= MAX_RECORDS);
        // Signs of life are of daemons that were told of.
        assert_eq!(news.ages.is_some(), !news.has_more);
        answers += 1;
        // What changes meanwhile is not missed.
        let changed = DaemonRecord {
            sequence: 1 + answers,
            state: DaemonState::Leaving,
            ..daemon(answers as u16, HALL)
        };
        callee.merge_daemon(Millis(1), changed, 0);
        let is_last = !news.has_more;
        assert!(asker.take(1, news).is_complete);
        if is_last {
            break;
        }
    }
    assert_eq!(answers, 3);
    asker.hear(2, &callee, all(true));
    for heard in callee.daemons() {
        let known = asker.directory.daemon(&heard.record.instance).unwrap();
        assert_eq!(known.record, heard.record);
    }
    assert_eq!(asker.directory.targets().count(), 250);
    assert_eq!(asker.ask(3, &callee, all(false)).daemons, []);
}

#[test]
fn a_load_that_changes_between_two_parts_of_an_answer_is_told() {
    let mut callee = many(300, 0);
    let mut asker = Asker::new("asker");
    asker.hear(1, &callee, all(false));
    for number in [5, 295] {
        let mut busy = daemon(number, HALL);
        busy.sequence = 2;
        busy.report.as_mut().unwrap().running = 3;
        callee.merge_daemon(Millis(1), busy, 0);
    }
    let taken = asker.hear(2, &callee, all(false));
    assert!(taken.is_complete);
    for number in [5, 295] {
        let instance = daemon(number, HALL).instance;
        let known = asker.directory.daemon(&instance).unwrap();
        assert_eq!(known.record.report.as_ref().unwrap().running, 3);
    }
}

#[test]
fn a_daemon_that_begins_hears_whom_to_ask_where_the_rest_is_too_much() {
    let first = DeltaRequest {
        relays_suffice: true,
        ..all(true)
    };
    let small = many(100, 50);
    let mut asker = Asker::new("asker");
    assert_eq!(asker.ask(1, &small, first).daemons.len(), 100);

    let mut large = many(300, 250);
    for number in 300..320 {
        let entry = DaemonRecord {
            role: DaemonRole::Entry,
            ..daemon(number, HALL)
        };
        large.merge_daemon(Millis(0), entry, 0);
    }
    let mut asker = Asker::new("asker");
    let news = asker.ask(1, &large, first);
    let relays = large.relays(Millis(1), HALL);
    let named: Vec<&InstanceId> = news
        .daemons
        .iter()
        .map(|d| &d.aged.record.instance)
        .collect();
    let expected: Vec<&InstanceId> = relays.iter().map(|relay| &relay.instance).collect();
    assert_eq!(named, expected);
    assert!(news.targets.is_empty() && !news.is_whole());
    // Nothing of the rest counts as told.
    let taken = asker.take(1, news);
    assert!(taken.is_complete);
    assert!(asker.ask(2, &large, all(false)).has_more);
}

#[test]
fn signs_of_life_take_a_byte_for_a_daemon_and_are_never_too_young() {
    let mut callee = many(180, 0);
    let mut asker = Asker::new("asker");
    asker.hear(0, &callee, all(false));
    let before = asker.heard_at("h1-9");
    callee.hear_life(Millis(1_020), &RecordVersion::of(&daemon(9, HALL)), 0);
    let news = asker.ask(1_037, &callee, all(true));
    let bytes = rmp_serde::to_vec(&news).unwrap().len();
    assert!(bytes < 180 + 40, "{bytes} bytes");
    assert!(asker.take(1_037, news).is_complete);
    let after = asker.heard_at("h1-9");
    assert!(before < after && after <= Some(1_020), "{after:?}");
    // Long silence is no sign of life.
    let news = asker.ask(60_000, &callee, all(true));
    assert_eq!(news.ages.unwrap().signs().count(), 0);
}

#[test]
fn a_number_of_a_daemon_that_was_forgotten_may_stand_for_another_one() {
    let mut callee = many(2, 0);
    let mut asker = Asker::new("asker");
    asker.hear(0, &callee, all(true));
    callee.hear_life(Millis(59_000), &RecordVersion::of(&daemon(0, HALL)), 0);
    callee.expire(Millis(61_000));
    callee.merge_daemon(Millis(61_000), daemon(77, HALL), 0);
    assert!(asker.hear(61_000, &callee, all(true)).is_complete);
    assert_eq!(asker.heard_at("h1-1"), Some(0), "it is silent");
    assert_eq!(asker.heard_at("h1-77"), Some(61_000));
}

#[test]
fn an_asker_that_lacks_a_daemon_says_that_it_must_hear_all_again() {
    let mut callee = many(2, 0);
    let mut asker = Asker::new("asker");
    asker.cursor = Cursor {
        incarnation: INCARNATION,
        position: callee.position(),
    };
    callee.hear_life(Millis(10), &RecordVersion::of(&daemon(0, HALL)), 0);
    assert!(!asker.hear(10, &callee, all(true)).is_complete);
}

#[test]
fn numbers_of_a_former_life_of_the_callee_stand_for_nobody() {
    let callee = many(3, 0);
    let mut asker = Asker::new("asker");
    asker.hear(0, &callee, all(true));
    asker.cursor.incarnation = INCARNATION + 1;
    let question = DeltaRequest {
        after: Cursor {
            incarnation: INCARNATION + 1,
            position: callee.position(),
        },
        ..all(true)
    };
    let news = callee.news(Millis(5), INCARNATION + 1, HALL, &asker.name, question);
    assert!(news.ages.is_some() && news.daemons.is_empty());
    assert!(!asker.take(5, news).is_complete);
}

#[test]
fn a_daemon_that_calls_again_after_a_while_is_told_to_other_halls_anew() {
    let mut callee = many(3, 0);
    let guest = daemon(50, "h2");
    callee.merge_daemon(Millis(0), guest.clone(), 0);
    let mut asker = Asker::new("asker");
    asker.hear(0, &callee, of_hall(true));
    assert_eq!(asker.heard_at("h2-50"), None, "it called nobody here");
    callee.hear_life(Millis(10_000), &RecordVersion::of(&guest), 0);
    callee.record_direct_contact(Millis(10_000), &guest.instance);
    let taken = asker.hear(10_100, &callee, of_hall(true));
    assert!(taken.is_complete);
    assert_eq!(asker.heard_at("h2-50"), Some(10_000));
}

#[test]
fn who_brings_weights_hears_of_its_own_engine_and_of_no_load() {
    let weights = DeltaRequest {
        interest: Interest::Weights,
        ..all(false)
    };
    let mut callee = many(100, 90);
    let mut asker = Asker::new("h1-4");
    let news = asker.ask(1, &callee, weights);
    assert_eq!(news.targets.len(), 1);
    assert_eq!(news.targets[0].record.id, TargetId::new("i-4"));
    assert_eq!(news.daemons.len(), 99, "the others may give it pieces");
    asker.take(1, news);
    let mut busy = daemon(9, HALL);
    busy.sequence = 2;
    busy.report.as_mut().unwrap().running = 3;
    callee.merge_daemon(Millis(2), busy, 0);
    let news = asker.ask(2, &callee, weights);
    assert!(news.loads.is_empty() && news.daemons.is_empty());
    // One that is not known here may have any engine.
    let mut stranger = Asker::new("stranger");
    assert_eq!(stranger.ask(3, &callee, weights).targets.len(), 90);
}
