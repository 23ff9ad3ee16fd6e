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
        assert!(!worker.hear(0, 1, &go(n), &mut store, &mut out));
        worker.turn(0, &mut store, &mut rng, &mut out);
    }
    assert_eq!(out.len(), 1, "one runs and two wait: {out:?}");
    assert!(out.pop().unwrap().1.contains("503"));
    (0..600).for_each(|ms| worker.turn(ms * MS, &mut store, &mut rng, &mut out));
    assert_eq!((out.len(), store.loads), (3, 1));
    assert!(out.iter().all(|(_, line)| line.contains("\"200\"")));
}

#[test]
fn a_cold_one_falls_over_under_what_a_warm_one_bears() {
    let (mut store, mut out) = (Store::new(), vec![]);
    let mut warm = SimulatedWorker::new(Kind::default());
    let mut cold = SimulatedWorker::new(Kind::default());
    cold.start(0);
    let mut fell = (false, false);
    for n in 0..240 {
        let now = n as u64 * 5 * MS;
        fell.0 |= warm.hear(now, 1, &go(n), &mut store, &mut out);
        fell.1 |= cold.hear(now, 1, &go(n), &mut store, &mut out);
    }
    assert_eq!(fell, (false, true));
}

#[test]
fn one_that_drains_finishes_what_it_has_and_says_that_it_takes_no_more() {
    let (mut rng, mut store) = (SmallRng::seed_from_u64(1), Store::new());
    let mut worker = SimulatedWorker::new(Kind::default());
    let mut out = vec![];
    worker.hear(0, 1, &go(0), &mut store, &mut out);
    worker.turn(0, &mut store, &mut rng, &mut out);
    worker.draining = Some(0);
    let order = json!({"verb": "stage", "rid": "load-1", "attrs": {"name": "f", "replicas": 1}});
    let question = json!({"verb": "stage", "rid": "load-2", "attrs": {"name": "f", "replicas": 0}});
    let probe = json!({"verb": "stat", "rid": "probe-1"});
    for line in [&go(1), &order, &question, &probe] {
        worker.hear(MS, 1, line, &mut store, &mut out);
    }
    let verbs: Vec<String> = out
        .iter()
        .map(|(_, line)| serde_json::from_str::<Value>(line).unwrap()["verb"].as_str().unwrap().to_owned())
        .collect();
    assert_eq!(verbs, ["503", "503", "200", "dead"]);
    out.clear();
    (0..600).for_each(|ms| worker.turn(ms * MS, &mut store, &mut rng, &mut out));
    assert!(out.len() == 1 && out[0].1.contains("\"200\""), "{out:?}");
}
