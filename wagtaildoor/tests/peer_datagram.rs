//! Datagrams: authentication, size, damage, versions; replayed, outdated and far-ahead stamps.

use wagtaildoor::{
    peer_datagram::{
        DatagramCodec,
        DatagramError,
        ReplayFilter,
        StampFreshness,
        MAX_DATAGRAM_BYTES,
        REPLAY_WINDOW_MS, //
    },
    schema::{
        ClockStamp,
        DomainReach,
        PeerFrame,
        PeerProbe, //
    },
};

fn codec(byte: u8) -> DatagramCodec {
    DatagramCodec::new(&[byte; 32]).expect("a secret of the minimum length")
}

fn ping(domains: usize) -> PeerFrame {
    let reach = DomainReach {
        age_ms: 1,
        domain: "savannah".into(),
    };
    PeerFrame::Ping(PeerProbe {
        from: "h1".into(),
        number: 1,
        reach: vec![reach; domains],
        rumours: vec![],
        stamp: stamp(1, 0),
        target: "h2".into(),
    })
}

fn stamp(wall_ms: u64, counter: u32) -> ClockStamp {
    ClockStamp { counter, wall_ms }
}

#[test]
fn a_frame_survives_encoding_and_decoding() {
    let datagram = codec(1).encode(&ping(2)).expect("a datagram");
    assert_eq!(codec(1).decode(&datagram), Ok(ping(2)));
}

#[test]
fn every_damaged_or_truncated_datagram_is_rejected() {
    let datagram = codec(1).encode(&ping(1)).expect("a datagram");
    for offset in 0..datagram.len() {
        let mut damaged = datagram.to_vec();
        damaged[offset] ^= 0x20;
        let decoded = codec(1).decode(&damaged);
        assert!(decoded.is_err(), "byte {offset}: {decoded:?}");
        let truncated = codec(1).decode(&datagram[..offset]);
        assert!(truncated.is_err(), "truncated at {offset}: {truncated:?}");
    }
}

#[test]
fn each_fault_has_its_own_error() {
    let datagram = codec(1).encode(&ping(1)).expect("a datagram");
    let mut newer = datagram.to_vec();
    newer[0] = 9;
    let large = vec![1; MAX_DATAGRAM_BYTES + 1];
    let cases = [
        (
            "other secret",
            codec(2).decode(&datagram),
            DatagramError::Forged,
        ),
        (
            "version",
            codec(1).decode(&newer),
            DatagramError::Version(9),
        ),
        ("empty", codec(1).decode(&[]), DatagramError::Truncated),
        ("large", codec(1).decode(&large), DatagramError::Oversize),
    ];
    for (name, result, error) in cases {
        assert_eq!(result, Err(error), "{name}");
    }
    assert_eq!(codec(1).encode(&ping(200)), Err(DatagramError::Oversize));
    let short_secret_error = DatagramCodec::new(&[1; 31]).err();
    assert_eq!(short_secret_error, Some(DatagramError::ShortSecret));
}

#[test]
fn stamps_are_accepted_once_and_in_order() {
    const NOW_MS: u64 = 1_000_000;
    const DAY_MS: u64 = 86_400_000;
    let cases = [
        ("first", stamp(NOW_MS, 0), StampFreshness::Fresh),
        ("replayed", stamp(NOW_MS, 0), StampFreshness::Stale),
        ("earlier", stamp(NOW_MS - 1, 9), StampFreshness::Stale),
        ("next", stamp(NOW_MS, 1), StampFreshness::Fresh),
        (
            "clock ahead",
            stamp(NOW_MS + 60_000, 0),
            StampFreshness::Fresh,
        ),
        (
            "clock broken",
            stamp(NOW_MS + 2 * DAY_MS, 0),
            StampFreshness::Stale,
        ),
        (
            "after a rejected one",
            stamp(NOW_MS + 60_001, 0),
            StampFreshness::Fresh,
        ),
    ];
    let mut filter = ReplayFilter::default();
    let now = stamp(NOW_MS, 0);
    for (name, seen, verdict) in cases {
        assert_eq!(filter.check(&"h1".into(), &seen, &now), verdict, "{name}");
    }
    let old = stamp(NOW_MS - REPLAY_WINDOW_MS - 1, 0);
    let verdict = filter.check(&"h2".into(), &old, &now);
    assert_eq!(verdict, StampFreshness::Stale);
}
