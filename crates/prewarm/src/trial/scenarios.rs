//! Generated scenarios: arrivals with several traffic shapes over the course of hours.

use crate::place::Kind;
use crate::{Micros, SECOND};

/// The shape of the traffic of one kind. Rates and periods are drawn from the stated ranges.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Shape {
    /// A Poisson process with a mean gap of 20 to 600 s.
    Steady,
    /// Bursts of about 3 to 20 jobs with a mean gap of 2 to 20 s, after pauses of 5 to 60 minutes on average.
    Bursts,
    /// Batches of 1 to 5 simultaneous jobs every 5 to 60 minutes, with a jitter of 2%.
    Periodic,
    /// A Poisson process whose rate varies tenfold over the day, with a mean gap of 30 to 300 s at the peak.
    Wave,
    /// A Poisson process with a mean gap of 1 to 6 hours.
    Rare,
}

/// All shapes.
pub const SHAPES: [Shape; 5] = [
    Shape::Steady,
    Shape::Bursts,
    Shape::Periodic,
    Shape::Wave,
    Shape::Rare,
];

/// A job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Job {
    /// The arrival time.
    pub at: Micros,
    /// The index of its kind.
    pub kind_index: usize,
    /// The running time on a warm worker.
    pub running_time: Micros,
    /// The scheduler that receives the job, as a random number to be taken modulo the number of schedulers.
    pub receiver: u32,
}

/// The kinds and jobs of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The kinds and their shapes.
    pub kinds: Vec<(Kind, Shape)>,
    /// The jobs, in order of arrival.
    pub jobs: Vec<Job>,
    /// The length of the scenario.
    pub length: Micros,
}

/// When scenarios start: a midnight of Unix time.
pub const START: Micros = 1_700_006_400 * SECOND;

impl Scenario {
    /// Generates a scenario of `hours` hours with `kinds_per_shape` kinds of each shape, in random zones.
    #[must_use]
    pub fn new(seed: u64, kinds_per_shape: usize, zones: usize, hours: f64) -> Scenario {
        let length = hours * 3_600.0;
        let mut generator = Generator {
            rng: fastrand::Rng::with_seed(seed),
            length,
            jobs: Vec::new(),
            kind_index: 0,
            mean_running_time: 0.0,
        };
        let mut kinds = Vec::new();
        for shape in SHAPES {
            for n in 0..kinds_per_shape {
                let zone = format!("H{}", generator.rng.usize(..zones));
                let class = format!("{}{n}", &format!("{shape:?}")[..2]);
                generator.kind_index = kinds.len();
                kinds.push((Kind::new(&class, &zone), shape));
                generator.mean_running_time = generator.log_uniform(0.2, 3.0);
                generator.add_jobs(shape);
            }
        }
        let mut jobs = generator.jobs;
        jobs.sort();
        Scenario {
            kinds,
            jobs,
            length: (length * SECOND as f64) as Micros,
        }
    }

    /// Keeps only the jobs of one shape.
    #[must_use]
    pub fn only_shape(mut self, shape: Shape) -> Scenario {
        self.jobs
            .retain(|job| self.kinds[job.kind_index].1 == shape);
        self
    }
}

/// Draws the jobs of one kind after another. Times are in seconds from the start of the scenario.
struct Generator {
    rng: fastrand::Rng,
    length: f64,
    jobs: Vec<Job>,
    /// The index of the current kind.
    kind_index: usize,
    /// The mean running time of the current kind.
    mean_running_time: f64,
}

impl Generator {
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.f64()).ln()
    }

    fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        low * (high / low).powf(self.rng.f64())
    }

    /// Adds a job that arrives at a time.
    fn add_job(&mut self, at: f64) {
        let running_time = self.mean_running_time * (0.5 + self.rng.f64());
        let micros = |seconds: f64| (seconds * SECOND as f64) as Micros;
        self.jobs.push(Job {
            at: START + micros(at),
            kind_index: self.kind_index,
            running_time: micros(running_time),
            receiver: self.rng.u32(..),
        });
    }

    fn add_jobs(&mut self, shape: Shape) {
        match shape {
            Shape::Steady => self.add_steady(20.0, 600.0),
            Shape::Rare => self.add_steady(3_600.0, 21_600.0),
            Shape::Bursts => self.add_bursts(),
            Shape::Periodic => self.add_periodic(),
            Shape::Wave => self.add_wave(),
        }
    }

    /// Adds jobs with a mean gap drawn from `low` to `high` seconds.
    fn add_steady(&mut self, low: f64, high: f64) {
        let mean = self.log_uniform(low, high);
        let mut at = self.exponential(mean);
        while at < self.length {
            self.add_job(at);
            at += self.exponential(mean);
        }
    }

    fn add_bursts(&mut self) {
        let pause = self.log_uniform(300.0, 3_600.0);
        let gap = self.log_uniform(2.0, 20.0);
        let jobs = 3 + self.rng.usize(..18);
        let mut at = 0.0;
        loop {
            at += self.exponential(pause);
            for _ in 0..1 + self.rng.usize(..2 * jobs) {
                if at >= self.length {
                    return;
                }
                self.add_job(at);
                at += self.exponential(gap);
            }
        }
    }

    fn add_periodic(&mut self) {
        let period = self.log_uniform(300.0, 3_600.0);
        let jobs = 1 + self.rng.usize(..5);
        let mut at = period * self.rng.f64();
        while at < self.length {
            for _ in 0..jobs {
                let spread = 0.5 * self.rng.f64();
                if at + spread < self.length {
                    self.add_job(at + spread);
                }
            }
            at += period * (1.0 + 0.02 * (2.0 * self.rng.f64() - 1.0));
        }
    }

    fn add_wave(&mut self) {
        let mean = self.log_uniform(30.0, 300.0);
        let phase = self.rng.f64();
        let mut at = self.exponential(mean);
        while at < self.length {
            let angle = std::f64::consts::TAU * (at / 86_400.0 + phase);
            if self.rng.f64() < 0.55 + 0.45 * angle.sin() {
                self.add_job(at);
            }
            at += self.exponential(mean);
        }
    }
}
