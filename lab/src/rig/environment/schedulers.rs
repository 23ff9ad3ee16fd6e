//! Reads the schedulers' logs, and tracks their exits and restarts.

use super::*;

/// Signals sent around SIGTERM, which has to take effect in spite of the others.
const SHUTDOWN_SIGNALS: [&str; 5] = ["HUP", "USR1", "TERM", "HUP", "TERM"];

/// Maximum time from the start of a process until it accepts clients, in nanoseconds.
const START_TIMEOUT: u64 = 10 * SECOND;

/// How the log reports the loss of a lease, in this version and the previous one: both may run in one fleet.
const LEASE_LOST: [&str; 2] = ["fleet lease lost", "fleet lost"];

impl Environment {
    /// Marks a scheduler as gone; clients notice after `notice` nanoseconds.
    pub(super) fn mark_gone(&mut self, n: usize, notice: u64) {
        self.record_ended_holds(n);
        self.absence.absent[n].push((self.now, None));
        self.avoided_since[n].get_or_insert(self.now + notice);
    }

    pub(super) fn mark_back(&mut self, n: usize) {
        for (_, until) in &mut self.absence.absent[n] {
            until.get_or_insert(self.now + SECOND);
        }
        self.avoided_since[n] = None;
    }

    pub(super) fn record_ended_holds(&mut self, n: usize) {
        for (of, _) in self.lease_holders.iter().filter(|(_, holder)| **holder == n) {
            self.ended_holds.entry(of.clone()).or_insert(self.now);
        }
    }

    pub(super) fn read_logs(&mut self) {
        while let Ok((n, number, line)) = self.log.1.try_recv() {
            let text = line.strip_prefix("mintgate: ").unwrap_or(&line);
            let value_of =
                |name: &str| text.split(' ').find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
            if text.starts_with("panic") || text.contains("panicked at") {
                self.audit.add_violation("a panic", format!("scheduler {n}: {text}"));
            }
            if text.starts_with("violation ") {
                self.audit.add_violation(
                    "an invariant violated inside a scheduler",
                    format!("scheduler {n}: {text}"),
                );
            }
            self.internal_faults.inspect_log_line(n, text);
            if text.starts_with("serving ") {
                if let Some(took) = self.internal_faults.record_serving(n, self.now)
                    && took > START_TIMEOUT
                    && !self.absence.was_away(n, self.now - took, self.now - took)
                {
                    self.audit.add_violation(
                        "a start that took too long",
                        format!("{n}: {} ms", took / MILLISECOND),
                    );
                }
                if let Some(process) =
                    self.schedulers[n].processes.iter_mut().find(|process| process.number == number)
                {
                    process.is_serving = true;
                }
                self.mark_back(n);
                self.clients.persistent.remove(&n);
                if self.upgrading.remove(&n) {
                    for process in
                        self.schedulers[n].processes.iter_mut().filter(|process| process.number < number)
                    {
                        process.ending = true;
                        process.signal("TERM");
                    }
                }
            }
            let of = value_of("task").zip(value_of("part").and_then(|part| part.parse().ok()));
            if let Some((of, fence)) = of.zip(value_of("fence").and_then(|fence| fence.parse().ok())) {
                let of = (of.0.to_owned(), of.1);
                self.hold_log.push(Hold {
                    of: format!("{} {}", of.0, of.1),
                    scheduler: n,
                    fence,
                    from_ms: self.now / MILLISECOND,
                });
                if let Some(since) = self.ended_holds.remove(&of) {
                    self.hold_gaps.push((self.now - since) / MILLISECOND);
                }
                self.lease_holders.insert(of, n);
            } else if let Some((task, part)) =
                of.filter(|_| LEASE_LOST.iter().any(|line| text.starts_with(line)))
            {
                let of = (task.to_owned(), part);
                if self.lease_holders.get(&of) == Some(&n) {
                    self.lease_holders.remove(&of);
                    if self.calls_enabled {
                        self.ended_holds.entry(of).or_insert(self.now);
                    }
                }
            }
            self.log_lines.push(format!("{:9} ms  {n}.{number}  {text}", self.now / MILLISECOND));
        }
    }

    /// Sends SIGTERM among other signals and schedules SIGKILL; clients keep using their connections.
    pub(super) fn begin_terminate_then_kill(&mut self, n: usize) {
        self.record_ended_holds(n);
        self.clients.persistent.insert(n);
        self.avoided_since[n].get_or_insert(self.now + NEW_CONNECTIONS_AFTER_TERM);
        let deadline = (self.scenario.allow_ms * MILLISECOND).min(3 * SECOND);
        for process in &mut self.schedulers[n].processes {
            process.ending = true;
            process.kill_at = Some(self.now + deadline + KILL_AFTER_DEADLINE);
            for name in SHUTDOWN_SIGNALS {
                process.signal(name);
            }
        }
    }

    /// Sends SIGKILL to processes that did not exit in time.
    pub(super) fn kill_overdue(&mut self) {
        let now = self.now;
        for n in 0..self.schedulers.len() {
            let processes = &mut self.schedulers[n].processes;
            let before = processes.len();
            processes.retain(|process| process.kill_at.is_none_or(|at| at > now));
            if processes.len() < before {
                self.internal_faults.killed_overdue += 1;
                self.report_progress(format!("scheduler {n} is killed"));
            }
        }
    }

    pub(super) fn reap_processes(&mut self) {
        for n in 0..self.schedulers.len() {
            let mut unexpected_exit = None;
            self.schedulers[n].processes.retain_mut(|process| match process.exit_success() {
                None => true,
                Some(success) => {
                    unexpected_exit = unexpected_exit
                        .or((!success || !process.ending).then_some((process.number, success)));
                    false
                }
            });
            if let Some((number, success)) = unexpected_exit {
                let how = if success { "without being asked to" } else { "with a failure" };
                self.audit.add_violation(
                    "a scheduler process that exited unexpectedly",
                    format!("{n}.{number} exited {how}"),
                );
            }
            // From here on nothing answers on its listening socket.
            if self.schedulers[n].processes.is_empty()
                && self.absence.absent[n].last().is_none_or(|(_, until)| until.is_some())
            {
                self.absence.absent[n].push((self.now.saturating_sub(SECOND), None));
                self.avoided_since[n].get_or_insert(self.now);
            }
        }
    }
}
