//! Startup: replay of the log records of earlier processes, and resumption of their jobs.
//!
//! Logical time is continued across restarts and reboots. Nothing is sent during startup; workers are fenced
//! and jobs are scheduled once an endpoint list has arrived.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use oakshed_core::facade::Micros;
use rustc_hash::FxHashMap;

use super::job::{Attempt, AttemptState, Job, UNKNOWN_SEND_TIME};
use super::{Boot, Counts, Finished, Jobs, Limits, Names};
use crate::record::{JobId, Record, LEASE_FIELDS_RECORDED};

/// Time after startup for which workers are fenced to learn the outcome of a job whose deadline has passed:
/// 2 s.
const OVERDUE_FENCE_WINDOW: Micros = 2_000_000;

/// The clocks in the newest [`Record::Opened`].
#[derive(Clone, Copy)]
struct ClockAnchor {
    logical: Micros,
    wall: Micros,
    boot: Boot,
}

/// What is known of the process that wrote a record.
#[derive(Default)]
struct Writer {
    /// Its clocks. `None` before the first [`Record::Opened`].
    clocks: Option<ClockAnchor>,
    /// Whether its leases show which attempts carried the lease's fields ([`LEASE_FIELDS_RECORDED`]).
    records_lease_fields: bool,
}

/// Logical time at the start of this process.
struct LogicalStart {
    now: Micros,
    /// Time that the machine was off, which logical time does not include.
    downtime: Micros,
    /// Whether the machine has not been rebooted since the newest [`Record::Opened`].
    same_boot: bool,
}

impl LogicalStart {
    /// `last` is the latest logical time in any record, `wall` the time of the caller's clock.
    fn new(anchor: Option<ClockAnchor>, last: Micros, wall: Micros, boot: Boot) -> LogicalStart {
        let Some(anchor) = anchor else {
            return LogicalStart {
                now: wall.max(last),
                downtime: 0,
                same_boot: false,
            };
        };
        let same_boot = anchor.boot.id == boot.id && boot.id != 0;
        if same_boot {
            let elapsed = boot.uptime.saturating_sub(anchor.boot.uptime);
            return LogicalStart {
                now: (anchor.logical + elapsed).max(last),
                downtime: 0,
                same_boot,
            };
        }
        LogicalStart {
            now: last,
            downtime: wall.saturating_sub(anchor.wall + (last - anchor.logical)),
            same_boot,
        }
    }
}

impl Jobs {
    /// Restores the jobs of earlier processes from the numbered records of the log. `next_record` is the number
    /// of the next record, and `wall` the time of the caller's clock, which is later passed as `now` too.
    pub fn restore(
        limits: Limits,
        names: Names,
        records: impl IntoIterator<Item = (u64, Record)>,
        next_record: u64,
        wall: Micros,
        boot: Boot,
    ) -> Jobs {
        let mut jobs = Jobs::empty(limits, names, next_record, wall, boot);
        let mut last = 0;
        let mut writer = Writer::default();
        for (number, record) in records {
            last = last.max(jobs.replay(number, record, &mut writer));
        }
        let start = LogicalStart::new(writer.clocks, last, wall, boot);
        jobs.logical_offset = start.now.wrapping_sub(wall) as i64;
        jobs.write_opened();
        if !start.same_boot {
            jobs.clear_send_times();
        }
        jobs.resume(&start);
        jobs
    }

    fn empty(limits: Limits, names: Names, next_record: u64, wall: Micros, boot: Boot) -> Jobs {
        Jobs {
            limits,
            names,
            boot,
            logical_offset: 0,
            jobs: FxHashMap::default(),
            finished: VecDeque::new(),
            open: BTreeMap::new(),
            indeterminate: BTreeMap::new(),
            due: BTreeSet::new(),
            records: Vec::new(),
            next_record,
            last_synced: next_record.saturating_sub(1),
            pending: VecDeque::new(),
            effects: VecDeque::new(),
            wake_queue: Arc::default(),
            opened_records: VecDeque::new(),
            trimmed_to: 0,
            has_list: false,
            list_is_confirmed: false,
            unsynced_sizes: VecDeque::new(),
            unsynced_bytes: 0,
            disk_full: false,
            bytes: 0,
            counts: Counts::default(),
            now: wall,
            worker_starts: FxHashMap::default(),
            empty_payload: Rc::default(),
            started_at: wall,
        }
    }

