//! Hot restarts in which the other process has an earlier version, which is replayed from recordings.

use std::io::{IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::process::Command;

use oakshed_standin::{call, until, Place, Program, PATIENCE};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde_json::Value;

use super::{fixture, fixture_bytes, fixture_text};

/// The file name of the Unix socket on which a process waits for its successor.
const SOCKET_NAME: &str = "handover";

/// Starts a process of this version with the recorded configuration.
fn start(place: &Place) -> Program {
    let path = place.folder.join("config.json");
    std::fs::copy(fixture("hot-restart/config.json"), &path).expect("copied");
    let mut command = Command::new(Program::binary());
    command
        .arg("serve")
        .env("TMPDIR", &place.folder)
        .env("ROUTER_LISTEN", place.listen.to_string())
        .env("ROUTER_CONFIG", &path)
        .env_remove("ROUTER_ADMIN")
        .env_remove("ROUTER_DISCOVERY");
    Program::run(&mut command, path)
}

/// A predecessor of the recorded version: sends the recorded message, and requires the successor to send the recorded
/// bytes.
struct RecordedPredecessor {
    socket: UnixListener,
    listener: TcpListener,
}

impl RecordedPredecessor {
    fn new(place: &Place) -> RecordedPredecessor {
        std::fs::create_dir_all(place.shared()).expect("created");
        RecordedPredecessor {
            socket: UnixListener::bind(place.shared().join(SOCKET_NAME)).expect("bound"),
            listener: TcpListener::bind(place.listen).expect("bound"),
        }
    }

    /// Hands over to one successor and waits until that reports that it is ready. The successor takes the end of the
    /// returned connection for the exit of its predecessor.
    fn hand_over(self) -> UnixStream {
        let (mut connection, _) = self.socket.accept().expect("a successor");
        connection
            .set_read_timeout(Some(PATIENCE))
            .expect("a read timeout");
        expect_bytes(
            &mut connection,
            &fixture_bytes("hot-restart/successor-hello"),
        );
        let message = fixture_bytes("hot-restart/predecessor-message");
        let mut control_space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut control_space);
        let descriptors = [self.listener.as_fd()];
        assert!(control.push(SendAncillaryMessage::ScmRights(&descriptors)));
        let parts = [IoSlice::new(&message)];
        let sent = sendmsg(&connection, &parts, &mut control, SendFlags::NOSIGNAL);
        assert_eq!(sent, Ok(message.len()));
        expect_bytes(
            &mut connection,
            &fixture_bytes("hot-restart/successor-ready"),
        );
        connection
    }
}

fn expect_bytes(connection: &mut UnixStream, expected: &[u8]) {
    let mut bytes = vec![0; expected.len()];
    connection
        .read_exact(&mut bytes)
        .expect("the expected number of bytes");
    assert_eq!(bytes, expected);
}

/// Parses a message, which is a line with the length of the body and the body. Sorts its endpoint list, which has no
/// defined order.
fn parse_message(message: &[u8]) -> Value {
    let line_end = message.iter().position(|byte| *byte == b'\n');
    let (line, body) = message.split_at(line_end.expect("a line") + 1);
    let length: usize = String::from_utf8_lossy(line)
        .trim_end()
        .parse()
        .expect("a length");
    assert_eq!(body.len(), length);
    let mut body: Value = serde_json::from_slice(body).expect("JSON");
    let instances = body["list"]["instances"].as_array_mut();
    instances
        .expect("a list")
        .sort_by_key(|instance| instance["instanceId"].to_string());
    body
}

/// Acts as a successor of the recorded version: sends the recorded bytes, and receives the listening socket and the
/// message.
fn take_over(place: &Place) -> (UnixStream, Option<OwnedFd>, Value) {
    let mut connection =
        UnixStream::connect(place.shared().join(SOCKET_NAME)).expect("a predecessor");
    connection
        .set_read_timeout(Some(PATIENCE))
        .expect("a read timeout");
    connection
        .write_all(&fixture_bytes("hot-restart/successor-hello"))
        .expect("written");
    let mut control_space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut control_space);
    // The size of a read of the recorded version.
    let mut buffer = vec![0; 16 << 10];
    let parts = &mut [IoSliceMut::new(&mut buffer)];
    let received =
        recvmsg(&connection, parts, &mut control, RecvFlags::CMSG_CLOEXEC).expect("a message");
    let descriptor = control.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    (
        connection,
        descriptor,
        parse_message(&buffer[..received.bytes]),
    )
}

/// This version takes over from the recorded one, and then the recorded one from this version.
#[test]
fn hot_restart_from_and_to_a_recorded_version_succeeds() {
    let place = Place::new();
    let predecessor = RecordedPredecessor::new(&place);
    let handover = std::thread::spawn(move || predecessor.hand_over());
    let program = start(&place);
    let connection = handover.join().expect("a completed handover");
    let log = program.log();
    assert!(
        log.contains("took over the socket of the predecessor"),
        "{log}"
    );
    assert!(!log.contains("another configuration"), "{log}");
    assert_eq!(program.address, place.listen);
    until("readyz", || {
        call(program.admin(), "readyz").starts_with("YES")
    });
    // One worker counts as unavailable until its backoff ends, of which 71 ms were left in the recorded message.
    until("the recorded telemetry", || {
        call(program.admin(), "telemetry") == fixture_text("hot-restart/telemetry.txt")
    });
    drop(connection);
    until("the predecessor's exit in the log", || {
        program.log().contains("the predecessor has exited")
    });

    let (mut connection, descriptor, message) = take_over(&place);
    let listener = TcpListener::from(descriptor.expect("a socket"));
    assert_eq!(listener.local_addr().ok(), Some(place.listen));
    // Nothing was served in between, so the learned state is that of the recorded predecessor, except for the backoff,
    // which has ended.
    let recorded = parse_message(&fixture_bytes("hot-restart/predecessor-message"));
    for part in [
        "/under",
        "/list",
        "/learned/cap",
        "/learned/mean_run",
        "/learned/classes",
    ] {
        assert_eq!(message.pointer(part), recorded.pointer(part), "{part}");
    }
    assert!(message["learned"]["avoided"].is_array(), "{message}");
    connection
        .write_all(&fixture_bytes("hot-restart/successor-ready"))
        .expect("written");
    until("the successor's readiness in the log", || {
        program.log().contains("the successor is ready")
    });
}
