//! Scale runs: their options, the files that they write, and that a seed determines the figures. Sizes are small, and
//! no figure is checked against a limit.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

use lab::scale::fit;
use lab::stand_ins::Folder;
use serde_json::Value;
use std::path::Path;
use std::process::{Command, Output};

fn scale(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lab"))
        .arg("scale")
        .args(arguments)
        .env_remove("MINTGATE_VERSION")
        .output()
        .unwrap()
}

fn error_of(arguments: &[&str]) -> String {
    let output = scale(arguments);
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success(), "{arguments:?} succeeded");
    assert!(!error.contains("point 1"), "a part has run: {error}");
    error
}

fn rows(path: &Path) -> Vec<Value> {
    let report: Value = serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap();
    report["rows"].as_array().unwrap().clone()
}

fn files(folder: &Folder) -> Vec<String> {
    let entries = std::fs::read_dir(&folder.0).unwrap();
    entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect()
}

#[test]
fn list_names_all_prepared_series() {
    let output = scale(&["--list"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let names: Vec<&str> = text.lines().filter_map(|line| line.split(' ').next()).collect();
    assert_eq!(names, ["schedulers", "workers", "functions", "changes", "regions"]);
}

/// An invalid option is named in the error, and nothing runs.
#[test]
fn invalid_options_and_sizes_are_rejected_before_anything_runs() {
    for (arguments, expected) in [
        (&["--hollow", "30000"][..], "--hollow 30000 is not between"),
        (&["--real", "1000"], "--real 1000 is not between"),
        (&["--workers", "0"], "--workers 0 is not between"),
        (&["--functions", "1000000"], "--functions 1000000 is not between"),
        (&["--seconds", "0"], "--seconds 0 is not between"),
        (&["--regions", "0"], "--regions 0 is not between"),
        (&["--faults=-1"], "--faults -1 is not between"),
        (&["--faults", "NaN"], "--faults NaN is not between"),
        (&["--changes", "inf"], "--changes inf is not between"),
        (&["--hollow", "many"], "invalid value 'many'"),
        (&["--speed", "9"], "unexpected argument '--speed'"),
        (&["--setup", "other"], "invalid value 'other'"),
        (&["--hollow", "0", "--real", "0", "--functions", "0"], "nothing to run"),
        (&["--program", "/no/such/program"], "there is no such file"),
        (&["--real", "300", "--workers", "200000"], "half of this machine's memory"),
        (&["tides"], "there is no series 'tides', but schedulers, workers"),
    ] {
        let error = error_of(arguments);
        assert!(error.contains(expected), "{arguments:?}: {error}");
    }
}

#[test]
fn an_unwritable_file_is_rejected_before_anything_runs() {
    let folder = Folder::new();
    let missing = folder.at("missing/rows.json");
    for path in [folder.0.as_path(), missing.as_path(), Path::new("/proc/rows.json"), Path::new("/")] {
        let error = error_of(&["--json", path.to_str().unwrap()]);
        assert!(error.contains("cannot write"), "{}: {error}", path.display());
    }
    assert!(files(&folder).is_empty());
}

/// A run that fails writes no partial report and keeps the previous file.
#[test]
fn a_failed_run_leaves_the_file_unchanged() {
    let folder = Folder::new();
    let path = folder.at("rows.json");
    std::fs::write(&path, "before").unwrap();
    let arguments = ["--hollow", "0", "--real", "1", "--functions", "0", "--program", "/bin/false", "--json"];
    let output = scale(&[&arguments[..], &[path.to_str().unwrap()]].concat());
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success() && error.contains("a scheduler did not log"), "{error}");
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "before");
    assert_eq!(files(&folder), ["rows.json"]);
}

const ROW_FIELDS: [&str; 8] = ["role", "quantity", "unit", "value", "hollow", "real", "workers", "functions"];

/// Checks the fields of every row, and that there are rows of these quantities for these roles.
fn check(rows: &[Value], measured: &str, setup: &str, wanted: &[(&str, &[&str])]) {
    for row in rows {
        for field in ROW_FIELDS {
            assert!(!row[field].is_null(), "{field} is missing in {row}");
        }
        assert!(row["value"].as_f64().is_some_and(|value| value.is_finite() && value >= 0.0), "{row}");
        assert!(["hollow", "real"].contains(&row["measured"].as_str().unwrap()), "{row}");
    }
    for (role, quantities) in wanted {
        for quantity in *quantities {
            let is = |row: &&Value| {
                row["role"] == *role
                    && row["quantity"] == *quantity
                    && row["measured"] == measured
                    && row["setup"] == setup
            };
            assert!(rows.iter().any(|row| is(&row)), "no {measured} row of {role} {quantity}");
        }
    }
}

