//! Begins and ends faults, selects their targets, and computes the resulting condition of the links.

use super::*;

impl Environment {
    pub(super) fn begin_fault(&mut self, drawn: ScheduledFault) -> std::io::Result<()> {
        let targets = self.targets(&drawn);
        let fault = &drawn.fault;
        let text = format!("{:?} {:?} {targets:?}", fault.what, fault.who).to_lowercase();
        self.faults.push(format!("{:.2} s: {text} for {} s", self.now as f64 / SECOND as f64, fault.lasts));
        self.report_progress(text);
        let what = fault.what;
        for n in &targets {
            let n = *n;
            match what {
                FaultKind::Kill => {
                    // This SIGKILL may follow a SIGTERM too early, which excuses calls on persistent connections.
                    self.clients.persistent.remove(&n);
                    self.mark_gone(n, CLIENT_NOTICE_DELAYS.0);
                    self.schedulers[n].processes.clear();
                }
                FaultKind::Stop => {
                    self.record_ended_holds(n);
                    self.avoided_since[n].get_or_insert(self.now + CLIENT_NOTICE_DELAYS.0);
                    self.absence.stopped[n].push((self.now, None));
                    for process in &mut self.schedulers[n].processes {
                        process.stopped = true;
                        process.signal("STOP");
                    }
                }
                FaultKind::Term => {
                    self.avoided_since[n].get_or_insert(self.now + CLIENT_NOTICE_DELAYS.1);
                    self.record_ended_holds(n);
                    for process in &mut self.schedulers[n].processes {
                        process.ending = true;
                        process.signal("TERM");
                    }
                }
                FaultKind::TermKill => self.begin_terminate_then_kill(n),
                FaultKind::Upgrade => {
                    self.record_ended_holds(n);
                    self.upgrading.insert(n);
                    self.start(n)?;
                }
                FaultKind::Reset => self.connections.retain(|connection| connection.scheduler != n),
                FaultKind::WorkerDies => self.kill_worker(n),
                FaultKind::WorkerDrains => {
                    self.workers[n].process.draining = Some(self.now);
                    self.publish_worker_state(n, 1);
                }
                FaultKind::StoreSlow => self.store.slowdown = fault.much.max(1.0),
                FaultKind::Crowd => self.clients.rate = self.scenario.calls * fault.much.max(0.0),
                FaultKind::Reload => self.reload(n)?,
                FaultKind::Hang => self.workers[n].process.is_hung = true,
                FaultKind::Hasty => drop(self.internal_faults.hasty.insert(n)),
                FaultKind::WallClock | FaultKind::SystemCalls => self.begin_internal(n, &drawn)?,
                FaultKind::Folder => {
                    self.begin_internal(n, &drawn)?;
                    // The process writes to the folder after reading a new configuration.
                    self.reload(n)?;
                }
                FaultKind::BusSilent => drop(self.internal_faults.bus_silent.insert(n)),
                FaultKind::BusCloses => drop(self.internal_faults.bus_closes.insert(n)),
                FaultKind::Spoilt => drop(self.internal_faults.corrupting.insert(n)),
                FaultKind::Cut
                | FaultKind::Loss
                | FaultKind::Delay
                | FaultKind::Repeat
                | FaultKind::WorkerCut => {}
            }
        }
        self.internal_faults.record_begin(what, &targets);
        self.active_faults.push((drawn, targets));
        self.recompute_link_conditions();
        Ok(())
    }

