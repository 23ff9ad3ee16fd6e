//! Troubles inside schedulers (system calls, clocks, files), of the bus, of clients and of answers; and which of all
//! kinds were seen to take effect.

use super::super::scenario::What;
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

/// What system calls fail with; one is drawn each time.
const FAILURES: [Failure; 12] = [
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
/// SIGHUPs while a file is half written.
const HALF_READS: usize = 10;
/// So long after the bus was ill somebody may not have been told of what it tells.
const TOLD: u64 = 17 * SECOND;
/// From one time that clients leave to the next.
const HASTE: u64 = 15 * MS;
/// The part of the answers that is spoilt.
const SPOILT: f64 = 0.3;

/// See the module's page.
pub(super) struct Troubles {
    pub(super) bus_silent: BTreeSet<usize>,
    pub(super) bus_closes: BTreeSet<usize>,
    pub(super) bus_ill_at: Moment,
    /// Schedulers whose clients are hasty, and when some of them leave next.
    pub(super) hasty: BTreeSet<usize>,
    hasty_at: Moment,
    /// Workers that spoil answers.
    pub(super) spoilt: BTreeSet<usize>,
    /// By how much the clocks of the site are off, in milliseconds.
    site_off_ms: i64,
    starts: Vec<Option<Moment>>,
    /// Processes that were still up when SIGKILL came after SIGTERM.
    pub(super) killed_overdue: u64,
    /// How often each kind came, and was seen to take effect.
    pub(super) effects: BTreeMap<String, [u64; 2]>,
    /// What was counted of each kind when it came last.
    before: BTreeMap<What, u64>,
    /// Effects counted so far.
    counted: BTreeMap<What, u64>,
    /// Failures of each scheduler's calls that were counted.
    injected: BTreeMap<(usize, Call), u64>,
}

impl Troubles {
    pub(super) fn new(schedulers: usize) -> Troubles {
        Troubles {
            bus_silent: BTreeSet::new(),
            bus_closes: BTreeSet::new(),
            bus_ill_at: 0,
            hasty: BTreeSet::new(),
            hasty_at: 0,
            spoilt: BTreeSet::new(),
            site_off_ms: 0,
            starts: vec![None; schedulers],
            killed_overdue: 0,
            effects: BTreeMap::new(),
            before: BTreeMap::new(),
            counted: BTreeMap::new(),
            injected: BTreeMap::new(),
        }
    }

    /// A trouble of this kind has come, to these.
    pub(super) fn came(&mut self, what: What, whom: &[usize]) {
        let effect = self.effects.entry(format!("{what:?}")).or_default();
        effect[0] += 1;
        // What is done to processes, links and workers takes effect by itself.
        effect[1] += u64::from(!whom.is_empty() && !Troubles::is_counted(what));
        self.before.entry(what).or_insert_with(|| self.counted.get(&what).copied().unwrap_or(0));
    }

    /// A trouble of this kind is over.
    pub(super) fn ended(&mut self, what: What) {
        if !Troubles::is_counted(what) {
            return;
        }
        let counted = self.counted.get(&what).copied().unwrap_or(0);
        if self.before.remove(&what).is_some_and(|before| counted > before)
            && let Some(effect) = self.effects.get_mut(&format!("{what:?}"))
        {
            effect[1] += 1;
        }
    }

    /// Kinds of which something has to be seen before they count as having taken effect.
    fn is_counted(what: What) -> bool {
        matches!(
            what,
            What::Reload
                | What::SystemCalls
                | What::Folder
                | What::BusSilent
                | What::BusCloses
                | What::Hasty
                | What::Spoilt
        )
    }

    fn count(&mut self, what: What, times: u64) {
        *self.counted.entry(what).or_default() += times;
    }

    /// A line of a scheduler's log, which may show an effect.
    pub(super) fn logged(&mut self, n: usize, text: &str) {
        if text.starts_with("reload") {
            self.count(What::Reload, 1);
        }
        if text.starts_with("upgrade configuration not saved") {
            self.count(What::Folder, 1);
        }
        if text.starts_with("closed ") && text.contains("kind=bus") {
            let silent = self.bus_silent.contains(&n) && text.contains("cause=Silent");
            self.count(What::BusSilent, u64::from(silent));
            self.count(What::BusCloses, u64::from(self.bus_closes.contains(&n)));
        }
    }

    pub(super) fn bus_is_ill(&self, n: usize) -> bool {
        self.bus_silent.contains(&n) || self.bus_closes.contains(&n)
    }

    /// Whether somebody may not know what the bus has told.
    pub(super) fn bus_was_ill(&self, now: Moment) -> bool {
        self.bus_ill_at > 0 && self.bus_ill_at + TOLD > now
    }

    /// A Unix time as the site's clocks have it.
    pub(super) fn site_clock(&self, unix_ms: u64) -> u64 {
        unix_ms.saturating_add_signed(self.site_off_ms)
    }

    pub(super) fn started(&mut self, n: usize, now: Moment) {
        self.starts[n] = Some(now);
    }

    /// A process serves: how long that took.
    pub(super) fn serves(&mut self, n: usize, now: Moment) -> Option<u64> {
        self.starts[n].take().map(|start| now - start)
    }

    /// The lines that a worker says in place of this one.
    pub(super) fn spoil(&mut self, worker: usize, line: String, rng: &mut SmallRng) -> Vec<String> {
        if !self.spoilt.contains(&worker) || !rng.random_bool(SPOILT) {
            return vec![line];
        }
        self.count(What::Spoilt, 1);
        match rng.random_range(0..3) {
            0 => vec![line.clone(), line],
            1 => vec![line, "{\"verb\":\"200\",\"rid\":".to_owned()],
            _ => vec![line.replace("\"content\":\"", "\"content\":\"*")],
        }
    }
}

impl Environment {
    /// Clients of hasty schedulers cancel calls and close connections, again and again.
    pub(super) fn clients_leave(&mut self) {
        if self.now < self.troubles.hasty_at {
            return;
        }
        self.troubles.hasty_at = self.now + HASTE;
        for n in self.troubles.hasty.clone() {
            self.clients_leave_at(n);
        }
    }

    fn clients_leave_at(&mut self, n: usize) {
        let gone = self.clients.leave(self.now, n, &mut self.rng);
        self.troubles.count(What::Hasty, gone.len() as u64);
        for id in gone {
            self.audit.gone(self.now, id);
        }
    }

    /// A new configuration: read again and again while it is half written, and once more when it is whole.
    pub(super) fn reload(&mut self, n: usize) -> std::io::Result<()> {
        let path = self.schedulers[n].configuration();
        let whole = std::fs::read_to_string(&path)?;
        let mut config: Value = serde_json::from_str(&whole)?;
        config["settings"]["classes"][0]["worth"] = json!(self.rng.random_range(1.0..2.0));
        let new = config.to_string();
        // A process that has just been started would find half a file, and rightly not start.
        if self.schedulers[n].processes.iter().all(|process| process.serves) {
            std::fs::write(&path, &new[..new.len() / 2])?;
            for _ in 0..HALF_READS {
                self.hang_up(n);
            }
        }
        let beside = path.with_extension("next");
        std::fs::write(&beside, &new)?;
        std::fs::rename(&beside, &path)?;
        self.hang_up(n);
        Ok(())
    }

    fn hang_up(&self, n: usize) {
        for process in self.schedulers[n].processes.iter().filter(|process| process.serves) {
            process.signal("HUP");
        }
    }

    pub(super) fn begin_inside(&mut self, n: usize, drawn: &Drawn) -> std::io::Result<()> {
        let Some(faults) = &self.schedulers[n].faults else { return Ok(()) };
        match drawn.fault.what {
            What::WallClock => {
                let off_ms = (drawn.fault.much * 1e3) as i64;
                faults.step_wall_clock(off_ms)?;
                // Where all are stepped, so is whoever stamps starts.
                if drawn.fault.who == Who::All {
                    self.troubles.site_off_ms = off_ms;
                }
            }
            What::SystemCalls => {
                let (call, errno, times) = failure(drawn);
                faults.fail(call, errno, times)?;
            }
            _ => faults.fail(Call::WriteFile, ENOSPC, UNTIL_CLEARED)?,
        }
        Ok(())
    }

    pub(super) fn end_inside(&mut self, n: usize, drawn: &Drawn) -> std::io::Result<()> {
        let Some(faults) = &self.schedulers[n].faults else { return Ok(()) };
        let call = match drawn.fault.what {
            What::WallClock => {
                faults.step_wall_clock(0)?;
                self.troubles.site_off_ms = 0;
                return Ok(());
            }
            What::SystemCalls => failure(drawn).0,
            _ => Call::WriteFile,
        };
        faults.clear(call)?;
        let injected = faults.injected(call)?;
        let before = self.troubles.injected.insert((n, call), injected).unwrap_or(0);
        self.troubles.count(drawn.fault.what, injected - before);
        Ok(())
    }
}

/// What fails, as the seed has drawn it.
fn failure(drawn: &Drawn) -> Failure {
    FAILURES[(drawn.draw % FAILURES.len() as u64) as usize]
}
