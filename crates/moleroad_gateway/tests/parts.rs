//! Unit tests of the gateway without a running process: event streams, the
//! replicated control state, named versions, settings and result codes.

use bytes::Bytes;
use moleroad_config::prelude::ConfigVersion;
use moleroad_gateway::agent::offers::Offers;
use moleroad_gateway::control_state::{
    ConfigDocument, ControlCommand, ControlState, MAX_DOCUMENT_BYTES,
};
use moleroad_gateway::experiments::Mechanism;
use moleroad_gateway::front::events::{EventSplitter, MAX_EVENT_BYTES};
use moleroad_gateway::front::pool::idle_limit;
use moleroad_gateway::named_versions::NamedVersions;
use moleroad_gateway::settings::{RoleSetting, Settings};
use moleroad_types::prelude::Millis;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

#[test]
fn events_are_parsed_whole_at_any_split_of_the_bytes() {
    let text = "id: 1\ndata: a\n\n: comment\n\nweight-versions: 2\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";
    for step in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        for part in text.as_bytes().chunks(step) {
            let events = splitter.push(part);
            assert!(
                events.is_empty() || events.ends_with(b"\n\n") || events.ends_with(b"\r\n\r\n")
            );
            out.extend_from_slice(&events);
        }
        assert_eq!(out, text.as_bytes(), "in chunks of {step} bytes");
        assert_eq!(splitter.last_id().map(|id| &id[..]), Some(&b"3"[..]));
        assert!(!splitter.has_partial_event());
    }
}

#[test]
fn a_partial_event_is_buffered_and_dropped_when_its_target_is_lost() {
    let mut splitter = EventSplitter::default();
    assert_eq!(
        &splitter.push(b"id: 1\ndata: a\n\nid: 2\nda")[..],
        b"id: 1\ndata: a\n\n"
    );
    assert!(splitter.has_partial_event());
    splitter.discard_partial_event();
    // The other target starts with an event that was already delivered.
    let resumed = splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!(&resumed[..], b"id: 2\ndata: b\n\n");
}

#[test]
fn a_resumed_caller_gets_only_later_events() {
    let mut splitter = EventSplitter::after(Some(Bytes::from_static(b"12")));
    let events = splitter.push(b"id: 12\ndata: old\n\nid: 13\ndata: new\n\n");
    assert_eq!(&events[..], b"id: 13\ndata: new\n\n");
}

#[test]
fn an_event_without_end_is_noticed() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert!(splitter.is_too_long());
}

fn replace(version: u64, content: &str) -> ControlCommand {
    ControlCommand::Replace(ConfigDocument::new(
        ConfigVersion(version),
        content.as_bytes(),
    ))
}

#[test]
fn the_first_content_under_a_version_holds() {
    let mut state = ControlState::default();
    assert!(state.apply(&replace(5, "first")));
    assert!(!state.apply(&replace(5, "second")));
    assert!(!state.apply(&replace(4, "older")));
    let held = state.configuration.as_ref().unwrap().bytes();
    assert_eq!(held.unwrap(), b"first");
    assert!(state.includes(&replace(5, "second")));
    assert!(!state.includes(&replace(6, "")));
}

