//! One thread that writes and syncs for all that waits: a group of records costs one sync, however many
//! came while the last one ran, and the serving thread never waits for the disk.
//!
//! It owns the log while the program serves. It must never report a record before its sync, nor write
//! anything after a failure. Its queue is bounded by what the machine's limits let be open.

use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::log::{Files, Log};

/// What the thread has to tell.
#[derive(Debug)]
pub enum Told {
    /// All up to this number is durable; what the group's write and sync took, and how many records it had.
    Synced {
        /// The last record.
        number: u64,
        /// The time.
        took: Duration,
        /// The records.
        records: usize,
    },
    /// Whether a further file is ready.
    Room(bool),
    /// Nothing more will ever be durable, and why.
    Failed(String),
}

enum Order {
    Append { frames: Vec<u8>, lengths: Vec<usize>, last: u64 },
    Trim(u64),
    Spare,
}

/// The thread, and the way to it.
pub struct Group {
    to: Option<Sender<Order>>,
    thread: Option<JoinHandle<()>>,
}

impl Group {
    /// Starts the thread; `tell` is called on it.
    pub fn start<F>(log: Log<F>, tell: impl Fn(Told) + Send + 'static) -> io::Result<Group>
    where
        F: Files + Send + 'static,
        F::File: Send,
    {
        let (to, from) = channel();
        let thread = std::thread::Builder::new().name("store".into()).spawn(move || run(log, &from, tell))?;
        Ok(Group { to: Some(to), thread: Some(thread) })
    }

    fn send(&self, order: Order) {
        // The thread ends only when told to, or after it has told of its failure.
        if let Some(to) = &self.to {
            _ = to.send(order);
        }
    }

    /// Records to make durable: their frames, the frames' lengths, and the last one's number.
    pub fn append(&self, frames: Vec<u8>, lengths: Vec<usize>, last: u64) {
        self.send(Order::Append { frames, lengths, last });
    }

    /// Records before this number are not needed any more.
    pub fn trim(&self, low: u64) {
        self.send(Order::Trim(low));
    }

    /// Look whether there is room again; [`Told::Room`] says.
    pub fn look_for_room(&self) {
        self.send(Order::Spare);
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.to = None;
        self.thread.take().into_iter().for_each(|thread| _ = thread.join());
    }
}

fn run<F: Files>(mut log: Log<F>, from: &Receiver<Order>, tell: impl Fn(Told)) {
    let mut room = log.has_room();
    tell(Told::Room(room));
    while let Ok(first) = from.recv() {
        let (mut frames, mut lengths, mut number, mut low) = (Vec::new(), Vec::new(), None, None);
        for order in std::iter::once(first).chain(from.try_iter()) {
            match order {
                Order::Append { frames: mut f, lengths: mut l, last } => {
                    match frames.is_empty() {
                        true => frames = f,
                        false => frames.append(&mut f),
                    }
                    lengths.append(&mut l);
                    number = Some(last);
                }
                Order::Trim(to) => low = Some(to),
                Order::Spare => _ = log.make_spare(),
            }
        }
        let start = Instant::now();
        let mut done = log.append(&frames, &lengths);
        if let (Ok(()), Some(number)) = (&done, number) {
            tell(Told::Synced { number, took: start.elapsed(), records: lengths.len() });
        }
        if let (Ok(()), Some(low)) = (&done, low) {
            done = log.trim(low).map(|_| ());
        }
        if let Err(why) = done {
            return tell(Told::Failed(why.to_string()));
        }
        if room != log.has_room() {
            room = log.has_room();
            tell(Told::Room(room));
        }
    }
}
