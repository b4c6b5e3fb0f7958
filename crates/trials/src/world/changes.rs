//! Changes to discovery, to the connections there, and to workers. Each is recorded as it is made, for the checks.

use std::io;
use std::time::Duration;

use oakshed_standin::fleet::now_us;
use rustix::process::Signal;
use serde_json::Value;

use super::{World, DISCOVERY};
use crate::checks::ListRange;
use crate::history::Span;
use crate::relays::Faults;

impl World {
    /// Moves a scheduler to discovery at another address (SIGHUP); the old address stalls from then on.
    ///
    /// # Errors
    /// Those of sockets and files.
    pub async fn reload(&mut self, s: usize) -> io::Result<()> {
        let scheduler = &self.schedulers[s];
        let name = scheduler.name.clone();
        let moves = scheduler.reloads.len();
        let serving = self.discovery.listen(s, scheduler.front.ip()).await?;
        let to = self
            .relays
            .tcp(&name, &format!("{DISCOVERY} {moves}"), serving)
            .await?;
        let path = self.config_path(&name);
        let mut config: Value = serde_json::from_str(&std::fs::read_to_string(&path)?)?;
        config["discovery"] = to.to_string().into();
        std::fs::write(path, config.to_string())?;
        let stall = Faults {
            stall: true,
            ..Faults::none()
        };
        self.relays.set(&name, DISCOVERY, stall);
        self.history.event(&name, "reload");
        let scheduler = &mut self.schedulers[s];
        scheduler.discovery = to;
        scheduler.reloads.push(now_us());
        if let Some(process) = &scheduler.process {
            process.signal(Signal::HUP);
        }
        Ok(())
    }

    /// Drains a worker; returns the list's number.
    pub fn drain(&mut self, w: usize) -> u64 {
        let name = self.workers[w].0.clone();
        let number = self.discovery.lifecycle(&name, "draining");
        self.history
            .event(DISCOVERY, format!("{number}: drain {name}"));
        let drained = self.drained.entry(name.clone()).or_default();
        drained.push(Span::begin());
        self.drains.entry(name).or_default().push(ListRange {
            first: number,
            end: None,
        });
        number
    }

    /// Lists a worker as ready again; returns the list's number.
    pub fn undrain(&mut self, w: usize) -> u64 {
        let name = self.workers[w].0.clone();
        let number = self.discovery.lifecycle(&name, "ready");
        self.history
            .event(DISCOVERY, format!("{number}: ready {name}"));
        let drained = self.drained.entry(name.clone()).or_default();
        if let Some(drained) = drained.last_mut() {
            drained.to = Some(now_us());
        }
        if let Some(lists) = self.drains.entry(name).or_default().last_mut() {
            lists.end = Some(number);
        }
        number
    }

    /// Takes discovery down, or up again.
    pub fn down(&mut self, down: bool) {
        let label = if down { "down" } else { "up" };
        self.history.event(DISCOVERY, label);
        Span::set_open(&mut self.down, down);
        self.discovery.down(down);
    }

    /// Sets the faults between a scheduler and discovery from now on.
    pub fn to_discovery(&mut self, s: usize, faults: Faults) {
        let cut_off = self.cut_off.entry(s).or_default();
        Span::set_open(cut_off, faults != Faults::none());
        self.relays.set(&self.schedulers[s].name, DISCOVERY, faults);
    }

    /// Restarts a worker, cold, and lists it; its clock is ahead by `ahead`. Returns the list's number.
    pub fn restart_worker(&mut self, w: usize, ahead: Duration) -> u64 {
        let (name, worker) = &self.workers[w];
        let started = worker.restart() + ahead.as_millis() as u64;
        let number = self.discovery.set(name, "ready", started);
        self.history.event(name, "starts cold");
        self.history
            .event(DISCOVERY, format!("{number}: new {name}"));
        self.starts.entry(name.clone()).or_default().push(now_us());
        number
    }

    /// Lets a worker accept jobs without any answer from now on, or answer again.
    pub fn hang(&self, w: usize, hangs: bool) {
        let (name, worker) = &self.workers[w];
        let label = if hangs { "hangs" } else { "goes on" };
        self.history.event(name, label);
        worker.hang(hangs);
    }
}
