//! Plans: which calls fail, how, how often and when. Text in, values out; no I/O.

use std::fmt;

use crate::errno::errno_of;

/// A group of library functions that stand for one system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept`, `accept4`.
    Accept,
    /// `connect`.
    Connect,
    /// `socket`.
    Socket,
    /// `send`, `sendto`, `sendmsg`.
    Send,
    /// `write`, `writev`.
    Write,
    /// `pwrite`, `pwrite64`.
    Pwrite,
    /// `recv`, `recvfrom`, `recvmsg`.
    Recv,
    /// `read`, `readv`, `pread64`.
    Read,
    /// `fdatasync`.
    Fdatasync,
    /// `fsync`.
    Fsync,
    /// `fallocate`, `posix_fallocate`.
    Fallocate,
    /// `ftruncate`.
    Ftruncate,
    /// `open`, `openat`.
    Open,
    /// `rename`.
    Rename,
    /// `unlink`.
    Unlink,
    /// `getsockname`.
    Getsockname,
    /// `setsockopt`.
    Setsockopt,
    /// `shutdown`.
    Shutdown,
    /// `dup`, `fcntl` with `F_DUPFD` or `F_DUPFD_CLOEXEC`.
    Dup,
    /// `epoll_wait`.
    EpollWait,
}

impl Call {
    fn parse(name: &str) -> Option<Call> {
        Some(match name {
            "accept" => Call::Accept,
            "connect" => Call::Connect,
            "socket" => Call::Socket,
            "send" => Call::Send,
            "write" => Call::Write,
            "pwrite" => Call::Pwrite,
            "recv" => Call::Recv,
            "read" => Call::Read,
            "fdatasync" => Call::Fdatasync,
            "fsync" => Call::Fsync,
            "fallocate" => Call::Fallocate,
            "ftruncate" => Call::Ftruncate,
            "open" => Call::Open,
            "rename" => Call::Rename,
            "unlink" => Call::Unlink,
            "getsockname" => Call::Getsockname,
            "setsockopt" => Call::Setsockopt,
            "shutdown" => Call::Shutdown,
            "dup" => Call::Dup,
            "epoll_wait" => Call::EpollWait,
            _ => return None,
        })
    }
}

/// What a row does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call fails with this error, and does nothing.
    Fail(Call, i32),
    /// A read or write is given one byte of its buffer: it comes back short. Whoever waits for the descriptor by epoll
    /// is notified of the rest. `readv` and `writev` are made as they are.
    Short(Call),
    /// The process stops itself, as by SIGSTOP, right before the call, which is made once it goes on.
    Stop(Call),
    /// The wall clock is off by so many milliseconds.
    StepClock(i64),
}

/// Which of the calls that a row applies to it strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rate {
    /// The first, and every so-many-th after it.
    Every(u64),
    /// Each with this probability, by the plan's seed.
    Probability(f64),
}

/// When a row acts, in milliseconds since the process began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Its begin.
    pub from_ms: u64,
    /// Its length.
    pub for_ms: u64,
}

impl Window {
    /// Whether that moment lies in it.
    #[must_use]
    pub fn contains(&self, ms: u64) -> bool {
        ms.checked_sub(self.from_ms)
            .is_some_and(|since| since < self.for_ms)
    }
}

/// One row of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What it does.
    pub effect: Effect,
    /// How often.
    pub rate: Rate,
    /// When.
    pub window: Window,
    /// Only calls whose path, or whose descriptor's target as `/proc/self/fd` shows it, or whose socket's peer or
    /// address to connect to (`127.0.0.1:80`) contains this.
    pub target: Option<String>,
}

/// A plan: its rows, and the seed of its probabilities.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Seed of the rows' probabilities.
    pub seed: u64,
    /// The rows, in order.
    pub rows: Vec<Row>,
}

/// A row that cannot be read.
#[derive(Debug, PartialEq, Eq)]
pub struct PlanError(String);

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a row of a fault plan: {}", self.0)
    }
}

impl std::error::Error for PlanError {}

impl Plan {
    /// Reads rows that are separated by `;` or line ends:
    ///
    /// - `CALL ERROR RATE FROM_MS FOR_MS [on=TARGET]`: a call fails. `ERROR` is a name like `ENFILE`, or
    ///   `SHORT` for short reads and writes, or `STOP` for a process that stops before it; `RATE` is `1/N`, or a probability such as `p0.25`.
    /// - `clock OFFSET_MS FROM_MS FOR_MS`: the wall clock is off.
    /// - `seed N`.
    ///
    /// # Errors
    /// Returns the first line that has no known form, with the reason.
    pub fn parse(text: &str) -> Result<Plan, PlanError> {
        let mut plan = Plan::default();
        for line in text
            .split([';', '\n'])
            .map(str::trim)
            .filter(|line| !line.is_empty())
        {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let malformed = || PlanError(line.to_owned());
            if let ["seed", seed] = fields[..] {
                plan.seed = seed.parse().map_err(|_| malformed())?;
            } else {
                plan.rows.push(parse_row(&fields).ok_or_else(malformed)?);
            }
        }
        if plan.rows.len() > crate::MOST_ROWS {
            return Err(PlanError(format!("more than {} rows", crate::MOST_ROWS)));
        }
        Ok(plan)
    }
}

fn parse_row(fields: &[&str]) -> Option<Row> {
    if let ["clock", offset, from, length] = fields {
        let effect = Effect::StepClock(offset.parse().ok()?);
        return Some(Row {
            effect,
            rate: Rate::Every(1),
            window: parse_window(from, length)?,
            target: None,
        });
    }
    let [call, error, rate, from, length, rest @ ..] = fields else {
        return None;
    };
    let call = Call::parse(call)?;
    let effect = match *error {
        "SHORT" => Effect::Short(call),
        "STOP" => Effect::Stop(call),
        name => Effect::Fail(call, errno_of(name)?),
    };
    let target = match rest {
        [] => None,
        [target] => Some(target.strip_prefix("on=")?.to_owned()),
        _ => return None,
    };
    Some(Row {
        effect,
        rate: parse_rate(rate)?,
        window: parse_window(from, length)?,
        target,
    })
}

fn parse_rate(text: &str) -> Option<Rate> {
    if let Some(every) = text.strip_prefix("1/") {
        return every.parse().ok().filter(|n| *n > 0).map(Rate::Every);
    }
    let probability = text.strip_prefix('p')?.parse().ok()?;
    (0.0..=1.0)
        .contains(&probability)
        .then_some(Rate::Probability(probability))
}

fn parse_window(from: &str, length: &str) -> Option<Window> {
    Some(Window {
        from_ms: from.parse().ok()?,
        for_ms: length.parse().ok()?,
    })
}
