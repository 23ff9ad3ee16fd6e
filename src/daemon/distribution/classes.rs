//! The classes that came by distribution, laid over those of the file by name.

use crate::config::{self, Config};
use crate::fleet::distribution::{Change, ChangeCheck, Key, Value};
use serde_json::Value as Json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

type ByName = BTreeMap<String, Json>;

/// What the file says, and what came.
pub(super) struct Classes {
    file: Config,
    distributed: ByName,
    /// Nothing has come since this process took its place: what comes next stands for all of what came before.
    awaiting_snapshot: bool,
}

impl Classes {
    /// Of a process to which nothing has come.
    pub(super) fn new(config: &Config) -> Classes {
        Classes { file: config.without_list(), distributed: ByName::new(), awaiting_snapshot: true }
    }

    /// This process takes its place in the domain.
    pub(super) fn expect_snapshot(&mut self) {
        self.awaiting_snapshot = true;
    }

    /// A configuration as a file says it, with the classes that came laid over.
    pub(super) fn with_distributed(&self, file: Config) -> Result<Config, String> {
        if self.distributed.is_empty() {
            return Ok(file);
        }
        Ok(file.with_classes(&self.distributed)?)
    }

    /// This is what the file says from now on.
    pub(super) fn replace(&mut self, file: Config) {
        self.file = file;
    }

    /// What the changes make of the classes; none where they change none. They are checked against the file, and not
    /// against what came before: whether a version is taken must not depend on which versions a process has seen.
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

    /// Takes the changes in; the configuration that is to be in force then, where they change a class.
    pub(super) fn install(&mut self, changes: &[Change]) -> Result<Option<Config>, String> {
        let new = self.with_changes(changes)?;
        self.awaiting_snapshot = false;
        Ok(new.map(|(distributed, config)| {
            self.distributed = distributed;
            config
        }))
    }
}

/// A class as it is distributed: JSON with the name under which it goes.
fn read_class(name: &str, text: &str) -> Result<Json, String> {
    let class: Json = serde_json::from_str(text).map_err(|e| format!("class '{name}': {e}"))?;
    if class["name"] != *name {
        return Err(format!("class '{name}': its name is {}", class["name"]));
    }
    Ok(class)
}

/// Judges changes by what they would make of the configuration in use, and changes nothing.
pub(super) struct ClassCheck(pub(super) Rc<RefCell<Classes>>);

impl ChangeCheck for ClassCheck {
    fn check(&self, changes: &[Change]) -> Result<(), String> {
        self.0.borrow().with_changes(changes).map(drop)
    }
}

/// For processes that only hand on what comes.
pub(super) struct NoCheck;

impl ChangeCheck for NoCheck {
    fn check(&self, _changes: &[Change]) -> Result<(), String> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
