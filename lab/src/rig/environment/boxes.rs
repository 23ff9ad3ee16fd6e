//! The run boxes' side of the links: what schedulers write is audited as it enters, and heard as it leaves.

use super::*;

impl Environment {
    pub(super) fn box_dies(&mut self, n: usize) {
        self.boxes[n].agent.end();
        self.boxes[n].doors.iter_mut().for_each(|door| *door = None);
        self.pipes.retain(|pipe| pipe.run_box != n);
    }

    pub(super) fn box_returns(&mut self, n: usize) -> std::io::Result<()> {
        self.tell(n, 2);
        self.box_dies(n);
        let run_box = &mut self.boxes[n];
        run_box.uid += 0x100;
        run_box.agent.start(self.now);
        run_box.started_ms = self.troubles.site_clock(self.unix_ms + self.now / MS);
        for (door, at) in run_box.doors.iter_mut().zip(&run_box.at) {
            let listener = TcpListener::bind(at)?;
            listener.set_nonblocking(true)?;
            *door = Some(listener);
        }
        self.tell(n, 0);
        Ok(())
    }

    pub(super) fn turn_boxes(&mut self) {
        for (n, run_box) in self.boxes.iter().enumerate() {
            for (scheduler, door) in run_box.doors.iter().enumerate() {
                while let Some(Ok((stream, _))) = door.as_ref().map(TcpListener::accept) {
                    let Ok(wire) = Wire::new(stream) else { continue };
                    let (to, from) = Default::default();
                    let (id, ended) = (self.next_pipe, false);
                    self.next_pipe += 1;
                    self.pipes.push(Pipe { id, scheduler, run_box: n, wire, to, from, ended });
                }
            }
        }
        let mut pipes = std::mem::take(&mut self.pipes);
        let mut fallen = BTreeSet::new();
        let mut said: Vec<(usize, Said)> = vec![];
        for pipe in &mut pipes {
            self.read_pipe(pipe);
            let condition = self.to_box[pipe.scheduler][pipe.run_box].0;
            while let Some(line) = pipe.to.take(self.now, &condition) {
                let Ok(line) = serde_json::from_slice::<Value>(&line) else { continue };
                let agent = &mut self.boxes[pipe.run_box].agent;
                let mut out = vec![];
                if agent.up && agent.hear(self.now, pipe.id, &line, &mut self.store, &mut out) {
                    fallen.insert(pipe.run_box);
                }
                said.extend(out.into_iter().map(|one| (pipe.run_box, one)));
            }
        }
        for (n, run_box) in self.boxes.iter_mut().enumerate() {
            let mut out = vec![];
            run_box.agent.turn(self.now, &mut self.store, &mut self.rng, &mut out);
            said.extend(out.into_iter().map(|one| (n, one)));
        }
        for (run_box, (id, line)) in said {
            self.audit_answer(run_box, &line);
            let lines = self.troubles.spoil(run_box, line, &mut self.rng);
            let Ok(found) = pipes.binary_search_by_key(&id, |pipe| pipe.id) else { continue };
            let pipe = &mut pipes[found];
            let condition = self.to_box[pipe.scheduler][pipe.run_box].1;
            for line in lines {
                pipe.from.put(self.now, format!("{line}\n").into_bytes(), &condition, &mut self.rng);
            }
        }
        let (now, condition, boxes) = (self.now, &self.to_box, &mut self.boxes);
        pipes.retain_mut(|pipe| {
            let back = &condition[pipe.scheduler][pipe.run_box].1;
            while let Some(bytes) = pipe.from.take(now, back) {
                pipe.wire.outbox.extend(bytes);
            }
            let alive = !pipe.ended && pipe.wire.write();
            if !alive {
                boxes[pipe.run_box].agent.left(pipe.id);
            }
            alive
        });
        self.pipes = pipes;
        for n in fallen {
            // Who was not told of its start may well send it too much.
            if !self.troubles.bus_was_ill(self.now) {
                self.audit.report("a cold run box fell over", format!("{n} at {} ms", self.now / MS));
            }
            self.box_dies(n);
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
            self.enters(now, pipe.scheduler, pipe.run_box, &line);
            let condition = self.to_box[pipe.scheduler][pipe.run_box].0;
            pipe.to.put(self.now, line, &condition, &mut self.rng);
        }
    }

    /// What a run box says of an attempt that never ran there.
    fn audit_answer(&mut self, run_box: usize, line: &str) {
        let Ok(line) = serde_json::from_str::<Value>(line) else { return };
        if ["404", "503", "504"].contains(&line["verb"].as_str().unwrap_or_default()) {
            self.audit.never_ran(run_box, line["rid"].as_str().unwrap_or_default());
        }
    }

    fn enters(&mut self, now: Moment, scheduler: usize, run_box: usize, line: &[u8]) {
        let Ok(line) = serde_json::from_slice::<Value>(line) else {
            return self.audit.report("a line that cannot be read", format!("by {scheduler}"));
        };
        let (verb, rid) =
            (line["verb"].as_str().unwrap_or_default(), line["rid"].as_str().unwrap_or_default());
        if let Some(act) = Act::read(rid) {
            self.audit.act(scheduler, act, self.last, now);
        }
        let was_away = self.absence.was_away(scheduler, now.saturating_sub(GRACE), now);
        match verb {
            "stage" if line["attrs"]["replicas"].as_u64() != Some(0) => {
                let function = line["attrs"]["name"].as_str().unwrap_or_default().to_owned();
                self.audit.order(self.last, now, scheduler, &function);
            }
            "go" => {
                let told = self.boxes[run_box].agent.draining.is_some_and(|at| at + GRACE < self.last);
                let ttl_ms = line["attrs"]["ttl"].as_u64().unwrap_or_default();
                self.audit.attempt(self.last, scheduler, run_box, rid, ttl_ms);
                if told && !was_away && !self.troubles.bus_was_ill(now) {
                    let what = format!("{rid} by {scheduler} to {run_box} at {} ms", now / MS);
                    self.audit.report("a call to a run box that drains", what);
                }
            }
            _ => {}
        }
    }
}

/// A run box that fell over comes back by itself.
fn fall() -> super::super::scenario::Fault {
    toml::from_str("at = 0.0\nwhat = \"box_dies\"").expect("this is a fault")
}
