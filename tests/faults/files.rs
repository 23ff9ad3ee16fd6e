//! A folder that rejects writes for a while.

use crate::rig::*;
use crate::{EIO, ENOSPC, faulty_daemon};
use lab::faults::{Call, UNTIL_CLEARED};
use serde_json::{Value, json};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// The last valid configuration is stored for the next process as soon as the folder accepts writes.
#[test]
fn a_configuration_that_could_not_be_stored_is_stored_later() {
    for (call, errno) in [(Call::WriteFile, ENOSPC), (Call::WriteFile, EIO), (Call::Rename, EIO)] {
        let worker = Worker::over_tcp();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let first = faulty_daemon(&[&worker], settings());
        let mut old = first.spawn_beside(&listener);
        old.serves();
        let mut retuned = old.config.clone();
        retuned["settings"]["classes"][0]["worth"] = json!(7.0);
        old.faults().fail(call, errno, UNTIL_CLEARED).unwrap();
        assert!(old.reload(&retuned.to_string()).starts_with("offset="));
        old.faults().clear(call).unwrap();
        let kept = old.folder.at("mintgate-n0.json");
        let started = Instant::now();
        loop {
            let text = std::fs::read_to_string(&kept).unwrap_or_default();
            if serde_json::from_str::<Value>(&text).is_ok_and(|kept| kept == retuned) {
                break;
            }
            assert!(
                started.elapsed() < Duration::from_secs(10),
                "{call:?} {errno}: the old one is still stored: {text}"
            );
            thread::sleep(Duration::from_millis(20));
        }
    }
}
