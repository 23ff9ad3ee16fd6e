//! The soak test on a few fixed seeds, one for each deadline; both grace periods occur among them.

#![allow(clippy::unwrap_used, reason = "a test that cannot continue fails at once")]

use lab::soak::{Options, run};

#[test]
fn no_rule_is_violated_on_the_fixed_seeds() {
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
    assert!(
        run(&options, env!("CARGO_BIN_EXE_lab").as_ref()).unwrap(),
        "a rule was violated, see the lines above"
    );
}
