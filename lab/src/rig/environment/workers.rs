//! The workers' side of the links: what schedulers write is audited as it enters, and heard as it leaves.

use super::*;

impl Environment {
    pub(super) fn worker_dies(&mut self, n: usize) {
        self.workers[n].process.end();
        self.workers[n].listeners.iter_mut().for_each(|listener| *listener = None);
        self.pipes.retain(|pipe| pipe.worker != n);
    }

    /// A worker is gone, and comes back cold: under its old id, or as another at the same place.
    pub(super) fn worker_returns(&mut self, n: usize, same_id: bool) -> std::io::Result<()> {
        self.tell(n, 2);
        self.worker_dies(n);
        let worker = &mut self.workers[n];
        worker.uid += if same_id { 0 } else { 0x100 };
        worker.process.start(self.now);
        worker.started_ms = self.troubles.site_clock(self.unix_ms + self.now / MS);
        for (slot, at) in worker.listeners.iter_mut().zip(&worker.at) {
            let listener = TcpListener::bind(at)?;
            listener.set_nonblocking(true)?;
            *slot = Some(listener);
        }
        self.tell(n, 0);
        Ok(())
    }

    pub(super) fn poll_workers(&mut self) {
        for (n, worker) in self.workers.iter().enumerate() {
            for (scheduler, listener) in worker.listeners.iter().enumerate() {
                while let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
                    let Ok(wire) = Wire::new(stream) else { continue };
                    let (to, from) = Default::default();
                    let (id, ended) = (self.next_pipe, false);
                    self.next_pipe += 1;
                    self.pipes.push(Pipe { id, scheduler, worker: n, wire, to, from, ended });
                }
            }
        }
        let mut pipes = std::mem::take(&mut self.pipes);
        let mut fallen = BTreeSet::new();
        let mut said: Vec<(usize, Said)> = vec![];
        for pipe in &mut pipes {
            self.read_pipe(pipe);
            let condition = self.to_worker[pipe.scheduler][pipe.worker].0;
            while let Some(line) = pipe.to.take(self.now, &condition) {
                let Ok(line) = serde_json::from_slice::<Value>(&line) else { continue };
                let process = &mut self.workers[pipe.worker].process;
                let mut out = vec![];
                if process.up && process.hear(self.now, pipe.id, &line, &mut self.store, &mut out) {
                    fallen.insert(pipe.worker);
                }
                said.extend(out.into_iter().map(|one| (pipe.worker, one)));
            }
        }
        for (n, worker) in self.workers.iter_mut().enumerate() {
            let mut out = vec![];
            worker.process.turn(self.now, &mut self.store, &mut self.rng, &mut out);
            said.extend(out.into_iter().map(|one| (n, one)));
        }
        for (worker, (id, line)) in said {
            self.audit_answer(worker, &line);
            let lines = self.troubles.spoil(worker, line, &mut self.rng);
            let Ok(found) = pipes.binary_search_by_key(&id, |pipe| pipe.id) else { continue };
            let pipe = &mut pipes[found];
            let condition = self.to_worker[pipe.scheduler][pipe.worker].1;
            for line in lines {
                pipe.from.put(self.now, format!("{line}\n").into_bytes(), &condition, &mut self.rng);
            }
        }
        let (now, condition, workers) = (self.now, &self.to_worker, &mut self.workers);
        pipes.retain_mut(|pipe| {
            let back = &condition[pipe.scheduler][pipe.worker].1;
            while let Some(bytes) = pipe.from.take(now, back) {
                pipe.wire.outbox.extend(bytes);
            }
            let alive = !pipe.ended && pipe.wire.write();
            if !alive {
                workers[pipe.worker].process.left(pipe.id);
            }
            alive
        });
        self.pipes = pipes;
        for n in fallen {
            // Who was not told of its start may well send it too much, for as long as that does not count as told.
            let started = self.workers[n].process.started.unwrap_or(0);
            if !self.troubles.bus_was_ill(self.now) || started + TOLD_AT_THE_LATEST < self.last {
                self.audit.report("a cold worker fell over", format!("{n} at {} ms", self.now / MS));
            }
            self.worker_dies(n);
            self.active.push((
                Drawn { at: self.now, until: self.now + 3 * SECOND, fault: fall(), draw: 0 },
                vec![n],
            ));
        }
    }

    /// Takes what a scheduler has written, and looks at it as it enters the link.
    fn read_pipe(&mut self, pipe: &mut Pipe) {
        pipe.ended |= !pipe.wire.read();
        // What was read may have been written until now, and not only until the round began.
        let now = self.begun.elapsed().as_nanos() as Moment;
        while let Some(end) = pipe.wire.inbox.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = pipe.wire.inbox.drain(..=end).collect();
            self.enters(now, pipe.scheduler, pipe.worker, &line);
            let condition = self.to_worker[pipe.scheduler][pipe.worker].0;
            pipe.to.put(self.now, line, &condition, &mut self.rng);
        }
    }

    /// What a worker says of an attempt that never ran there.
    fn audit_answer(&mut self, worker: usize, line: &str) {
        let Ok(line) = serde_json::from_str::<Value>(line) else { return };
        if ["404", "503", "504"].contains(&line["verb"].as_str().unwrap_or_default()) {
            self.audit.never_ran(worker, line["rid"].as_str().unwrap_or_default());
        }
    }

    fn enters(&mut self, now: Moment, scheduler: usize, worker: usize, line: &[u8]) {
        let Ok(line) = serde_json::from_slice::<Value>(line) else {
            return self.audit.report("a line that cannot be read", format!("by {scheduler}"));
        };
        let (verb, rid) =
            (line["verb"].as_str().unwrap_or_default(), line["rid"].as_str().unwrap_or_default());
        if let Some(act) = Act::read(rid) {
            self.audit.act(scheduler, act, self.last, now);
        }
        let grace = self.scenario.grace_ms * MS + GRACE_SLACK;
        let was_away = self.absence.was_away(scheduler, now.saturating_sub(grace), now);
        let told_after = if self.troubles.bus_was_ill(now) { TOLD_AT_THE_LATEST } else { 0 };
        let drains = self.workers[worker].process.draining;
        let drained = drains.is_some_and(|at| at + told_after + grace < self.last) && !was_away;
        match verb {
            "stage" if line["attrs"]["replicas"].as_u64() != Some(0) => {
                let function = line["attrs"]["name"].as_str().unwrap_or_default().to_owned();
                self.audit.order(self.last, now, scheduler, &function);
                if drained {
                    let what = format!("{rid} by {scheduler} to {worker} at {} ms", now / MS);
                    self.audit.report("a load at a worker that drains", what);
                }
            }
            "go" => {
                let ttl_ms = line["attrs"]["ttl"].as_u64().unwrap_or_default();
                self.audit.attempt(self.last, scheduler, worker, rid, ttl_ms);
                if drained {
                    let what = format!("{rid} by {scheduler} to {worker} at {} ms", now / MS);
                    self.audit.report("a call to a worker that drains", what);
                }
            }
            _ => {}
        }
    }
}

/// A worker that fell over comes back by itself.
fn fall() -> super::super::scenario::Fault {
    toml::from_str("at = 0.0\nwhat = \"box_dies\"").expect("this is a fault")
}
