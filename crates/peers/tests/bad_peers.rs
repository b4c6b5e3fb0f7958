//! Invalid datagrams are dropped and counted, and no state is kept for their senders.

use std::net::SocketAddr;

use oakshed_peers::datagram::{DatagramCodec, DatagramError};
use oakshed_peers::membership::{Identity, KnownMember};
use oakshed_peers::message::Body;
use oakshed_peers::node::{Config, Effect, Node};
use oakshed_peers::rows::Owner;
use proptest::prelude::*;

const NOW: u64 = 1_700_000_000_000_000;

fn address(n: u32) -> SocketAddr {
    SocketAddr::from(([127, 2, (n >> 8) as u8, n as u8], 7_000))
}

fn owner(n: u32) -> Owner {
    Owner::new(&format!("n{n}"), NOW / 1_000)
}

fn codec(installation: &str, key: Option<&[u8]>, n: u32) -> DatagramCodec {
    DatagramCodec::new(installation, key, owner(n), 60_000_000, 64)
}

fn node(key: Option<&[u8]>) -> Node {
    let config = Config {
        key: key.map(<[u8]>::to_vec),
        max_members: 64,
        ..Config::new(owner(0), address(0), "here", vec![])
    };
    Node::new(config, NOW, 7)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_are_dropped_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..1_300)) {
        let mut node = node(Some(b"key"));
        node.handle(NOW, address(1), &bytes);
        prop_assert_eq!(node.dropped().total(), 1);
        prop_assert_eq!(node.live_members().count(), 0);
    }

    #[test]
    fn arbitrary_bodies_with_a_valid_mac_never_panic(
        body in prop::collection::vec(any::<u8>(), 0..300), kind in 0u8..8,
    ) {
        let mut node = node(Some(b"key"));
        let mut peer = codec("here", Some(b"key"), 1);
        let bytes = peer.encode(NOW, &[&[kind], &body[..]].concat()).expect("the body fits");
        node.handle(NOW, address(1), &bytes);
        node.tick(NOW + 1_000_000);
        prop_assert!(node.dropped().total() <= 1);
    }

    #[test]
    fn modified_and_truncated_datagrams_are_rejected(
        body in prop::collection::vec(any::<u8>(), 0..300), at in any::<prop::sample::Index>(), by in 1u8..,
        cut in any::<prop::sample::Index>(),
    ) {
        let mut peer = codec("here", Some(b"key"), 1);
        let mut receiver = codec("here", Some(b"key"), 0);
        let valid = peer.encode(NOW, &body).expect("the body fits");
        let mut changed = valid.clone();
        changed[at.index(valid.len())] ^= by;
        prop_assert!(receiver.decode(NOW, &changed).is_err());
        prop_assert!(receiver.decode(NOW, &valid[..cut.index(valid.len())]).is_err());
        let (from, received) = receiver.decode(NOW, &valid).expect("the unmodified datagram is accepted");
        prop_assert_eq!((from, received), (owner(1), &body[..]));
        prop_assert_eq!(receiver.decode(NOW, &valid), Err(DatagramError::Replayed));
    }
}

/// An encoded datagram from a peer.
fn datagram(installation: &str, key: Option<&[u8]>, n: u32, at: u64, body: &[u8]) -> Vec<u8> {
    codec(installation, key, n)
        .encode(at, body)
        .expect("the body fits")
}

/// Invalid datagrams, and the reasons for which they are dropped.
fn invalid_datagrams(valid: &[u8], body: &[u8]) -> Vec<(Vec<u8>, DatagramError)> {
    let key = Some(&b"key"[..]);
    let mut version = valid.to_vec();
    version[1] += 1;
    let late = datagram("here", key, 2, NOW - 61_000_000, body);
    let future = Owner::new("n3", NOW / 1_000 + 61_000);
    let from_the_future = DatagramCodec::new("here", key, future, 0, 1)
        .encode(NOW, body)
        .expect("the body fits");
    let other_installation = datagram("there", key, 1, NOW, body);
    let other_key = datagram("here", Some(b"other"), 1, NOW, body);
    let no_key = datagram("here", None, 1, NOW, body);
    let malformed = datagram("here", key, 4, NOW, &[99]);
    vec![
        (version, DatagramError::Version),
        (valid[..10].to_vec(), DatagramError::Length),
        (valid[..valid.len() - 1].to_vec(), DatagramError::Mac),
        (other_installation, DatagramError::Installation),
        (other_key, DatagramError::Mac),
        (no_key, DatagramError::Mac),
        (malformed, DatagramError::Malformed),
        (late, DatagramError::Replayed),
        (from_the_future, DatagramError::Implausible),
    ]
}

#[test]
fn invalid_datagrams_are_counted_by_reason() {
    let body = encoded(&Body::ListVersion(Default::default()));
    let mut node = node(Some(b"key"));
    let valid = datagram("here", Some(b"key"), 1, NOW, &body);
    for (bytes, cause) in invalid_datagrams(&valid, &body) {
        let before = node.dropped().of(cause);
        node.handle(NOW, address(1), &bytes);
        let dropped = node.dropped();
        assert_eq!(dropped.of(cause), before + 1, "{cause:?}: {dropped:?}");
    }
    node.handle(NOW, address(1), &valid);
    assert_eq!(node.dropped().total(), 9, "the valid datagram is accepted");
    node.handle(NOW, address(1), &valid);
    assert_eq!(node.dropped().of(DatagramError::Replayed), 2);
}

fn encoded(body: &Body) -> Vec<u8> {
    postcard::to_allocvec(body).expect("the body can be encoded")
}

#[test]
fn ten_thousand_forged_members_are_rejected_and_counted() {
    // Without a key, anyone who knows the installation's name can forge members, but the limit
    // still holds.
    let mut node = node(None);
    for n in 1..=10_000_u32 {
        let identity = Identity {
            owner: owner(n),
            generation: 0,
            address: address(n),
        };
        let member = KnownMember {
            identity,
            swim_incarnation: 0,
        };
        let mut peer = codec("here", None, n);
        let bytes = peer
            .encode(NOW, &encoded(&Body::Members(vec![member])))
            .expect("the body fits");
        node.handle(NOW, address(n), &bytes);
    }
    assert!(
        node.live_members().count() <= 64,
        "{}",
        node.live_members().count()
    );
    assert_eq!(node.dropped().of(DatagramError::Implausible), 10_000 - 64);
    // The answers stay within the bandwidth budget.
    let sent: usize = std::iter::from_fn(|| node.poll_effect())
        .map(|effect| {
            if let Effect::Send { bytes, .. } = effect {
                bytes.len()
            } else {
                0
            }
        })
        .sum();
    assert!(sent <= 12_288 + 2_048, "{sent} bytes");
}
