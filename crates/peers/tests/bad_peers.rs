//! Invalid datagrams: a member drops them, counts them, and stores nothing for their senders.

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
    fn any_bytes_are_dropped_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..1_300)) {
        let mut node = node(Some(b"key"));
        node.handle(NOW, address(1), &bytes);
        prop_assert_eq!(node.dropped().total(), 1);
        prop_assert_eq!(node.live_members().count(), 0);
    }

    #[test]
    fn any_body_with_a_right_mac_is_taken_or_dropped_without_a_panic(
        body in prop::collection::vec(any::<u8>(), 0..300), kind in 0u8..8,
    ) {
        let mut node = node(Some(b"key"));
        let mut peer = codec("here", Some(b"key"), 1);
        let bytes = peer.encode(NOW, &[&[kind], &body[..]].concat()).expect("it fits");
        node.handle(NOW, address(1), &bytes);
        node.tick(NOW + 1_000_000);
        prop_assert!(node.dropped().total() <= 1);
    }

    #[test]
    fn a_changed_byte_is_never_accepted(
        body in prop::collection::vec(any::<u8>(), 0..300), at in any::<prop::sample::Index>(), by in 1u8..,
        cut in any::<prop::sample::Index>(),
    ) {
        let mut peer = codec("here", Some(b"key"), 1);
        let mut mine = codec("here", Some(b"key"), 0);
        let right = peer.encode(NOW, &body).expect("it fits");
        let mut changed = right.clone();
        changed[at.index(right.len())] ^= by;
        prop_assert!(mine.decode(NOW, &changed).is_err());
        prop_assert!(mine.decode(NOW, &right[..cut.index(right.len())]).is_err());
        let (from, got) = mine.decode(NOW, &right).expect("unchanged");
        prop_assert_eq!((from, got), (owner(1), &body[..]));
        prop_assert_eq!(mine.decode(NOW, &right), Err(DatagramError::Replayed));
    }
}

/// A datagram of a member to this node.
fn datagram(installation: &str, key: Option<&[u8]>, n: u32, at: u64, body: &[u8]) -> Vec<u8> {
    codec(installation, key, n)
        .encode(at, body)
        .expect("it fits")
}

/// A datagram for each reason to drop one.
fn invalid_datagrams(good: &[u8], body: &[u8]) -> Vec<(Vec<u8>, DatagramError)> {
    let key = Some(&b"key"[..]);
    let mut version = good.to_vec();
    version[1] += 1;
    let late = datagram("here", key, 2, NOW - 61_000_000, body);
    let future = Owner::new("n3", NOW / 1_000 + 61_000);
    let from_the_future = DatagramCodec::new("here", key, future, 0, 1)
        .encode(NOW, body)
        .expect("it fits");
    let other_installation = datagram("there", key, 1, NOW, body);
    let other_key = datagram("here", Some(b"other"), 1, NOW, body);
    let no_key = datagram("here", None, 1, NOW, body);
    let malformed = datagram("here", key, 4, NOW, &[99]);
    vec![
        (version, DatagramError::Version),
        (good[..10].to_vec(), DatagramError::Length),
        (good[..good.len() - 1].to_vec(), DatagramError::Mac),
        (other_installation, DatagramError::Installation),
        (other_key, DatagramError::Mac),
        (no_key, DatagramError::Mac),
        (malformed, DatagramError::Malformed),
        (late, DatagramError::Replayed),
        (from_the_future, DatagramError::Implausible),
    ]
}

#[test]
fn each_kind_of_invalid_datagram_has_its_count() {
    let body = postcard(&Body::ListVersion(Default::default()));
    let mut node = node(Some(b"key"));
    let good = datagram("here", Some(b"key"), 1, NOW, &body);
    for (bytes, cause) in invalid_datagrams(&good, &body) {
        let before = node.dropped().of(cause);
        node.handle(NOW, address(1), &bytes);
        let dropped = node.dropped();
        assert_eq!(dropped.of(cause), before + 1, "{cause:?}: {dropped:?}");
    }
    node.handle(NOW, address(1), &good);
    assert_eq!(node.dropped().total(), 9, "the good one is accepted");
    node.handle(NOW, address(1), &good);
    assert_eq!(node.dropped().of(DatagramError::Replayed), 2);
}

fn postcard(body: &Body) -> Vec<u8> {
    postcard::to_allocvec(body).expect("a body")
}

#[test]
fn ten_thousand_forged_members_are_rejected_and_counted() {
    // Without a key whoever knows the installation's name can forge: the bound holds all the same.
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
            .encode(NOW, &postcard(&Body::Members(vec![member])))
            .expect("it fits");
        node.handle(NOW, address(n), &bytes);
    }
    assert!(
        node.live_members().count() <= 64,
        "{}",
        node.live_members().count()
    );
    assert_eq!(node.dropped().of(DatagramError::Implausible), 10_000 - 64);
    // Nor does it answer more than its budget allows.
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
