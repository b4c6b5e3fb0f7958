//! The ledger of a stand-in worker: which jobs it fenced, started and finished, and the file that survives it.
//!
//! It is the worker's side of docs/leases.md: which token may start, and how a fence is answered. No job starts
//! before its start is on disk, and `never` is the answer only for a job that cannot have started.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Seek, Write};
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// One line of the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "lowercase")]
pub enum Line {
    /// The memory begins at this time, in Unix time milliseconds.
    Since {
        /// The time.
        ms: u64,
    },
    /// A job starts under this token.
    Start {
        /// The job, or its request's id where it came without a lease.
        job: String,
        /// The token.
        token: u64,
    },
    /// It ended with a result.
    Done {
        /// The job.
        job: String,
        /// Its result.
        result: String,
    },
    /// No token up to this one will start.
    Fence {
        /// The job.
        job: String,
        /// The token.
        token: u64,
    },
}

/// What a worker knows of a fenced job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceStatus {
    /// Not started, and it never will be.
    Never,
    /// It runs.
    Running,
    /// It ended with this result.
    Done(String),
    /// It started, and no result will come.
    Failed,
}

#[derive(Default)]
struct Job {
    started: Option<u64>,
    /// It started in this process of the worker.
    is_current: bool,
    fenced: u64,
    result: Option<String>,
}

/// The ledger of one worker.
pub struct Ledger {
    file: Option<File>,
    since_ms: u64,
    jobs: HashMap<String, Job>,
}

/// Unix time in milliseconds.
pub(crate) fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

impl Ledger {
    /// Writes a new file whose memory begins this long ago, and returns that time in Unix time milliseconds. A worker
    /// that claims such a start is not in slow start.
    ///
    /// # Errors
    /// Fails when the file cannot be written.
    pub fn begin(path: &Path, age: Duration) -> std::io::Result<u64> {
        let ms = now_ms() - age.as_millis() as u64;
        let line = serde_json::to_string(&Line::Since { ms })?;
        std::fs::write(path, line + "\n")?;
        Ok(ms)
    }

    /// Opens the file, if there is to be one, and replays what earlier processes have written. A line truncated
    /// by a crash was never acted on and is dropped.
    ///
    /// # Errors
    /// Fails when the file cannot be opened or read.
    pub fn open(path: Option<&Path>) -> std::io::Result<Ledger> {
        let mut ledger = Ledger {
            file: None,
            since_ms: now_ms(),
            jobs: HashMap::new(),
        };
        let Some(path) = path else { return Ok(ledger) };
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)?;
        let mut good = 0;
        let mut reader = BufReader::new(&file);
        let mut text = String::new();
        while reader.read_line(&mut text)? > 0 {
            let Ok(line) = serde_json::from_str::<Line>(&text) else {
                break;
            };
            if !text.ends_with('\n') {
                break;
            }
            good += text.len() as u64;
            ledger.replay(line);
            text.clear();
        }
        file.set_len(good)?;
        file.seek(std::io::SeekFrom::Start(good))?;
        ledger.file = Some(file);
        if good == 0 {
            ledger.write(&Line::Since {
                ms: ledger.since_ms,
            })?;
        }
        Ok(ledger)
    }

    fn replay(&mut self, line: Line) {
        let jobs = &mut self.jobs;
        match line {
            Line::Since { ms } => self.since_ms = ms,
            Line::Start { job, token } => jobs.entry(job).or_default().started = Some(token),
            Line::Done { job, result } => jobs.entry(job).or_default().result = Some(result),
            Line::Fence { job, token } => jobs.entry(job).or_default().fenced = token,
        }
    }

    fn write(&mut self, line: &Line) -> std::io::Result<()> {
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        file.write_all((serde_json::to_string(line)? + "\n").as_bytes())?;
        file.sync_data()
    }

    /// Since when the memory is complete.
    #[must_use]
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }

    /// A job is about to start; returns whether it may. A fenced token may not, nor may a job that has started
    /// under another one.
    ///
    /// # Errors
    /// Fails when the file cannot be written or synced.
    pub fn start(&mut self, id: &str, token: u64) -> std::io::Result<bool> {
        let job = self.jobs.entry(id.to_owned()).or_default();
        if token <= job.fenced || job.started.is_some() {
            return Ok(false);
        }
        job.started = Some(token);
        job.is_current = true;
        self.write(&Line::Start {
            job: id.to_owned(),
            token,
        })?;
        Ok(true)
    }

    /// A job has ended; its result is retained until it is safe elsewhere.
    ///
    /// # Errors
    /// Fails when the file cannot be written or synced.
    pub fn done(&mut self, id: &str, result: &str) -> std::io::Result<()> {
        self.write(&Line::Done {
            job: id.to_owned(),
            result: result.to_owned(),
        })?;
        self.jobs.entry(id.to_owned()).or_default().result = Some(result.to_owned());
        Ok(())
    }

    /// Answers a fence; from `never` on, nothing up to the token starts.
    ///
    /// # Errors
    /// Fails when the file cannot be written or synced.
    pub fn fence(&mut self, id: &str, token: u64) -> std::io::Result<FenceStatus> {
        let job = self.jobs.entry(id.to_owned()).or_default();
        Ok(match (job.started.filter(|&t| t <= token), &job.result) {
            (Some(_), Some(result)) => FenceStatus::Done(result.clone()),
            (Some(_), None) if job.is_current => FenceStatus::Running,
            (Some(_), None) => FenceStatus::Failed,
            (None, _) => {
                job.fenced = job.fenced.max(token);
                self.write(&Line::Fence {
                    job: id.to_owned(),
                    token,
                })?;
                FenceStatus::Never
            }
        })
    }

    /// The result is safe: it need not be retained. The start stays known, so that a late copy is declined.
    pub fn safe(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.result = job.result.take().map(|_| String::new());
        }
    }

    /// The results of jobs are safe; one line each, whose first word is the job's id.
    pub(crate) fn all_safe(&mut self, lines: &str) {
        for line in lines.lines() {
            if let Some(id) = line.split(' ').next() {
                self.safe(id);
            }
        }
    }

    /// Answers a fence as on the wire.
    pub(crate) fn fence_answer(&mut self, id: &str, token: u64) -> std::io::Result<String> {
        let (state, result) = match self.fence(id, token)? {
            FenceStatus::Never => ("never", None),
            FenceStatus::Running => ("running", None),
            FenceStatus::Done(result) => ("done", Some(result)),
            FenceStatus::Failed => ("failed", None),
        };
        let since_ms = self.since_ms;
        let mut answer =
            serde_json::json!({ "id": id, "token": token, "state": state, "since_ms": since_ms });
        if let Some(result) = result {
            answer["result"] = result.into();
        }
        Ok(answer.to_string())
    }

    /// How often each job was started, by the files of all workers: shows what ran twice.
    ///
    /// # Errors
    /// Fails when a file cannot be opened or read.
    pub fn starts<'a>(
        paths: impl IntoIterator<Item = &'a Path>,
    ) -> std::io::Result<HashMap<String, usize>> {
        let mut starts = HashMap::new();
        for path in paths {
            for line in BufReader::new(File::open(path)?).lines() {
                if let Ok(Line::Start { job, .. }) = serde_json::from_str(&line?) {
                    *starts.entry(job).or_default() += 1;
                }
            }
        }
        Ok(starts)
    }
}
