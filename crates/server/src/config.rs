//! The configuration: the `ROUTER_*` environment variables and the JSON file that `ROUTER_CONFIG` names.
//!
//! A variable takes precedence over the same value in the file. The `settings` in the file are parsed by oakshed-wire,
//! the same way as in the other programs. With an invalid value, the program reports it in one line and does not start.

mod error;

use std::fs::File;
use std::io::{self, Read as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

pub use error::{ConfigError, ConfigFault, ConfigFileError};
use serde::Deserialize;
use serde_json::value::RawValue;

use oakshed_core::facade::Settings;
use oakshed_wire::Names;

use crate::list::Answer;
use crate::operator::OperatorConfig;

/// The minimum limit on descriptors; with fewer, nothing can be served.
const MIN_SOCKETS: usize = 64;

/// The limit on descriptors if the file does not set one.
const DEFAULT_SOCKETS: usize = 1_024;
/// The memory limit if the file does not set one.
const DEFAULT_MEMORY_MB: usize = 32;
/// The minimum memory limit; with less, nothing can be served.
const MIN_MEMORY_MB: usize = 4;
/// The maximum memory limit, which is more than any machine has. A larger value could overflow when converted to bytes.
const MAX_MEMORY_MB: usize = 1 << 24;
/// The most bytes that are read of the file. A longer one is cut off, which leaves invalid JSON.
const MAX_FILE_SIZE: u64 = 4 << 20;
/// The environment variable with discovery's address.
pub(crate) const DISCOVERY: &str = "ROUTER_DISCOVERY";
/// The environment variable with the operators' address.
const ADMIN: &str = "ROUTER_ADMIN";

/// The configuration of the program.
#[derive(Debug)]
pub struct Config {
    /// The scheduler's name, which stays the same over restarts.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The operators' address, if any.
    pub admin: Option<SocketAddr>,
    /// A private directory that outlives the process, if there is one.
    pub tmp: Option<PathBuf>,
    /// The seed for random numbers, different at each start.
    pub seed: u64,
    /// The limit on open descriptors.
    pub sockets: usize,
    /// The memory limit, in bytes.
    pub memory: usize,
    /// The cached endpoint list, in discovery's form.
    pub cached_list: Option<Answer>,
    /// The settings of the scheduling decisions.
    pub settings: Settings,
    /// The names of classes, tenants, zones and machine types.
    pub names: Rc<Names>,
    /// The content of the operator's file.
    pub operator: OperatorConfig,
}

/// The file that `ROUTER_CONFIG` names.
#[derive(Deserialize)]
struct ConfigFile<'a> {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    seed: Option<String>,
    limits: Option<Limits>,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: Option<&'a RawValue>,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// Reads a file, up to a limit: at a reload, a wrong file that is larger than the memory would end the process.
fn read_file(path: &str) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?
        .take(MAX_FILE_SIZE)
        .read_to_string(&mut text)?;
    Ok(text)
}

/// Parses an address, from the variable if it is set, and otherwise from the file.
fn address(
    from_variable: Option<String>,
    in_file: Option<&String>,
    variable: &'static str,
    field: &'static str,
) -> Result<SocketAddr, ConfigError> {
    let (name, value) = match (from_variable, in_file) {
        (Some(value), _) => (variable, value),
        (None, Some(value)) => (field, value.clone()),
        (None, None) => return Err(ConfigError::NoAddress { variable, field }),
    };
    value
        .parse()
        .map_err(|_| ConfigError::NotAnAddress { name, value })
}

impl Limits {
    /// The limit on open descriptors.
    fn sockets(&self) -> Result<usize, ConfigFault> {
        let sockets = self.sockets.unwrap_or(DEFAULT_SOCKETS);
        if sockets < MIN_SOCKETS {
            return Err(ConfigFault::TooFewSockets(sockets));
        }
        Ok(sockets)
    }

    /// The memory limit, in bytes.
    fn memory(&self) -> Result<usize, ConfigFault> {
        let memory = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&memory) {
            return Err(ConfigFault::MemoryOutOfRange(memory));
        }
        Ok(memory << 20)
    }
}

/// Checks that every class name can be the first segment of a request's path, and is no reserved one.
fn check_class_names(names: &Names, has_jobs: bool) -> Result<(), ConfigFault> {
    let is_reserved = |name: &str| name == "ready" || name == "jobs" && has_jobs;
    let is_segment = |name: &str| {
        name.bytes()
            .all(|byte| byte.is_ascii_graphic() && !b"/?#%".contains(&byte))
    };
    for name in &names.classes {
        if name.is_empty() || is_reserved(name) || !is_segment(name) {
            return Err(ConfigFault::UnusableClassName(name.clone()));
        }
    }
    Ok(())
}

impl Config {
    /// Reads the environment, in which `var` looks a variable up, and the file that it names. `operator` is the path of
    /// the operator's file.
    ///
    /// # Errors
    ///
    /// The first value that is missing or invalid.
    pub fn read(
        var: impl Fn(&str) -> Option<String>,
        operator: Option<&str>,
    ) -> Result<Config, ConfigError> {
        let path = var("ROUTER_CONFIG").ok_or(ConfigError::NoFile)?;
        let text = read_file(&path).map_err(|e| ConfigFileError::new(&path, e))?;
        let file: ConfigFile =
            serde_json::from_str(&text).map_err(|e| ConfigFileError::new(&path, e))?;
        let in_file = |fault: ConfigFault| ConfigFileError::new(&path, fault);
        let admin = match (var(ADMIN), &file.admin) {
            (None, None) => None,
            (variable, field) => Some(address(variable, field.as_ref(), ADMIN, "admin")?),
        };
        let seed = file.seed.ok_or_else(|| in_file(ConfigFault::NoSeed))?;
        let limits = file.limits.unwrap_or_default();
        let sockets = limits.sockets().map_err(in_file)?;
        let memory = limits.memory().map_err(in_file)?;
        let settings = file
            .settings
            .ok_or_else(|| in_file(ConfigFault::NoSettings))?;
        let (settings, names) =
            oakshed_wire::settings_and_names(settings.get()).map_err(|e| in_file(e.into()))?;
        let operator = operator.map_or(Ok(OperatorConfig::default()), OperatorConfig::read)?;
        check_class_names(&names, operator.jobs.is_some()).map_err(in_file)?;
        let listen = address(
            var("ROUTER_LISTEN"),
            file.listen.as_ref(),
            "ROUTER_LISTEN",
            "listen",
        )?;
        let discovery = address(
            var(DISCOVERY),
            file.discovery.as_ref(),
            DISCOVERY,
            "discovery",
        )?;
        let seed =
            u64::from_str_radix(&seed, 16).map_err(|_| in_file(ConfigFault::UnusableSeed))?;
        let cached_list = file
            .known
            .map(|list| Answer::parse(list.get().as_bytes()))
            .transpose()
            .map_err(|e| in_file(ConfigFault::MalformedList(e)))?;
        let tmp = var("TMPDIR").filter(|path| !path.is_empty());
        Ok(Config {
            name: var("ROUTER_NAME")
                .or(file.name)
                .unwrap_or_else(|| "scheduler".into()),
            listen,
            discovery,
            admin,
            tmp: tmp.map(PathBuf::from),
            seed,
            sockets,
            memory,
            cached_list,
            settings,
            names: Rc::new(names),
            operator,
        })
    }
}
