//! Errors of the settings, with the text that operators see.

use std::error::Error;
use std::fmt;

/// Why settings are rejected.
#[derive(Debug)]
pub enum SettingsError {
    /// The settings are not valid JSON, or their fields don't match the expected ones.
    Malformed(serde_json::Error),
    /// A class lacks a key that its effect needs.
    MissingClassKey {
        /// The index of the class.
        class: usize,
        /// The key.
        key: &'static str,
    },
    /// A class has a value that is not one of those defined.
    UnknownClassValue {
        /// The index of the class.
        class: usize,
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
    },
    /// `familyInfo.notLoaded`, which says what a worker does without the function, is not one of the values defined.
    OnMiss(String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("settings: ")?;
        match self {
            SettingsError::Malformed(source) => source.fmt(f),
            SettingsError::MissingClassKey { class, key } => write!(f, "classes[{class}] lacks {key}"),
            SettingsError::UnknownClassValue { class, key, value } => {
                write!(f, "classes[{class}].{key} is '{value}'")
            }
            SettingsError::OnMiss(value) => write!(f, "familyInfo.notLoaded is '{value}'"),
        }
    }
}

impl Error for SettingsError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            SettingsError::Malformed(source) => Some(source),
            _ => None,
        }
    }
}