#[test]
fn a_configuration_is_kept_small_and_comes_back_byte_for_byte() {
    let route = |number: u32| format!(r#"{{"Name":"r-{number}","Host":"h{number}.example"}},"#);
    let text: String = (0..400).map(route).collect();
    let document = ConfigDocument::new(ConfigVersion(3), text.as_bytes());
    assert_eq!(document.bytes().unwrap(), text.as_bytes());
    assert!(document.compressed_len() * 4 < text.len());
}

#[test]
fn an_oversized_or_corrupt_configuration_is_refused_with_a_code() {
    let large = vec![b' '; MAX_DOCUMENT_BYTES + 1];
    let document = ConfigDocument::new(ConfigVersion(3), &large);
    let error = document.bytes().unwrap_err().to_string();
    assert!(error.contains("MR-6101"), "{error}");
    let sound = rmp_serde::to_vec(&ConfigDocument::new(ConfigVersion(3), b"some text")).unwrap();
    for at in 0..sound.len() {
        let mut corrupt = sound.clone();
        corrupt[at] ^= 1;
        let read = rmp_serde::from_slice::<ConfigDocument>(&corrupt);
        let same = read.is_ok_and(|read| {
            read.version == ConfigVersion(3) && read.bytes().is_ok_and(|b| b != b"some text")
        });
        assert!(!same, "a change of byte {at} was not detected");
    }
}

#[test]
fn configurations_converge_in_any_order_and_never_revert() {
    for seed in 0..3_000 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut changes: Vec<ControlCommand> = (1..8)
            .map(|version| replace(version, &format!("content {version}")))
            .collect();
        changes.extend((1..5).map(|version| ControlCommand::NameVersion {
            model: "m".into(),
            version,
        }));
        let mut states = [ControlState::default(), ControlState::default()];
        for state in &mut states {
            changes.shuffle(&mut random);
            for change in &changes {
                let before = state.config_version();
                state.apply(change);
                assert!(state.config_version() >= before);
                if random.random_bool(0.3) {
                    let resent = changes[random.random_range(0..changes.len())].clone();
                    let includes = state.includes(&resent);
                    assert_eq!(state.apply(&resent), !includes);
                }
            }
        }
        assert_eq!(states[0], states[1], "seed {seed}");
        let [mut one, other] = states;
        assert!(!one.merge(&other));
    }
}

#[test]
fn each_version_has_its_own_deadline() {
    let mut named = NamedVersions::default();
    assert!(named.learn(2, Millis(1_000)));
    assert!(named.learn(3, Millis(4_000)));
    // An earlier time reported by another daemon is adopted.
    assert!(!named.learn(2, Millis(900)));
    assert_eq!(named.newest(), Some(3));
    assert_eq!(named.due(Millis(8_000), 8_000), None);
    assert_eq!(named.due(Millis(8_900), 8_000), Some(2));
    assert_eq!(named.due(Millis(12_000), 8_000), Some(3));
    assert_eq!(named.superseded_at(1), Some(Millis(900)));
    assert_eq!(named.superseded_at(2), Some(Millis(4_000)));
    assert_eq!(named.superseded_at(3), None);
}

#[test]
fn the_settings_that_are_deployed_can_be_read() {
    // Fills the placeholders of a template as the platform does. Sections are
    // kept, as in a deployment that sets the bound.
    let fill = |template: &str| {
        let mut text = String::new();
        for line in template.lines() {
            if line.starts_with("{{#") || line.starts_with("{{/") {
                text.push('\n');
                continue;
            }
            let value = match line.split_once("{{") {
                None => line.to_string(),
                Some((before, placeholder)) => {
                    let name = placeholder.trim_end_matches("|json}}");
                    let value = match name {
                        "Ip" => "\"10.0.0.1\"",
                        "Zones" => r#"{"hall-a":"region-a"}"#,
                        "PortRange" => "[7700,7715]",
                        "Seeds" => r#"["10.0.0.1:80"]"#,
                        "Bootstrap" => "true",
                        "DataDir" => "null",
                        _ if name.starts_with("Listen") || name == "app" => "\"10.0.0.1:81\"",
                        _ if name.starts_with("Bounds") || name.starts_with("Limits") => "2.5",
                        "FaultTolerance.Machines" | "HeartbeatMs" => "1",
                        _ => "\"name\"",
                    };
                    let value = if name.ends_with("MemoryMb") {
                        "128"
                    } else {
                        value
                    };
                    format!("{before}{value}")
                }
            };
            text.push_str(&value);
            text.push('\n');
        }
        text
    };
    let entry = Settings::parse(&fill(include_str!("../../../deploy/entry.yaml"))).unwrap();
    assert_eq!(entry.bounds.grace_ms, 2_500);
    assert_eq!(entry.bounds.cold_overshoot, 2.5);
    assert_eq!(entry.seed_peers(), vec!["10.0.0.1:7700".parse().unwrap()]);
    assert_eq!(entry.region_of("hall-a"), "region-a");
    assert_eq!(entry.bounds.evacuate_ms, 3);
    let section = "{{#Bounds.EvacuateMs}}\n  evacuate_ms: {{Bounds.EvacuateMs|json}}\n{{/Bounds.EvacuateMs}}\n";
    let without = include_str!("../../../deploy/entry.yaml").replace(section, "");
    let without = Settings::parse(&fill(&without)).unwrap();
    assert_eq!(without.bounds.evacuate_ms, 5_000);
    let agent = Settings::parse(&fill(include_str!("../../../deploy/agent.yaml"))).unwrap();
    assert_eq!(agent.engine, Some("10.0.0.1:81".parse().unwrap()));
    // Only a machine with a disk runs a control daemon.
    let template = include_str!("../../../deploy/control.yaml");
    let template = template.replace("{{DataDir|json}}", "\"/data\"");
    let control = Settings::parse(&fill(&template)).unwrap();
    assert_eq!(control.role, RoleSetting::Control);
    assert!(control.data_dir.is_some() && control.listen.frontend.is_none());
}

