//! The names of errors in plans.

/// The number of an error by its name in the manual pages.
pub(crate) fn errno_of(name: &str) -> Option<i32> {
    Some(match name {
        "EACCES" => libc::EACCES,
        "EADDRINUSE" => libc::EADDRINUSE,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "EAGAIN" => libc::EAGAIN,
        "ECONNABORTED" => libc::ECONNABORTED,
        "ECONNREFUSED" => libc::ECONNREFUSED,
        "ECONNRESET" => libc::ECONNRESET,
        "EDQUOT" => libc::EDQUOT,
        "EHOSTDOWN" => libc::EHOSTDOWN,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "EINTR" => libc::EINTR,
        "EINVAL" => libc::EINVAL,
        "EIO" => libc::EIO,
        "EMFILE" => libc::EMFILE,
        "ENETDOWN" => libc::ENETDOWN,
        "ENETUNREACH" => libc::ENETUNREACH,
        "ENFILE" => libc::ENFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "ENOMEM" => libc::ENOMEM,
        "ENONET" => libc::ENONET,
        "ENOPROTOOPT" => libc::ENOPROTOOPT,
        "ENOSPC" => libc::ENOSPC,
        "ENOTCONN" => libc::ENOTCONN,
        "EOPNOTSUPP" => libc::EOPNOTSUPP,
        "EPERM" => libc::EPERM,
        "EPIPE" => libc::EPIPE,
        "EPROTO" => libc::EPROTO,
        "EROFS" => libc::EROFS,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        _ => return None,
    })
}
