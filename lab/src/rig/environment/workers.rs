//! The workers' side of the links: audits what schedulers write as it enters a link, and delivers it as it leaves.

use super::*;

impl Environment {
    pub(super) fn kill_worker(&mut self, n: usize) {
        self.workers[n].process.end();
        self.workers[n].listeners.iter_mut().for_each(|listener| *listener = None);
        self.connections.retain(|connection| connection.worker != n);
    }

    /// Replaces a worker by a cold one at the same address, under the same or a new uid.
    pub(super) fn restart_worker(&mut self, n: usize, same_id: bool) -> std::io::Result<()> {
        self.publish_worker_state(n, 2);
        self.kill_worker(n);
        let worker = &mut self.workers[n];
        worker.uid += if same_id { 0 } else { 0x100 };
        worker.process.start(self.now);
        worker.started_ms = self.internal_faults.site_clock(self.started_unix_ms + self.now / MILLISECOND);
        for (slot, address) in worker.listeners.iter_mut().zip(&worker.addresses) {
            let listener = TcpListener::bind(address)?;
            listener.set_nonblocking(true)?;
            *slot = Some(listener);
        }
        self.publish_worker_state(n, 0);
        Ok(())
    }

    pub(super) fn poll_workers(&mut self) {
        for (n, worker) in self.workers.iter().enumerate() {
            for (scheduler, listener) in worker.listeners.iter().enumerate() {
                while let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
                    let Ok(socket) = NonBlockingStream::new(stream) else { continue };
                    let (to, from) = Default::default();
                    let (id, ended) = (self.next_connection, false);
                    self.next_connection += 1;
                    self.connections.push(WorkerConnection {
                        id,
                        scheduler,
                        worker: n,
                        socket,
                        to,
                        from,
                        ended,
                    });
                }
            }
        }
        let mut connections = std::mem::take(&mut self.connections);
        let mut crashed = BTreeSet::new();
        let mut sent_lines: Vec<(usize, SentLine)> = vec![];
        for connection in &mut connections {
            self.read_connection(connection);
            let condition = self.worker_conditions[connection.scheduler][connection.worker].0;
            while let Some(line) = connection.to.take(self.now, &condition) {
                let Ok(line) = serde_json::from_slice::<Value>(&line) else { continue };
                let process = &mut self.workers[connection.worker].process;
                let mut out = vec![];
                if process.up
                    && process.receive_line(self.now, connection.id, &line, &mut self.store, &mut out)
                {
                    crashed.insert(connection.worker);
                }
                sent_lines.extend(out.into_iter().map(|one| (connection.worker, one)));
            }
        }
        for (n, worker) in self.workers.iter_mut().enumerate() {
            let mut out = vec![];
            worker.process.advance(self.now, &mut self.store, &mut self.rng, &mut out);
            sent_lines.extend(out.into_iter().map(|one| (n, one)));
        }
        for (worker, (id, line)) in sent_lines {
            self.audit_answer(worker, &line);
            let lines = self.internal_faults.corrupt(worker, line, &mut self.rng);
            let Ok(index) = connections.binary_search_by_key(&id, |other| other.id) else { continue };
            let connection = &mut connections[index];
            let condition = self.worker_conditions[connection.scheduler][connection.worker].1;
            for line in lines {
                connection.from.put(self.now, format!("{line}\n").into_bytes(), &condition, &mut self.rng);
            }
        }
        let (now, condition, workers) = (self.now, &self.worker_conditions, &mut self.workers);
        connections.retain_mut(|connection| {
            let back = &condition[connection.scheduler][connection.worker].1;
            while let Some(bytes) = connection.from.take(now, back) {
                connection.socket.write_buffer.extend(bytes);
            }
            let alive = !connection.ended && connection.socket.write();
            if !alive {
                workers[connection.worker].process.connection_closed(connection.id);
            }
            alive
        });
        self.connections = connections;
        for n in crashed {
            // A scheduler that did not learn of the start may overload the worker until the event counts as known.
            let started = self.workers[n].process.started.unwrap_or(0);
            if !self.internal_faults.bus_was_faulty(self.now)
                || started + MAX_NOTIFICATION_DELAY < self.last_round
            {
                self.audit.add_violation(
                    "a cold worker crashed under overload",
                    format!("{n} at {} ms", self.now / MILLISECOND),
                );
            }
            self.kill_worker(n);
            self.active_faults.push((
                ScheduledFault {
                    at: self.now,
                    until: self.now + 3 * SECOND,
                    fault: overload_crash(),
                    draw: 0,
                },
                vec![n],
            ));
        }
    }

    /// Reads what a scheduler has written, and audits it as it enters the link.
    fn read_connection(&mut self, connection: &mut WorkerConnection) {
        connection.ended |= !connection.socket.read();
        // The bytes may have been written until now, not only until the round began.
        let now = self.started.elapsed().as_nanos() as Moment;
        while let Some(end) = connection.socket.read_buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = connection.socket.read_buffer.drain(..=end).collect();
            self.audit_line(now, connection.scheduler, connection.worker, &line);
            let condition = self.worker_conditions[connection.scheduler][connection.worker].0;
            connection.to.put(self.now, line, &condition, &mut self.rng);
        }
    }

    /// Records a worker's answer that an attempt never ran there.
    fn audit_answer(&mut self, worker: usize, line: &str) {
        let Ok(line) = serde_json::from_str::<Value>(line) else { return };
        if ["404", "503", "504"].contains(&line["verb"].as_str().unwrap_or_default()) {
            self.audit.record_never_ran(worker, line["rid"].as_str().unwrap_or_default());
        }
    }

    fn audit_line(&mut self, now: Moment, scheduler: usize, worker: usize, line: &[u8]) {
        let Ok(line) = serde_json::from_slice::<Value>(line) else {
            return self.audit.add_violation("a malformed line", format!("by {scheduler}"));
        };
        let (verb, rid) =
            (line["verb"].as_str().unwrap_or_default(), line["rid"].as_str().unwrap_or_default());
        if let Some(act) = LeasedAction::read(rid) {
            self.audit.check_action(scheduler, act, self.last_round, now);
        }
        let grace = self.scenario.grace_ms * MILLISECOND + DRAIN_GRACE_SLACK;
        let was_away = self.absence.was_away(scheduler, now.saturating_sub(grace), now);
        let notification_delay =
            if self.internal_faults.bus_was_faulty(now) { MAX_NOTIFICATION_DELAY } else { 0 };
        let draining_since = self.workers[worker].process.draining;
        let drained_for_long =
            draining_since.is_some_and(|at| at + notification_delay + grace < self.last_round) && !was_away;
        match verb {
            "stage" if line["attrs"]["replicas"].as_u64() != Some(0) => {
                let function = line["attrs"]["name"].as_str().unwrap_or_default().to_owned();
                self.audit.check_load(self.last_round, now, scheduler, &function);
                if drained_for_long {
                    let what = format!("{rid} by {scheduler} to {worker} at {} ms", now / MILLISECOND);
                    self.audit.add_violation("a load request to a draining worker", what);
                }
            }
            "go" => {
                let ttl_ms = line["attrs"]["ttl"].as_u64().unwrap_or_default();
                self.audit.check_attempt(self.last_round, scheduler, worker, rid, ttl_ms);
                if drained_for_long {
                    let what = format!("{rid} by {scheduler} to {worker} at {} ms", now / MILLISECOND);
                    self.audit.add_violation("a call to a draining worker", what);
                }
            }
            _ => {}
        }
    }
}

/// The fault of a worker that crashed under overload and restarts by itself.
fn overload_crash() -> super::super::scenario::Fault {
    toml::from_str("at = 0.0\nwhat = \"box_dies\"").expect("the fault is valid")
}
