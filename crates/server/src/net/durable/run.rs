//! Drives the state machine of durable jobs: its timer, the events of the store, and periodic maintenance.

use std::future::{poll_fn, Future};
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use oakshed_jobs::disk::{self, Settlement};
use oakshed_jobs::group_commit::StoreEvent;
use oakshed_jobs::machine::Provisional;
use rustc_hash::FxHashMap;
use tokio::time::Sleep;
use tracing::{info, warn};

use super::super::{workers, Net};
use super::{DurableJobs, StoreEvents, FENCE_TIMEOUT};

/// The interval between two runs of [`maintain`].
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// The most safe results that a worker is notified of in one call.
const MAX_SAFE_RESULTS_PER_CALL: usize = 1_000;

/// Advances the state machine whenever its timer is due, the store reports an event, or another task has changed it.
pub(in super::super) async fn run(net: Rc<Net>, events: StoreEvents) {
    let (Some(durable), Some(mut events)) = (&net.durable, events) else {
        return;
    };
    tokio::task::spawn_local(maintain(net.clone()));
    let mut sleep: Pin<Box<Sleep>> = Box::pin(tokio::time::sleep(Duration::ZERO));
    loop {
        let mut changed = std::pin::pin!(durable.changed.notified());
        poll_fn(|cx| {
            let mut woken = changed.as_mut().poll(cx).is_ready();
            while let Poll::Ready(Some(event)) = events.poll_recv(cx) {
                on_store_event(&net, durable, event);
                woken = true;
            }
            let now = net.clock.now();
            let wake_at =
                durable
                    .jobs
                    .borrow_mut()
                    .tick(now, &mut net.facade.borrow_mut(), cx.waker());
            durable.process_output(&net);
            if woken {
                return Poll::Ready(());
            }
            let Some(wake_at) = wake_at else {
                return Poll::Pending;
            };
            sleep.as_mut().reset(net.clock.instant(wake_at));
            sleep.as_mut().poll(cx)
        })
        .await;
    }
}

/// Reports an event of the store to the state machine, and logs changes of the store's condition.
fn on_store_event(net: &Rc<Net>, durable: &DurableJobs, event: StoreEvent) {
    let now = net.clock.now();
    let mut jobs = durable.jobs.borrow_mut();
    let mut facade = net.facade.borrow_mut();
    match event {
        StoreEvent::Synced {
            number,
            took,
            records,
        } => {
            let (syncs, synced_records, time) = durable.sync_totals.get();
            durable
                .sync_totals
                .set((syncs + 1, synced_records + records as u64, time + took));
            jobs.on_synced(now, number, &mut facade);
            durable.last_synced.send_replace(number);
        }
        StoreEvent::Capacity(has_capacity) => {
            if durable.disk_full.replace(!has_capacity) == has_capacity {
                if has_capacity {
                    info!("store: space is available again; new jobs are accepted");
                } else {
                    warn!(
                        "store: no space for another segment; new jobs are rejected until space is available"
                    );
                }
            }
            jobs.set_disk_full(!has_capacity);
        }
        StoreEvent::OutageBegan(error) => {
            durable.outage.set(true);
            warn!(%error, "store: {error}; accepted jobs wait for the disk while the write is retried");
        }
        StoreEvent::OutageEnded { lasted } => {
            durable.outage.set(false);
            let ms = lasted.as_millis() as u64;
            info!(
                ms,
                "store: the disk works again after {ms} ms; nothing is lost"
            );
        }
        StoreEvent::TrimFailed(error) => warn!(%error, "store: {error}; retrying"),
    }
}

/// The settlements that were applied, by their files, and whether there was anything to settle.
type AppliedSettlements = FxHashMap<PathBuf, (Settlement, Provisional<bool>)>;

/// Applies the settlements that operators have left. The file of each is removed, and the settlement logged, only once it
/// is durable.
fn apply_settlements(net: &Net, durable: &DurableJobs, unconfirmed: &mut AppliedSettlements) {
    let mut jobs = durable.jobs.borrow_mut();
    for settlement in disk::settlements(&durable.dir) {
        if unconfirmed.contains_key(&settlement.path) {
            continue;
        }
        let settled = jobs.settle(net.clock.now(), settlement.id, settlement.outcome);
        unconfirmed.insert(settlement.path.clone(), (settlement, settled));
    }
    for (path, (settlement, settled)) in std::mem::take(unconfirmed) {
        match jobs.confirm(settled) {
            Ok(settled) => finish_settlement(&settlement, settled),
            Err(settled) => _ = unconfirmed.insert(path, (settlement, settled)),
        }
    }
}

/// Removes the file of a settlement that is durable or was not needed.
fn finish_settlement(settlement: &Settlement, settled: bool) {
    let Settlement { path, id, outcome } = settlement;
    if settled {
        info!(job = %id, ?outcome, "store: job {id} settled by an operator: {outcome:?}");
    }
    _ = std::fs::remove_file(path);
}

/// Periodically checks a full disk for free space, applies the settlements that operators have left in the store's
/// directory, and notifies workers of the results that are safe.
async fn maintain(net: Rc<Net>) {
    let Some(durable) = &net.durable else { return };
    let mut unconfirmed_settlements = AppliedSettlements::default();
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        if durable.disk_full.get() {
            durable.group_commit.check_capacity();
        }
        apply_settlements(&net, durable, &mut unconfirmed_settlements);
        let safe_results = std::mem::take(&mut *durable.safe_results.borrow_mut());
        for (worker, results) in safe_results {
            let net = net.clone();
            tokio::task::spawn_local(async move {
                for chunk in results.chunks(MAX_SAFE_RESULTS_PER_CALL) {
                    let lines: String = chunk
                        .iter()
                        .map(|(id, token)| format!("{id} {token}\n"))
                        .collect();
                    let call = workers::call_lease_endpoint(
                        &net,
                        &worker,
                        "/leases/safe",
                        0,
                        lines.into(),
                    );
                    _ = tokio::time::timeout(FENCE_TIMEOUT, call).await;
                }
            });
        }
        durable.changed.notify_one();
    }
}
