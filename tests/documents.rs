//! Checks that the documentation is consistent with the code.

use moleroad_settings::prelude::*;
use moleroad_types::prelude::*;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: impl AsRef<Path>) -> String {
    let path = root().join(path);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn files_below(folder: &Path, ending: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.is_dir() && !path.ends_with("target") {
            found.extend(files_below(&path, ending));
        } else if path.to_string_lossy().ends_with(ending) {
            found.push(path);
        }
    }
    found
}

#[test]
fn sample_settings_are_valid() {
    let samples = files_below(&root().join("examples/settings"), ".yaml");
    assert_eq!(samples.len(), 8, "four samples for each of two deployments");
    for sample in samples {
        Settings::from_file(&sample).unwrap_or_else(|error| panic!("{error}"));
    }
}

#[test]
fn every_setting_stands_in_the_reference() {
    let source = read("crates/moleroad_settings/src/settings.rs");
    let reference = read("docs/operations/settings.md");
    let mut count = 0;
    for name in [
        "SettingsFile",
        "EntrySettings",
        "ControlSettings",
        "OperatorSettings",
        "OriginSettings",
        "AgentSettings",
    ] {
        let (_, after) = source
            .split_once(&format!("struct {name} {{"))
            .expect("the settings type");
        let (fields, _) = after
            .split_once("\n}")
            .expect("the end of the settings type");
        let keys = fields
            .lines()
            .map(str::trim)
            .filter(|line| !line.starts_with(['/', '#']));
        for key in keys
            .filter_map(|line| line.trim_start_matches("pub ").split_once(':'))
            .map(|(key, _)| key)
        {
            assert!(
                reference.contains(&format!("| `{key}` |")),
                "docs/operations/settings.md lacks {key}"
            );
            count += 1;
        }
    }
    assert!(count > 30, "the settings types must be found in the source");
}

#[test]
fn sample_objects_are_valid() {
    let objects: Vec<Object> = serde_saphyr::from_multiple(&read("examples/objects.yaml")).unwrap();
    assert_eq!(objects.len(), 5);
    for object in objects {
        moleroad_state::validate::validate(&object).unwrap_or_else(|error| panic!("{error}"));
    }
}

#[test]
fn every_result_code_is_documented() {
    let table = read("docs/errors/README.md");
    for code in ResultCode::ALL {
        let execution = serde_json::to_value(code.execution()).unwrap();
        let execution = execution.as_str().unwrap().replace('_', " ");
        let row = format!(
            "| {code} | {} | {execution} | {} | {} |",
            code.http_status(),
            code.summary(),
            code.action()
        );
        assert!(
            table.contains(&row),
            "docs/errors/README.md lacks this row:\n{row}"
        );
    }
    let rows = table
        .lines()
        .filter(|line| line.starts_with("| MR-"))
        .count();
    assert_eq!(
        rows,
        ResultCode::ALL.len(),
        "the table has a row without a result code"
    );
}

#[test]
fn result_codes_have_distinct_numbers_in_order() {
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b));
}

#[test]
fn proofs_name_tests_that_exist() {
    let sources = files_below(&root().join("crates"), ".rs")
        .into_iter()
        .chain(files_below(&root().join("platform"), ".rs"))
        .chain(files_below(&root().join("tests"), ".rs"));
    let code: String = sources.map(read).collect();
    let code = code.replace("#[tokio::test]", "#[test]");
    let tests: BTreeSet<&str> = code
        .split("#[test]")
        .skip(1)
        .filter_map(|after| {
            after
                .split_once("fn ")
                .and_then(|(_, rest)| rest.split_once('('))
        })
        .map(|(name, _)| name)
        .collect();
    let proofs = read("docs/PROOFS.md");
    let named = proofs
        .split('`')
        .skip(1)
        .step_by(2)
        .filter(|word| word.starts_with("test:"));
    let mut count = 0;
    for name in named {
        let name = name.trim_start_matches("test:");
        assert!(
            tests.contains(name),
            "docs/PROOFS.md names a test that does not exist: {name}"
        );
        count += 1;
    }
    assert!(count > 10, "docs/PROOFS.md must name tests");
}

#[test]
fn documents_that_others_link_to_exist() {
    for document in files_below(root(), ".md") {
        let text = read(&document);
        let targets = text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split_once(')'))
            .map(|(target, _)| target);
        for target in
            targets.filter(|target| !target.starts_with("http") && !target.starts_with('#'))
        {
            let target = target.split('#').next().unwrap_or(target);
            let path = document.parent().unwrap().join(target);
            assert!(
                path.exists(),
                "{} links to {target}, which does not exist",
                document.display()
            );
        }
    }
}
