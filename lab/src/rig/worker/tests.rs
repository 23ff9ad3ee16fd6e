use super::*;
use rand::SeedableRng;

fn go(n: usize) -> Value {
    json!({"verb": "go", "rid": n.to_string(), "attrs": {"name": "f", "ttl": 1000}, "content": "aGk="})
}

#[test]
fn calls_wait_for_lanes_and_for_one_load() {
    let (mut rng, mut store) = (SmallRng::seed_from_u64(1), Store::new());
    let mut worker = SimulatedWorker::new(Kind { lanes: 1, queue: 2, ..Kind::default() });
    let mut out = vec![];
    for n in 0..4 {
        assert!(!worker.receive_line(0, 1, &go(n), &mut store, &mut out));
        worker.advance(0, &mut store, &mut rng, &mut out);
    }
    assert_eq!(out.len(), 1, "one runs and two wait: {out:?}");
    assert!(out.pop().unwrap().1.contains("503"));
    (0..600).for_each(|ms| worker.advance(ms * MILLISECOND, &mut store, &mut rng, &mut out));
    assert_eq!((out.len(), store.loads), (3, 1));
    assert!(out.iter().all(|(_, line)| line.contains("\"200\"")));
}

#[test]
fn a_cold_worker_crashes_under_a_load_that_a_warm_one_serves() {
    let (mut store, mut out) = (Store::new(), vec![]);
    let mut warm = SimulatedWorker::new(Kind::default());
    let mut cold = SimulatedWorker::new(Kind::default());
    cold.start(0);
    let mut crashed = (false, false);
    for n in 0..240 {
        let now = n as u64 * 5 * MILLISECOND;
        crashed.0 |= warm.receive_line(now, 1, &go(n), &mut store, &mut out);
        crashed.1 |= cold.receive_line(now, 1, &go(n), &mut store, &mut out);
    }
    assert_eq!(crashed, (false, true));
}

#[test]
fn a_draining_worker_finishes_its_calls_and_rejects_new_ones() {
    let (mut rng, mut store) = (SmallRng::seed_from_u64(1), Store::new());
    let mut worker = SimulatedWorker::new(Kind::default());
    let mut out = vec![];
    worker.receive_line(0, 1, &go(0), &mut store, &mut out);
    worker.advance(0, &mut store, &mut rng, &mut out);
    worker.draining = Some(0);
    let load = json!({"verb": "stage", "rid": "load-1", "attrs": {"name": "f", "replicas": 1}});
    let query = json!({"verb": "stage", "rid": "load-2", "attrs": {"name": "f", "replicas": 0}});
    let probe = json!({"verb": "stat", "rid": "probe-1"});
    for line in [&go(1), &load, &query, &probe] {
        worker.receive_line(MILLISECOND, 1, line, &mut store, &mut out);
    }
    let verbs: Vec<String> = out
        .iter()
        .map(|(_, line)| serde_json::from_str::<Value>(line).unwrap()["verb"].as_str().unwrap().to_owned())
        .collect();
    assert_eq!(verbs, ["503", "503", "200", "dead"]);
    out.clear();
    (0..600).for_each(|ms| worker.advance(ms * MILLISECOND, &mut store, &mut rng, &mut out));
    assert!(out.len() == 1 && out[0].1.contains("\"200\""), "{out:?}");
}
