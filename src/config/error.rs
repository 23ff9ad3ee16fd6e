//! Errors of the configuration, with the text that operators see.

use super::distribution::DistributionError;
use super::fleet::FleetError;
use crate::settings::SettingsError;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// One of the two files of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceFile {
    /// The platform's configuration.
    Platform,
    /// The operator's file.
    Operator,
}

impl fmt::Display for SourceFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SourceFile::Platform => "configuration",
            SourceFile::Operator => "operator's file",
        })
    }
}

/// Why a configuration is rejected.
#[derive(Debug)]
pub enum ConfigError {
    /// `GW_CONFIG` is not set.
    MissingEnvironment,
    /// An environment variable has a value that cannot be parsed.
    InvalidEnvironment {
        /// The variable.
        name: &'static str,
        /// Its value.
        value: String,
        /// The kind of value that is expected.
        expected: &'static str,
    },
    /// A file cannot be read.
    Unreadable {
        /// Which of the two files.
        file: SourceFile,
        /// Its path.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The platform's file is not valid JSON, or its fields don't match the expected ones.
    Malformed(serde_json::Error),
    /// The platform's file has no `settings`.
    MissingSettings,
    /// The settings are invalid.
    Settings(SettingsError),
    /// A worker in one of the file's discovery events has an invalid value.
    InvalidWorker {
        /// The key of the value.
        key: &'static str,
        /// The value.
        value: String,
    },
    /// A new configuration lacks a key that the one in use has. Holds the key's path.
    MissingKey(String),
    /// A key of a new configuration has a value of another type than in the one in use. Holds the key's path.
    KeyType(String),
    /// A class has no name, or the name of another class.
    ClassName {
        /// The index of the class.
        index: usize,
        /// Its name.
        name: String,
    },
    /// A new configuration has no classes.
    NoClasses,
    /// A number of a class that must be positive is 0.
    ZeroClassFigure {
        /// The index of the class.
        index: usize,
        /// The key.
        key: &'static str,
    },
    /// The limit on attempts is 0, so that no request could be sent.
    ZeroAttempts,
    /// The operator's file is invalid.
    Operator(OperatorError),
}

impl ConfigError {
    pub(super) fn unreadable(file: SourceFile, path: &Path, source: io::Error) -> ConfigError {
        ConfigError::Unreadable { file, path: path.to_owned(), source }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::MissingEnvironment => f.write_str("GW_CONFIG names no configuration"),
            ConfigError::InvalidEnvironment { name, value, expected } => {
                write!(f, "{name} is '{value}', no {expected}")
            }
            ConfigError::Unreadable { file, path, source } => {
                write!(f, "{file}: cannot read {}: {source}", path.display())
            }
            ConfigError::Malformed(source) => write!(f, "configuration: {source}"),
            ConfigError::MissingSettings => f.write_str("configuration: missing field `settings`"),
            ConfigError::Settings(error) => error.fmt(f),
            ConfigError::InvalidWorker { key, value } => {
                write!(f, "configuration: known: {key} is '{value}'")
            }
            ConfigError::MissingKey(path) => write!(f, "configuration: {path} is missing"),
            ConfigError::KeyType(path) => write!(f, "configuration: {path} is of another type"),
            ConfigError::ClassName { index, name } => write!(
                f,
                "configuration: settings.classes[{index}].name is '{name}', which is empty or stands twice"
            ),
            ConfigError::NoClasses => f.write_str("configuration: settings.classes is empty"),
            ConfigError::ZeroClassFigure { index, key } => {
                write!(f, "configuration: settings.classes[{index}].{key} is not over 0")
            }
            ConfigError::ZeroAttempts => {
                f.write_str("configuration: settings.bounds.mostTries is not over 0")
            }
            ConfigError::Operator(error) => error.fmt(f),
        }
    }
}

impl Error for ConfigError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ConfigError::Unreadable { source, .. } => Some(source),
            ConfigError::Malformed(source) => Some(source),
            ConfigError::Settings(error) => error.source(),
            ConfigError::Operator(error) => error.source(),
            _ => None,
        }
    }
}

impl From<SettingsError> for ConfigError {
    fn from(error: SettingsError) -> ConfigError {
        ConfigError::Settings(error)
    }
}

impl From<OperatorError> for ConfigError {
    fn from(error: OperatorError) -> ConfigError {
        ConfigError::Operator(error)
    }
}

/// For callers that only pass on the text.
impl From<ConfigError> for String {
    fn from(error: ConfigError) -> String {
        error.to_string()
    }
}

/// Why an operator's file is rejected.
#[derive(Debug)]
pub enum OperatorError {
    /// The file is not valid TOML, or its fields don't match the expected ones.
    Malformed(toml::de::Error),
    /// The maximum line length of the JSON-RPC front is out of range.
    JsonRpcLine,
    /// A number of the virtual router is out of range.
    VrrpBounds,
    /// An address of the virtual router is not a loopback address.
    VrrpAddress,
    /// A checker's id cannot be parsed, or another checker has it too.
    CheckerId(String),
    /// The section `[fleet]` is invalid.
    Fleet(FleetError),
    /// The section `[distribution]` is invalid.
    Distribution(DistributionError),
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("operator's file: ")?;
        match self {
            OperatorError::Malformed(source) => source.fmt(f),
            OperatorError::JsonRpcLine => f.write_str("jsonrpc.max_line is not between 1024 and 1048576"),
            OperatorError::VrrpBounds => f.write_str("vrrp.vrid, priority and interval_cs start from 1"),
            OperatorError::VrrpAddress => f.write_str("vrrp.bind and peers are loopback addresses"),
            OperatorError::CheckerId(id) => write!(f, "checker id '{id}' is odd or stands twice"),
            OperatorError::Fleet(error) => error.fmt(f),
            OperatorError::Distribution(error) => error.fmt(f),
        }
    }
}

impl Error for OperatorError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            OperatorError::Malformed(source) => Some(source),
            _ => None,
        }
    }
}

impl From<FleetError> for OperatorError {
    fn from(error: FleetError) -> OperatorError {
        OperatorError::Fleet(error)
    }
}

impl From<DistributionError> for OperatorError {
    fn from(error: DistributionError) -> OperatorError {
        OperatorError::Distribution(error)
    }
}
