//! What schedulers log, and how they go and come back.

use super::*;

/// What comes in a series before and after the signal to end.
const SIGNALS: [&str; 5] = ["HUP", "USR1", "TERM", "HUP", "TERM"];

/// A process is ready within this time.
const READY: u64 = 10 * SECOND;

/// How the log says that a lease is lost, in this version and in the one before it: both may run in one fleet.
const LEASE_LOST: [&str; 2] = ["fleet lease lost", "fleet lost"];

impl Environment {
    /// A scheduler is gone: clients notice after a while.
    pub(super) fn leave(&mut self, n: usize, notice: u64) {
        self.end_holds(n);
        self.absence.away[n].push((self.now, None));
        self.shunned[n].get_or_insert(self.now + notice);
    }

    pub(super) fn back(&mut self, n: usize) {
        for (_, until) in &mut self.absence.away[n] {
            until.get_or_insert(self.now + SECOND);
        }
        self.shunned[n] = None;
    }

    pub(super) fn end_holds(&mut self, n: usize) {
        for (of, _) in self.holds.iter().filter(|(_, holder)| **holder == n) {
            self.ended_holds.entry(of.clone()).or_insert(self.now);
        }
    }

    pub(super) fn hear_logs(&mut self) {
        while let Ok((n, number, line)) = self.log.1.try_recv() {
            let text = line.strip_prefix("mintgate: ").unwrap_or(&line);
            let word =
                |name: &str| text.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
            if text.starts_with("panic") || text.contains("panicked at") {
                self.audit.report("a panic", format!("scheduler {n}: {text}"));
            }
            if text.starts_with("violation ") {
                self.audit.report("an invariant inside", format!("scheduler {n}: {text}"));
            }
            self.troubles.logged(n, text);
            if text.starts_with("serving ") {
                if let Some(took) = self.troubles.serves(n, self.now)
                    && took > READY
                    && !self.absence.was_away(n, self.now - took, self.now - took)
                {
                    self.audit.report("a start that took too long", format!("{n}: {} ms", took / MS));
                }
                if let Some(process) =
                    self.schedulers[n].processes.iter_mut().find(|process| process.number == number)
                {
                    process.serves = true;
                }
                self.back(n);
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
            let of = word("task").zip(word("part").and_then(|part| part.parse().ok()));
            if let Some((of, fence)) = of.zip(word("fence").and_then(|fence| fence.parse().ok())) {
                let of = (of.0.to_owned(), of.1);
                self.held.push(Held {
                    of: format!("{} {}", of.0, of.1),
                    scheduler: n,
                    fence,
                    from_ms: self.now / MS,
                });
                if let Some(since) = self.ended_holds.remove(&of) {
                    self.gaps.push((self.now - since) / MS);
                }
                self.holds.insert(of, n);
            } else if let Some((task, part)) =
                of.filter(|_| LEASE_LOST.iter().any(|line| text.starts_with(line)))
            {
                let of = (task.to_owned(), part);
                if self.holds.get(&of) == Some(&n) {
                    self.holds.remove(&of);
                    if self.calling {
                        self.ended_holds.entry(of).or_insert(self.now);
                    }
                }
            }
            self.logged.push(format!("{:9} ms  {n}.{number}  {text}", self.now / MS));
        }
    }

    /// SIGTERM among other signals. Its clients go on using their connections, and SIGKILL follows.
    pub(super) fn end_in_series(&mut self, n: usize) {
        self.end_holds(n);
        self.clients.persistent.insert(n);
        self.shunned[n].get_or_insert(self.now + NEW_CONNECTIONS);
        let deadline = (self.scenario.allow_ms * MS).min(3 * SECOND);
        for process in &mut self.schedulers[n].processes {
            process.ending = true;
            process.kill_at = Some(self.now + deadline + KILL_AFTER_DEADLINE);
            for name in SIGNALS {
                process.signal(name);
            }
        }
    }

    /// SIGKILL to whoever has not ended by then.
    pub(super) fn kill_overdue(&mut self) {
        let now = self.now;
        for n in 0..self.schedulers.len() {
            let processes = &mut self.schedulers[n].processes;
            let before = processes.len();
            processes.retain(|process| process.kill_at.is_none_or(|at| at > now));
            if processes.len() < before {
                self.troubles.killed_overdue += 1;
                self.say(format!("scheduler {n} is killed"));
            }
        }
    }

    pub(super) fn see_ends(&mut self) {
        for n in 0..self.schedulers.len() {
            let mut odd = None;
            self.schedulers[n].processes.retain_mut(|process| match process.ended() {
                None => true,
                Some(well) => {
                    odd = odd.or((!well || !process.ending).then_some((process.number, well)));
                    false
                }
            });
            if let Some((number, well)) = odd {
                let how = if well { "without being asked" } else { "badly" };
                self.audit.report("a scheduler that ended by itself", format!("{n}.{number} ended {how}"));
            }
            // From its end on nobody answers at its door.
            if self.schedulers[n].processes.is_empty()
                && self.absence.away[n].last().is_none_or(|(_, until)| until.is_some())
            {
                self.absence.away[n].push((self.now.saturating_sub(SECOND), None));
                self.shunned[n].get_or_insert(self.now);
            }
        }
    }
}
