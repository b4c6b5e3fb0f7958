//! Adapter between the scheduler and the simulator's protocol, and the parser of scheduler settings.
//!
//! [`host`] runs many schedulers in one process, driven by lines of JSON. [`mod@settings`] parses the settings
//! with which a scheduler starts, for the simulator and for the real server. The scheduling logic itself is in
//! `oakshed_core`.
//!
//! ```
//! let boot = r#"{"balancers":2,"categories":[{"name":"transfer","aim-ms":400,"give-up-ms":6000,
//!     "idempotency":"single_shot","importance":10}],"limits":{"max-attempts":4},
//!     "obligations":{"cold-share":0.3,"fall-ms":2000,"fall-multiple":3,"ramp-time-ms":9000}}"#;
//! let (settings, names) = oakshed_wire::settings_and_names(boot).unwrap();
//! assert_eq!(settings.classes[0].latency_objective.as_micros(), 400_000);
//! assert_eq!(names.classes[0], "transfer");
//! ```
#![warn(missing_docs)]

pub mod host;
pub mod settings;

pub use host::{lenient, parse_request_id, serve, LineError, ServeError};
pub use settings::{ms_to_micros, settings, settings_and_names, BootInfoError, Names};
