//! Faults inside schedulers (system calls, clocks, files), of discovery, of clients and of answers; and which kinds
//! of faults were observed to take effect.

use super::super::scenario::FaultKind;
use super::*;
use crate::faults::{Call, SHORT_TRANSFER, UNTIL_CLEARED};
use rand::RngExt;

/// A system call, the errno with which it fails, and how often.
type Failure = (Call, u64, u64);

const EINTR: u64 = 4;
const ENFILE: u64 = 23;
const ENOSPC: u64 = 28;
const EADDRNOTAVAIL: u64 = 99;
const ENETUNREACH: u64 = 101;
const ECONNABORTED: u64 = 103;
const ENOBUFS: u64 = 105;
const EHOSTUNREACH: u64 = 113;

/// The possible failures of system calls, one of which is drawn for each fault.
const SYSTEM_CALL_FAILURES: [Failure; 12] = [
    (Call::Accept, ECONNABORTED, 8),
    (Call::Accept, ENFILE, 30),
    (Call::Socket, ENOBUFS, 20),
    (Call::Connect, ENETUNREACH, 20),
    (Call::Connect, EADDRNOTAVAIL, 20),
    (Call::Wait, EINTR, 200),
    (Call::Read, EINTR, 200),
    (Call::Write, EINTR, 200),
    (Call::Read, SHORT_TRANSFER, 5_000),
    (Call::Write, SHORT_TRANSFER, 5_000),
    (Call::ReceiveDatagram, EHOSTUNREACH, 50),
    (Call::SendDatagram, ENOBUFS, 50),
];
/// SIGHUPs sent while the configuration file is half written.
const RELOADS_OF_PARTIAL_FILE: usize = 10;
/// How long after a fault of discovery a scheduler may still not know its events, in nanoseconds.
const BUS_FAULT_AFTERMATH: u64 = 17 * SECOND;
/// Interval between cancellations by hasty clients, in nanoseconds.
const CANCEL_INTERVAL: u64 = 15 * MILLISECOND;
/// Fraction of the answers that are corrupted.
const CORRUPTED_ANSWER_RATIO: f64 = 0.3;

/// State of the active internal faults, and the effects of all faults.
pub(super) struct InternalFaults {
    pub(super) bus_silent: BTreeSet<usize>,
    pub(super) bus_closes: BTreeSet<usize>,
    pub(super) last_bus_fault: Moment,
    /// Schedulers whose clients are hasty.
    pub(super) hasty: BTreeSet<usize>,
    next_cancellation: Moment,
    /// Workers that corrupt answers.
    pub(super) corrupting: BTreeSet<usize>,
    /// Offset of the site's clocks, in milliseconds.
    site_clock_offset_ms: i64,
    starts: Vec<Option<Moment>>,
    /// Processes still running when SIGKILL followed SIGTERM.
    pub(super) killed_overdue: u64,
    /// By kind of fault: how many began, and how many were observed to take effect.
    pub(super) effects: BTreeMap<String, [u64; 2]>,
    /// The count of each kind when its last fault began.
    count_at_begin: BTreeMap<FaultKind, u64>,
    /// Effects observed so far, by kind.
    counted: BTreeMap<FaultKind, u64>,
    /// Injected failures counted so far, by scheduler and system call.
    injected: BTreeMap<(usize, Call), u64>,
}

impl InternalFaults {
    pub(super) fn new(schedulers: usize) -> InternalFaults {
        InternalFaults {
            bus_silent: BTreeSet::new(),
            bus_closes: BTreeSet::new(),
            last_bus_fault: 0,
            hasty: BTreeSet::new(),
            next_cancellation: 0,
            corrupting: BTreeSet::new(),
            site_clock_offset_ms: 0,
            starts: vec![None; schedulers],
            killed_overdue: 0,
            effects: BTreeMap::new(),
            count_at_begin: BTreeMap::new(),
            counted: BTreeMap::new(),
            injected: BTreeMap::new(),
        }
    }

    /// Records that a fault of this kind began at these targets.
    pub(super) fn record_begin(&mut self, what: FaultKind, targets: &[usize]) {
        let effect = self.effects.entry(format!("{what:?}")).or_default();
        effect[0] += 1;
        // Faults of processes, links and workers always take effect.
        effect[1] += u64::from(!targets.is_empty() && !InternalFaults::is_counted(what));
        self.count_at_begin.entry(what).or_insert_with(|| self.counted.get(&what).copied().unwrap_or(0));
    }

    /// Records that a fault of this kind ended.
    pub(super) fn record_end(&mut self, what: FaultKind) {
        if !InternalFaults::is_counted(what) {
            return;
        }
        let counted = self.counted.get(&what).copied().unwrap_or(0);
        if self.count_at_begin.remove(&what).is_some_and(|before| counted > before)
            && let Some(effect) = self.effects.get_mut(&format!("{what:?}"))
        {
            effect[1] += 1;
        }
    }

    /// Whether faults of this kind count as having taken effect only if an effect was observed.
    fn is_counted(what: FaultKind) -> bool {
        matches!(
            what,
            FaultKind::Reload
                | FaultKind::SystemCalls
                | FaultKind::Folder
                | FaultKind::BusSilent
                | FaultKind::BusCloses
                | FaultKind::Hasty
                | FaultKind::Spoilt
        )
    }

    fn count(&mut self, what: FaultKind, times: u64) {
        *self.counted.entry(what).or_default() += times;
    }

