//! Loads the configuration, the JSON file that the environment variable `LB_CONFIG` names. It is read at
//! startup and on SIGHUP.
use crate::discovery::EndpointListUpdate;
use irishinge_admission::{Settings, SettingsError};
use irishinge_settings::{
    DeploymentSettings, Names, SettingsDocument, SettingsDocumentError, TranslatedSettings,
};
use serde::Deserialize;
use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;

/// A validated configuration.
pub(crate) struct Config {
    /// The address on which the gateway accepts clients' connections.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The quota counter's address, or `None` if the fleet has no quota counter.
    pub counter: Option<SocketAddr>,
    /// The seed of the gateway's random numbers.
    pub seed: u64,
    /// The maximum number of file descriptors that the process may have open.
    pub descriptor_limit: usize,
    /// The maximum memory of the process, in megabytes.
    pub memory_limit_mb: f64,
    /// The address on which the gateway receives peers' messages, or `None` if it exchanges none.
    pub peer_listen: Option<SocketAddr>,
    /// The address for messages of each gateway of the fleet, indexed by the gateway's number. May be empty;
    /// the number of addresses is checked only if `peer_listen` is set.
    pub peers: Vec<SocketAddr>,
    /// The endpoint list that was cached before a restart, if there is one.
    pub cached_list: Option<EndpointListUpdate>,
    /// The settings of the admission library.
    pub settings: Settings,
    /// The names of the classes, plans, zones and machine kinds that the settings refer to by index.
    pub names: Names,
    /// The settings that only the deployed gateway needs.
    pub deployment_settings: DeploymentSettings,
}

/// The configuration file's content.
#[derive(Deserialize)]
struct ConfigFile {
    /// The address on which the gateway accepts clients' connections.
    listen: SocketAddr,
    /// Discovery's address.
    discovery: SocketAddr,
    /// The quota counter's address; missing if the fleet has no quota counter.
    #[serde(default)]
    counter: Option<SocketAddr>,
    /// The seed as a hexadecimal number of at most 64 bits.
    seed: String,
    /// The limits on the process's resources.
    limits: Limits,
    /// The address on which the gateway receives peers' messages; missing if it exchanges none.
    peer_listen: Option<SocketAddr>,
    /// The address for messages of each gateway of the fleet, indexed by the gateway's number; missing if the
    /// gateway exchanges none.
    #[serde(default)]
    peers: Vec<SocketAddr>,
    /// The endpoint list that was cached before a restart; missing if there is none.
    #[serde(rename = "known")]
    cached_list: Option<EndpointListUpdate>,
    /// The settings of the admission library, and those that only the deployed gateway needs.
    settings: SettingsDocument,
}

/// The limits on the process's resources.
#[derive(Deserialize)]
struct Limits {
    /// The maximum number of open file descriptors.
    #[serde(rename = "sockets")]
    descriptors: usize,
    /// The maximum memory of the process, in megabytes.
    #[serde(default = "default_memory_mb")]
    memory_mb: f64,
}

/// The memory of a process whose configuration states none, in megabytes: the least that a deployment has.
fn default_memory_mb() -> f64 {
    32.0
}

/// The minimum of `limits.sockets`, in file descriptors. A lower limit would leave too few connections for
/// clients and endpoints.
const MIN_DESCRIPTORS: usize = 64;

/// The reason for which the configuration could not be loaded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// The environment variable `LB_CONFIG` is not set or not UTF-8.
    #[error("LB_CONFIG does not name the configuration file")]
    NoPath(#[source] env::VarError),
    /// The file could not be read.
    #[error("cannot read the configuration file {path}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file's content is invalid.
    #[error("invalid configuration file {path}")]
    Invalid {
        /// The path of the file.
        path: String,
        /// The first thing that is invalid in the file.
        source: InvalidConfig,
    },
}

/// The reason for which a configuration file's content is invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidConfig {
    /// The content is not JSON, or a field is missing or has the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// `seed` is not a hexadecimal number of at most 64 bits.
    #[error("seed is {value:?}, expected a hexadecimal number of at most 64 bits")]
    InvalidSeed {
        /// The value found. The message quotes and escapes it, so that it stays on one line.
        value: String,
        /// Why the value could not be parsed.
        source: ParseIntError,
    },
    /// A value in `settings` is unknown or out of range.
    #[error("invalid settings")]
    Settings(#[from] SettingsDocumentError),
    /// The admission library rejected the settings.
    #[error("invalid settings")]
    RejectedSettings(#[from] SettingsError),
    /// `limits.sockets` is below [`MIN_DESCRIPTORS`].
    #[error("limits.sockets is {0}, expected at least {MIN_DESCRIPTORS}")]
    TooFewDescriptors(usize),
    /// `limits.memory_mb` is not a positive number.
    #[error("limits.memory_mb is {0}, expected more than 0")]
    InvalidMemoryLimit(f64),
    /// `peer_listen` is set, and `peers` is not empty but has another number of addresses than the settings
    /// have gateways.
    #[error("peers has {peers} addresses, but settings.balancers is {gateways}")]
    PeerCount {
        /// The number of addresses in `peers`.
        peers: usize,
        /// The number of gateways in the settings.
        gateways: usize,
    },
}

impl Config {
    /// Reads and validates the file that `LB_CONFIG` names.
    ///
    /// # Errors
    ///
    /// Fails if `LB_CONFIG` does not name a file, or the file cannot be read or is invalid.
    pub(crate) fn load() -> Result<Self, ConfigError> {
        let path = env::var("LB_CONFIG").map_err(ConfigError::NoPath)?;
        match fs::read(&path) {
            Ok(text) => Self::parse(&text).map_err(|source| ConfigError::Invalid { path, source }),
            Err(source) => Err(ConfigError::Unreadable { path, source }),
        }
    }

    /// Parses and validates the content of a configuration file.
    fn parse(text: &[u8]) -> Result<Self, InvalidConfig> {
        let file: ConfigFile = serde_json::from_slice(text)?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|source| InvalidConfig::InvalidSeed { value: file.seed, source })?;
        let deployment_settings = file.settings.deployment_settings()?;
        let TranslatedSettings { settings, names } = file.settings.translate()?;
        settings.check()?;
        if file.limits.descriptors < MIN_DESCRIPTORS {
            return Err(InvalidConfig::TooFewDescriptors(file.limits.descriptors));
        }
        if !(file.limits.memory_mb.is_finite() && file.limits.memory_mb > 0.0) {
            return Err(InvalidConfig::InvalidMemoryLimit(file.limits.memory_mb));
        }
        let (peers, gateways) = (file.peers.len(), settings.gateways);
        if file.peer_listen.is_some() && peers > 0 && peers != gateways {
            return Err(InvalidConfig::PeerCount { peers, gateways });
        }
        Ok(Config {
            listen: file.listen,
            discovery: file.discovery,
            counter: file.counter,
            seed,
            descriptor_limit: file.limits.descriptors,
            memory_limit_mb: file.limits.memory_mb,
            peer_listen: file.peer_listen,
            peers: file.peers,
            cached_list: file.cached_list,
            settings,
            names,
            deployment_settings,
        })
    }
}
