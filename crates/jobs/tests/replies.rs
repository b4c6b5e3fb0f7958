//! Replies to clients and operators: none can be read before the record behind it is durable.

mod common;

use oakshed_core::facade::Facade;
use oakshed_jobs::machine::{Cancellation, Effect, Jobs, Provisional, Submitted};
use oakshed_jobs::record::{Answer, JobId, JobPayload, Key};

use common::{limits, restore_jobs, NOW, S};

/// A scheduler without workers, so that jobs stay in the queue.
struct Fixture {
    jobs: Jobs,
    facade: Facade,
}

impl Fixture {
    fn new() -> Fixture {
        let (jobs, facade) = restore_jobs(limits(false), Vec::new(), 1);
        let mut fixture = Fixture { jobs, facade };
        fixture.sync();
        fixture
    }

    fn submit(&mut self, body: &[u8], detached: bool) -> Submitted {
        let payload = JobPayload {
            class: "transfer".into(),
            body: body.to_vec(),
            ..JobPayload::default()
        };
        self.jobs
            .submit(NOW, id(), payload, 5 * S, detached, &mut self.facade)
    }

    fn cancel(&mut self) -> Provisional<Cancellation> {
        self.jobs.cancel(NOW, id(), &mut self.facade)
    }

    /// Lets the deadline of the job pass, which never ran: it is rejected.
    fn expire(&mut self) {
        let waker = std::task::Waker::noop();
        self.facade.tick(NOW + 6 * S, waker);
        _ = self.jobs.tick(NOW + 6 * S, &mut self.facade, waker);
    }

    fn sync(&mut self) {
        let (first, records) = self.jobs.records();
        let last = first + records.len() as u64 - 1;
        self.jobs.on_synced(NOW, last, &mut self.facade);
    }
}

fn id() -> JobId {
    JobId::of(b"", Key::Idempotency(b"k-1"))
}

fn acceptance(submitted: Submitted) -> Provisional<()> {
    match submitted {
        Submitted::Open(accepted) => accepted,
        other => panic!("not open: {other:?}"),
    }
}

/// Guards against a job that runs after its withdrawal was confirmed, because the scheduler was killed in between.
#[test]
fn cancellation_is_confirmed_once_its_record_is_durable() {
    let mut fixture = Fixture::new();
    let accepted = acceptance(fixture.submit(b"body", true));
    assert_eq!(
        fixture.jobs.confirm(accepted.clone()),
        Err(accepted.clone())
    );
    fixture.sync();
    assert_eq!(fixture.jobs.confirm(accepted), Ok(()));
    let cancellation = fixture.cancel();
    let again = fixture.cancel();
    assert!(fixture.jobs.confirm(cancellation.clone()).is_err());
    assert!(fixture.jobs.confirm(again.clone()).is_err());
    fixture.sync();
    let confirmed = Ok(Cancellation::Cancelled);
    assert_eq!(fixture.jobs.confirm(cancellation), confirmed);
    assert_eq!(fixture.jobs.confirm(again), confirmed);
}

/// Guards against a client that gives its key up for a job that no later process knows.
#[test]
fn status_and_conflict_wait_for_the_acceptance() {
    let mut fixture = Fixture::new();
    _ = fixture.submit(b"body", true);
    let Submitted::Conflict(conflict) = fixture.submit(b"another body", true) else {
        panic!("another payload is accepted under the same key");
    };
    let status = fixture.jobs.status(id()).expect("a known job");
    assert!(fixture.jobs.confirm(conflict.clone()).is_err());
    assert!(fixture.jobs.confirm(status.clone()).is_err());
    fixture.sync();
    assert_eq!(fixture.jobs.confirm(conflict), Ok(()));
    assert!(fixture.jobs.confirm(status).is_ok());
}

/// Guards against a detached submission that is accepted while the job's rejection is being written, after which the
/// job is removed.
#[test]
fn detached_submission_during_a_rejection_is_rejected_too() {
    let mut fixture = Fixture::new();
    _ = fixture.submit(b"body", false);
    fixture.sync();
    fixture.expire();
    assert_eq!(fixture.submit(b"body", true), Submitted::Ending);
    assert_eq!(fixture.jobs.effect(), None);
    fixture.sync();
    let rejection = fixture.jobs.effect();
    let is_rejection = matches!(rejection, Some(Effect::Answer(_, Answer::Rejected(_))));
    assert!(is_rejection, "{rejection:?}");
    assert!(fixture.jobs.status(id()).is_none(), "the job is retained");
}

/// Guards against a cancelled job whose answer its other clients never get.
#[test]
fn waiting_clients_get_the_cancellation() {
    let mut fixture = Fixture::new();
    _ = fixture.submit(b"body", false);
    fixture.sync();
    _ = fixture.cancel();
    assert_eq!(fixture.jobs.effect(), None);
    fixture.sync();
    let answer = Effect::Answer(id(), Answer::Cancelled);
    assert_eq!(fixture.jobs.effect(), Some(answer));
}
