//! Reloads: at SIGHUP a separate thread reads the files, as parsing a long list takes far longer than requests may
//! wait. The result is checked and applied between two turns of the loop.

use super::Daemon;
use crate::backend;
use crate::config::{self, Config, Operator, Sources, Until};
use crate::front::socket;
use crate::interface::{ListKind, Member, State, Timestamp};
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};
use tracing::{info, warn};

type ReadResult = Result<(Config, Operator), String>;

/// The reload in progress, and the pipe on which its thread reports that it is done.
pub(super) struct Reloads {
    done: UnixStream,
    reading: Option<Receiver<(ReadResult, Duration)>>,
    /// Another reload was requested while the files were being read.
    requested_again: bool,
}

impl Reloads {
    /// `done` is the write end of the pipe that wakes the loop when the files have been read.
    pub(super) fn new(done: UnixStream) -> Reloads {
        Reloads { done, reading: None, requested_again: false }
    }
}

/// Reads both files and measures how long that takes. Discovery events up to `offset` are checked but omitted.
fn read(sources: &Sources, offset: u64) -> (ReadResult, Duration) {
    let start = Instant::now();
    let read = catch_unwind(AssertUnwindSafe(|| sources.read_after(Some(offset)).map_err(String::from)));
    (read.unwrap_or_else(|_| Err("reading the files panicked".to_owned())), start.elapsed())
}

impl Daemon {
    /// Handles SIGHUP: reads and checks both files completely before anything in them is applied. If one is invalid,
    /// nothing changes. Open requests and connections continue.
    pub(super) fn reload(&mut self) {
        if self.reloads.reading.is_some() {
            return self.reloads.requested_again = true;
        }
        // If the list comes from the domain, none of the file's events is needed.
        let offset = if self.list_is_distributed() { u64::MAX } else { self.received_events.borrow().offset };
        let sources = self.sources.clone();
        let (sender, receiver) = channel();
        let started = self.reloads.done.try_clone().and_then(|mut done| {
            std::thread::Builder::new().name("reload".to_owned()).spawn(move || {
                let _ = sender.send(read(&sources, offset));
                let _ = done.write_all(&[0]);
            })
        });
        match started {
            Ok(_) => self.reloads.reading = Some(receiver),
            // No thread could be started: the files are read here, and requests wait meanwhile.
            Err(_) => {
                let (read, took) = read(&self.sources, offset);
                self.apply_files(read, took);
            }
        }
    }

    /// Applies the files that were read, and starts the next reload if one was requested in the meantime.
    pub(super) fn finish_reload(&mut self) {
        let Some(read) = self.reloads.reading.as_ref().and_then(|reading| reading.try_recv().ok()) else {
            return;
        };
        self.reloads.reading = None;
        self.apply_files(read.0, read.1);
        if std::mem::take(&mut self.reloads.requested_again) {
            self.reload();
        }
    }

    /// Checks what was read and applies it, or logs why it is refused.
    fn apply_files(&mut self, read: ReadResult, took: Duration) {
        let start = Instant::now();
        let check_and_reload_fronts = |(config, operator): (Config, Operator)| {
            let (file, config) = self.with_distributed_classes(config)?;
            config::check(&config, &self.config)?;
            self.reload_fronts(&operator).map_err(|e| e.to_string())?;
            Ok((file, config, operator))
        };
        let (file, config, operator) = match read.and_then(check_and_reload_fronts) {
            Ok(read) => read,
            Err(why) => {
                self.core.counters().conf_invalid += 1;
                return warn!(%why, "reload refused");
            }
        };
        self.core.counters().conf_loaded += 1;
        self.apply_config(file, config, operator);
        let (offset, read_us) = (self.received_events.borrow().offset, took.as_micros() as u64);
        info!(offset, read_us, applied_us = start.elapsed().as_micros() as u64, "reloaded");
    }

