//! The `mintgate` program: reads the configuration and serves until a signal ends it.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand, ValueEnum};
use mintgate::config::Sources;
use mintgate::{daemon, log};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Schedules short requests over workers that load programs on demand.
///
/// Without a command it serves until a signal ends it. GW_CONFIG names its configuration file.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The operator's file.
    #[arg(long, global = true, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Format of the log lines.
    #[arg(long, value_enum, default_value_t = Form::Lines)]
    log: Form,
    /// Also log each request, attempt and connection: many lines per request.
    #[arg(long)]
    trace: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

/// The values of `--log`.
#[derive(Clone, Copy, ValueEnum)]
enum Form {
    /// As docs/on-call.md shows them.
    Lines,
    /// One JSON object per line.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Check whether the daemon would start with the configuration and the operator's file.
    Check,
    /// Query a running scheduler about its fleet.
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Show the fleet's members, and which of them holds which task.
    Status {
        /// The scheduler's second address.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let form = match arguments.log {
        Form::Lines => log::Form::Lines,
        Form::Json => log::Form::Json,
    };
    log::start(form, arguments.trace);
    let done = match arguments.command {
        None => Sources::from_env(arguments.operator).map_err(String::from).and_then(daemon::start),
        Some(Command::Check) => check(arguments.operator),
        Some(Command::Fleet { command: FleetCommand::Status { at } }) => query(at, "/api/fleet"),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            tracing::error!("{text}");
            ExitCode::FAILURE
        }
    }
}

/// Reads both files and prints a summary.
fn check(operator: Option<PathBuf>) -> Result<(), String> {
    let (config, operator) = Sources::from_env(operator)?.read()?;
    println!("configuration: good, {} classes", config.site.settings.classes.len());
    if let Some(fleet) = operator.fleet {
        println!("fleet {}: {} electors, term {} ms", fleet.name, fleet.electors.len(), fleet.term_ms);
    }
    if let Some(domain) = operator.distribution {
        println!("distribution {}: {:?}", domain.name, domain.role);
    }
    Ok(())
}

/// Sends a GET request to a scheduler's second address and prints the body of the answer.
fn query(at: SocketAddr, path: &str) -> Result<(), String> {
    let limit = Duration::from_secs(2);
    let answer = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, limit)?;
        stream.set_read_timeout(Some(limit))?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: {at}\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    let text = answer().map_err(|e| format!("no answer from {at}: {e}"))?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(|| format!("incomplete answer from {at}"))?;
    if head.split(' ').nth(1) != Some("200") {
        return Err(format!("{at} answered with an error: {}", body.trim_end()));
    }
    print!("{body}");
    Ok(())
}
