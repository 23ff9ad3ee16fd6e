//! The soak on a few fixed seeds: one for each of its deadlines, with both graces among them.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on ends there")]

use lab::soak::{Options, run};

#[test]
fn no_rule_is_broken_on_the_fixed_seeds() {
    let options = Options {
        seed: 102,
        seeds: 3,
        schedulers: 8,
        workers: 12,
        seconds: 20.0,
        calls: 120.0,
        only: vec![],
        out: None,
        shrink: false,
    };
    assert!(run(&options, env!("CARGO_BIN_EXE_lab").as_ref()).unwrap(), "see the lines above");
}
