use super::*;

#[test]
fn each_figure_is_written_on_its_own_line() {
    let outcomes = ClassOutcomes { answered: 812, deferred: 2, errored: 1 };
    let classes = BTreeMap::from([("credit-submit".to_owned(), outcomes)]);
    let figures = Figures { classes, sends: 900, current: 14, cluster_size: 12, ..Figures::default() };
    let text = "scheduler.answered.credit-submit=812\nscheduler.deferred.credit-submit=2\n\
        scheduler.errored.credit-submit=1\nscheduler.sends=900\nscheduler.current=14\n\
        scheduler.cluster_size=12\nscheduler.cluster_unhealthy=0\nscheduler.conf_loaded=0\n\
        scheduler.conf_invalid=0\n";
    assert_eq!(figures.to_string(), text);
}
