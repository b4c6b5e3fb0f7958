//! Starts, stops and ends the processes of schedulers.

use std::io;
use std::path::PathBuf;

use rustix::process::Signal;
use serde_json::{json, Value};

use super::World;
use crate::history::Span;
use crate::process::{Process, StartOptions};
use crate::scheduler::CachedList;

impl World {
    /// Starts a scheduler, which is not running, under its name and address.
    ///
    /// # Errors
    /// Those of files and of starting.
    ///
    /// # Panics
    /// Panics when that scheduler is running.
    pub fn start(&mut self, s: usize, list: CachedList) -> io::Result<()> {
        assert!(!self.runs(s), "{} runs", self.schedulers[s].name);
        let current = self.discovery.known(s);
        let known = match list {
            CachedList::None => Value::Null,
            CachedList::Saved => self.schedulers[s].cached.take().unwrap_or(current),
        };
        let config = self.write_config(s, &known)?;
        let operator = self.write_operator_file(s)?;
        let scheduler = &mut self.schedulers[s];
        scheduler.call_faults = self.setup.call_faults.map(|draw| draw(&mut self.rng));
        let options = StartOptions {
            config: &config,
            operator: operator.as_deref(),
            listen: scheduler.listen,
            discovery: scheduler.discovery,
            faults: scheduler.call_faults.as_ref(),
        };
        let label = if known.is_null() {
            "start"
        } else {
            "start, list known"
        };
        self.history.event(&scheduler.name, label);
        scheduler.incarnations.push(Span::begin());
        let log = scheduler.log.clone();
        scheduler.process = Some(Process::start(&options, log, self.watchdog.clone())?);
        Ok(())
    }

    /// Writes the configuration of a scheduler with that cached list.
    fn write_config(&mut self, s: usize, known: &Value) -> io::Result<PathBuf> {
        let name = &self.schedulers[s].name;
        let path = self.config_path(name);
        let config = json!({
            "name": name, "seed": format!("{:016x}", self.rng.u64(..)), "known": known,
            "limits": { "cores": 1.0, "memory_mb": 192, "sockets": 1024 },
            "settings": self.setup.deployment.settings(s, self.setup.balancers),
        });
        std::fs::write(&path, config.to_string())?;
        Ok(path)
    }

    /// Writes the operator's file of a scheduler, where the fleet has durable jobs.
    fn write_operator_file(&self, s: usize) -> io::Result<Option<PathBuf>> {
        if !self.setup.durable {
            return Ok(None);
        }
        let name = &self.schedulers[s].name;
        let path = self.folder.0.join(format!("{name}.operator"));
        let store = self.folder.0.join(format!("{name}.store"));
        let jobs = json!({ "dir": store, "leases": true, "lease_ms": 300, "segment_mb": 1 });
        std::fs::write(&path, json!({ "jobs": jobs }).to_string())?;
        Ok(Some(path))
    }

    /// The path of the configuration of the scheduler of that name.
    pub(super) fn config_path(&self, name: &str) -> PathBuf {
        self.folder.0.join(format!("{name}.json"))
    }

    /// Starts all schedulers that are not running.
    ///
    /// # Errors
    /// As [`World::start`].
    pub fn start_all(&mut self, list: CachedList) -> io::Result<()> {
        for s in 0..self.schedulers.len() {
            if !self.runs(s) {
                self.start(s, list)?;
            }
        }
        Ok(())
    }

    /// Kills a scheduler (SIGKILL), whether it is running or stopped. Its list is saved, if it had one.
    pub async fn kill(&mut self, s: usize) {
        let current = self.discovery.known(s);
        let scheduler = &mut self.schedulers[s];
        let Some(mut process) = scheduler.process.take() else {
            return;
        };
        let started = scheduler.incarnations.last().map(|span| span.from);
        let received = scheduler.received_lists();
        let had_list = started.is_some_and(|from| received.iter().any(|list| list.at >= from));
        scheduler.cached = had_list.then_some(current);
        self.history.event(&scheduler.name, "kill");
        Span::end_last(&mut scheduler.stops);
        Span::end_last(&mut scheduler.incarnations);
        process.signal(Signal::KILL);
        _ = process.wait().await;
    }

    /// Stops a scheduler (SIGSTOP).
    pub fn stop(&mut self, s: usize) {
        let scheduler = &mut self.schedulers[s];
        let Some(process) = &scheduler.process else {
            return;
        };
        self.history.event(&scheduler.name, "stop");
        scheduler.stops.push(Span::begin());
        process.signal(Signal::STOP);
    }

    /// Continues a stopped scheduler (SIGCONT).
    pub fn go_on(&mut self, s: usize) {
        let scheduler = &mut self.schedulers[s];
        let Some(process) = &scheduler.process else {
            return;
        };
        process.signal(Signal::CONT);
        self.history.event(&scheduler.name, "goes on");
        Span::end_last(&mut scheduler.stops);
    }

    /// Shuts a scheduler down gracefully (SIGTERM).
    pub fn terminate(&mut self, s: usize) {
        let scheduler = &self.schedulers[s];
        self.history.event(&scheduler.name, "term");
        if let Some(process) = &scheduler.process {
            process.signal(Signal::TERM);
        }
    }

    /// Whether a scheduler has ended by itself, as after SIGTERM or a crash.
    pub fn ended(&mut self, s: usize) -> bool {
        let scheduler = &mut self.schedulers[s];
        let ended = scheduler.process.as_mut().is_some_and(Process::ended);
        if ended {
            scheduler.process = None;
            Span::end_last(&mut scheduler.incarnations);
            self.history.event(&scheduler.name, "ended");
        }
        ended
    }

    /// Whether a scheduler's process is running.
    #[must_use]
    pub fn runs(&self, s: usize) -> bool {
        self.schedulers[s].process.is_some()
    }

    /// The id of a scheduler's process, where it is running.
    pub fn process_id(&self, s: usize) -> Option<u32> {
        self.schedulers[s].process.as_ref().map(Process::pid)
    }
}
