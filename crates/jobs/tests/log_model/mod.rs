//! A model of a log over several processes, on a directory whose calls fail for a while.
//!
//! It remembers what was confirmed, and compares that with what each process reads back.

use std::collections::BTreeMap;

use fastrand::Rng;
use oakshed_jobs::fault::{FaultyDirectory, Operation, Outage};
use oakshed_jobs::log::{encode_all, read_all, Backlog, Log, LogDirectory, LogError, Recovered};
use oakshed_jobs::record::{JobId, Record};

/// The size of a segment: small, so that there are many.
pub const SIZE: usize = 2 << 10;

/// A record that contains the process that wrote it.
pub fn record(number: u64, process: u64) -> Record {
    Record::Unsent {
        id: JobId(u128::from(process) << 64),
        token: number,
    }
}

pub fn outage(operations: &[Operation], per_mille: u32, seed: u64) -> Option<Outage> {
    Some(Outage {
        operations: operations.to_vec(),
        per_mille,
        rng: Rng::with_seed(seed),
    })
}

/// Appends records to the backlog, numbered from `first`.
pub fn enqueue(backlog: &mut Backlog, first: u64, synced: u64, records: &[Record]) {
    let (frames, lengths) = encode_all(first, synced, records);
    backlog.push(frames, lengths, first + records.len() as u64 - 1);
}

pub fn segments(disk: &FaultyDirectory) -> Vec<String> {
    let mut names = disk.list().expect("names");
    names.retain(|name| name.len() == 24);
    names
}

/// What was confirmed over all processes.
pub struct Model {
    rng: Rng,
    disk: FaultyDirectory,
    process: u64,
    confirmed: BTreeMap<u64, Record>,
    trimmed: u64,
    pub faults: u64,
    pub overlaps: u64,
}

impl Model {
    pub fn run(seed: u64) -> Result<Model, String> {
        let mut model = Model {
            rng: Rng::with_seed(seed),
            disk: FaultyDirectory::default(),
            process: 0,
            confirmed: BTreeMap::new(),
            trimmed: 0,
            faults: 0,
            overlaps: 0,
        };
        for _ in 0..model.rng.u32(2..8) {
            model.process += 1;
            model.run_process()?;
            model.overlaps += u64::from(overlaps(&model.disk));
            // Killed: what it has written is in the system's cache; where the machine stops, it is lost.
            if model.disk.has_stopped() || model.rng.bool() {
                let mut rng = model.rng.fork();
                model.disk.crash(&mut rng);
            }
            if model.rng.u32(0..3) > 0 {
                model.disk.set_outage(None);
            }
        }
        model.disk.set_outage(None);
        let mut rng = model.rng.fork();
        model.disk.crash(&mut rng);
        model.process += 1;
        model.open()?.ok_or("a disk without faults fails")?;
        model.faults = model.disk.faults();
        Ok(model)
    }

    /// Opens the log, again and again where the system fails; nothing where it goes on failing.
    fn open(&mut self) -> Result<Option<Log<FaultyDirectory>>, String> {
        for _ in 0..20 {
            match Log::open(self.disk.clone(), SIZE) {
                Ok((log, recovered)) => {
                    self.check(&log, &recovered)?;
                    return Ok(Some(log));
                }
                Err(LogError::Io { .. }) => {}
                Err(other) => return Err(format!("process {}: {other}", self.process)),
            }
            if self.disk.has_stopped() {
                return Ok(None);
            }
        }
        Ok(None)
    }

    fn check(&mut self, log: &Log<FaultyDirectory>, recovered: &Recovered) -> Result<(), String> {
        let read: BTreeMap<u64, &Record> = recovered.records.iter().map(|(n, r)| (*n, r)).collect();
        if read.len() != recovered.records.len() {
            return Err(format!("process {}: a record was read twice", self.process));
        }
        for (number, record) in self.confirmed.range(self.trimmed..) {
            if read.get(number) != Some(&record) {
                let got = read.get(number);
                return Err(format!(
                    "process {}: {number} was {record:?}, and is {got:?}",
                    self.process
                ));
            }
        }
        let numbers: Vec<u64> = read.keys().copied().collect();
        if numbers.windows(2).any(|two| two[0] + 1 != two[1]) {
            return Err(format!("process {}: a hole in {numbers:?}", self.process));
        }
        if numbers
            .last()
            .is_some_and(|last| last + 1 != log.next_record())
        {
            return Err(format!(
                "process {}: {numbers:?}, and then {}",
                self.process,
                log.next_record()
            ));
        }
        // The machine acts on what was read back: from here on it is confirmed.
        self.confirmed.extend(recovered.records.iter().cloned());
        Ok(())
    }

    fn run_process(&mut self) -> Result<(), String> {
        let Some(mut log) = self.open()? else {
            return Ok(());
        };
        let mut backlog = Backlog::default();
        let mut waiting: BTreeMap<u64, Record> = BTreeMap::new();
        for _ in 0..self.rng.u32(0..40) {
            match self.rng.u32(0..20) {
                0 | 1 => self.begin_outage(),
                2 | 3 => _ = self.disk.set_outage(None),
                4 if self.rng.u32(0..3) == 0 => self.disk.stop_after(self.rng.u32(0..10)),
                5 => {
                    let low = log.next_record() - self.rng.u64(0..log.next_record().min(60));
                    // The end of the log goes only once all before it is durable.
                    if waiting.is_empty() {
                        self.trimmed = self.trimmed.max(low);
                        _ = log.trim(low);
                    }
                }
                _ => {}
            }
            if self.disk.has_stopped() {
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
            let outcome = backlog.flush(&mut log);
            let rest = waiting.split_off(&log.next_record());
            self.confirmed.append(&mut waiting);
            waiting = rest;
            if outcome.is_ok() != waiting.is_empty() || backlog.len() != waiting.len() {
                return Err(format!("{outcome:?}, and {} records wait", waiting.len()));
            }
        }
        Ok(())
    }

    fn begin_outage(&mut self) {
        let mut operations = Operation::ALL.to_vec();
        operations.retain(|_| self.rng.bool());
        let per_mille = [100, 500, 1_000][self.rng.usize(0..3)];
        self.disk
            .set_outage(outage(&operations, per_mille, self.rng.u64(..)));
    }
}

/// Whether two segments contain the same record, or one of them the rest of a failed write.
fn overlaps(disk: &FaultyDirectory) -> bool {
    let outage = disk.set_outage(None);
    let names = segments(disk);
    let firsts: Vec<u64> = names
        .iter()
        .filter_map(|name| name[..20].parse().ok())
        .collect();
    let next = |first: u64, name: &String| {
        let copy = FaultyDirectory::default();
        let bytes = disk.read(name).expect("there");
        copy.create(name, bytes.len()).expect("made");
        let file = copy.open(name).expect("there");
        copy.write(&file, 0, &bytes).expect("written");
        read_all(&copy)
            .ok()
            .and_then(|(all, _)| all.records.last().map(|r| r.0 + 1))
            .unwrap_or(first)
    };
    let found = firsts
        .windows(2)
        .zip(&names)
        .any(|(two, name)| next(two[0], name) > two[1]);
    disk.set_outage(outage);
    found
}
