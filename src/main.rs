//! The scheduler as a program: reads its configuration and serves until a signal ends it.
#![forbid(unsafe_code)]

use mintgate::config::Sources;
use mintgate::daemon;
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
        [] => None,
        [flag, path] if flag == "--operator" => Some(path.into()),
        _ => return Err("usage: mintgate [--operator FILE]".to_owned()),
    };
    let config = std::env::var_os("GW_CONFIG").ok_or("GW_CONFIG names no configuration")?.into();
    let mgmt = match std::env::var("GW_MGMT") {
        Ok(text) if !text.is_empty() => {
            Some(text.parse().map_err(|_| format!("GW_MGMT is '{text}', no address"))?)
        }
        _ => None,
    };
    let passed = match std::env::var("GW_PASSED_SOCKET") {
        Ok(text) if !text.is_empty() => {
            Some(text.parse().map_err(|_| format!("GW_PASSED_SOCKET is '{text}', no number"))?)
        }
        _ => None,
    };
    let sources = Sources { config, operator, mgmt, passed };
    let name = std::env::var("GW_NAME").unwrap_or_default();
    let (config, operator) = daemon::fall_back(&sources, &name)?;
    daemon::run(config, operator, sources).map_err(|e| format!("cannot serve: {e}"))
}