    pub(super) fn end_faults(&mut self, all: bool) -> std::io::Result<()> {
        let now = self.now;
        let over: Vec<(ScheduledFault, Vec<usize>)> =
            self.active_faults.extract_if(.., |(drawn, _)| all || drawn.until <= now).collect();
        for (drawn, targets) in &over {
            self.report_progress(format!("{:?} over", drawn.fault.what).to_lowercase());
            for n in targets {
                match drawn.fault.what {
                    FaultKind::Kill | FaultKind::Term | FaultKind::TermKill
                        if self.schedulers[*n].processes.iter().all(|process| process.ending) =>
                    {
                        self.start(*n)?;
                    }
                    FaultKind::Stop => {
                        for (_, until) in &mut self.absence.stopped[*n] {
                            until.get_or_insert(now + SECOND);
                        }
                        for process in &mut self.schedulers[*n].processes {
                            process.stopped = false;
                            process.signal("CONT");
                        }
                        if !self.absence.is_away(*n) {
                            self.avoided_since[*n] = None;
                        }
                    }
                    FaultKind::WorkerDies => self.restart_worker(*n, false)?,
                    FaultKind::WorkerDrains => self.restart_worker(*n, true)?,
                    FaultKind::StoreSlow => self.store.slowdown = 1.0,
                    FaultKind::Hang => self.workers[*n].process.is_hung = false,
                    FaultKind::WallClock | FaultKind::SystemCalls | FaultKind::Folder => {
                        self.end_internal(*n, drawn)?;
                    }
                    FaultKind::BusSilent => drop(self.internal_faults.bus_silent.remove(n)),
                    FaultKind::BusCloses => drop(self.internal_faults.bus_closes.remove(n)),
                    FaultKind::Spoilt => drop(self.internal_faults.corrupting.remove(n)),
                    FaultKind::Hasty => drop(self.internal_faults.hasty.remove(n)),
                    FaultKind::Crowd => self.clients.rate = self.scenario.calls,
                    _ => {}
                }
            }
            self.internal_faults.record_end(drawn.fault.what);
        }
        if !over.is_empty() {
            self.recompute_link_conditions();
        }
        Ok(())
    }

    /// The indexes of the fault's targets. They depend on the seed, and for some on the current holder of the first
    /// task.
    fn targets(&self, drawn: &ScheduledFault) -> Vec<usize> {
        let workers = drawn.fault.what.concerns_workers();
        if matches!(drawn.fault.what, FaultKind::StoreSlow | FaultKind::Crowd) {
            return vec![0];
        }
        let count = if workers { self.workers.len() } else { self.schedulers.len() };
        let start = (drawn.draw % count as u64) as usize;
        let consecutive =
            |many: usize| (0..many.clamp(1, count)).map(|n| (start + n) % count).collect::<Vec<_>>();
        let holder = self.lease_holders.iter().next().map(|(_, holder)| *holder).filter(|_| !workers);
        match drawn.fault.who {
            FaultTarget::Any => consecutive(1),
            FaultTarget::Two => consecutive(2),
            FaultTarget::Third => consecutive(count / 3),
            FaultTarget::Most => consecutive(count * 7 / 10),
            FaultTarget::All => (0..count).collect(),
            FaultTarget::Holder => vec![holder.unwrap_or(start)],
            FaultTarget::Other => vec![if holder == Some(start) { (start + 1) % count } else { start }],
        }
    }

    /// Recomputes the condition of all links from the active faults.
    fn recompute_link_conditions(&mut self) {
        let (schedulers, workers) = (self.schedulers.len(), self.workers.len());
        self.peer_conditions = vec![vec![LinkCondition::default(); schedulers]; schedulers];
        self.worker_conditions = vec![vec![Default::default(); workers]; schedulers];
        let active = std::mem::take(&mut self.active_faults);
        let link_faults =
            [FaultKind::Cut, FaultKind::Loss, FaultKind::Delay, FaultKind::Repeat, FaultKind::WorkerCut];
        for (drawn, targets) in active.iter().filter(|(drawn, _)| link_faults.contains(&drawn.fault.what)) {
            let fault = &drawn.fault;
            let worsen = |condition: &mut LinkCondition| match fault.what {
                FaultKind::Cut | FaultKind::WorkerCut => condition.cut = true,
                FaultKind::Loss => condition.loss = condition.loss.max(fault.much),
                FaultKind::Repeat => condition.repeat = condition.repeat.max(fault.much),
                FaultKind::Delay => {
                    condition.delay = condition.delay.max((fault.much * MILLISECOND as f64) as u64);
                    condition.jitter = condition.delay / 2;
                }
                _ => {}
            };
            let (incoming, outgoing) = (fault.way != Direction::Out, fault.way != Direction::In);
            for n in targets {
                if fault.what == FaultKind::WorkerCut {
                    for row in &mut self.worker_conditions {
                        worsen(&mut row[*n].0);
                        worsen(&mut row[*n].1);
                    }
                    continue;
                }
                if fault.links != LinkSet::Workers {
                    for other in (0..schedulers).filter(|other| other != n) {
                        if outgoing {
                            worsen(&mut self.peer_conditions[*n][other]);
                        }
                        if incoming {
                            worsen(&mut self.peer_conditions[other][*n]);
                        }
                    }
                }
                if fault.links != LinkSet::Peers {
                    for (to, from) in &mut self.worker_conditions[*n] {
                        if outgoing {
                            worsen(to);
                        }
                        if incoming {
                            worsen(from);
                        }
                    }
                }
            }
        }
        self.active_faults = active;
    }
}
