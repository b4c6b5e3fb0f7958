//! The functions that may fail, each in the place of the C library's own.

use libc::{
    c_char, c_int, c_void, epoll_event, iovec, mode_t, msghdr, off64_t, off_t, size_t, sockaddr,
    socklen_t, ssize_t,
};
use oakshed_fault_injection::Call;

use crate::epoll::notify_again;
use crate::real::Real;
use crate::state::{strike, Fault, Target};

/// Defines functions of the C library. Each fails where the plan says so, or calls the function whose place
/// it takes; `short` names the length that a short call cuts down to one,
/// and whose it is.
macro_rules! interpose {
    ($($call:ident $target:expr, $(short $length:ident of $descriptor:ident,)?
       fn $name:ident($($arg:ident: $type:ty),*) -> $result:ty;)*) => {$(
        #[no_mangle]
        pub unsafe extern "C" fn $name($($arg: $type),*) -> $result {
            static REAL: Real = Real::new(match std::ffi::CStr::from_bytes_with_nul(
                concat!(stringify!($name), "\0").as_bytes(),
            ) {
                Ok(name) => name,
                Err(_) => panic!("a name has no nul"),
            });
            match strike(Call::$call, $target) {
                Some(Fault::Errno(errno)) => return fail(errno) as $result,
                Some(Fault::Short) => {
                    $(let $length = $length.min(1);)?
                    // SAFETY: the address is that of the function with this signature; a shorter length than
                    // the caller's is within the caller's buffer.
                    let result = unsafe {
                        std::mem::transmute::<*mut c_void, unsafe extern "C" fn($($type),*) -> $result>(
                            REAL.address(),
                        )($($arg),*)
                    };
                    $(notify_again($descriptor);)?
                    return result;
                }
                None => {}
            }
            // SAFETY: the address is that of the function with this signature, and the arguments are passed
            // on as they came.
            unsafe {
                std::mem::transmute::<*mut c_void, unsafe extern "C" fn($($type),*) -> $result>(
                    REAL.address(),
                )($($arg),*)
            }
        }
    )*};
}

/// Sets the error of a call that fails, and gives its result.
fn fail(errno: c_int) -> c_int {
    // SAFETY: the C library gives each thread its own place for the error.
    unsafe { *libc::__errno_location() = errno };
    -1
}

