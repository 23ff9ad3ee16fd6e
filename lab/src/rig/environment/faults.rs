//! Faults as they come and go, whom they hit, and the condition that all of them make together.

use super::*;

impl Environment {
    pub(super) fn begin_fault(&mut self, drawn: Drawn) -> std::io::Result<()> {
        let whom = self.whom(&drawn);
        let fault = &drawn.fault;
        let text = format!("{:?} {:?} {whom:?}", fault.what, fault.who).to_lowercase();
        self.faults.push(format!("{:.2} s: {text} for {} s", self.now as f64 / SECOND as f64, fault.lasts));
        self.say(text);
        let what = fault.what;
        for n in &whom {
            let n = *n;
            match what {
                What::Kill => {
                    // Sooner than SIGKILL may come after SIGTERM, where that was sent.
                    self.clients.persistent.remove(&n);
                    self.leave(n, NOTICE.0);
                    self.schedulers[n].processes.clear();
                }
                What::Stop => {
                    self.end_holds(n);
                    self.shunned[n].get_or_insert(self.now + NOTICE.0);
                    self.absence.stopped[n].push((self.now, None));
                    for process in &mut self.schedulers[n].processes {
                        process.stopped = true;
                        process.signal("STOP");
                    }
                }
                What::Term => {
                    self.shunned[n].get_or_insert(self.now + NOTICE.1);
                    self.end_holds(n);
                    for process in &mut self.schedulers[n].processes {
                        process.ending = true;
                        process.signal("TERM");
                    }
                }
                What::TermKill => self.end_in_series(n),
                What::Upgrade => {
                    self.end_holds(n);
                    self.upgrading.insert(n);
                    self.start(n)?;
                }
                What::Reset => self.pipes.retain(|pipe| pipe.scheduler != n),
                What::WorkerDies => self.worker_dies(n),
                What::WorkerDrains => {
                    self.workers[n].process.draining = Some(self.now);
                    self.tell(n, 1);
                }
                What::StoreSlow => self.store.slow = fault.much.max(1.0),
                What::Crowd => self.clients.rate = self.scenario.calls * fault.much.max(0.0),
                What::Reload => self.reload(n)?,
                What::Hang => self.workers[n].process.hangs = true,
                What::Hasty => drop(self.troubles.hasty.insert(n)),
                What::WallClock | What::SystemCalls => self.begin_inside(n, &drawn)?,
                What::Folder => {
                    self.begin_inside(n, &drawn)?;
                    // A process writes to it when it has read a new configuration.
                    self.reload(n)?;
                }
                What::BusSilent => drop(self.troubles.bus_silent.insert(n)),
                What::BusCloses => drop(self.troubles.bus_closes.insert(n)),
                What::Spoilt => drop(self.troubles.spoilt.insert(n)),
                What::Cut | What::Loss | What::Delay | What::Repeat | What::WorkerCut => {}
            }
        }
        self.troubles.came(what, &whom);
        self.active.push((drawn, whom));
        self.forecast();
        Ok(())
    }

