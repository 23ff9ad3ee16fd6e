//! New configurations: SIGHUP has the files read on a thread of their own, for a long list takes far longer to parse
//! than requests may wait, and what was read is checked and put in force between two turns of the loop.

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

/// Where the files' readers say that they are done, and the one that is at work.
pub(super) struct Reloads {
    done: UnixStream,
    reading: Option<Receiver<(ReadResult, Duration)>>,
    /// The files have changed again since they were opened.
    requested_again: bool,
}

impl Reloads {
    /// The writing end of the pipe that tells the loop of files that were read.
    pub(super) fn new(done: UnixStream) -> Reloads {
        Reloads { done, reading: None, requested_again: false }
    }
}

/// Reads both files; events of discovery up to this number are checked and left out.
fn read(sources: &Sources, offset: u64) -> (ReadResult, Duration) {
    let start = Instant::now();
    let read = catch_unwind(AssertUnwindSafe(|| sources.read_after(Some(offset)).map_err(String::from)));
    (read.unwrap_or_else(|_| Err("a fault while they were read".to_owned())), start.elapsed())
}

impl Daemon {
    /// SIGHUP: both files are read whole and checked before anything of them is used; where one is bad, all
    /// stays as it was. Calls under way go on, and so do connections.
    pub(super) fn reload(&mut self) {
        if self.reloads.reading.is_some() {
            return self.reloads.requested_again = true;
        }
        // Where the list comes from elsewhere all of it is known.
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
            // Without a thread requests wait meanwhile.
            Err(_) => {
                let (read, took) = read(&self.sources, offset);
                self.apply_files(read, took);
            }
        }
    }

    /// The files have been read.
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

    fn apply_config(&mut self, file: Option<Config>, mut config: Config, operator: Operator) {
        let now = self.reactor.now();
        // What can only be had at a start stays as it is, and is said.
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
        // Discovery's numbers go on. What the file knows is of use where it follows on what is known here.
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

    /// What can only be had at a start stays as it is.
    pub(super) fn keep_restart_only_settings(&self, config: &mut Config) {
        (config.listen, config.mgmt) = (self.config.listen, self.config.mgmt);
        config.name.clone_from(&self.config.name);
        config.site.zones.clone_from(&self.config.site.zones);
        config.site.kinds.clone_from(&self.config.site.kinds);
    }

    /// The second front's part of the operator's file. Its socket moves if the file names another; clients
    /// that are connected stay. Where the new socket cannot be had nothing has changed.
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
