//! A schedule of faults from a seed: what is done to which node, and when.
//!
//! The same seed gives the same schedule. No fault is on at its end, and only running processes are killed.

use std::time::Duration;

/// A fault, or the mend of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGKILL to a scheduler.
    Kill(usize),
    /// It is started again, with its cached list or without.
    Restart(usize, bool),
    /// SIGSTOP.
    Stop(usize),
    /// SIGCONT.
    GoOn(usize),
    /// A scheduler's requests to discovery do not arrive, or the answers do not.
    CutDiscovery(usize, bool, bool),
    /// Bytes between a scheduler and discovery are delayed until the mend.
    StallDiscovery(usize),
    /// The connection between them works again.
    HealDiscovery(usize),
    /// Connections from a scheduler to a worker are reset.
    ResetWorker(usize, usize),
    /// Bytes between a scheduler and a worker take so many milliseconds longer.
    DelayWorker(usize, usize, u64),
    /// Discovery is down, or up again.
    Down(bool),
    /// Discovery takes so many milliseconds longer.
    Slow(u64),
    /// All watches become unresponsive.
    Silence,
    /// A worker is drained, or ready again.
    Drain(usize, bool),
    /// A worker restarts cold, by a clock that is so many milliseconds ahead.
    RestartWorker(usize, u64),
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The pause after the step before.
    pub after: Duration,
    /// What is done.
    pub fault: Fault,
}

/// A schedule of so many faults for a fleet of that size; each that lasts is mended within the next three, and
/// all at the end.
#[must_use]
pub fn schedule(seed: u64, schedulers: usize, workers: usize, faults: usize) -> Vec<Step> {
    let mut drawing = Drawing {
        rng: fastrand::Rng::with_seed(seed),
        schedulers,
        workers,
        open: Vec::new(),
        steps: Vec::new(),
    };
    for _ in 0..faults {
        drawing.draw_step();
    }
    let open = std::mem::take(&mut drawing.open);
    drawing.mend(open);
    drawing.steps
}

/// A fault that is on.
#[derive(Clone, Copy)]
struct OpenFault {
    /// How many further faults are drawn before it is mended.
    left: usize,
    mend: Fault,
}

/// A fault as it was drawn, and what mends it where it lasts.
struct Drawn {
    fault: Fault,
    mend: Option<Fault>,
}

impl Drawn {
    fn momentary(fault: Fault) -> Drawn {
        Drawn { fault, mend: None }
    }

    fn lasting(fault: Fault, mend: Fault) -> Drawn {
        Drawn {
            fault,
            mend: Some(mend),
        }
    }
}

/// A schedule that is being drawn.
struct Drawing {
    rng: fastrand::Rng,
    schedulers: usize,
    workers: usize,
    open: Vec<OpenFault>,
    steps: Vec<Step>,
}

impl Drawing {
    fn draw_step(&mut self) {
        let Drawn { fault, mend } = self.draw_fault();
        self.steps.push(Step {
            after: Duration::from_millis(self.rng.u64(50..700)),
            fault,
        });
        if let Some(mend) = mend {
            let left = 1 + self.rng.usize(..3);
            self.open.push(OpenFault { left, mend });
        }
        for fault in &mut self.open {
            fault.left -= 1;
        }
        let (due, open) = self.open.iter().partition(|fault| fault.left == 0);
        self.open = open;
        self.mend(due);
    }

    fn draw_fault(&mut self) -> Drawn {
        let s = self.rng.usize(..self.schedulers);
        let w = self.rng.usize(..self.workers);
        let scheduler_free = !self.is_open(|mend| scheduler_of(mend) == Some(s));
        let discovery_free = !self.is_open(|mend| matches!(mend, Fault::Down(_) | Fault::Slow(_)));
        let worker_free = !self.is_open(|mend| mend == Fault::Drain(w, false));
        match self.rng.u8(..12) {
            0 | 1 if scheduler_free => {
                let saved_list = self.rng.bool();
                Drawn::lasting(Fault::Kill(s), Fault::Restart(s, saved_list))
            }
            2 | 3 if scheduler_free => Drawn::lasting(Fault::Stop(s), Fault::GoOn(s)),
            4 if scheduler_free => {
                let there = self.rng.bool();
                let back = !there || self.rng.bool();
                Drawn::lasting(Fault::CutDiscovery(s, there, back), Fault::HealDiscovery(s))
            }
            5 if scheduler_free => {
                Drawn::lasting(Fault::StallDiscovery(s), Fault::HealDiscovery(s))
            }
            7 => {
                let delay = Fault::DelayWorker(s, w, self.rng.u64(1..30));
                Drawn::lasting(delay, Fault::DelayWorker(s, w, 0))
            }
            8 if discovery_free => Drawn::lasting(Fault::Down(true), Fault::Down(false)),
            9 if discovery_free => {
                Drawn::lasting(Fault::Slow(self.rng.u64(20..800)), Fault::Slow(0))
            }
            10 => Drawn::momentary(Fault::Silence),
            // Half of the workers always stay, so that requests can be served.
            11 if w >= self.workers / 2 && worker_free => self.draw_worker_fault(w),
            _ => Drawn::momentary(Fault::ResetWorker(s, w)),
        }
    }

    fn draw_worker_fault(&mut self, w: usize) -> Drawn {
        if self.rng.bool() {
            Drawn::lasting(Fault::Drain(w, true), Fault::Drain(w, false))
        } else {
            Drawn::momentary(Fault::RestartWorker(w, self.rng.u64(..3_000)))
        }
    }

    /// Whether a fault is on whose mend fits.
    fn is_open(&self, fits: impl Fn(Fault) -> bool) -> bool {
        self.open.iter().any(|fault| fits(fault.mend))
    }

    fn mend(&mut self, due: Vec<OpenFault>) {
        for OpenFault { mend, .. } in due {
            self.steps.push(Step {
                after: Duration::from_millis(self.rng.u64(50..900)),
                fault: mend,
            });
        }
    }
}

/// The scheduler whose process, or connection to discovery, a mend is for.
fn scheduler_of(mend: Fault) -> Option<usize> {
    match mend {
        Fault::Restart(s, _) | Fault::GoOn(s) | Fault::HealDiscovery(s) => Some(s),
        _ => None,
    }
}
