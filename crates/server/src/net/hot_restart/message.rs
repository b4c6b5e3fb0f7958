//! The messages between predecessor and successor.
//!
//! The two processes may be of different versions. The serialized form must therefore stay compatible: a field may be
//! added with a default, and no serialized name may change.

#[cfg(test)]
mod tests;

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::list::Answer;
use oakshed_core::facade::{
    ClassEstimates, Estimates, HandoverState, Micros, WarmingWorker, WorkerBackoff,
};

/// The greeting of a successor. A process with another greeting is declined, and starts without a predecessor.
pub(super) const HELLO: &str = "oakshed-handover 1\n";
/// The line that a successor sends once it can serve.
pub(super) const READY: &str = "ready\n";
/// The answer to a process that does not get the socket.
pub(super) const DECLINED: &[u8] = b"declined\n";
/// The longest message body that is read, in bytes. The endpoint list takes at most half of it.
pub(super) const MAX_BODY_LENGTH: usize = 8 << 20;

/// The state that the predecessor sends with its listening socket.
#[derive(Serialize, Deserialize)]
pub(super) struct Message {
    /// The fingerprint of the predecessor's configuration; 0 from an older version, which sends none.
    #[serde(rename = "under", default)]
    pub(super) fingerprint: u64,
    pub(super) list: Option<Answer>,
    /// Whether the predecessor acts on the list; absent from an older version, which may not know.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) list_in_use: Option<bool>,
    #[serde(rename = "learned")]
    pub(super) state: HandoverForm,
    /// The workers that are warming up; empty from an older version, which sends none.
    #[serde(default)]
    pub(super) warming: Vec<WarmingForm>,
    /// The names of workers that have left the list; empty from an older version, which sends none.
    #[serde(default)]
    pub(super) departed: Vec<Rc<str>>,
}

/// The serialized form of a worker that is warming up. It carries the worker's age as a span, as the clocks of the two
/// processes differ.
#[derive(Serialize, Deserialize)]
pub(super) struct WarmingForm {
    #[serde(rename = "backend")]
    worker: Rc<str>,
    start: Micros,
    age: Micros,
}

impl From<WarmingWorker> for WarmingForm {
    fn from(warming: WarmingWorker) -> Self {
        WarmingForm {
            worker: warming.worker,
            start: warming.start,
            age: warming.age,
        }
    }
}

impl From<WarmingForm> for WarmingWorker {
    fn from(form: WarmingForm) -> Self {
        WarmingWorker {
            worker: form.worker,
            start: form.start,
            age: form.age,
        }
    }
}

/// The serialized form of the estimates and backoffs.
#[derive(Serialize, Deserialize)]
pub(super) struct HandoverForm {
    cap: f64,
    mean_run: f64,
    /// For each class: the recent running time, the work of the job itself, and the number of jobs served.
    classes: Vec<[f64; 3]>,
    /// For each worker with a backoff: its name, the remaining time, and the number of trials.
    avoided: Vec<(Rc<str>, Micros, u32)>,
}

impl From<HandoverState> for HandoverForm {
    fn from(state: HandoverState) -> Self {
        let estimates = state.estimates;
        let classes = estimates.classes.iter();
        let backoffs = state.backoffs.into_iter();
        HandoverForm {
            cap: estimates.concurrency_limit,
            mean_run: estimates.mean_run,
            classes: classes.map(|c| [c.run, c.work, c.served]).collect(),
            avoided: backoffs.map(|b| (b.worker, b.left, b.trials)).collect(),
        }
    }
}

impl From<HandoverForm> for HandoverState {
    fn from(form: HandoverForm) -> Self {
        let class = |[run, work, served]: [f64; 3]| ClassEstimates { run, work, served };
        let backoff = |(worker, left, trials)| WorkerBackoff {
            worker,
            left,
            trials,
        };
        HandoverState {
            estimates: Estimates {
                concurrency_limit: form.cap,
                mean_run: form.mean_run,
                classes: form.classes.into_iter().map(class).collect(),
            },
            backoffs: form.avoided.into_iter().map(backoff).collect(),
        }
    }
}
