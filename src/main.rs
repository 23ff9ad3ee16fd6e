//! The scheduler as a program: reads its configuration and serves until a signal ends it.
#![forbid(unsafe_code)]

use mintgate::config::Sources;
use mintgate::daemon;
use std::process::ExitCode;
use std::str::FromStr;

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
    let (mgmt, passed) = (told("GW_MGMT", "address")?, told("GW_PASSED_SOCKET", "number")?);
    let sources = Sources { config, operator, mgmt, passed };
    let name = std::env::var("GW_NAME").unwrap_or_default();
    let (config, operator) = daemon::fall_back(&sources, &name)?;
    daemon::run(config, operator, sources).map_err(|e| format!("cannot serve: {e}"))
}

/// What the environment says under this name, if anything.
fn told<T: FromStr>(name: &str, what: &str) -> Result<Option<T>, String> {
    match std::env::var(name) {
        Ok(text) if !text.is_empty() => {
            text.parse().map(Some).map_err(|_| format!("{name} is '{text}', no {what}"))
        }
        _ => Ok(None),
    }
}
