use super::*;

#[test]
fn estimates_follow_answers_priors_and_loads() {
    let keep = Duration::millis(9_000);
    let step = |load: Option<u64>| PlannedStep {
        function: FunctionId(1),
        class: "a",
        latency_objective: Duration::millis(1_000),
        load_time: load.map(Duration::millis),
    };
    let mut estimates = Estimates::default();
    let need = |e: &Estimates, at: u64, load| {
        let need = e.need(Timestamp(0) + Duration::millis(at), &step(load), keep);
        (need.load.0 + need.run.0) / 1_000_000
    };
    assert_eq!(need(&estimates, 0, None), 100, "a prior");
    assert_eq!(need(&estimates, 0, Some(400)), 500, "and a load");
    for ms in [100, 100, 100, 100, 900] {
        estimates.record_latency(Timestamp(0), FunctionId(1), "a", Duration::millis(ms));
    }
    estimates.record_latency(Timestamp(0), FunctionId(1), "b", Duration::millis(5_000));
    assert_eq!(need(&estimates, 8_999, Some(400)), 100, "four in five, and a copy that stands");
    assert_eq!(need(&estimates, 9_000, Some(400)), 500, "no longer");
    for _ in 0..SAMPLE {
        estimates.record_latency(Timestamp(0), FunctionId(1), "a", Duration::millis(300));
    }
    assert_eq!(need(&estimates, 1, None), 300, "the latest count");
    for id in 0..2 * FUNCTIONS as u64 {
        estimates.record_latency(Timestamp(id), FunctionId(id), "a", Duration(1));
    }
    assert_eq!(estimates.seen.len(), FUNCTIONS);
}
