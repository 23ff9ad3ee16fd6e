//! The scheduler as a program: reads its configuration and serves until a signal ends it.
#![forbid(unsafe_code)]

use mintgate::{config, daemon};
use std::process::ExitCode;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("mintgate: {text}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG names no configuration".to_owned())?;
    let text = std::fs::read(&path).map_err(|e| format!("configuration: cannot read {path}: {e}"))?;
    daemon::run(config::read(&text)?).map_err(|e| format!("cannot serve: {e}"))
}
