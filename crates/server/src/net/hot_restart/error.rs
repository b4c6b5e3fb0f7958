//! Errors of a hot restart, on either side.

use std::io;

use super::message::MAX_BODY_LENGTH;

/// Why the listening socket or the state could not be passed from one process to the next.
#[derive(Debug, thiserror::Error)]
pub(in super::super) enum HotRestartError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The message could not be deserialized or serialized.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The first line from the predecessor is no length: it declined, or uses another protocol.
    #[error("the predecessor declined or uses another protocol version")]
    VersionMismatch,
    /// The announced length is over the limit.
    #[error("the predecessor announced a message of more than {MAX_BODY_LENGTH} bytes")]
    MessageTooLong,
    /// The first line from the predecessor is too long for a length.
    #[error("the predecessor sent no message length")]
    NoMessage,
    /// The whole message did not arrive in time.
    #[error("the predecessor did not send the whole message in time")]
    MessageTimeout,
    /// The predecessor closed the connection before the end of its message.
    #[error("the predecessor closed the connection before the end of its message")]
    PredecessorEnded,
    /// The message carried no descriptor.
    #[error("the predecessor sent no socket")]
    NoSocket,
    /// The descriptor is no listening socket at the configured address.
    #[error("the predecessor's socket does not listen on the configured address")]
    WrongSocket,
    /// A process connected and sent no greeting in time.
    #[error("a connecting process sent no greeting in time")]
    GreetingTimeout,
    /// A process sent an unexpected greeting, or connected while another one was the successor or this process no
    /// longer accepted.
    #[error("a connecting process was declined")]
    Declined,
    /// The successor did not read the message in time.
    #[error("the successor did not read the message with the socket in time")]
    SendTimeout,
}
