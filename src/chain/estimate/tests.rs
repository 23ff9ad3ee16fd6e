use super::*;

#[test]
fn estimates_follow_latencies_the_prior_and_load_times() {
    let keep_alive = Duration::millis(9_000);
    let step = |load: Option<u64>| PlannedStep {
        function: FunctionId(1),
        class: "a",
        latency_objective: Duration::millis(1_000),
        load_time: load.map(Duration::millis),
    };
    let mut estimates = Estimates::default();
    let need = |e: &Estimates, at: u64, load| {
        let need = e.need(Timestamp(0) + Duration::millis(at), &step(load), keep_alive);
        (need.load.0 + need.run.0) / 1_000_000
    };
    assert_eq!(need(&estimates, 0, None), 100, "the prior");
    assert_eq!(need(&estimates, 0, Some(400)), 500, "the prior and a load");
    for ms in [100, 100, 100, 100, 900] {
        estimates.record_latency(Timestamp(0), FunctionId(1), "a", Duration::millis(ms));
    }
    estimates.record_latency(Timestamp(0), FunctionId(1), "b", Duration::millis(5_000));
    assert_eq!(
        need(&estimates, 8_999, Some(400)),
        100,
        "the latency of four in five, with an instance ready"
    );
    assert_eq!(need(&estimates, 9_000, Some(400)), 500, "the instance is no longer kept");
    for _ in 0..MAX_SAMPLES {
        estimates.record_latency(Timestamp(0), FunctionId(1), "a", Duration::millis(300));
    }
    assert_eq!(need(&estimates, 1, None), 300, "only the latest samples count");
    for id in 0..2 * MAX_FUNCTIONS as u64 {
        estimates.record_latency(Timestamp(id), FunctionId(id), "a", Duration(1));
    }
    assert_eq!(estimates.histories.len(), MAX_FUNCTIONS);
}
