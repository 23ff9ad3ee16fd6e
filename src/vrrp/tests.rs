use super::*;

const AT_MS: fn(u64) -> Timestamp = |ms| Timestamp(ms * 1_000_000);

fn machine(priority: u8, preempt: bool) -> Machine {
    let own_address = "127.0.0.5:9112".parse().unwrap();
    Machine::new(RouterConfig { priority, interval: Duration::millis(1000), preempt, own_address })
}

fn advertisement(priority: u8, interval_ms: u64, last: u8) -> Event {
    let from = SocketAddr::from(([127, 0, 0, last], 9112));
    Event::Advertisement { priority, interval: Duration::millis(interval_ms), from }
}

/// Each case has a state, an event at 10 s, and the resulting state, timer (ms) and advertised priority.
#[test]
fn every_event_in_every_state_has_the_specified_result() {
    use State::*;
    // The skew time of priority 128 is half an interval.
    let cases = [
        (Initialize, 128, true, Event::Startup, Backup, Some(13_500), None),
        (Initialize, 255, true, Event::Startup, Active, Some(11_000), Some(255)),
        (Initialize, 128, true, advertisement(200, 1000, 9), Initialize, None, None),
        (Initialize, 128, true, Event::Timer, Initialize, None, None),
        (Initialize, 128, true, Event::Shutdown, Initialize, None, None),
        (Backup, 128, true, Event::Timer, Active, Some(11_000), Some(128)),
        (Backup, 128, true, Event::Shutdown, Initialize, None, None),
        (Backup, 128, true, advertisement(0, 1000, 9), Backup, Some(10_500), None),
        (Backup, 128, true, advertisement(128, 1000, 9), Backup, Some(13_500), None),
        (Backup, 128, true, advertisement(200, 2000, 9), Backup, Some(17_000), None),
        (Backup, 128, true, advertisement(100, 2000, 9), Backup, Some(10_000), None),
        (Backup, 128, false, advertisement(100, 2000, 9), Backup, Some(17_000), None),
        (Active, 128, true, Event::Timer, Active, Some(11_000), Some(128)),
        (Active, 128, true, Event::Shutdown, Initialize, None, Some(0)),
        (Active, 128, true, advertisement(0, 1000, 9), Active, Some(11_000), Some(128)),
        (Active, 128, true, advertisement(200, 2000, 1), Backup, Some(17_000), None),
        (Active, 128, true, advertisement(128, 1000, 9), Backup, Some(13_500), None),
        (Active, 128, true, advertisement(128, 1000, 1), Active, Some(11_000), Some(128)),
        (Active, 128, true, advertisement(100, 1000, 9), Active, Some(11_000), Some(128)),
        (Active, 255, true, advertisement(255, 1000, 9), Active, Some(10_000), None),
    ];
    for (from, priority, preempt, event, to, timer, sent) in cases {
        let mut machine = machine(priority, preempt);
        machine.state = from;
        machine.timer = (from != Initialize).then_some(AT_MS(10_000));
        let out = machine.handle(AT_MS(10_000), event);
        let got = (machine.state(), machine.next_timeout(), out.map(|advertise| advertise.priority));
        assert_eq!(got, (to, timer.map(AT_MS), sent), "{from:?} {priority} {preempt} {event:?}");
    }
}

#[test]
fn a_restarted_timer_does_not_expire_at_its_old_time() {
    let mut machine = machine(128, true);
    machine.handle(AT_MS(0), Event::Startup);
    machine.handle(AT_MS(3000), advertisement(200, 1000, 9));
    assert_eq!(machine.handle(AT_MS(3500), Event::Timer), None);
    assert_eq!(machine.state(), State::Backup);
}
