//! Locates the configuration files through the environment and reads them.

use super::error::SourceFile;
use super::{Config, ConfigError, Operator, read_after, read_operator};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// The files of the configuration and what the environment adds to them. The files are read at startup and again
/// on SIGHUP.
#[derive(Clone, Debug)]
pub struct Sources {
    /// The platform's configuration.
    pub config: PathBuf,
    /// The operator's file, if there is one.
    pub operator: Option<PathBuf>,
    /// The second address of this process (`GW_MGMT`). It overrides the address in the file, which the old and the
    /// new process share during an upgrade.
    pub mgmt: Option<SocketAddr>,
    /// The descriptor of the clients' listener, if the platform passes one (`GW_PASSED_SOCKET`).
    pub listen_fd: Option<i32>,
}

impl Sources {
    /// The sources that the environment names, with this operator's file.
    ///
    /// # Errors
    /// `GW_CONFIG` is not set, or another variable cannot be parsed; the error names the variable.
    pub fn from_env(operator: Option<PathBuf>) -> Result<Sources, ConfigError> {
        let config = std::env::var_os("GW_CONFIG").ok_or(ConfigError::MissingEnvironment)?.into();
        let mgmt = parse_variable("GW_MGMT", "address")?;
        let listen_fd = parse_variable("GW_PASSED_SOCKET", "number")?;
        Ok(Sources { config, operator, mgmt, listen_fd })
    }

    /// Reads the operator's file; the default without one.
    ///
    /// # Errors
    /// The operator's file cannot be read or is invalid.
    pub fn operator(&self) -> Result<Operator, ConfigError> {
        let Some(path) = &self.operator else { return Ok(Operator::default()) };
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::unreadable(SourceFile::Operator, path, source))?;
        Ok(read_operator(&text)?)
    }

    /// Reads both files. Either all of both is valid, or nothing of them is used.
    ///
    /// # Errors
    /// Either file cannot be read or is invalid, or they contradict each other.
    pub fn read(&self) -> Result<(Config, Operator), ConfigError> {
        self.read_after(None)
    }

    /// Like [`Sources::read`], for a process that already knows discovery's events up to this offset.
    ///
    /// # Errors
    /// As [`Sources::read`].
    pub fn read_after(&self, offset: Option<u64>) -> Result<(Config, Operator), ConfigError> {
        let operator = self.operator()?;
        let text = std::fs::read(&self.config)
            .map_err(|source| ConfigError::unreadable(SourceFile::Platform, &self.config, source))?;
        let config = read_after(&text, offset)?;
        operator.check_site(&config.site)?;
        // Only a process that takes over from another one needs the file's text.
        let text = if self.listen_fd.is_some() { text } else { Vec::new() };
        Ok((Config { mgmt: self.mgmt.or(config.mgmt), text, ..config }, operator))
    }
}

/// Parses an environment variable, if it is set and not empty.
fn parse_variable<T: FromStr>(name: &'static str, expected: &'static str) -> Result<Option<T>, ConfigError> {
    let Some(value) = std::env::var(name).ok().filter(|value| !value.is_empty()) else { return Ok(None) };
    match value.parse() {
        Ok(parsed) => Ok(Some(parsed)),
        Err(_) => Err(ConfigError::InvalidEnvironment { name, value, expected }),
    }
}
