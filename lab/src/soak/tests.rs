use super::*;

fn options() -> Options {
    Options {
        seed: 1,
        seeds: 1,
        schedulers: 12,
        workers: 16,
        seconds: 30.0,
        calls: 100.0,
        only: vec![],
        out: None,
        shrink: false,
    }
}

/// The same seed draws the same faults and another seed different ones; at least two faults overlap, and every
/// scenario that is written can be read again.
#[test]
fn a_seed_always_draws_the_same_scenario() {
    let text = |seed| toml::to_string(&draw_scenario(&options(), &FaultKind::ALL, seed)).unwrap();
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
    for seed in 1..50 {
        let scenario = draw_scenario(&options(), &FaultKind::ALL, seed);
        scenario.check().unwrap();
        let read: Scenario = toml::from_str(&text(seed)).unwrap();
        assert_eq!(toml::to_string(&read).unwrap(), text(seed));
        let open =
            |at: f64| scenario.fault.iter().filter(|one| one.at <= at && at < one.at + one.lasts).count();
        let most = scenario.fault.iter().map(|fault| open(fault.at)).max();
        assert!(most >= Some(2), "seed {seed}: at most {most:?} faults at once");
    }
    let all: std::collections::BTreeSet<FaultKind> =
        draw_scenario(&options(), &FaultKind::ALL, 1).fault.iter().map(|fault| fault.what).collect();
    assert_eq!(all.len(), FaultKind::ALL.len(), "30 s are enough to draw each kind");
}

#[test]
fn only_the_named_kinds_of_faults_are_drawn() {
    let kinds = parse_kinds(&["wall_clock".to_owned(), "reload".to_owned()]).unwrap();
    assert_eq!(kinds, [FaultKind::WallClock, FaultKind::Reload]);
    assert!(draw_scenario(&options(), &kinds, 3).fault.iter().all(|fault| kinds.contains(&fault.what)));
    assert!(super::parse_kinds(&["weather".to_owned()]).is_err());
}
