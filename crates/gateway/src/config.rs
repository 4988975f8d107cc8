//! The configuration: the JSON file that `LB_CONFIG` names, read at startup and on SIGHUP.
use crate::discovery::EndpointList;
use irishinge_admission::{Settings, SettingsError};
use irishinge_settings::{
    Names, SettingsDocument, SettingsDocumentError, SocketSettings, TranslatedSettings,
};
use serde::Deserialize;
use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;

/// A validated configuration.
pub(crate) struct Config {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The quota counter's address, if the fleet has one.
    pub counter: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// File descriptors that the process may have open.
    pub descriptor_limit: usize,
    /// The address that receives peers' messages, or `None` if there are no peers.
    pub peer_listen: Option<SocketAddr>,
    /// The address of each gateway, by its number.
    pub peers: Vec<SocketAddr>,
    /// The endpoint list that was cached before a restart.
    pub cached_list: Option<EndpointList>,
    /// The decision library's settings.
    pub settings: Settings,
    /// The names behind the settings' indexes.
    pub names: Names,
    /// The settings of the network code.
    pub socket_settings: SocketSettings,
}

#[derive(Deserialize)]
struct File {
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    counter: Option<SocketAddr>,
    seed: String,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(rename = "known")]
    cached_list: Option<EndpointList>,
    settings: SettingsDocument,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(rename = "sockets")]
    descriptors: usize,
}

/// The least number of file descriptors: with fewer there would be too few connections for clients and
/// endpoints.
const MIN_DESCRIPTORS: usize = 64;

/// Why the configuration could not be loaded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// The environment variable that names the file is missing or not UTF-8.
    #[error("LB_CONFIG does not name the configuration file")]
    NoPath(#[source] env::VarError),
    /// The file could not be read.
    #[error("cannot read the configuration {path}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The file's content cannot be used.
    #[error("cannot use the configuration {path}")]
    Invalid {
        /// The file.
        path: String,
        /// What in it is wrong.
        source: InvalidConfig,
    },
}

/// What is wrong with a configuration's content.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidConfig {
    /// It is not JSON, or a field is missing or has the wrong type.
    #[error(transparent)]
    Form(#[from] serde_json::Error),
    /// `seed` is not a hexadecimal number.
    #[error("seed is not a hexadecimal number of 64 bits")]
    Seed(#[source] ParseIntError),
    /// `settings` says something that the gateway cannot act on.
    #[error("settings")]
    Settings(#[from] SettingsDocumentError),
    /// The decision library rejected the settings.
    #[error("settings")]
    RejectedSettings(#[from] SettingsError),
    /// `limits.sockets` is too low.
    #[error("limits.sockets is {0}, but must be at least {MIN_DESCRIPTORS}")]
    TooFewDescriptors(usize),
    /// `peers` does not list every gateway of the fleet.
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
    /// Fails if the file is not named, cannot be read, or is invalid.
    pub(crate) fn load() -> Result<Self, ConfigError> {
        let path = env::var("LB_CONFIG").map_err(ConfigError::NoPath)?;
        match fs::read(&path) {
            Ok(text) => Self::parse(&text).map_err(|source| ConfigError::Invalid { path, source }),
            Err(source) => Err(ConfigError::Unreadable { path, source }),
        }
    }

    fn parse(text: &[u8]) -> Result<Self, InvalidConfig> {
        let file: File = serde_json::from_slice(text)?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(InvalidConfig::Seed)?;
        let socket_settings = file.settings.socket_settings()?;
        let TranslatedSettings { settings, names } = file.settings.translate()?;
        settings.check()?;
        if file.limits.descriptors < MIN_DESCRIPTORS {
            return Err(InvalidConfig::TooFewDescriptors(file.limits.descriptors));
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
            peer_listen: file.peer_listen,
            peers: file.peers,
            cached_list: file.cached_list,
            settings,
            names,
            socket_settings,
        })
    }
}
