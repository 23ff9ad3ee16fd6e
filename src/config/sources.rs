//! Where the configuration comes from: the environment, and the files that it names.

use super::error::SourceFile;
use super::{Config, ConfigError, Operator, read_after, read_operator};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// The files of the configuration. They are read at the start, and anew on SIGHUP.
#[derive(Clone, Debug)]
pub struct Sources {
    /// The platform's configuration.
    pub config: PathBuf,
    /// The operator's file, if there is one.
    pub operator: Option<PathBuf>,
    /// The second address as given to this process alone: it prevails over the file, which an old and a
    /// new process share.
    pub mgmt: Option<SocketAddr>,
    /// The descriptor of the clients' listener, where the platform holds it.
    pub passed_listener: Option<i32>,
}

impl Sources {
    /// What the platform's environment names, and this operator's file; the error names what is odd.
    ///
    /// # Errors
    /// `GW_CONFIG` is absent, or another variable cannot be read.
    pub fn from_env(operator: Option<PathBuf>) -> Result<Sources, ConfigError> {
        let config = std::env::var_os("GW_CONFIG").ok_or(ConfigError::MissingEnvironment)?.into();
        let mgmt = from_environment("GW_MGMT", "address")?;
        let passed_listener = from_environment("GW_PASSED_SOCKET", "number")?;
        Ok(Sources { config, operator, mgmt, passed_listener })
    }

    /// Reads the operator's file.
    ///
    /// # Errors
    /// The operator's file cannot be read or used.
    pub fn operator(&self) -> Result<Operator, ConfigError> {
        let Some(path) = &self.operator else { return Ok(Operator::default()) };
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::unreadable(SourceFile::Operator, path, source))?;
        Ok(read_operator(&text)?)
    }

    /// Reads both files whole; nothing of them is used unless all of both can be.
    ///
    /// # Errors
    /// Either file cannot be read or used, or they do not fit each other.
    pub fn read(&self) -> Result<(Config, Operator), ConfigError> {
        self.read_after(None)
    }

    /// The same for a process that knows discovery's events up to this number.
    ///
    /// # Errors
    /// As [`Sources::read`].
    pub fn read_after(&self, offset: Option<u64>) -> Result<(Config, Operator), ConfigError> {
        let operator = self.operator()?;
        let text = std::fs::read(&self.config)
            .map_err(|source| ConfigError::unreadable(SourceFile::Platform, &self.config, source))?;
        let config = read_after(&text, offset)?;
        operator.check_site(&config.site)?;
        // Only a process that takes over is in need of it.
        let text = if self.passed_listener.is_some() { text } else { Vec::new() };
        Ok((Config { mgmt: self.mgmt.or(config.mgmt), text, ..config }, operator))
    }
}

/// A variable of the environment, if it is set and not empty.
fn from_environment<T: FromStr>(
    name: &'static str,
    expected: &'static str,
) -> Result<Option<T>, ConfigError> {
    let Some(value) = std::env::var(name).ok().filter(|value| !value.is_empty()) else { return Ok(None) };
    match value.parse() {
        Ok(parsed) => Ok(Some(parsed)),
        Err(_) => Err(ConfigError::InvalidEnvironment { name, value, expected }),
    }
}
