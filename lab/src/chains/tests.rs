use super::*;

/// Exactly one answer for each chain, whichever way, and the same report each time.
#[test]
fn a_short_play_repeats_and_answers_each_chain_once() {
    let plans = plans(200, 20.0, 3);
    for way in [Way::Chain, Way::Separate, Way::NoLoads] {
        let tally = play(&plans, way, 3);
        assert!(tally.answers.iter().all(|answers| *answers == 1));
        // Estimates that cover no chain would stop all of them, and learn nothing.
        assert!(tally.earned > 150, "{}", tally.earned);
    }
    assert_eq!(report(50, 3, &[10.0]), report(50, 3, &[10.0]));
}
