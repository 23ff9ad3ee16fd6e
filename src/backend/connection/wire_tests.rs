//! The IDs of load commands and probes sent to workers. Workers that know fences parse them.

use super::*;

#[test]
fn loads_and_probes_keep_their_ids() {
    let fenced = Some(Fenced { part: 63, fence: 300 });
    assert_eq!(WorkerConnection::load_rid(LoadId { number: 7, lease: None }), "load-7");
    assert_eq!(WorkerConnection::load_rid(LoadId { number: 7, lease: fenced }), "load-7-63.300");
    assert_eq!(WorkerConnection::probe_rid(ProbeId { number: 8, lease: None }), "probe-8");
    assert_eq!(WorkerConnection::probe_rid(ProbeId { number: 8, lease: fenced }), "probe-8-63.300");
}