    /// Reads a line of a scheduler's log, which may show an effect.
    pub(super) fn inspect_log_line(&mut self, n: usize, text: &str) {
        if text.starts_with("reload") {
            self.count(FaultKind::Reload, 1);
        }
        if text.starts_with("upgrade configuration not saved") {
            self.count(FaultKind::Folder, 1);
        }
        if text.starts_with("closed ") && text.contains("kind=bus") {
            let silent = self.bus_silent.contains(&n) && text.contains("cause=Silent");
            self.count(FaultKind::BusSilent, u64::from(silent));
            self.count(FaultKind::BusCloses, u64::from(self.bus_closes.contains(&n)));
        }
    }

    pub(super) fn bus_is_faulty(&self, n: usize) -> bool {
        self.bus_silent.contains(&n) || self.bus_closes.contains(&n)
    }

    /// Whether a scheduler may not know the published events.
    pub(super) fn bus_was_faulty(&self, now: Moment) -> bool {
        self.last_bus_fault > 0 && self.last_bus_fault + BUS_FAULT_AFTERMATH > now
    }

    /// Converts a Unix time to the site's clocks.
    pub(super) fn site_clock(&self, unix_ms: u64) -> u64 {
        unix_ms.saturating_add_signed(self.site_clock_offset_ms)
    }

    pub(super) fn record_start(&mut self, n: usize, now: Moment) {
        self.starts[n] = Some(now);
    }

    /// Records that a process accepts clients, and returns how long its start took.
    pub(super) fn record_serving(&mut self, n: usize, now: Moment) -> Option<u64> {
        self.starts[n].take().map(|start| now - start)
    }

    /// The lines that a worker sends in place of this one.
    pub(super) fn corrupt(&mut self, worker: usize, line: String, rng: &mut SmallRng) -> Vec<String> {
        if !self.corrupting.contains(&worker) || !rng.random_bool(CORRUPTED_ANSWER_RATIO) {
            return vec![line];
        }
        self.count(FaultKind::Spoilt, 1);
        match rng.random_range(0..3) {
            0 => vec![line.clone(), line],
            1 => vec![line, "{\"verb\":\"200\",\"rid\":".to_owned()],
            _ => vec![line.replace("\"content\":\"", "\"content\":\"*")],
        }
    }
}

impl Environment {
    /// Makes clients of the affected schedulers cancel calls and close connections at intervals.
    pub(super) fn cancel_for_hasty_clients(&mut self) {
        if self.now < self.internal_faults.next_cancellation {
            return;
        }
        self.internal_faults.next_cancellation = self.now + CANCEL_INTERVAL;
        for n in self.internal_faults.hasty.clone() {
            self.cancel_some_calls_at(n);
        }
    }

    fn cancel_some_calls_at(&mut self, n: usize) {
        let gone = self.clients.cancel_some(self.now, n, &mut self.rng);
        self.internal_faults.count(FaultKind::Hasty, gone.len() as u64);
        for id in gone {
            self.audit.record_client_gone(self.now, id);
        }
    }

    /// Sends SIGHUP repeatedly while a new configuration is half written, and once more when it is complete.
    pub(super) fn reload(&mut self, n: usize) -> std::io::Result<()> {
        let path = self.schedulers[n].config_path();
        let text = std::fs::read_to_string(&path)?;
        let mut config: Value = serde_json::from_str(&text)?;
        config["settings"]["classes"][0]["worth"] = json!(self.rng.random_range(1.0..2.0));
        let new = config.to_string();
        // A process that has just been started would read the partial file and correctly refuse to start.
        if self.schedulers[n].processes.iter().all(|process| process.is_serving) {
            std::fs::write(&path, &new[..new.len() / 2])?;
            for _ in 0..RELOADS_OF_PARTIAL_FILE {
                self.send_sighup(n);
            }
        }
        let temporary_path = path.with_extension("next");
        std::fs::write(&temporary_path, &new)?;
        std::fs::rename(&temporary_path, &path)?;
        self.send_sighup(n);
        Ok(())
    }

    fn send_sighup(&self, n: usize) {
        for process in self.schedulers[n].processes.iter().filter(|process| process.is_serving) {
            process.signal("HUP");
        }
    }

    pub(super) fn begin_internal(&mut self, n: usize, drawn: &ScheduledFault) -> std::io::Result<()> {
        let Some(faults) = &self.schedulers[n].faults else { return Ok(()) };
        match drawn.fault.what {
            FaultKind::WallClock => {
                let offset_ms = (drawn.fault.much * 1e3) as i64;
                faults.step_wall_clock(offset_ms)?;
                // If all schedulers are stepped, the clock that stamps the workers' start times is stepped too.
                if drawn.fault.who == FaultTarget::All {
                    self.internal_faults.site_clock_offset_ms = offset_ms;
                }
            }
            FaultKind::SystemCalls => {
                let (call, errno, times) = failure(drawn);
                faults.fail(call, errno, times)?;
            }
            _ => faults.fail(Call::WriteFile, ENOSPC, UNTIL_CLEARED)?,
        }
        Ok(())
    }

    pub(super) fn end_internal(&mut self, n: usize, drawn: &ScheduledFault) -> std::io::Result<()> {
        let Some(faults) = &self.schedulers[n].faults else { return Ok(()) };
        let call = match drawn.fault.what {
            FaultKind::WallClock => {
                faults.step_wall_clock(0)?;
                self.internal_faults.site_clock_offset_ms = 0;
                return Ok(());
            }
            FaultKind::SystemCalls => failure(drawn).0,
            _ => Call::WriteFile,
        };
        faults.clear(call)?;
        let injected = faults.injected(call)?;
        let before = self.internal_faults.injected.insert((n, call), injected).unwrap_or(0);
        self.internal_faults.count(drawn.fault.what, injected - before);
        Ok(())
    }
}

/// The failure of system calls drawn for this fault.
fn failure(drawn: &ScheduledFault) -> Failure {
    SYSTEM_CALL_FAILURES[(drawn.draw % SYSTEM_CALL_FAILURES.len() as u64) as usize]
}
