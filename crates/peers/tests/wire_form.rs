//! Compatibility of the wire format and the snapshot file: bytes written by an earlier build are
//! decoded, and the current build writes the same bytes.

use std::fmt::Write as _;
use std::net::SocketAddr;

use oakshed_peers::datagram::DatagramCodec;
use oakshed_peers::endpoint_list::{ListChunk, ListVersion, Worker, WorkerState};
use oakshed_peers::membership::{Identity, KnownMember};
use oakshed_peers::message::{Body, Delta, Digest, OwnerRef, PackedRow};
use oakshed_peers::rows::{Key, Limits, Owner, Row, Rows};
use oakshed_peers::snapshot::Snapshot;

const NOW: u64 = 1_700_000_000_000_000;
const SKEW: u64 = 60_000_000;
/// One line per kind of datagram, and one for the snapshot: the name, and the bytes in hexadecimal.
const FIXTURE: &str = include_str!("fixtures/wire-v1.txt");

fn owner(n: u64) -> Owner {
    Owner::new(&format!("n{n}"), NOW / 1_000 + n)
}

fn member(n: u64) -> KnownMember {
    let address: SocketAddr = "127.0.0.1:7000".parse().expect("the address is valid");
    let identity = Identity {
        owner: owner(n),
        generation: 2,
        address,
    };
    KnownMember {
        identity,
        swim_incarnation: 3,
    }
}

fn list_version() -> ListVersion {
    ListVersion {
        discovery: 0xabc_def,
        number: 41,
    }
}

fn delta(owner: OwnerRef) -> Delta {
    let row = PackedRow {
        version: 2,
        table: 1,
        windows_back: 3,
        subject: b"w7".to_vec(),
        counts: vec![7, 0, 300],
    };
    Delta {
        owner,
        since: 5,
        covered: 9,
        windows_back: 1,
        rows: vec![row],
    }
}

/// A body of each variant.
fn bodies() -> Vec<(&'static str, Body)> {
    let digest = |complete| Digest {
        complete,
        first: 10,
        last: 0xff_ffff,
        list_version: list_version(),
        states: vec![(0, 0), (300, 17)],
    };
    let worker = |id: &str, state| Worker {
        id: id.into(),
        state,
        start: NOW / 1_000,
    };
    let chunk = ListChunk {
        discovery: "http://127.0.0.1:8000".into(),
        base: 40,
        number: 41,
        age: 1_500,
        index: 1,
        count: 3,
        workers: vec![
            worker("w1", WorkerState::Ready),
            worker("w2", WorkerState::Draining),
            worker("w3", WorkerState::Removed),
        ],
    };
    vec![
        ("membership", Body::Membership(vec![1, 2, 3])),
        ("members", Body::Members(vec![member(1), member(2)])),
        ("dead", Body::DeadMembers(vec![member(3)])),
        ("digest", Body::Digest(digest(true))),
        ("wanted", Body::Digest(digest(false))),
        (
            "rows",
            Body::Rows(
                99,
                vec![delta(OwnerRef::Hash(77)), delta(OwnerRef::Full(owner(4)))],
            ),
        ),
        ("number", Body::ListVersion(list_version())),
        ("list", Body::ListChunk(chunk)),
    ]
}

fn rows() -> Rows {
    let mut rows = Rows::new(owner(0), Limits::default(), NOW);
    let window = rows.window(NOW);
    rows.raise(window, 1, b"w7", &[(0, 2), (3, 1)])
        .expect("the row is within the limits");
    let row = Row {
        version: 6,
        key: Key {
            table: 2,
            window,
            subject: (*b"k").into(),
        },
        counts: vec![1],
    };
    rows.merge(&owner(5), row).expect("the row is accepted");
    rows
}

fn snapshot() -> Snapshot {
    let members = vec!["127.0.0.1:7000".parse().expect("the address is valid")];
    Snapshot::of(&rows(), NOW, "here", members)
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
    }
    text
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex
        .chars()
        .map(|digit| digit.to_digit(16).expect("the digit is hexadecimal") as u8)
        .collect();
    digits
        .chunks(2)
        .map(|pair| pair[0] << 4 | pair[1])
        .collect()
}

#[test]
fn the_encoding_matches_an_earlier_build() {
    let mut sender = DatagramCodec::new("here", Some(b"key"), owner(0), SKEW, 64);
    let mut encoded = String::new();
    for (name, body) in bodies() {
        let body = postcard::to_allocvec(&body).expect("the body can be encoded");
        let datagram = sender.encode(NOW, &body).expect("the body fits");
        writeln!(encoded, "{name} {}", hex(&datagram)).expect("writing to a string succeeds");
    }
    writeln!(encoded, "snapshot {}", hex(&snapshot().encode()))
        .expect("writing to a string succeeds");
    assert_eq!(encoded, FIXTURE);
}

#[test]
fn the_encoding_of_an_earlier_build_is_decoded() {
    let mut receiver = DatagramCodec::new("here", Some(b"key"), owner(9), SKEW, 64);
    let lines: Vec<(&str, Vec<u8>)> = FIXTURE
        .lines()
        .filter_map(|line| line.split_once(' '))
        .map(|(name, hex)| (name, bytes(hex)))
        .collect();
    let (snapshot_line, datagrams) = lines.split_last().expect("the fixture has a snapshot line");
    assert_eq!(datagrams.len(), bodies().len());
    for ((name, datagram), (_, expected)) in datagrams.iter().zip(bodies()) {
        let (from, body) = receiver.decode(NOW, datagram).expect(name);
        assert_eq!(from, owner(0), "{name}");
        assert_eq!(postcard::from_bytes(body), Ok(expected), "{name}");
    }
    let read = Snapshot::decode(&snapshot_line.1, "here", NOW, SKEW);
    assert_eq!(read, Ok(snapshot()));
}
