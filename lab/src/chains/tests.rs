use super::*;

/// Each chain gets exactly one answer in every way of submitting, and reports of the same seed are identical.
#[test]
fn simulation_is_deterministic_and_answers_each_chain_once() {
    let plans = generate_plans(200, 20.0, 3);
    for submission in [Submission::Chain, Submission::Separate, Submission::ChainWithoutLoadTimes] {
        let tally = simulate(&plans, submission, 3);
        assert!(tally.answers.iter().all(|answers| *answers == 1));
        // Guards against estimates so high that every chain is stopped, after which no latency would be recorded.
        assert!(tally.within_objective > 150, "{}", tally.within_objective);
    }
    assert_eq!(report(50, 3, &[10.0]), report(50, 3, &[10.0]));
}
