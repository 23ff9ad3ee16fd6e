use super::*;
use rand::SeedableRng;

#[test]
fn all_scenarios_are_valid_and_one_seed_draws_the_same_faults() {
    for name in names() {
        let scenario = Scenario::find(name).unwrap();
        let draw = |seed| {
            let all = scenario.draw_faults(&mut SmallRng::seed_from_u64(seed));
            all.iter().map(|d| (d.at, d.until, d.draw)).collect::<Vec<_>>()
        };
        assert_eq!(draw(3), draw(3));
        assert!(!draw(3).is_empty(), "{name}");
        assert_ne!(draw(3), draw(4), "{name}");
    }
}

#[test]
fn invalid_scenarios_are_rejected_with_the_reason() {
    let cases = [
        ("about = 'x'\nschedulers = 0", "not 0"),
        ("about = 'x'\nelectors = 4", "electors"),
        ("about = 'x'\nschedulers = 2", "electors"),
        ("about = 'x'\nseconds = 5\n[[fault]]\nat = 6\nwhat = 'kill'", "after the end"),
        ("about = 'x'\n[[fault]]\nat = 6\nwhat = 'kill'\ntimes = 0", "never begins"),
        ("about = 'x'\nspeed = 3", "unknown field"),
        ("about = 'x'\n[[fault]]\nat = 6\nwhat = 'burn'", "unknown variant"),
    ];
    for (text, why) in cases {
        let read = toml::from_str::<Scenario>(text).map_err(|e| e.to_string());
        let found = read.and_then(|scenario| scenario.check()).unwrap_err();
        assert!(found.contains(why), "{text}: {found}");
    }
    assert!(Scenario::find("nothing").unwrap_err().contains("short-day"));
}
