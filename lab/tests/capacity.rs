//! The capacity page agrees with its data, and the check reports every disagreement. Independent of timing.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

use lab::capacity::{self, Fit, Reading, Shape};
use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap().to_owned()
}

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let path = entry.unwrap().path();
        let target = to.join(path.file_name().unwrap());
        if path.is_dir() {
            copy(&path, &target);
        } else {
            std::fs::write(&target, std::fs::read(&path).unwrap()).unwrap();
        }
    }
}

/// A copy of page and data with an additional, made-up run and measure; deleted on drop.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Scratch {
        let root = std::env::temp_dir().join(format!("capacity-{name}-{}", std::process::id()));
        copy(&repository().join("lab/capacity"), &root.join("lab/capacity"));
        copy(&repository().join("docs"), &root.join("docs"));
        let scratch = Scratch(root);
        let rows = [(1_000, 2.0), (10_000, 11.0), (46_000, 47.0)]
            .map(|(workers, value)| {
                format!(
                    r#"{{"role":"made-up","quantity":"made_up","unit":"MB","value":{value},"hollow":0,"real":20,
                    "workers":{workers},"functions":0,"measured":"real","setup":"alone"}}"#
                )
            })
            .join(",");
        scratch.put("lab/capacity/runs/made-up.json", &run("lab scale made-up", "abc", &rows));
        // Replaces a measure that tables use, so that the test does not depend on recorded runs.
        scratch.edit("lab/capacity/measures.toml", |text| {
            let others = text.split("[[measure]]").filter(|each| !each.contains("\"memory_mb\""));
            let others = others.collect::<Vec<_>>().join("[[measure]]");
            format!(
                "{others}\n[[measure]]\nname = \"memory_mb\"\nrun = \"made-up\"\nrole = \"made-up\"\n\
                 quantity = \"made_up\"\nalong = \"workers\"\n"
            )
        });
        scratch
    }

    fn put(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).unwrap();
    }

    fn text(&self, name: &str) -> String {
        std::fs::read_to_string(self.0.join(name)).unwrap()
    }

    fn edit(&self, name: &str, edit: impl FnOnce(&str) -> String) {
        let text = self.text(name);
        let edited = edit(&text);
        assert_ne!(text, edited, "the edit left {name} unchanged");
        self.put(name, &edited);
    }

    /// The error text of a check that must fail.
    fn error_text(&self) -> String {
        capacity::check(&self.0).unwrap_err().join("\n")
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(command: &str, version: &str, rows: &str) -> String {
    format!(r#"{{"command":"{command}","version":"{version}","seed":1,"rows":[{rows}]}}"#)
}

#[test]
fn repository_page_and_data_agree() {
    if let Err(errors) = capacity::check(&repository()) {
        panic!("run `cargo run --release -p lab -- capacity`:\n{}", errors.join("\n"));
    }
}

#[test]
fn written_page_passes_the_check_and_rewriting_is_idempotent() {
    let scratch = Scratch::new("written");
    assert!(scratch.error_text().contains("table `scheduler`"), "{}", scratch.error_text());
    capacity::write(&scratch.0).unwrap();
    capacity::check(&scratch.0).unwrap();
    let first = scratch.text("docs/CAPACITY.md");
    assert!(
        first.contains("| memory, list of the fleet | 47 MB | 256 MB | holds (18.4% of it) | measured |")
    );
    assert!(first.contains("lab scale made-up"));
    capacity::write(&scratch.0).unwrap();
    assert_eq!(first, scratch.text("docs/CAPACITY.md"));
}

#[test]
fn changed_figure_is_reported_with_its_table() {
    let scratch = Scratch::new("figure");
    capacity::write(&scratch.0).unwrap();
    scratch.edit("docs/CAPACITY.md", |page| page.replace("| 47 MB |", "| 46 MB |"));
    let error_text = scratch.error_text();
    assert!(error_text.contains("table `scheduler`: page and data differ"), "{error_text}");
    assert!(error_text.contains("46 MB") && error_text.contains("47 MB"), "{error_text}");
}

#[test]
fn changed_run_target_or_assumption_is_reported() {
    let scratch = Scratch::new("run");
    capacity::write(&scratch.0).unwrap();
    scratch.edit("lab/capacity/runs/made-up.json", |run| run.replace("47", "300"));
    assert!(scratch.error_text().contains("table `scheduler`"));
    capacity::write(&scratch.0).unwrap();
    assert!(scratch.text("docs/CAPACITY.md").contains("**over 1.17 times**"));
    let targets = scratch.text("lab/capacity/targets.toml");
    scratch.edit("lab/capacity/targets.toml", |text| text.replace("value = 18000", "value = 18001"));
    let error_text = scratch.error_text();
    assert!(error_text.contains("table `targets`") && error_text.contains("table `sizes`"), "{error_text}");
    assert!(
        error_text.contains("`18000` is neither a target nor an assumption"),
        "the prose quotes it: {error_text}"
    );
    assert!(capacity::write(&scratch.0).is_err());
    scratch.put("lab/capacity/targets.toml", &targets);
    scratch.edit("lab/capacity/assumptions.toml", |text| text.replace("value = 600\n", "value = 601\n"));
    let error_text = scratch.error_text();
    assert!(
        error_text.contains("table `assumptions`") && error_text.contains("table `cold-starts`"),
        "{error_text}"
    );
}

#[test]
fn missing_run_or_missing_run_fields_are_reported() {
    let scratch = Scratch::new("missing");
    capacity::write(&scratch.0).unwrap();
    let file = "lab/capacity/runs/made-up.json";
    let good = scratch.text(file);
    std::fs::remove_file(scratch.0.join(file)).unwrap();
    let error_text = scratch.error_text();
    assert!(
        error_text.contains("table `slopes`") && error_text.contains("`made-up`, which is missing"),
        "{error_text}"
    );
    for (field, without) in [
        ("command", good.replace("lab scale made-up", " ")),
        ("version", good.replace("\"version\":\"abc\",", "")),
        ("rows", run("lab scale made-up", "abc", "")),
    ] {
        scratch.put(file, &without);
        let error_text = scratch.error_text();
        assert!(error_text.contains("table `runs`") && error_text.contains(field), "{error_text}");
        assert!(capacity::write(&scratch.0).is_err());
    }
    scratch.put(file, &good.replace("made_up", "other"));
    assert!(scratch.error_text().contains("no row of run `made-up` matches measure `memory_mb`"));
    scratch.put(file, &good);
    capacity::check(&scratch.0).unwrap();
}

#[test]
fn missing_duplicate_and_unknown_markers_are_reported_and_nothing_is_written() {
    let scratch = Scratch::new("markers");
    capacity::write(&scratch.0).unwrap();
    let good = scratch.text("docs/CAPACITY.md");
    for (from, to, error_text) in [
        ("<!-- table reach -->\n", "", "table `reach`"),
        ("<!-- end reach -->", "", "table `reach`"),
        (
            "<!-- end homes -->",
            "<!-- end homes -->\n<!-- table homes -->\n<!-- end homes -->",
            "table `homes`",
        ),
        (
            "<!-- table runs -->",
            "<!-- table other -->\n<!-- end other -->\n<!-- table runs -->",
            "table `other`",
        ),
    ] {
        let page = good.replace(from, to);
        assert_ne!(page, good);
        scratch.put("docs/CAPACITY.md", &page);
        assert!(scratch.error_text().contains(error_text), "{}", scratch.error_text());
        assert!(capacity::write(&scratch.0).is_err());
        assert_eq!(scratch.text("docs/CAPACITY.md"), page);
    }
}

#[test]
fn prose_figure_that_is_neither_target_nor_assumption_is_reported() {
    let scratch = Scratch::new("prose");
    capacity::write(&scratch.0).unwrap();
    let good = scratch.text("docs/CAPACITY.md");
    scratch.put("docs/CAPACITY.md", &format!("{good}\nOf 18,000 schedulers, 1.5 s, and `MAX = 7`.\n"));
    capacity::check(&scratch.0).unwrap();
    scratch.put("docs/CAPACITY.md", &format!("{good}\nIt takes 17.3 s in all.\n"));
    let error_text = scratch.error_text();
    assert!(error_text.contains("prose, line") && error_text.contains("`17.3`"), "{error_text}");
}

#[test]
fn unused_measure_duplicate_name_and_missing_target_are_reported() {
    let scratch = Scratch::new("names");
    capacity::write(&scratch.0).unwrap();
    let good = scratch.text("lab/capacity/measures.toml");
    let another = |name: &str| {
        format!(
            "{good}\n[[measure]]\nname = \"{name}\"\nrun = \"made-up\"\nrole = \"made-up\"\nquantity = \"made_up\"\n"
        )
    };
    scratch.put("lab/capacity/measures.toml", &another("nobody_asks"));
    assert!(scratch.error_text().contains("`nobody_asks` is used by no table"));
    scratch.put("lab/capacity/measures.toml", &another("memory_mb"));
    assert!(scratch.error_text().contains("`memory_mb` is defined twice"));
    scratch.put("lab/capacity/measures.toml", &good);
    scratch.edit("lab/capacity/targets.toml", |text| text.replace("\"schedulers\"", "\"others\""));
    assert!(scratch.error_text().contains("target `schedulers` is missing"));
}

#[test]
fn line_is_recognised_and_extrapolated() {
    let fit = Fit::from_points(&[(1_000.0, 3.0), (2_000.0, 5.0), (10_000.0, 21.0)]).unwrap();
    assert_eq!(fit.shape, Shape::Line, "{fit:?}");
    assert!((fit.slope - 0.002).abs() < 1e-12 && (fit.intercept - 1.0).abs() < 1e-9);
    assert!((fit.r_squared - 1.0).abs() < 1e-12);
    assert_eq!(fit.value_at(2_000.0), Reading::Measured(5.0));
    assert_eq!(fit.value_at(6_000.0), Reading::Interpolated(13.0));
    assert!(matches!(fit.value_at(20_000.0), Reading::Extrapolated(value) if (value - 41.0).abs() < 1e-9));
}

#[test]
fn power_law_is_recognised_and_extrapolated_by_its_power() {
    let square = |x: f64| (x, 3.0 * x * x);
    let fit = Fit::from_points(&[square(10.0), square(40.0), square(100.0), square(400.0)]).unwrap();
    assert!(matches!(fit.shape, Shape::PowerLaw(power) if (power - 2.0).abs() < 1e-9), "{:?}", fit.shape);
    assert!(
        matches!(fit.value_at(4_000.0), Reading::Extrapolated(value) if (value / 48e6 - 1.0).abs() < 1e-6)
    );
}

#[test]
fn noisy_line_is_recognised_as_a_line() {
    let noisy = [(4.0, 0.25), (16.0, 1.75), (46.0, 5.0)];
    assert_eq!(Fit::from_points(&noisy).unwrap().shape, Shape::Line);
}

#[test]
fn flat_points_use_their_maximum_and_scattered_points_are_not_extrapolated() {
    let flat = Fit::from_points(&[(500.0, 10.1), (2_000.0, 10.0), (6_000.0, 10.2)]).unwrap();
    assert_eq!(flat.shape, Shape::Flat);
    assert_eq!(flat.value_at(18_000.0), Reading::Extrapolated(10.2));
    let scattered = Fit::from_points(&[(1.0, 5.0), (2.0, 1.0), (3.0, 9.0), (4.0, 2.0)]).unwrap();
    assert_eq!(scattered.shape, Shape::Scattered);
    assert_eq!(scattered.value_at(100.0), Reading::None);
    let two_points = Fit::from_points(&[(1.0, 1.0), (2.0, 2.0)]).unwrap();
    assert_eq!(two_points.value_at(3.0), Reading::None, "two points are too few to extrapolate");
    assert!(Fit::from_points(&[]).is_none());
}

#[test]
fn spread_of_points_at_one_position_counts_in_the_fit() {
    let small_spread =
        Fit::from_points(&[(1.0, 1.0), (1.0, 1.02), (2.0, 2.0), (2.0, 2.02), (3.0, 3.0)]).unwrap();
    assert_eq!(small_spread.shape, Shape::Line);
    assert_eq!(small_spread.value_at(1.0), Reading::Measured(1.01));
    let large_spread =
        Fit::from_points(&[(1.0, 0.1), (1.0, 4.0), (2.0, 0.1), (2.0, 6.0), (3.0, 0.2), (3.0, 8.0)]).unwrap();
    assert!(large_spread.r_squared < 0.5, "{}", large_spread.r_squared);
    assert_eq!(large_spread.shape, Shape::Scattered);
}
