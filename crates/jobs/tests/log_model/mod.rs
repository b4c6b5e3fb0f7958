//! Randomized test of the log over several processes, on a directory with injected faults.
//!
//! The test tracks which records were confirmed, i.e. durable, and compares them with the records that each
//! process reads back.

use std::collections::BTreeMap;

use fastrand::Rng;
use oakshed_jobs::fault::{FaultyDirectory, Operation, Outage};
use oakshed_jobs::log::{encode_all, read_all, Backlog, Log, LogDirectory, LogError, Recovered};
use oakshed_jobs::record::{JobId, Record};

/// Size of a segment file in bytes; small, so that runs use many segments.
pub const SEGMENT_SIZE: usize = 2 << 10;

/// Returns a record whose contents identify its number and the process that wrote it.
pub fn record(number: u64, process: u64) -> Record {
    Record::Unsent {
        id: JobId(u128::from(process) << 64),
        token: number,
    }
}

/// Returns an outage whose faults are determined by a seed.
pub fn outage(operations: &[Operation], per_mille: u32, seed: u64) -> Option<Outage> {
    Some(Outage {
        operations: operations.to_vec(),
        per_mille,
        rng: Rng::with_seed(seed),
    })
}

/// Adds records to the backlog, numbered from `first`. All records up to `synced` are durable.
pub fn enqueue(backlog: &mut Backlog, first: u64, synced: u64, records: &[Record]) {
    let (frames, lengths) = encode_all(first, synced, records);
    backlog.push(frames, lengths, first + records.len() as u64 - 1);
}

/// Returns the names of the segment files, oldest first.
pub fn segment_names(directory: &FaultyDirectory) -> Vec<String> {
    let mut names = directory.list().expect("the directory can be listed");
    names.retain(|name| name.len() == 24);
    names
}

/// One run over several processes, and the records that were confirmed in it.
pub struct Model {
    rng: Rng,
    directory: FaultyDirectory,
    /// Number of the current process, counted from 1.
    process: u64,
    confirmed: BTreeMap<u64, Record>,
    /// The highest record number to which the log was asked to trim. Earlier records may be gone.
    trimmed_to: u64,
    /// Number of operations that outages have failed.
    pub faults: u64,
    /// Number of processes after which a segment held records that belong to its successor.
    pub overlaps: u64,
}

impl Model {
    /// Runs the model for a seed. The error describes the first violation.
    pub fn run(seed: u64) -> Result<Model, String> {
        let mut model = Model {
            rng: Rng::with_seed(seed),
            directory: FaultyDirectory::default(),
            process: 0,
            confirmed: BTreeMap::new(),
            trimmed_to: 0,
            faults: 0,
            overlaps: 0,
        };
        for _ in 0..model.rng.u32(2..8) {
            model.process += 1;
            model.run_process()?;
            model.overlaps += u64::from(has_overlapping_segments(&model.directory));
            // The process is killed. Its unsynced writes stay in the page cache unless the machine crashes too.
            if model.directory.has_stopped() || model.rng.bool() {
                let mut rng = model.rng.fork();
                model.directory.crash(&mut rng);
            }
            if model.rng.u32(0..3) > 0 {
                model.directory.set_outage(None);
            }
        }
        model.directory.set_outage(None);
        let mut rng = model.rng.fork();
        model.directory.crash(&mut rng);
        model.process += 1;
        model
            .open()?
            .ok_or("the log could not be opened without an outage")?;
        model.faults = model.directory.faults();
        Ok(model)
    }

    /// Opens the log, with up to 20 attempts. Returns `None` if all of them fail or the machine has stopped.
    fn open(&mut self) -> Result<Option<Log<FaultyDirectory>>, String> {
        for _ in 0..20 {
            match Log::open(self.directory.clone(), SEGMENT_SIZE) {
                Ok((log, recovered)) => {
                    self.check_recovered(&log, &recovered)?;
                    return Ok(Some(log));
                }
                Err(LogError::Io { .. }) => {}
                Err(other) => return Err(format!("process {}: {other}", self.process)),
            }
            if self.directory.has_stopped() {
                return Ok(None);
            }
        }
        Ok(None)
    }