const COST_QUANTITIES: [&str; 6] = [
    "control_bytes_per_second",
    "control_bytes_per_second_max",
    "messages_per_second",
    "cpu_percent_of_core",
    "resident_mb",
    "start_seconds",
];
const PROPAGATION_QUANTITIES: [&str; 3] =
    ["seconds_to_all_median", "seconds_to_all_p99", "seconds_to_all_last"];

#[test]
fn standalone_real_schedulers_are_measured() {
    let folder = Folder::new();
    let path = folder.at("rows.json");
    let text = path.to_str().unwrap();
    let output = scale(&[
        "--setup",
        "alone",
        "--hollow",
        "0",
        "--real",
        "2",
        "--workers",
        "40",
        "--functions",
        "10",
        "--seconds",
        "1",
        "--changes",
        "4",
        "--seed",
        "3",
        "--version-name",
        "v7",
        "--json",
        text,
    ]);
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.success(), "{error}");
    let rows = rows(&path);
    check(&rows, "real", "alone", &[("scheduler", &COST_QUANTITIES), ("scheduler", &PROPAGATION_QUANTITIES)]);
    check(
        &rows,
        "hollow",
        "alone",
        &[("scheduler", &["first_call_ms", "further_call_us", "kept_bytes_per_function"])],
    );
    assert!(rows.iter().all(|row| row["real"] == 2 && row["hollow"] == 0 && row["workers"] == 40));
    let report: Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
    assert_eq!((&report["version"], &report["seed"]), (&"v7".into(), &3.into()));
    assert!(report["command"].as_str().is_some_and(|command| command.starts_with("scale --setup alone")));
    assert_eq!(files(&folder), ["rows.json"]);
}

/// Whether a figure depends on the machine's speed or memory, so that it differs between runs.
fn is_machine_dependent(row: &Value) -> bool {
    let quantity = row["quantity"].as_str().unwrap();
    ["cpu", "resident", "configuration_seconds"].iter().any(|part| quantity.contains(part))
}

/// Runs one seed twice and another once, in virtual time, and compares the figures. Returns the rows of the first run.
fn same_seed_same_figures(setup: &str, hollow: &str) -> Vec<Value> {
    let folder = Folder::new();
    let run = |name: &str, seed: &str| -> Vec<Value> {
        let path = folder.at(name);
        let output = scale(&[
            "--setup",
            setup,
            "--hollow",
            hollow,
            "--real",
            "0",
            "--workers",
            "40",
            "--functions",
            "0",
            "--seconds",
            "3",
            "--changes",
            "2",
            "--faults",
            "1",
            "--regions",
            "2",
            "--seed",
            seed,
            "--json",
            path.to_str().unwrap(),
        ]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        rows(&path)
    };
    let same =
        |rows: &[Value]| rows.iter().filter(|row| !is_machine_dependent(row)).cloned().collect::<Vec<_>>();
    let first = run("first", "5");
    let (again, other) = (run("again", "5"), run("other", "6"));
    assert!(same(&first).len() >= 10);
    assert_eq!(same(&first), same(&again));
    assert_ne!(same(&first), same(&other));
    first
}

#[test]
fn one_seed_gives_the_same_figures_for_members() {
    let rows = same_seed_same_figures("members", "12");
    check(&rows, "hollow", "members", &[("scheduler", &COST_QUANTITIES), ("elector", &COST_QUANTITIES)]);
}

#[test]
fn one_seed_gives_the_same_figures_for_a_domain() {
    let rows = same_seed_same_figures("distribution", "30");
    for role in ["scheduler", "relay", "replica"] {
        check(&rows, "hollow", "distribution", &[(role, &COST_QUANTITIES), (role, &PROPAGATION_QUANTITIES)]);
    }
    let missing = rows.iter().filter(|row| row["quantity"].as_str().unwrap().ends_with("_missing"));
    assert!(
        missing.clone().count() >= 3 && missing.clone().all(|row| row["value"] == 0.0),
        "a change did not arrive"
    );
}

#[test]
fn a_fit_distinguishes_flat_straight_and_curved_figures() {
    let fit = |values: [f64; 3]| {
        let points: Vec<(f64, f64)> = [500.0, 2_000.0, 6_000.0].into_iter().zip(values).collect();
        fit("x".into(), "s".into(), &points).unwrap()
    };
    let flat = fit([10.0, 10.4, 9.8]);
    assert_eq!(flat.shape, "flat");
    let straight = fit([15.0, 45.2, 125.0]);
    assert_eq!(straight.shape, "straight");
    assert!((straight.slope - 0.02).abs() < 0.001 && (straight.intercept - 5.0).abs() < 1.0, "{straight}");
    let square = fit([0.25, 4.0, 36.0]);
    assert_eq!(square.shape, "curve");
    assert!(square.power.is_some_and(|power| (power - 2.0).abs() < 0.01), "{square}");
    assert!(square.to_string().contains("a curve, about the power 2.00"), "{square}");
    assert!(lab::scale::fit("x".into(), "s".into(), &[(1.0, 1.0), (2.0, 2.0)]).is_none());
}
