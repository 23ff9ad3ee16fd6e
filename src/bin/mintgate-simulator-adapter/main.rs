//! Connects the policy to the simulator: reads batches of events from standard input, runs one policy per simulated
//! scheduler, and writes its actions to standard output.
#![forbid(unsafe_code)]

mod codec;

use codec::{Record, Reply, WireError, read_frame, read_records};
use mintgate::{Action, Event, Member, Policy, settings};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

/// The state between batches: the worker lists, and the policies of the simulated schedulers.
#[derive(Default)]
struct Host {
    rosters: BTreeMap<u16, Vec<Member>>,
    instances: BTreeMap<u16, Policy>,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mintgate-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), WireError> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut actions = Vec::new();
    while let Some(frame) = read_frame(&mut input)? {
        let mut reply = Reply::default();
        for record in read_records(&frame)? {
            host.handle_record(frame.now, record, &mut actions, &mut reply);
        }
        let sent = output.write_all(&reply.finish()).and_then(|()| output.flush());
        sent.map_err(|error| WireError(format!("reply: cannot write: {error}")))?;
    }
    Ok(())
}

impl Host {
    /// Handles a record, and adds the resulting actions to the reply.
    fn handle_record(
        &mut self,
        now: mintgate::Timestamp,
        record: Record,
        actions: &mut Vec<Action>,
        reply: &mut Reply,
    ) {
        let (instance, event) = match record {
            Record::Open { instance, seed, settings } => {
                match settings::read(&settings) {
                    Ok(settings) => drop(self.instances.insert(instance, Policy::new(settings, seed))),
                    Err(error) => reply.fault(instance, &error.to_string()),
                }
                return;
            }
            Record::Kill { instance } => return drop(self.instances.remove(&instance)),
            Record::Roster { number, entries } => return drop(self.rosters.insert(number, entries)),
            Record::Skipped => return,
            Record::Sync { instance, kind, roster } => {
                let entries = match kind {
                    mintgate::ListKind::Failed => Vec::new(),
                    _ => self.rosters.get(&roster).cloned().unwrap_or_default(),
                };
                (instance, Event::Members(kind, entries))
            }
            Record::Event { instance, event } => (instance, event),
        };
        let Some(policy) = self.instances.get_mut(&instance) else {
            return;
        };
        policy.handle(now, event, actions);
        for action in actions.drain(..) {
            reply.action(instance, &action);
        }
    }
}