    /// Applies one record. Returns its logical time, or 0 if it has none.
    fn replay(&mut self, number: u64, mut record: Record, writer: &mut Writer) -> Micros {
        if !writer.records_lease_fields {
            for lease in record.leases_mut() {
                lease.forget_whether_fields_were_sent();
            }
        }
        match record {
            LEASE_FIELDS_RECORDED => {
                writer.records_lease_fields = true;
                0
            }
            Record::Opened {
                at,
                wall,
                boot,
                uptime,
            } => {
                let is_rebooted = |clocks: ClockAnchor| clocks.boot.id != boot || boot == 0;
                if writer.clocks.is_some_and(is_rebooted) {
                    self.clear_send_times();
                }
                let clocks = ClockAnchor {
                    logical: at,
                    wall,
                    boot: Boot { id: boot, uptime },
                };
                *writer = Writer {
                    clocks: Some(clocks),
                    records_lease_fields: false,
                };
                self.opened_records.push_back(number);
                at
            }
            Record::Accepted { at, .. } | Record::Finished { at, .. } => {
                if let Some((id, job)) = Job::from_record(number, record, &self.empty_payload) {
                    self.jobs.insert(id, job);
                }
                at
            }
            Record::Leased { id, lease } => {
                let at = lease.sent;
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.attempts
                        .push(Attempt::new(lease, AttemptState::Fencing));
                }
                at
            }
            Record::Unsent { id, token } => {
                let job = self.jobs.get_mut(&id);
                if let Some(attempt) = job.and_then(|job| job.attempt_mut(token)) {
                    attempt.state = AttemptState::Unsent;
                }
                0
            }
            Record::Dropped { id } => {
                self.jobs.remove(&id);
                0
            }
        }
    }

    /// Marks the send times of all attempts as unknown, after a reboot of the machine.
    fn clear_send_times(&mut self) {
        for job in self.jobs.values_mut() {
            for attempt in &mut job.attempts {
                attempt.lease.sent = UNKNOWN_SEND_TIME;
            }
        }
    }

    /// Resumes the jobs of earlier processes, in the order of their records.
    fn resume(&mut self, start: &LogicalStart) {
        let mut in_order: Vec<(u64, JobId)> = self
            .jobs
            .iter()
            .map(|(id, job)| (job.record_number, *id))
            .collect();
        in_order.sort_unstable();
        let now = self.now;
        for (number, id) in in_order {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            resume_times(job, now, start, self.limits.leases);
            self.bytes += job.bytes;
            if job.awaits_settlement() {
                self.indeterminate.insert(number, id);
            } else if job.is_finished() {
                self.finished.push_back(Finished {
                    finished_at: job.written_at,
                    record_number: number,
                    id,
                });
            } else {
                resume_open(job, now, start);
                self.open.insert(number, id);
            }
            self.schedule(id);
        }
    }
}

/// Converts a job's times from logical time to the caller's clock, and prepares its attempts for fencing.
fn resume_times(job: &mut Job, now: Micros, start: &LogicalStart, leases: bool) {
    let to_caller_time = |at: Micros| now.saturating_sub(start.now.saturating_sub(at));
    job.written_at = to_caller_time(job.written_at);
    for attempt in &mut job.attempts {
        if attempt.lease.sent != UNKNOWN_SEND_TIME {
            attempt.lease.sent = to_caller_time(attempt.lease.sent);
        }
        attempt.fence_at = now;
        let can_be_fenced = leases && attempt.lease.may_be_known_to_worker();
        if attempt.state == AttemptState::Fencing && !can_be_fenced {
            attempt.state = AttemptState::Indeterminate;
        }
    }
}

/// Sets an open job's deadline to the rest of its client's time.
fn resume_open(job: &mut Job, now: Micros, start: &LogicalStart) {
    // Capped at the client's original time, in case the clock has gone back.
    let remaining = job
        .deadline
        .saturating_sub(start.now.saturating_add(start.downtime))
        .min(job.wait);
    job.deadline = now + remaining;
    job.overdue = remaining == 0;
    // The deadline passed while no scheduler was running. No new attempt is sent, but the workers are given
    // time to report the outcome of earlier attempts.
    let is_fenced = |attempt: &Attempt| attempt.state == AttemptState::Fencing;
    if job.overdue && job.attempts.iter().any(is_fenced) {
        job.deadline = now + OVERDUE_FENCE_WINDOW;
    }
    // The client may have disconnected and may fetch the answer later.
    job.detached = true;
}
