//! The scheduler as a program: reads its configuration and serves until a signal ends it.
#![forbid(unsafe_code)]

use mintgate::{config, daemon};
use std::path::Path;
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
    let operator = match std::env::args_os().skip(1).collect::<Vec<_>>().as_slice() {
        [] => config::Operator::default(),
        [flag, path] if flag == "--operator" => {
            let path = Path::new(path);
            let text = std::fs::read_to_string(path)
                .map_err(|e| format!("operator's file: cannot read {}: {e}", path.display()))?;
            config::read_operator(&text)?
        }
        _ => return Err("usage: mintgate [--operator FILE]".to_owned()),
    };
    let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG names no configuration".to_owned())?;
    let text = std::fs::read(&path).map_err(|e| format!("configuration: cannot read {path}: {e}"))?;
    daemon::run(config::read(&text)?, operator).map_err(|e| format!("cannot serve: {e}"))
}