#[test]
fn a_deployment_without_bounds_on_cold_targets_gets_the_usual_ones() {
    let sound = "instance: a\nrole: agent\nip: 127.0.0.1\nhall: h\nregion: r\npeer_ports: [1,2]\nengine: 127.0.0.1:1\n";
    let bounds = Settings::parse(sound).unwrap().bounds;
    assert_eq!((bounds.cold_overshoot, bounds.cold_slack), (1.5, 5.0));
    for wrong in ["cold_overshoot: -1.0", "cold_slack: -1.0"] {
        let error = Settings::parse(&format!("{sound}bounds:\n  {wrong}\n")).unwrap_err();
        assert!(error.to_string().starts_with("MR-6003"), "{error}");
    }
    // Each optional field is in a section of its own.
    for template in [
        include_str!("../../../deploy/entry.yaml"),
        include_str!("../../../deploy/agent.yaml"),
    ] {
        for field in ["ColdOvershoot", "ColdSlack"] {
            let (_, rest) = template
                .split_once(&format!("{{{{#Bounds.{field}}}}}\n"))
                .unwrap();
            let (part, _) = rest
                .split_once(&format!("{{{{/Bounds.{field}}}}}\n"))
                .unwrap();
            assert_eq!(part.lines().count(), 1, "{part}");
        }
    }
}

#[test]
fn experiments_are_validated_and_absent_from_deployed_files() {
    let sound = "instance: a\nrole: agent\nip: 127.0.0.1\nhall: h\nregion: r\npeer_ports: [1,2]\nengine: 127.0.0.1:1\n";
    let with = |text: &str| Settings::parse(&format!("{sound}experiments: {text}\n"));
    let settings = with("{off: [waves]}").unwrap();
    assert!(!settings.experiments.is_enabled(Mechanism::Waves));
    assert!(settings.experiments.is_enabled(Mechanism::Fallback));
    for wrong in ["{off: [wave]}", "{of: [waves]}"] {
        let error = with(wrong).unwrap_err().to_string();
        assert!(error.starts_with("MR-6002"), "{error}");
    }
    let deployed = [
        include_str!("../../../deploy/entry.yaml"),
        include_str!("../../../deploy/agent.yaml"),
        include_str!("../../../deploy/control.yaml"),
    ];
    assert!(deployed.iter().all(|text| !text.contains("experiments")));
}

#[test]
fn wrong_settings_name_the_field() {
    let sound = "instance: a\nrole: agent\nip: 127.0.0.1\nhall: h\nregion: r\npeer_ports: [1,2]\nengine: 127.0.0.1:1\n";
    assert!(Settings::parse(sound).is_ok());
    let cases = [
        (
            sound.replace("peer_ports: [1,2]", "peer_ports: [3,2]"),
            "peer_ports",
        ),
        (sound.replace("engine: 127.0.0.1:1\n", ""), "engine"),
        (
            sound.replace("role: agent", "role: entry"),
            "listen.frontend",
        ),
        (sound.replace("instance: a\n", ""), "instance"),
        (sound.replace("role: agent", "role: control"), "data_dir"),
        (
            sound.replace("role: agent", "role: control\ndata_dir: /d"),
            "listen.control",
        ),
        (
            sound.replace(
                "role: agent",
                "role: control\ndata_dir: /d\nlisten: {control: '127.0.0.1:1', frontend: '127.0.0.1:2'}",
            ),
            "listen.frontend",
        ),
    ];
    for (text, field) in cases {
        let error = Settings::parse(&text).expect_err(field).to_string();
        assert!(error.contains(field), "{error}");
    }
}

