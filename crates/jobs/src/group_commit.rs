//! Group commit on a dedicated thread, with retries of failed disk operations.
//!
//! The thread owns the log and the records that are not durable yet. All records that arrive during a sync
//! form the next group, which needs only one sync, and the thread that serves requests never waits for the
//! disk. Records are reported only once they are synced. The command queue has no limit of its own; the
//! state machine bounds it, because it accepts no new jobs while too many bytes are unsynced.

use std::io;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::backoff::Backoff;
use crate::log::{Backlog, Log, LogDirectory, LogError};

/// Time that a shutdown waits for the last records. Records that are not durable by then were not confirmed
/// to any client.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// A notification from the thread.
#[derive(Debug)]
pub enum StoreEvent {
    /// All records up to this number are durable.
    Synced {
        /// Number of the last durable record.
        number: u64,
        /// Duration of the group's write and sync.
        took: Duration,
        /// Number of records in the group.
        records: usize,
    },
    /// Whether the disk has space for another segment.
    Capacity(bool),
    /// A group of records could not be made durable. It is kept and retried until it is durable.
    OutageBegan(LogError),
    /// All records that waited during the outage are durable.
    OutageEnded {
        /// Time from the first failure to the first complete sync.
        lasted: Duration,
    },
    /// Segments that are no longer needed could not be removed. The removal is retried.
    TrimFailed(LogError),
}

/// A command to the thread.
enum Command {
    Append {
        frames: Vec<u8>,
        lengths: Vec<usize>,
        last: u64,
    },
    Trim(u64),
    CheckCapacity,
}

/// Handle of the group commit thread. Dropping it stops the thread.
pub struct GroupCommit {
    commands: Option<Sender<Command>>,
    thread: Option<JoinHandle<()>>,
    /// Disconnects when the thread has released the log.
    terminated: Receiver<()>,
}

impl GroupCommit {
    /// Starts the thread; `notify` is called on it.
    ///
    /// # Errors
    /// Fails when the system cannot create the thread.
    pub fn start<F>(
        log: Log<F>,
        notify: impl Fn(StoreEvent) + Send + 'static,
    ) -> io::Result<GroupCommit>
    where
        F: LogDirectory + Send + 'static,
        F::File: Send,
    {
        let (commands, receiver) = channel();
        let (termination_guard, terminated) = channel::<()>();
        let thread = std::thread::Builder::new()
            .name("store".into())
            .spawn(move || {
                // Dropped after the log, so that the directory's lock is released by then.
                let _termination_guard = termination_guard;
                Writer::new(log, notify).run(&receiver);
            })?;
        Ok(GroupCommit {
            commands: Some(commands),
            thread: Some(thread),
            terminated,
        })
    }

    fn send(&self, command: Command) {
        // Cannot fail: the thread runs until this sender is dropped.
        if let Some(commands) = &self.commands {
            _ = commands.send(command);
        }
    }

    /// Queues frames with their lengths to be made durable. `last` is the number of the last record among them.
    pub fn append(&self, frames: Vec<u8>, lengths: Vec<usize>, last: u64) {
        self.send(Command::Append {
            frames,
            lengths,
            last,
        });
    }

    /// Queues the removal of the segments that hold only records before `oldest_needed`.
    pub fn trim(&self, oldest_needed: u64) {
        self.send(Command::Trim(oldest_needed));
    }

    /// Queues a check whether the disk has space again. [`StoreEvent::Capacity`] reports a change.
    pub fn check_capacity(&self) {
        self.send(Command::CheckCapacity);
    }
}

impl Drop for GroupCommit {
    /// Stops the thread, which tries once more to make the queued records durable. After `SHUTDOWN_TIMEOUT` the
    /// thread is detached, because the disk may never respond.
    fn drop(&mut self) {
        self.commands = None;
        let terminated =
            self.terminated.recv_timeout(SHUTDOWN_TIMEOUT) != Err(RecvTimeoutError::Timeout);
        if let Some(thread) = self.thread.take().filter(|_| terminated) {
            _ = thread.join();
        }
    }
}

/// The retries of an operation that has failed.
struct Retry {
    /// Time of the first failure.
    since: Instant,
    /// Time of the next retry.
    at: Instant,
    backoff: Backoff,
}

impl Retry {
    fn new(now: Instant) -> Retry {
        let mut retry = Retry {
            since: now,
            at: now,
            backoff: Backoff::default(),
        };
        retry.schedule_next(now);
        retry
    }

    fn schedule_next(&mut self, now: Instant) {
        self.at = now + self.backoff.delay();
    }
}

