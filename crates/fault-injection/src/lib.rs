//! Faults of system calls, and steps of the wall clock, for a child process of a test.
//!
//! A [`Plan`] names which calls fail, with which error, how often and when. [`Faults`] gives it to a child
//! process by `LD_PRELOAD` and stays in touch with it through a [`Control`] file. The shared object that
//! carries a plan out is `oakshed-fault-injection-preload`; a test that uses this crate names that one among
//! its dev-dependencies too, so that cargo builds it. Nothing that serves may depend on either.

mod control;
mod errno;
mod plan;

pub use control::{
    Control, Switch, CLOCK_OFFSET_AT, CONTROL_SIZE, MOST_ROWS, STRIKES_AT, SWITCHES_AT,
};
pub use plan::{Call, Effect, Plan, PlanError, Rate, Row, Window};

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The environment variable with the plan's text.
pub const PLAN_VARIABLE: &str = "FAULT_INJECTION_PLAN";
/// The environment variable with the control file's path.
pub const CONTROL_VARIABLE: &str = "FAULT_INJECTION_CONTROL";
/// The shared object's file name.
const OBJECT: &str = "liboakshed_fault_injection_preload.so";

/// The faults of one child process, or of several that run one after the other.
pub struct Faults {
    plan: String,
    control: Control,
}

impl Faults {
    /// Faults by a plan's text; see [`Plan::parse`] for its form.
    ///
    /// # Panics
    /// Where the text is not a plan: a test with a mistyped plan would test nothing.
    #[must_use]
    pub fn new(plan: &str) -> Faults {
        if let Err(error) = Plan::parse(plan) {
            panic!("{error}");
        }
        Faults {
            plan: plan.to_owned(),
            control: Control::create().expect("a control file"),
        }
    }

    /// Sets the environment of a child process that is to have these faults.
    ///
    /// # Panics
    /// Panics when the shared object is not built beside the test.
    pub fn apply<'a>(&self, command: &'a mut Command) -> &'a mut Command {
        let object = object_path().expect("the shared object is a dev-dependency of this test");
        command
            .env("LD_PRELOAD", object)
            .env(PLAN_VARIABLE, &self.plan)
            .env(CONTROL_VARIABLE, self.control.path())
    }

    /// How often the plan's row of that number, from 0, has had its effect so far.
    ///
    /// # Panics
    /// Panics when the control file cannot be read or written, or has no such row.
    #[must_use]
    pub fn strikes(&self, row: usize) -> u64 {
        self.control.strikes(row).expect("the control file")
    }

    /// Has a row of the plan act always, never, or by its window, from now on.
    ///
    /// # Panics
    /// Panics when the control file cannot be read or written, or has no such row.
    pub fn switch(&self, row: usize, switch: Switch) {
        self.control.switch(row, switch).expect("the control file");
    }

    /// Sets by how much the child's wall clock is off from now on, in milliseconds, beside the plan's steps.
    ///
    /// # Panics
    /// Panics when the control file cannot be written.
    pub fn set_clock_offset(&self, milliseconds: i64) {
        self.control
            .set_clock_offset(milliseconds)
            .expect("the control file");
    }
}

/// Where cargo has put the shared object: beside the test, or in `deps` beside the program.
fn object_path() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let places = program.ancestors().skip(1).take(2);
    let candidates =
        places.flat_map(|folder: &Path| [folder.join(OBJECT), folder.join("deps").join(OBJECT)]);
    let mut existing = candidates.filter(|path| path.is_file());
    existing
        .next()
        .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, OBJECT))
}
