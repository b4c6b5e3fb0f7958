//! Runs the facade's timer, and starts the discovery polls and probes that it asks for.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::time::Sleep;

use super::{workers, Net};

/// Calls the facade whenever it is due or wakes its waker, and performs the actions that belong to no request.
pub(super) async fn run_timer(net: Rc<Net>) {
    let mut sleep: Pin<Box<Sleep>> = Box::pin(tokio::time::sleep(Duration::ZERO));
    loop {
        let due = poll_fn(|cx| loop {
            let due = net.facade.borrow_mut().tick(net.clock.now(), cx.waker());
            if due.subscribe || !due.probes.is_empty() {
                return Poll::Ready(due);
            }
            let Some(wake_at) = due.next else {
                return Poll::Pending;
            };
            sleep.as_mut().reset(net.clock.instant(wake_at));
            if sleep.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        })
        .await;
        if due.subscribe {
            net.discovery.poll_requested.notify_one();
        }
        for worker in due.probes {
            tokio::task::spawn_local(workers::probe(net.clone(), worker));
        }
    }
}