/// Returns the rows of the table of result codes, by code.
fn result_rows() -> std::collections::BTreeMap<&'static str, &'static str> {
    let table = include_str!("../../../docs/errors/gateway.md");
    let rows = table.lines().filter(|line| line.starts_with("| MR-"));
    rows.map(|row| (row[2..].split(' ').next().unwrap(), row))
        .collect()
}

#[test]
fn every_own_response_is_documented_with_its_status() {
    use moleroad_gateway::front::answer::EntryError::*;
    let rows = result_rows();
    let all = [
        NoConfiguration,
        NoRoute,
        UnknownKey,
        BadRequest,
        BodyTimeout,
        TooLarge,
        NoPlace,
        Stopping,
        RejectedByTargets,
        DeadlinePassedNotRun,
        Broken,
        TimedOut,
    ];
    for own in all {
        let (status, number, text) = own.parts();
        let row = rows
            .get(number)
            .unwrap_or_else(|| panic!("no row for {number}"));
        assert!(row.contains(&format!("| {} |", status.as_u16())), "{row}");
        // The table and the answer must agree on whether the request was not
        // run.
        assert_eq!(
            row.contains("| not run |"),
            text.ends_with("not run"),
            "{row}"
        );
    }
}

#[test]
fn error_codes_in_the_sources_and_the_table_match() {
    let rows = result_rows();
    let sources = concat!(
        include_str!("../src/settings.rs"),
        include_str!("../src/management_api.rs"),
        include_str!("../src/hall_orders.rs"),
        include_str!("../src/front/answer.rs"),
        include_str!("../../moleroad_config/src/check.rs"),
        include_str!("../../../platform/src/main.rs"),
    );
    let mut used = std::collections::BTreeSet::new();
    for (at, _) in sources.match_indices("MR-") {
        used.insert(&sources[at..at + 7]);
    }
    let listed: std::collections::BTreeSet<&str> = rows.keys().copied().collect();
    assert_eq!(used, listed);
}

#[test]
fn every_setting_stands_in_the_reference() {
    let reference = include_str!("../../../docs/operations/gateway-settings.md");
    let source = include_str!("../src/settings.rs");
    let mut count = 0;
    for name in ["Settings", "Bounds"] {
        let start = format!("pub struct {name} {{");
        let (_, after) = source.split_once(&start).expect("the type");
        let (fields, _) = after.split_once("\n}").expect("its end");
        let mut renamed = None;
        for line in fields.lines().map(str::trim) {
            if let Some((_, rest)) = line.split_once("rename = \"") {
                renamed = rest.split('"').next();
            }
            let Some(field) = line.strip_prefix("pub ") else {
                continue;
            };
            let key = renamed.take().or(field.split(':').next()).expect("a key");
            assert!(
                reference.contains(&format!("| `{key}` |")),
                "no row for {key}"
            );
            count += 1;
        }
    }
    assert!(count > 20, "too few settings were found in the source");
}

#[test]
fn offers_are_bounded_and_removed_with_their_agent() {
    let agent = |number: u8| SocketAddr::from(([10, 0, 0, number], 7_000));
    let mut offers = Offers::default();
    for number in 0..50 {
        offers.add(2, 7, agent(number));
        offers.add(2, 7, agent(number));
    }
    // The first offers are kept: their agents have had the piece for longest.
    assert_eq!(offers.offered_by(2, 7), [agent(0), agent(1), agent(2)]);
    assert!(offers.offered_by(2, 8).is_empty());
    offers.add(2, 8, agent(1));
    offers.forget(agent(1));
    assert_eq!(offers.offered_by(2, 7), [agent(0), agent(2)]);
    assert!(offers.offered_by(2, 8).is_empty());
    for version in 3..40 {
        offers.add(version, 0, agent(9));
    }
    assert!(
        offers.offered_by(2, 7).is_empty(),
        "the number of versions is bounded"
    );
    assert_eq!(offers.offered_by(39, 0), [agent(9)]);
}

#[test]
fn an_idle_connection_is_kept_nearly_as_long_as_its_target_keeps_it() {
    let kept = |seconds| idle_limit(Some(Duration::from_secs(seconds)));
    assert_eq!(kept(10), Duration::from_millis(8_500));
    assert_eq!(kept(3), Duration::from_millis(1_500));
    assert_eq!(
        kept(1),
        Duration::ZERO,
        "the target may close it at any moment"
    );
    assert_eq!(idle_limit(None), Duration::from_secs(4));
}
