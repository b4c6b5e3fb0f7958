//! A scheduler process that is restored from given records, and a worker that answers its fences.

use std::rc::Rc;
use std::task::Waker;

use oakshed_core::facade::Facade;
use oakshed_core::interface::Effect as ClassEffect;
use oakshed_jobs::machine::{Effect, FenceReply, FenceStatus, JobStatus, Jobs};
use oakshed_jobs::record::{Answer, JobId, JobPayload, Key, Lease, Record};

use crate::common::{limits, restore_jobs_of_class, NOW, S};

/// Start time of the worker in the list, in Unix milliseconds. Its job history begins then.
pub(crate) const WORKER_START_MS: u64 = 1_600_000_000_000;
pub(crate) const WORKER: &str = "s-1";

pub(crate) fn id() -> JobId {
    JobId::of(b"", Key::Idempotency(b"k-1"))
}

pub(crate) fn opened() -> Record {
    Record::Opened {
        at: NOW - 2 * S,
        wall: NOW - 2 * S,
        boot: 1,
        uptime: 0,
    }
}

pub(crate) fn lease(token: u64, start_ms: u64) -> Lease {
    Lease {
        token,
        worker: WORKER.into(),
        start_ms,
        sent: NOW - S,
    }
}

pub(crate) fn accepted(leases: Vec<Lease>) -> Record {
    let payload = JobPayload {
        class: "transfer".into(),
        ..JobPayload::default()
    };
    Record::Accepted {
        at: NOW - S,
        id: id(),
        fingerprint: payload.fingerprint(),
        payload,
        deadline: NOW + 4 * S,
        wait: 5 * S,
        detached: true,
        leases,
    }
}

pub(crate) fn leased(token: u64, start_ms: u64) -> Record {
    let lease = lease(token, start_ms);
    Record::Leased { id: id(), lease }
}

pub(crate) fn failed_indeterminate(leases: Vec<Lease>) -> Record {
    Record::Finished {
        at: NOW - S,
        id: id(),
        fingerprint: 1,
        answer: Answer::Failed,
        indeterminate: leases,
        outcome: None,
    }
}

/// A process that has read a log, and the worker's list.
pub(crate) struct Process {
    pub(crate) jobs: Jobs,
    pub(crate) facade: Facade,
}

impl Process {
    pub(crate) fn start(leases: bool, records: Vec<Record>) -> Process {
        Process::start_with_class(ClassEffect::Unsafe, leases, records)
    }

    pub(crate) fn start_with_class(
        effect: ClassEffect,
        leases: bool,
        records: Vec<Record>,
    ) -> Process {
        let next = records.len() as u64 + 1;
        let (jobs, facade) =
            restore_jobs_of_class(effect, limits(leases), (1..).zip(records).collect(), next);
        let mut process = Process { jobs, facade };
        let worker: Rc<str> = WORKER.into();
        process.jobs.on_endpoint_list(
            NOW,
            std::iter::once((&worker, WORKER_START_MS)),
            true,
            &mut process.facade,
        );
        process.tick();
        process
    }

    pub(crate) fn tick(&mut self) {
        _ = self.jobs.tick(NOW, &mut self.facade, Waker::noop());
    }

    /// Answers all fences with `never`. Returns the tokens that were fenced.
    pub(crate) fn answer_fences_with_never(&mut self) -> Vec<u64> {
        self.answer_fences(&FenceStatus::Never)
    }

    /// Answers all fences with a status, from a worker that remembers everything since its start. Returns the tokens
    /// that were fenced.
    pub(crate) fn answer_fences(&mut self, status: &FenceStatus) -> Vec<u64> {
        let mut tokens = Vec::new();
        while let Some(effect) = self.jobs.effect() {
            let Effect::Fence { id, token, .. } = effect else {
                continue;
            };
            tokens.push(token);
            let reply = FenceReply {
                status: status.clone(),
                since_ms: WORKER_START_MS,
            };
            let facade = &mut self.facade;
            self.jobs
                .on_fence_reply(NOW, id, token, Some(reply), true, facade);
        }
        tokens
    }

    /// Returns the tokens of the attempts whose results are called stored.
    pub(crate) fn stored_results(&mut self) -> Vec<u64> {
        let effects = std::iter::from_fn(|| self.jobs.effect());
        let token = |effect| match effect {
            Effect::NotifyResultStored { token, .. } => Some(token),
            _ => None,
        };
        effects.filter_map(token).collect()
    }

    /// Makes all records durable and returns them.
    pub(crate) fn sync(&mut self) -> Vec<Record> {
        let (first, records) = self.jobs.records();
        let last = first + records.len() as u64 - 1;
        self.jobs.on_synced(NOW, last, &mut self.facade);
        records
    }

    pub(crate) fn status(&self) -> JobStatus {
        let status = self.jobs.status(id()).expect("a known job");
        self.jobs.confirm(status).expect("durable records")
    }

    /// Whether the worker's `never` counted as proof: the open job waits for a worker. Otherwise it is failed, in doubt.
    pub(crate) fn is_proven_never_run(&mut self) -> bool {
        self.answer_fences_with_never();
        self.sync();
        let status = self.status();
        assert!(matches!(status.answer, None | Some(Answer::Failed)));
        status.answer.is_none()
    }
}
