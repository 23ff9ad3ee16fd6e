use super::*;

/// The fleet's size and this scheduler's index may be missing or contradict each other: requests are still sent.
#[test]
fn a_missing_or_inconsistent_fleet_size_and_index_are_tolerated() {
    let base = r#"{"classes":[{"name":"a","deadlineNs":3000000000,"effect":"retryable","objectiveNs":1000000000}],
        "bounds":{"mostTries":2},"contract":{"coldFrom":0.2,"coldNs":9000000000,"fallMultiple":3,"fallNs":1},
        "familyInfo":{"keepNs":9000000000,"notLoaded":"load","mayOrder":true,"loadSpanNs":0}"#;
    let cases = ["", r#","fleetSize":0,"index":0"#, r#","fleetSize":3,"index":7"#, r#","index":4294967295"#];
    for fleet in cases {
        let settings = read(format!("{base}{fleet}}}").as_bytes()).unwrap();
        let (mut policy, mut out) = (crate::Policy::new(settings, 1), Vec::new());
        let worker = Member { worker: WorkerId(1), weight: 1.0, ..Member::default() };
        policy.handle(Timestamp(1), Event::Members(ListKind::Full, vec![worker]), &mut out);
        for n in 0..50 {
            let request = Request {
                id: RequestId(n),
                function: FunctionId(9),
                class: ClassId(0),
                tenant: TenantId(0),
                remaining: Duration::millis(3000),
                memory_mb: 1.0,
                concurrency: 1.0,
                load_time: None,
            };
            let now = Timestamp(u64::from(n) * 300_000_000);
            policy.handle(now, Event::Request(request), &mut out);
            policy.handle(now, Event::Timeout, &mut out);
        }
        let sent = out.iter().filter(|action| matches!(action, Action::Send { .. })).count();
        assert!(sent > 0, "{fleet}");
    }
}

/// Open requests refer to their class by index: a new configuration must not put another class there.
#[test]
fn classes_keep_their_indices_when_a_configuration_is_replaced() {
    let site = |names: &[&str]| {
        let class = |(n, name)| {
            format!(r#"{{"name":"{name}","deadlineNs":{n},"effect":"retryable","objectiveNs":1}}"#)
        };
        let classes: Vec<String> = names.iter().enumerate().map(class).collect();
        read_site(
            format!(
                r#"{{"fleetSize":1,"index":0,"classes":[{}],"bounds":{{"mostTries":1}},
                "contract":{{"coldFrom":1,"coldNs":1,"fallMultiple":1,"fallNs":1}},
                "familyInfo":{{"keepNs":1,"notLoaded":"load","loadSpanNs":0}}}}"#,
                classes.join(",")
            )
            .as_bytes(),
        )
        .unwrap()
    };
    let indices = |site: &Site| ["a", "b", "c", "d"].map(|name| site.class(name));
    let deadlines =
        |site: &Site| -> Vec<_> { site.settings.classes.iter().map(|class| class.deadline.0).collect() };
    // The new b is unchanged, the new a differs, and requests are open in the old a.
    let merged = site(&["a", "b"]).replaced_by(site(&["c", "b", "a"]), |index| index == 0);
    assert_eq!(indices(&merged), [Some(3), Some(1), Some(2), None]);
    assert_eq!(deadlines(&merged), [0, 1, 0, 2], "the old a, b, c and the new a");
    // Once the requests have ended, the index is reused.
    let merged = merged.replaced_by(site(&["d", "b", "a"]), |_| false);
    assert_eq!(indices(&merged), [Some(3), Some(1), None, Some(0)]);
    assert_eq!(deadlines(&merged), [0, 1, 0, 2]);
}
