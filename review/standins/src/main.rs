//! Plays one case: `standins CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

mod bus;
mod chain_refusal;
mod keyless;
mod paused_master;
mod slow_readers;
mod unread_cancel;
mod rpc;
mod run_box;
mod settings;
mod util;
mod withdrawn_flood;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("standins CASE RECORD");
        std::process::exit(2);
    };
    util::begin(Path::new(record));
    util::note(&format!("{case}, {} its disruption", if util::trouble() { "with" } else { "without" }));
    let play = || match case.as_str() {
        "chain-refusal" => chain_refusal::play(),
        "paused-master" => paused_master::play(),
        "unread-cancel" => unread_cancel::play(),
        "slow-readers" => slow_readers::play(),
        "withdrawn-flood" => withdrawn_flood::play(64, 2).killed,
        // Tried beside the cases; see the report.
        "flood-late" => {
            let outcome = withdrawn_flood::play(192, 8);
            outcome.late > 0 || outcome.never > 0
        }
        "keyless" => keyless::play(),
        _ => panic!("no such case"),
    };
    let code = match std::panic::catch_unwind(std::panic::AssertUnwindSafe(play)) {
        Ok(broken) => i32::from(broken),
        Err(_) => 2,
    };
    util::note(["the rule held", "the rule was broken", "the case could not run"][code as usize]);
    util::end(code)
}