    /// Replaces the configuration and the operator's file with checked ones. `file` is the configuration without the
    /// classes that the domain has distributed.
    fn apply_config(&mut self, file: Option<Config>, mut config: Config, operator: Operator) {
        let now = self.reactor.now();
        // Settings that take effect only at a start stay as they are, and a difference is logged.
        let restart_only = [
            ("listen", config.listen.port() != 0 && config.listen != self.config.listen),
            ("mgmt", config.mgmt != self.config.mgmt && config.mgmt.is_none_or(|at| at.port() != 0)),
            ("name", config.name != self.config.name),
            ("zones", config.site.zones != self.config.site.zones),
            ("kinds", config.site.kinds != self.config.site.kinds),
            ("vrrp", operator.vrrp != self.operator.vrrp),
            ("fleet", operator.fleet != self.operator.fleet),
            ("distribution", operator.distribution != self.operator.distribution),
        ];
        for (what, _) in restart_only.iter().filter(|(_, differs)| *differs) {
            warn!(what, "reload ignored");
        }
        self.keep_restart_only_settings(&mut config);
        let (vrrp, fleet) = (self.operator.vrrp.take(), self.operator.fleet.take());
        let distribution = self.operator.distribution.take();
        self.operator = Operator { vrrp, fleet, distribution, ..operator };
        self.core.chains_until_given_up(self.operator.chains.until == Until::GivenUp);
        let known = std::mem::take(&mut config.known_events);
        let address_changed = config.discovery != self.config.discovery;
        let before = std::mem::replace(&mut self.config, config);
        self.core.replace_site(now, self.config.site.clone());
        self.apply_limits();
        self.replace_checkers(now);
        self.set_list_source();
        // Offsets continue across the reload. The file's events are used if they follow the last one received here.
        self.advance_discovery(now);
        for event in known {
            let mut received = self.received_events.borrow_mut();
            let follows = event.kind == ListKind::Full || event.offset == received.offset + 1;
            if event.offset > received.offset && follows {
                received.offset = event.offset;
                received.events.push_back(event);
            }
        }
        if address_changed {
            self.change_discovery_address(now);
        }
        self.save_config();
        self.configuration_replaced(file, &before);
    }

    /// Keeps the settings that take effect only at a start.
    pub(super) fn keep_restart_only_settings(&self, config: &mut Config) {
        (config.listen, config.mgmt) = (self.config.listen, self.config.mgmt);
        config.name.clone_from(&self.config.name);
        config.site.zones.clone_from(&self.config.site.zones);
        config.site.kinds.clone_from(&self.config.site.kinds);
    }

    /// Applies the JSON-RPC front's settings. If the file names another socket, that one is bound in place of the old
    /// one, and connected clients stay. If binding fails, nothing changes.
    fn reload_fronts(&mut self, operator: &Operator) -> io::Result<()> {
        let path = |operator: &Operator| operator.jsonrpc.as_ref().map(|front| front.socket.clone());
        let same = path(operator) == path(&self.operator);
        let new = match (&operator.jsonrpc, &self.rpc) {
            (Some(front), Some((_, file))) if same => return file.set_mode(front.mode),
            (None, _) => None,
            (Some(front), _) => {
                let (listener, file) = socket::bind(&front.socket, front.mode)?;
                Some((self.reactor.listen_unix(listener)?, file))
            }
        };
        if let Some((listener, _)) = std::mem::replace(&mut self.rpc, new) {
            self.reactor.close_listener(listener);
        }
        Ok(())
    }

    /// Replaces the checkers by those of the new operator's file.
    fn replace_checkers(&mut self, now: Timestamp) {
        let old = std::mem::take(&mut self.checkers);
        for (member, path) in self.operator.members(&self.config.site) {
            self.pool.set_endpoint(member.worker, backend::Endpoint::Unix(path), None);
            self.checkers.push(member);
        }
        let removed = old.into_iter().filter(|old| !self.checkers.iter().any(|new| new.worker == old.worker));
        let mut changes: Vec<Member> = removed.map(|old| Member { state: State::Gone, ..old }).collect();
        changes.iter().for_each(|gone| self.pool.remove(gone.worker));
        changes.extend(&self.checkers);
        if !changes.is_empty() {
            self.core.members(now, ListKind::Delta, changes);
        }
    }
}
