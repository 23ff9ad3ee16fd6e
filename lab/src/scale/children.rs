//! Runs a part of a scale run in a child process.

use super::{Part, Plan, Row};
use clap::ValueEnum;
use std::io::Write;
use std::process::{Command, Stdio};

/// Runs a part in a child process and returns its rows.
pub fn run(plan: &Plan, part: Part) -> Result<Vec<Row>, String> {
    let error = |what: &str, why: &dyn std::fmt::Display| format!("{part:?}: {what}: {why}");
    let program = std::env::current_exe().map_err(|e| error("cannot find this program", &e))?;
    let name = part.to_possible_value().map(|value| value.get_name().to_owned()).unwrap_or_default();
    let text = serde_json::to_string(plan).map_err(|e| error("cannot write the plan", &e))?;
    let mut child = Command::new(program)
        .args(["scale-part", &name])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|e| error("cannot start", &e))?;
    if let Some(mut input) = child.stdin.take() {
        input.write_all(text.as_bytes()).map_err(|e| error("cannot pass the plan", &e))?;
    }
    let output = child.wait_with_output().map_err(|e| error("cannot wait", &e))?;
    if !output.status.success() {
        return Err(error("failed", &output.status));
    }
    serde_json::from_slice(&output.stdout).map_err(|e| error("unreadable rows", &e))
}
