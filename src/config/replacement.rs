//! Checks whether a new configuration may replace the one in use.

use super::{Config, ConfigError};
use crate::interface::{Class, Duration, Effect};
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// Keys that only classes with the effect `dedup` need.
const KEYED_CLASS_KEYS: [&str; 2] = ["group", "repeatWindowNs"];

/// Checks that a new configuration may replace the one in use: it has every key of the one in use, with a value
/// of the same type, and its classes can be served. The error names the key.
///
/// # Errors
/// The new configuration lacks a key, changes a key's type, or has classes that cannot be served.
pub fn check(new: &Config, used: &Config) -> Result<(), ConfigError> {
    check_keys(&used.whole, &new.whole, "")?;
    let needed = class_keys_in_use(used);
    let mut names = BTreeSet::new();
    for (index, class) in new.classes().iter().enumerate() {
        check_keys(&needed, class, &format!("settings.classes[{index}]"))?;
        let name = class["name"].as_str().unwrap_or_default();
        if name.is_empty() || !names.insert(name.to_owned()) {
            return Err(ConfigError::ClassName { index, name: name.to_owned() });
        }
    }
    if names.is_empty() {
        return Err(ConfigError::NoClasses);
    }
    for (index, class) in new.site.settings.classes.iter().enumerate() {
        check_class_figures(index, class)?;
    }
    Ok(())
}

/// The keys that all classes in use have in common, without those that only keyed classes need.
fn class_keys_in_use(used: &Config) -> Value {
    let common = used.classes().iter().cloned().reduce(|one, other| {
        let in_both = |(key, _): &(&String, &Value)| other.get(key.as_str()).is_some();
        let fields = one.as_object().into_iter().flatten().filter(in_both);
        fields.map(|(key, value)| (key.clone(), value.clone())).collect()
    });
    let fields = common.iter().flat_map(|class| class.as_object()).flatten();
    let needed = fields.filter(|(key, _)| !KEYED_CLASS_KEYS.contains(&key.as_str()));
    Value::Object(needed.map(|(key, value)| (key.clone(), value.clone())).collect::<Map<_, _>>())
}

fn check_class_figures(index: usize, class: &Class) -> Result<(), ConfigError> {
    let window = match class.effect {
        Effect::Keyed { window, .. } => window,
        _ => Duration(1),
    };
    let figures = [
        ("deadlineNs", class.deadline),
        ("objectiveNs", class.latency_objective),
        ("repeatWindowNs", window),
    ];
    if let Some((key, _)) = figures.into_iter().find(|(_, figure)| figure.0 == 0) {
        return Err(ConfigError::ZeroClassFigure { index, key });
    }
    if class.max_attempts == 0 {
        return Err(ConfigError::ZeroAttempts);
    }
    Ok(())
}

/// Finds the first key that the new object lacks or whose value has another type. Lists are not compared: the
/// caller, which knows their contents, does that.
fn check_keys(used: &Value, new: &Value, path: &str) -> Result<(), ConfigError> {
    let (Some(used), Some(new)) = (used.as_object(), new.as_object()) else { return Ok(()) };
    for (key, value) in used {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let Some(other) = new.get(key) else { return Err(ConfigError::MissingKey(path)) };
        if std::mem::discriminant(value) != std::mem::discriminant(other) {
            return Err(ConfigError::KeyType(path));
        }
        check_keys(value, other, &path)?;
    }
    Ok(())
}
