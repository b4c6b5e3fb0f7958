//! The plan of this process, and which call it strikes.

use std::ffi::CStr;
use std::fs::OpenOptions;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::Instant;

use libc::{c_char, c_int, sockaddr, sockaddr_in, sockaddr_storage, sockaddr_un, socklen_t};
use oakshed_fault_injection::{
    Call, Effect, Plan, Rate, Row, Switch, CLOCK_OFFSET_AT, CONTROL_SIZE, CONTROL_VARIABLE,
    PLAN_VARIABLE, STRIKES_AT, SWITCHES_AT,
};

/// What a call that is struck does.
pub(crate) enum Fault {
    /// It fails with this error.
    Errno(c_int),
    /// It reads or writes one byte.
    Short,
}

/// What a call is about: a row may be for some targets only.
pub(crate) enum Target {
    None,
    Descriptor(c_int),
    /// A path as a C string.
    Path(*const c_char),
    /// An address to connect to.
    Address(*const sockaddr),
}

struct State {
    plan: Plan,
    /// How many calls each row has been asked about.
    asked: Vec<AtomicU64>,
    began: Instant,
    control: &'static Control,
}

/// The mapped control file.
struct Control {
    values: [AtomicU64; CONTROL_SIZE / 8],
}

impl Control {
    fn value(&self, offset: usize, row: usize) -> &AtomicU64 {
        &self.values[offset / 8 + row]
    }
}

/// Set once, before `main`. Calls that are made meanwhile are passed on.
static STATE: OnceLock<State> = OnceLock::new();

#[used]
#[link_section = ".init_array"]
static BEFORE_MAIN: extern "C" fn() = begin;

extern "C" fn begin() {
    let Ok(text) = std::env::var(PLAN_VARIABLE) else {
        return;
    };
    let plan = Plan::parse(&text).expect("a plan that its sender has read");
    let asked = plan.rows.iter().map(|_| AtomicU64::new(0)).collect();
    let control = map_control();
    let state = State {
        plan,
        asked,
        began: Instant::now(),
        control,
    };
    assert!(STATE.set(state).is_ok(), "there is one begin");
}

fn map_control() -> &'static Control {
    let path = std::env::var_os(CONTROL_VARIABLE).expect("a control file");
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .open(path)
        .expect("the control file");
    let access = libc::PROT_READ | libc::PROT_WRITE;
    // SAFETY: a new mapping of an open file, at an address that the system chooses.
    let mapped = unsafe {
        libc::mmap(
            std::ptr::null_mut(),
            CONTROL_SIZE,
            access,
            libc::MAP_SHARED,
            file.as_raw_fd(),
            0,
        )
    };
    assert_ne!(mapped, libc::MAP_FAILED, "the control file is mapped");
    // SAFETY: the mapping is a page, so it is aligned, as long as the type, and never unmapped; any bits are
    // valid for atomics.
    unsafe { &*mapped.cast::<Control>() }
}

/// Whether the plan has this call fail, and how. Counts it where it does. A row may have the process stop first.
pub(crate) fn strike(call: Call, target: Target) -> Option<Fault> {
    let state = STATE.get()?;
    for (number, row) in state.plan.rows.iter().enumerate() {
        let of = match row.effect {
            Effect::Fail(of, _) | Effect::Short(of) | Effect::Stop(of) => of,
            Effect::StepClock(_) => continue,
        };
        let strikes = of == call
            && state.acts(number, row)
            && matches(row, &target)
            && state.draws(number, row);
        if !strikes {
            continue;
        }
        state.count(number);
        match row.effect {
            Effect::Fail(_, errno) => return Some(Fault::Errno(errno)),
            Effect::Short(_) => return Some(Fault::Short),
            Effect::Stop(_) => stop_process(),
            Effect::StepClock(_) => {}
        }
    }
    None
}

/// Stops this process, all its threads, until it is told to go on.
fn stop_process() {
    // SAFETY: this has no memory to go wrong with; a process may signal itself.
    unsafe { libc::kill(libc::getpid(), libc::SIGSTOP) };
}