    /// Checks the records that a process reads back when it opens the log.
    fn check_recovered(
        &mut self,
        log: &Log<FaultyDirectory>,
        recovered: &Recovered,
    ) -> Result<(), String> {
        let read: BTreeMap<u64, &Record> = recovered
            .records
            .iter()
            .map(|(number, record)| (*number, record))
            .collect();
        if read.len() != recovered.records.len() {
            return Err(format!(
                "process {}: two records have the same number",
                self.process
            ));
        }
        for (number, record) in self.confirmed.range(self.trimmed_to..) {
            if read.get(number) != Some(&record) {
                let found = read.get(number);
                return Err(format!(
                    "process {}: expected confirmed record {number} to be {record:?}, found {found:?}",
                    self.process
                ));
            }
        }
        let numbers: Vec<u64> = read.keys().copied().collect();
        if numbers.windows(2).any(|pair| pair[0] + 1 != pair[1]) {
            return Err(format!(
                "process {}: numbers are missing in {numbers:?}",
                self.process
            ));
        }
        if numbers
            .last()
            .is_some_and(|last| last + 1 != log.next_record())
        {
            return Err(format!(
                "process {}: read {numbers:?}, but the next record is {}",
                self.process,
                log.next_record()
            ));
        }
        // The state machine acts on all records that it reads back, so they count as confirmed from here on.
        self.confirmed.extend(recovered.records.iter().cloned());
        Ok(())
    }

    /// Runs one process: appends records, trims the log, and starts and ends outages at random.
    fn run_process(&mut self) -> Result<(), String> {
        let Some(mut log) = self.open()? else {
            return Ok(());
        };
        let mut backlog = Backlog::default();
        let mut waiting: BTreeMap<u64, Record> = BTreeMap::new();
        for _ in 0..self.rng.u32(0..40) {
            match self.rng.u32(0..20) {
                0 | 1 => self.begin_outage(),
                2 | 3 => _ = self.directory.set_outage(None),
                4 if self.rng.u32(0..3) == 0 => self.directory.stop_after(self.rng.u32(0..10)),
                5 => {
                    let oldest_needed =
                        log.next_record() - self.rng.u64(0..log.next_record().min(60));
                    // The state machine trims the log only once all records before that decision are durable.
                    if waiting.is_empty() {
                        self.trimmed_to = self.trimmed_to.max(oldest_needed);
                        _ = log.trim(oldest_needed);
                    }
                }
                _ => {}
            }
            if self.directory.has_stopped() {
                return Ok(());
            }
            let synced = log.next_record() - 1;
            let first = waiting
                .last_key_value()
                .map_or(log.next_record(), |(number, _)| number + 1);
            let records: Vec<Record> = (first..first + self.rng.u64(1..12))
                .map(|number| record(number, self.process))
                .collect();
            waiting.extend((first..).zip(records.iter().cloned()));
            enqueue(&mut backlog, first, synced, &records);
            let result = backlog.flush(&mut log);
            let still_waiting = waiting.split_off(&log.next_record());
            self.confirmed.append(&mut waiting);
            waiting = still_waiting;
            if result.is_ok() != waiting.is_empty() || backlog.len() != waiting.len() {
                return Err(format!(
                    "flush returned {result:?} with {} records not durable and {} in the backlog",
                    waiting.len(),
                    backlog.len()
                ));
            }
        }
        Ok(())
    }

    /// Starts an outage of a random set of operations.
    fn begin_outage(&mut self) {
        let mut operations = Operation::ALL.to_vec();
        operations.retain(|_| self.rng.bool());
        let per_mille = [100, 500, 1_000][self.rng.usize(0..3)];
        self.directory
            .set_outage(outage(&operations, per_mille, self.rng.u64(..)));
    }
}

/// Returns whether any segment holds records with the number of its successor's first record or a higher one,
/// left by a failed write or sync.
fn has_overlapping_segments(directory: &FaultyDirectory) -> bool {
    let outage = directory.set_outage(None);
    let names = segment_names(directory);
    let firsts: Vec<u64> = names
        .iter()
        .filter_map(|name| name[..20].parse().ok())
        .collect();
    // Returns the number after the last readable record of a segment.
    let next_record = |first: u64, name: &String| {
        let copy = FaultyDirectory::default();
        let bytes = directory.read(name).expect("the segment exists");
        copy.create(name, bytes.len())
            .expect("the copy can be created");
        let file = copy.open(name).expect("the segment exists");
        copy.write(&file, 0, &bytes)
            .expect("the copy can be written");
        read_all(&copy)
            .ok()
            .and_then(|(recovered, _)| recovered.records.last().map(|(number, _)| number + 1))
            .unwrap_or(first)
    };
    let found = firsts
        .windows(2)
        .zip(&names)
        .any(|(pair, name)| next_record(pair[0], name) > pair[1]);
    directory.set_outage(outage);
    found
}
