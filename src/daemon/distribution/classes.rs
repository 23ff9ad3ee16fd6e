//! The classes received by distribution, which override the file's classes of the same name.

use crate::config::{self, Config};
use crate::fleet::distribution::{Change, ChangeCheck, Key, Value};
use serde_json::Value as Json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

type ByName = BTreeMap<String, Json>;

/// The file's configuration, and the classes received by distribution.
pub(super) struct Classes {
    file: Config,
    distributed: ByName,
    /// Nothing has been received since this process joined the domain: the next changes replace everything received
    /// before.
    awaiting_snapshot: bool,
}

impl Classes {
    /// The classes of a process that has received nothing.
    pub(super) fn new(config: &Config) -> Classes {
        Classes { file: config.without_events(), distributed: ByName::new(), awaiting_snapshot: true }
    }

    /// Notes that this process joins the domain, so that the next changes are a complete state.
    pub(super) fn expect_snapshot(&mut self) {
        self.awaiting_snapshot = true;
    }

    /// A file's configuration, with the distributed classes in place of its own of the same name.
    ///
    /// # Errors
    /// The configuration is invalid with those classes.
    pub(super) fn with_distributed(&self, file: Config) -> Result<Config, String> {
        if self.distributed.is_empty() {
            return Ok(file);
        }
        Ok(file.with_classes(&self.distributed)?)
    }

    /// Replaces the file's configuration.
    pub(super) fn replace(&mut self, file: Config) {
        self.file = file;
    }

    /// Returns the classes and the configuration after the changes, or `None` if they change no class. They are checked
    /// against the file and not against earlier versions: whether a version is accepted must not depend on which
    /// versions a process has seen.
    fn with_changes(&self, changes: &[Change]) -> Result<Option<(ByName, Config)>, String> {
        let mut distributed = if self.awaiting_snapshot { ByName::new() } else { self.distributed.clone() };
        let mut changed = self.awaiting_snapshot && !self.distributed.is_empty();
        for change in changes {
            let Key::Class(name) = &change.key else { continue };
            changed = true;
            match &change.value {
                Some(Value::Class(text)) => {
                    distributed.insert(name.clone(), read_class(name, text)?);
                }
                _ => {
                    distributed.remove(name);
                }
            }
        }
        if !changed {
            return Ok(None);
        }
        let config = self.file.clone().with_classes(&distributed)?;
        config::check(&config, &self.file)?;
        Ok(Some((distributed, config)))
    }

    /// Applies the changes. Returns the configuration to use from now on if they change a class.
    pub(super) fn install(&mut self, changes: &[Change]) -> Result<Option<Config>, String> {
        let new = self.with_changes(changes)?;
        self.awaiting_snapshot = false;
        Ok(new.map(|(distributed, config)| {
            self.distributed = distributed;
            config
        }))
    }
}

/// Parses a distributed class: a JSON object whose `name` is the record's key.
fn read_class(name: &str, text: &str) -> Result<Json, String> {
    let class: Json = serde_json::from_str(text).map_err(|e| format!("class '{name}': {e}"))?;
    if class["name"] != *name {
        return Err(format!("class '{name}': its name is {}", class["name"]));
    }
    Ok(class)
}

/// Checks whether the configuration stays valid with the changes, without applying them.
pub(super) struct ClassCheck(pub(super) Rc<RefCell<Classes>>);

impl ChangeCheck for ClassCheck {
    fn check(&self, changes: &[Change]) -> Result<(), String> {
        self.0.borrow().with_changes(changes).map(drop)
    }
}

/// Accepts all changes: for relays, which do not apply them.
pub(super) struct NoCheck;

impl ChangeCheck for NoCheck {
    fn check(&self, _changes: &[Change]) -> Result<(), String> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