/// By how much the wall clock is off now, in milliseconds.
pub(crate) fn clock_offset() -> i64 {
    let Some(state) = STATE.get() else { return 0 };
    let offset_ms = state.control.value(CLOCK_OFFSET_AT, 0);
    let mut offset = offset_ms.load(Ordering::Relaxed) as i64;
    for (number, row) in state.plan.rows.iter().enumerate() {
        match row.effect {
            Effect::StepClock(step) if state.acts(number, row) => offset += step,
            _ => {}
        }
    }
    offset
}

impl State {
    fn acts(&self, number: usize, row: &Row) -> bool {
        let switch = self
            .control
            .value(SWITCHES_AT, number)
            .load(Ordering::Relaxed);
        if switch == Switch::ByWindow as u64 {
            return row.window.contains(self.began.elapsed().as_millis() as u64);
        }
        switch == Switch::On as u64
    }

    fn draws(&self, number: usize, row: &Row) -> bool {
        let nth = self.asked[number].fetch_add(1, Ordering::Relaxed);
        match row.rate {
            Rate::Every(every) => nth % every == 0,
            Rate::Probability(p) => {
                let drawn = mix(self.plan.seed ^ mix(((number as u64) << 48) | nth));
                (drawn as f64) < p * u64::MAX as f64
            }
        }
    }

    fn count(&self, number: usize) {
        self.control
            .value(STRIKES_AT, number)
            .fetch_add(1, Ordering::Relaxed);
    }
}

/// SplitMix64: one well mixed number for each number.
fn mix(n: u64) -> u64 {
    let n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

fn matches(row: &Row, target: &Target) -> bool {
    let Some(wanted) = &row.target else {
        return true;
    };
    let text = match *target {
        Target::None => return false,
        Target::Descriptor(fd) => descriptor_text(fd),
        // SAFETY: the caller of the interposed function passes a C string.
        Target::Path(path) => unsafe { CStr::from_ptr(path) }
            .to_string_lossy()
            .into_owned(),
        Target::Address(address) => match address_text(address) {
            Some(text) => text,
            None => return false,
        },
    };
    text.contains(wanted.as_str())
}

/// What a descriptor is of: the link that the system shows for it, and a socket's peer, or the path at which a
/// Unix socket listens or was accepted.
fn descriptor_text(fd: c_int) -> String {
    let link = std::fs::read_link(format!("/proc/self/fd/{fd}")).unwrap_or_default();
    let link = link.to_string_lossy().into_owned();
    if !link.starts_with("socket:") {
        return link;
    }
    let peer = socket_name(libc::SYS_getpeername, fd).unwrap_or_default();
    let own = socket_name(libc::SYS_getsockname, fd)
        .filter(|name| name.starts_with('/'))
        .unwrap_or_default();
    format!("{link} {peer} {own}")
}

/// One of a socket's names, by the system call that gives it: its library function may be interposed.
fn socket_name(call: libc::c_long, fd: c_int) -> Option<String> {
    // SAFETY: all bits zero are an address of no family.
    let mut name: sockaddr_storage = unsafe { std::mem::zeroed() };
    let mut length = size_of::<sockaddr_storage>() as socklen_t;
    let address = (&raw mut name).cast::<sockaddr>();
    // SAFETY: the address has room for any socket's, and the length says so.
    let result = unsafe { libc::syscall(call, fd, address, &raw mut length) };
    (result == 0).then(|| address_text(address))?
}

/// An IPv4 address as text, `127.0.0.1:80`, or a Unix socket's path.
fn address_text(address: *const sockaddr) -> Option<String> {
    // SAFETY: the caller passes an address that begins with its family.
    match c_int::from(unsafe { (*address).sa_family }) {
        libc::AF_INET => {
            // SAFETY: an address of this family has this layout; no alignment is taken for granted.
            let address = unsafe { address.cast::<sockaddr_in>().read_unaligned() };
            let ip = std::net::Ipv4Addr::from(u32::from_be(address.sin_addr.s_addr));
            Some(format!("{ip}:{}", u16::from_be(address.sin_port)))
        }
        libc::AF_UNIX => {
            // SAFETY: an address of this family has this layout, and its path ends with a nul where it has one.
            let path =
                unsafe { CStr::from_ptr((*address.cast::<sockaddr_un>()).sun_path.as_ptr()) };
            Some(path.to_string_lossy().into_owned())
        }
        _ => None,
    }
}