interpose! {
    Accept Target::Descriptor(fd), fn accept(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int;
    Accept Target::Descriptor(fd),
        fn accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int;
    Connect Target::Address(address), fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int;
    Socket Target::None, fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;

    Send Target::Descriptor(fd), short length of fd,
        fn send(fd: c_int, data: *const c_void, length: size_t, flags: c_int) -> ssize_t;
    Send Target::Descriptor(fd), short length of fd,
        fn sendto(fd: c_int, data: *const c_void, length: size_t, flags: c_int, address: *const sockaddr,
            address_length: socklen_t) -> ssize_t;
    Write Target::Descriptor(fd), short length of fd,
        fn write(fd: c_int, data: *const c_void, length: size_t) -> ssize_t;
    Write Target::Descriptor(fd), fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t;
    Pwrite Target::Descriptor(fd), short length of fd,
        fn pwrite(fd: c_int, data: *const c_void, length: size_t, offset: off_t) -> ssize_t;
    Pwrite Target::Descriptor(fd), short length of fd,
        fn pwrite64(fd: c_int, data: *const c_void, length: size_t, offset: off64_t) -> ssize_t;

    Recv Target::Descriptor(fd), short length of fd,
        fn recv(fd: c_int, data: *mut c_void, length: size_t, flags: c_int) -> ssize_t;
    Recv Target::Descriptor(fd), short length of fd,
        fn recvfrom(fd: c_int, data: *mut c_void, length: size_t, flags: c_int, address: *mut sockaddr,
            address_length: *mut socklen_t) -> ssize_t;
    Read Target::Descriptor(fd), short length of fd,
        fn read(fd: c_int, data: *mut c_void, length: size_t) -> ssize_t;
    Read Target::Descriptor(fd), fn readv(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t;
    Read Target::Descriptor(fd), short length of fd,
        fn pread64(fd: c_int, data: *mut c_void, length: size_t, offset: off64_t) -> ssize_t;

    Fdatasync Target::Descriptor(fd), fn fdatasync(fd: c_int) -> c_int;
    Fsync Target::Descriptor(fd), fn fsync(fd: c_int) -> c_int;
    Fallocate Target::Descriptor(fd), fn fallocate(fd: c_int, mode: c_int, offset: off_t, length: off_t) -> c_int;
    Fallocate Target::Descriptor(fd),
        fn fallocate64(fd: c_int, mode: c_int, offset: off64_t, length: off64_t) -> c_int;
    Ftruncate Target::Descriptor(fd), fn ftruncate(fd: c_int, length: off_t) -> c_int;
    Ftruncate Target::Descriptor(fd), fn ftruncate64(fd: c_int, length: off64_t) -> c_int;

    // The mode comes as a variable argument: on the platforms that are supported it is passed like a fixed one.
    Open Target::Path(path), fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int;
    Open Target::Path(path), fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int;
    Open Target::Path(path), fn openat(folder: c_int, path: *const c_char, flags: c_int, mode: mode_t) -> c_int;
    Open Target::Path(path), fn openat64(folder: c_int, path: *const c_char, flags: c_int, mode: mode_t) -> c_int;
    Rename Target::Path(from), fn rename(from: *const c_char, to: *const c_char) -> c_int;
    Rename Target::Path(from),
        fn renameat(from_folder: c_int, from: *const c_char, to_folder: c_int, to: *const c_char) -> c_int;
    Unlink Target::Path(path), fn unlink(path: *const c_char) -> c_int;
    Unlink Target::Path(path), fn unlinkat(folder: c_int, path: *const c_char, flags: c_int) -> c_int;

    Getsockname Target::Descriptor(fd),
        fn getsockname(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int;
    Setsockopt Target::Descriptor(fd),
        fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, length: socklen_t) -> c_int;
    Shutdown Target::Descriptor(fd), fn shutdown(fd: c_int, how: c_int) -> c_int;
    Dup Target::Descriptor(fd), fn dup(fd: c_int) -> c_int;
    EpollWait Target::None,
        fn epoll_wait(fd: c_int, events: *mut epoll_event, most: c_int, timeout: c_int) -> c_int;
}

type Sendmsg = unsafe extern "C" fn(c_int, *const msghdr, c_int) -> ssize_t;
type Recvmsg = unsafe extern "C" fn(c_int, *mut msghdr, c_int) -> ssize_t;
type PosixFallocate = unsafe extern "C" fn(c_int, off64_t, off64_t) -> c_int;
type Fcntl = unsafe extern "C" fn(c_int, c_int, *mut c_void) -> c_int;

/// A short one sends the first byte, and what goes beside the bytes.
#[no_mangle]
pub unsafe extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    static REAL: Real = Real::new(c"sendmsg");
    // SAFETY: the address is that of the function with this signature.
    let real = unsafe { std::mem::transmute::<*mut c_void, Sendmsg>(REAL.address()) };
    match strike(Call::Send, Target::Descriptor(fd)) {
        Some(Fault::Errno(errno)) => fail(errno) as ssize_t,
        Some(Fault::Short) => {
            // SAFETY: the caller's message is valid, and so is a copy of it for as long as the call takes.
            let mut short = unsafe { *message };
            // SAFETY: its parts are the caller's.
            let mut part = unsafe { first_byte(&short) };
            short.msg_iov = &raw mut part;
            short.msg_iovlen = 1;
            // SAFETY: the copy differs by one part, which lies within the caller's.
            let result = unsafe { real(fd, &raw const short, flags) };
            notify_again(fd);
            result
        }
        // SAFETY: the arguments are passed on as they came.
        None => unsafe { real(fd, message, flags) },
    }
}

/// A short one receives the first byte, and what comes beside the bytes.
#[no_mangle]
pub unsafe extern "C" fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    static REAL: Real = Real::new(c"recvmsg");
    // SAFETY: the address is that of the function with this signature.
    let real = unsafe { std::mem::transmute::<*mut c_void, Recvmsg>(REAL.address()) };
    match strike(Call::Recv, Target::Descriptor(fd)) {
        Some(Fault::Errno(errno)) => fail(errno) as ssize_t,
        Some(Fault::Short) => {
            // SAFETY: the caller's message is valid, and nobody else uses it during the call.
            let whole = unsafe { ((*message).msg_iov, (*message).msg_iovlen) };
            // SAFETY: as above, for its parts as well.
            let mut part = unsafe { first_byte(&*message) };
            // SAFETY: the message has one part meanwhile, which lies within the caller's; it gets its own back.
            let result = unsafe {
                (*message).msg_iov = &raw mut part;
                (*message).msg_iovlen = 1;
                let result = real(fd, message, flags);
                ((*message).msg_iov, (*message).msg_iovlen) = whole;
                result
            };
            notify_again(fd);
            result
        }
        // SAFETY: the arguments are passed on as they came.
        None => unsafe { real(fd, message, flags) },
    }
}