/// The state of the group commit thread.
struct Writer<F: LogDirectory, T: Fn(StoreEvent)> {
    log: Log<F>,
    notify: T,
    backlog: Backlog,
    /// The requested trim that is not done yet: the number of the oldest record to keep.
    trim_to: Option<u64>,
    /// Whether a capacity check was requested.
    check_capacity: bool,
    /// The retries of a failed append.
    append_retry: Option<Retry>,
    /// The retries of a failed trim.
    trim_retry: Option<Retry>,
    /// The capacity that was reported last.
    has_capacity: bool,
}

impl<F: LogDirectory, T: Fn(StoreEvent)> Writer<F, T> {
    fn new(log: Log<F>, notify: T) -> Self {
        let has_capacity = log.has_capacity();
        notify(StoreEvent::Capacity(has_capacity));
        Writer {
            log,
            notify,
            backlog: Backlog::default(),
            trim_to: None,
            check_capacity: false,
            append_retry: None,
            trim_retry: None,
            has_capacity,
        }
    }

    fn run(mut self, commands: &Receiver<Command>) {
        while self.receive(commands) {
            self.process();
        }
        // Last attempt at shutdown, for records that arrived last or during an outage.
        _ = self.backlog.flush(&mut self.log);
    }

    /// Waits until a command arrives or a retry is due, and takes over all queued commands. Returns false once
    /// the handle has been dropped and no command is left.
    fn receive(&mut self, commands: &Receiver<Command>) -> bool {
        loop {
            let now = Instant::now();
            let command = match self.next_retry() {
                Some(at) if at <= now => break,
                Some(at) => commands.recv_timeout(at - now),
                None => commands.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match command {
                Ok(command) => self.enqueue(command),
                Err(RecvTimeoutError::Timeout) => break,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
            // During an outage, new records join the backlog and wait for the next retry.
            if self.append_retry.is_none() {
                break;
            }
        }
        for command in commands.try_iter() {
            self.enqueue(command);
        }
        true
    }

    /// Returns the time of the next retry.
    fn next_retry(&self) -> Option<Instant> {
        let retries = [&self.append_retry, &self.trim_retry];
        retries.into_iter().flatten().map(|retry| retry.at).min()
    }

    fn enqueue(&mut self, command: Command) {
        match command {
            Command::Append {
                frames,
                lengths,
                last,
            } => self.backlog.push(frames, lengths, last),
            Command::Trim(oldest_needed) => self.trim_to = Some(oldest_needed),
            Command::CheckCapacity => self.check_capacity = true,
        }
    }

    fn process(&mut self) {
        if std::mem::take(&mut self.check_capacity) {
            self.log.preallocate();
        }
        let now = Instant::now();
        if self
            .append_retry
            .as_ref()
            .is_none_or(|retry| retry.at <= now)
        {
            self.flush();
        }
        if self.trim_retry.as_ref().is_none_or(|retry| retry.at <= now) {
            self.remove_segments();
        }
        if self.has_capacity != self.log.has_capacity() {
            self.has_capacity = self.log.has_capacity();
            (self.notify)(StoreEvent::Capacity(self.has_capacity));
        }
    }

    fn flush(&mut self) {
        if self.backlog.is_empty() {
            return;
        }
        let start = Instant::now();
        let before = self.backlog.len();
        let result = self.backlog.flush(&mut self.log);
        let now = Instant::now();
        let records = before - self.backlog.len();
        if records > 0 {
            let number = self.log.next_record() - 1;
            (self.notify)(StoreEvent::Synced {
                number,
                took: now - start,
                records,
            });
        }
        match (result, &mut self.append_retry) {
            (Ok(()), _) => {
                if let Some(retry) = self.append_retry.take() {
                    (self.notify)(StoreEvent::OutageEnded {
                        lasted: now - retry.since,
                    });
                }
            }
            (Err(_), Some(retry)) => retry.schedule_next(now),
            (Err(error), None) => {
                self.append_retry = Some(Retry::new(now));
                (self.notify)(StoreEvent::OutageBegan(error));
            }
        }
    }

    fn remove_segments(&mut self) {
        let Some(oldest_needed) = self.trim_to else {
            return;
        };
        match (self.log.trim(oldest_needed), &mut self.trim_retry) {
            (Ok(_), _) => {
                self.trim_to = None;
                self.trim_retry = None;
            }
            (Err(_), Some(retry)) => retry.schedule_next(Instant::now()),
            (Err(error), None) => {
                self.trim_retry = Some(Retry::new(Instant::now()));
                (self.notify)(StoreEvent::TrimFailed(error));
            }
        }
    }
}