    pub(super) fn end_faults(&mut self, all: bool) -> std::io::Result<()> {
        let now = self.now;
        let over: Vec<(Drawn, Vec<usize>)> =
            self.active.extract_if(.., |(drawn, _)| all || drawn.until <= now).collect();
        for (drawn, whom) in &over {
            self.say(format!("{:?} over", drawn.fault.what).to_lowercase());
            for n in whom {
                match drawn.fault.what {
                    What::Kill | What::Term | What::TermKill
                        if self.schedulers[*n].processes.iter().all(|process| process.ending) =>
                    {
                        self.start(*n)?;
                    }
                    What::Stop => {
                        for (_, until) in &mut self.absence.stopped[*n] {
                            until.get_or_insert(now + SECOND);
                        }
                        for process in &mut self.schedulers[*n].processes {
                            process.stopped = false;
                            process.signal("CONT");
                        }
                        if !self.absence.is_away(*n) {
                            self.shunned[*n] = None;
                        }
                    }
                    What::WorkerDies => self.worker_returns(*n, false)?,
                    What::WorkerDrains => self.worker_returns(*n, true)?,
                    What::StoreSlow => self.store.slow = 1.0,
                    What::Hang => self.workers[*n].process.hangs = false,
                    What::WallClock | What::SystemCalls | What::Folder => self.end_inside(*n, drawn)?,
                    What::BusSilent => drop(self.troubles.bus_silent.remove(n)),
                    What::BusCloses => drop(self.troubles.bus_closes.remove(n)),
                    What::Spoilt => drop(self.troubles.spoilt.remove(n)),
                    What::Hasty => drop(self.troubles.hasty.remove(n)),
                    What::Crowd => self.clients.rate = self.scenario.calls,
                    _ => {}
                }
            }
            self.troubles.ended(drawn.fault.what);
        }
        if !over.is_empty() {
            self.forecast();
        }
        Ok(())
    }

    /// Who is hit. What is not drawn from the seed alone depends on who holds the first task.
    fn whom(&self, drawn: &Drawn) -> Vec<usize> {
        let workers = drawn.fault.what.concerns_workers();
        if matches!(drawn.fault.what, What::StoreSlow | What::Crowd) {
            return vec![0];
        }
        let count = if workers { self.workers.len() } else { self.schedulers.len() };
        let start = (drawn.draw % count as u64) as usize;
        let some = |many: usize| (0..many.clamp(1, count)).map(|n| (start + n) % count).collect::<Vec<_>>();
        let holder = self.holds.iter().next().map(|(_, holder)| *holder).filter(|_| !workers);
        match drawn.fault.who {
            Who::Any => some(1),
            Who::Two => some(2),
            Who::Third => some(count / 3),
            Who::Most => some(count * 7 / 10),
            Who::All => (0..count).collect(),
            Who::Holder => vec![holder.unwrap_or(start)],
            Who::Other => vec![if holder == Some(start) { (start + 1) % count } else { start }],
        }
    }

    /// The condition that all faults now make together.
    fn forecast(&mut self) {
        let (schedulers, workers) = (self.schedulers.len(), self.workers.len());
        self.peers = vec![vec![LinkCondition::default(); schedulers]; schedulers];
        self.to_worker = vec![vec![Default::default(); workers]; schedulers];
        let active = std::mem::take(&mut self.active);
        let of_links = [What::Cut, What::Loss, What::Delay, What::Repeat, What::WorkerCut];
        for (drawn, whom) in active.iter().filter(|(drawn, _)| of_links.contains(&drawn.fault.what)) {
            let fault = &drawn.fault;
            let worsen = |condition: &mut LinkCondition| match fault.what {
                What::Cut | What::WorkerCut => condition.cut = true,
                What::Loss => condition.loss = condition.loss.max(fault.much),
                What::Repeat => condition.repeat = condition.repeat.max(fault.much),
                What::Delay => {
                    condition.delay = condition.delay.max((fault.much * MS as f64) as u64);
                    condition.jitter = condition.delay / 2;
                }
                _ => {}
            };
            let (comes, goes) = (fault.way != Way::Out, fault.way != Way::In);
            for n in whom {
                if fault.what == What::WorkerCut {
                    for row in &mut self.to_worker {
                        worsen(&mut row[*n].0);
                        worsen(&mut row[*n].1);
                    }
                    continue;
                }
                if fault.links != Links::Workers {
                    for other in (0..schedulers).filter(|other| other != n) {
                        if goes {
                            worsen(&mut self.peers[*n][other]);
                        }
                        if comes {
                            worsen(&mut self.peers[other][*n]);
                        }
                    }
                }
                if fault.links != Links::Peers {
                    for (to, from) in &mut self.to_worker[*n] {
                        if goes {
                            worsen(to);
                        }
                        if comes {
                            worsen(from);
                        }
                    }
                }
            }
        }
        self.active = active;
    }
}
