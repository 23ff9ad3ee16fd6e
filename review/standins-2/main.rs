//! The cases of the second review: `trial NAME` plays one. Built by `review/build-2.sh`.
#![allow(dead_code)]

mod common;
mod keyless;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("keyless") => keyless::play(),
        _ => {
            eprintln!("usage: trial NAME");
            std::process::exit(2)
        }
    }
}
