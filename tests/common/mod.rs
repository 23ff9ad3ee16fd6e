//! A policy driven by hand: default settings and one helper per kind of event.
#![allow(dead_code)]

use mintgate::*;

pub struct Rig {
    pub now: Timestamp,
    pub policy: Policy,
    pub sent: Vec<(RequestId, u16, WorkerId)>,
    attempts: std::collections::BTreeMap<RequestId, u16>,
}

pub fn settings(on_miss: OnMiss) -> Settings {
    let class = |effect| Class {
        latency_objective: Duration::millis(800),
        deadline: Duration::millis(2500),
        priority_weight: 1.0,
        late_value: 0.1,
        effect,
        max_attempts: 5,
    };
    Settings {
        fleet_size: 1,
        index: 0,
        zone: ZoneId(0),
        tick: Duration::millis(2),
        classes: vec![
            class(Effect::Safe),
            class(Effect::Keyed { group: Group::Cell, window: Duration::millis(1000) }),
            class(Effect::Unsafe),
        ],
        tenants: vec![],
        over_share_weight: 1.0,
        rules: Rules {
            cold_from: 0.2,
            cold_span: Duration::millis(18_000),
            fall_multiple: 2.5,
            fall_span: Duration::millis(2_000),
            drain_grace: Duration::millis(2_000),
            load_rate_limit: None,
        },
        limits: Limits { may_cancel: true, may_probe: true, may_load: true, retry_after: None },
        loading: Loading { keep_alive: Duration::millis(8_000), on_miss, memory_mb: vec![8_000.0] },
        prices: Prices::default(),
        gauges: vec![],
        tells_company: false,
        discovery: Discovery::Pushed,
        weights_are_sizes: false,
    }
}

pub fn member(worker: u64) -> Member {
    Member {
        worker: WorkerId(worker),
        zone: ZoneId(0),
        cell: CellId((worker % 2) as u16),
        state: State::Ready,
        weight: 1.0,
        started: None,
        kind: KindId(0),
    }
}

pub fn request(id: u32, function: u64, class: u16) -> Request {
    Request {
        id: RequestId(id),
        function: FunctionId(function),
        class: ClassId(class),
        tenant: TenantId(0),
        remaining: Duration::millis(2500),
        memory_mb: 400.0,
        concurrency: 2.0,
        load_time: None,
    }
}

impl Rig {
    pub fn new(settings: Settings, workers: u64) -> Rig {
        Rig::seeded(settings, workers, 1)
    }

    pub fn seeded(settings: Settings, workers: u64, seed: u64) -> Rig {
        let mut rig = Rig {
            now: Timestamp(1_000_000_000_000),
            policy: Policy::new(settings, seed),
            sent: vec![],
            attempts: Default::default(),
        };
        rig.handle(Event::Members(ListKind::Full, (1..=workers).map(member).collect()));
        rig
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Send { id, worker, .. } = action {
                let attempt = self.attempts.entry(*id).or_default();
                self.sent.push((*id, *attempt, *worker));
                *attempt += 1;
            }
        }
        actions
    }

    /// Advances the time in steps of 10 ms, with a wake-up at each.
    pub fn advance(&mut self, span: Duration) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = self.now + Duration::millis(10);
            actions.extend(self.handle(Event::Timeout));
        }
        actions
    }

    /// Ends the last attempt that was sent.
    pub fn end_last_attempt(&mut self, status: Status) -> Vec<Action> {
        let (id, attempt, _) = *self.sent.last().expect("something was sent");
        self.end_attempt(id, attempt, status)
    }

    pub fn end_attempt(&mut self, id: RequestId, attempt: u16, status: Status) -> Vec<Action> {
        self.handle(Event::Outcome(Outcome {
            id,
            attempt,
            status,
            latency: Duration::millis(100),
            finished: status == Status::Ok,
            instance: InstanceNote::Untold,
            company: 0,
            report: vec![],
        }))
    }

    pub fn end_load(&mut self, worker: WorkerId, function: u64, status: Status) -> Vec<Action> {
        let instances = u32::from(status == Status::Ok);
        let (function, latency) = (FunctionId(function), Duration::millis(500));
        self.handle(Event::Loaded(Loaded { worker, function, instances, status, latency }))
    }
}

pub fn send_targets(actions: &[Action]) -> Vec<WorkerId> {
    let send = |a: &Action| {
        if let Action::Send { worker, .. } = a { Some(*worker) } else { None }
    };
    actions.iter().filter_map(send).collect()
}

pub fn load_requests(actions: &[Action]) -> Vec<(WorkerId, FunctionId)> {
    let load = |a: &Action| match a {
        Action::Load { worker, function, .. } => Some((*worker, *function)),
        _ => None,
    };
    actions.iter().filter_map(load).collect()
}

pub fn final_answers(actions: &[Action]) -> Vec<Action> {
    let end = |a: &&Action| matches!(a, Action::Refuse { .. } | Action::Fail { .. });
    actions.iter().filter(end).cloned().collect()
}
