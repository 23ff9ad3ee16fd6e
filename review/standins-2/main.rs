//! The cases of the second review: `trial NAME` plays one. Built by `review/build-2.sh`.
#![allow(dead_code)]

mod cancelled;
mod common;
mod fleet;
mod idle;
mod keyless;
mod lines;
mod pieces;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("cancelled") => cancelled::play(),
        Some("idle") => idle::play(),
        Some("keyless") => keyless::play(),
        Some("lines") => lines::play(),
        Some("pieces") => pieces::play(),
        _ => {
            eprintln!("usage: trial NAME");
            std::process::exit(2)
        }
    }
}