/// The first byte of a message's parts, where it has any.
///
/// # Safety
/// The message's parts are valid.
unsafe fn first_byte(message: &msghdr) -> iovec {
    // SAFETY: the caller says so; so many parts lie there.
    let parts = unsafe { std::slice::from_raw_parts(message.msg_iov, message.msg_iovlen) };
    let first = parts.iter().find(|part| part.iov_len > 0);
    first.map_or(
        iovec {
            iov_base: std::ptr::null_mut(),
            iov_len: 0,
        },
        |part| iovec {
            iov_base: part.iov_base,
            iov_len: 1,
        },
    )
}

/// Unlike the others it gives the error as its result.
#[no_mangle]
pub unsafe extern "C" fn posix_fallocate64(fd: c_int, offset: off64_t, length: off64_t) -> c_int {
    static REAL: Real = Real::new(c"posix_fallocate64");
    if let Some(Fault::Errno(errno)) = strike(Call::Fallocate, Target::Descriptor(fd)) {
        return errno;
    }
    // SAFETY: the address is that of the function with this signature.
    let real = unsafe { std::mem::transmute::<*mut c_void, PosixFallocate>(REAL.address()) };
    // SAFETY: the arguments are passed on as they came.
    unsafe { real(fd, offset, length) }
}

/// The same on platforms with 64-bit offsets, which are the supported ones.
#[no_mangle]
pub unsafe extern "C" fn posix_fallocate(fd: c_int, offset: off_t, length: off_t) -> c_int {
    // SAFETY: the arguments are passed on as they came.
    unsafe { posix_fallocate64(fd, offset, length) }
}

/// Descriptors are mostly duplicated by this; its other commands are passed on. Its argument is a number or
/// a pointer, and is passed like a pointer either way.
#[no_mangle]
pub unsafe extern "C" fn fcntl(fd: c_int, command: c_int, argument: *mut c_void) -> c_int {
    static REAL: Real = Real::new(c"fcntl");
    if matches!(command, libc::F_DUPFD | libc::F_DUPFD_CLOEXEC) {
        if let Some(Fault::Errno(errno)) = strike(Call::Dup, Target::Descriptor(fd)) {
            return fail(errno);
        }
    }
    // SAFETY: the address is that of the function with this signature.
    let real = unsafe { std::mem::transmute::<*mut c_void, Fcntl>(REAL.address()) };
    // SAFETY: the arguments are passed on as they came.
    unsafe { real(fd, command, argument) }
}

/// The name by which newer headers call it.
#[no_mangle]
pub unsafe extern "C" fn fcntl64(fd: c_int, command: c_int, argument: *mut c_void) -> c_int {
    // SAFETY: the arguments are passed on as they came.
    unsafe { fcntl(fd, command, argument) }
}
