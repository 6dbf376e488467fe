//! Encoding, authentication and replay protection of datagrams between keepers.

use std::collections::HashMap;

use bytes::Bytes;

use crate::{
    clock::MAX_CLOCK_SKEW,
    frame::{
        self,
        FrameError,
        FRAME_VERSION, //
    },
    ids::HostId,
    schema::{
        ClockStamp,
        PeerFrame, //
    },
};

/// Maximum datagram size, small enough to avoid fragmentation on usual network paths.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Length of the truncated keyed hash at the end of a datagram.
pub const MAC_BYTES: usize = 16;
/// Minimum length of the shared secret.
pub const MIN_SECRET_BYTES: usize = 32;
/// Datagrams whose stamp is older than this are rejected as replayed.
pub const REPLAY_WINDOW_MS: u64 = 30_000;

/// Context string for deriving the key.
const KEY_CONTEXT: &str = "wagtaildoor datagrams between keepers, version 1";

/// Result of encoding or decoding a datagram.
pub type Result<T> = std::result::Result<T, DatagramError>;

/// Why a datagram can't be encoded or decoded.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, derive_more::Display, derive_more::Error)]
pub enum DatagramError {
    /// The shared secret is too short.
    #[display("the secret is shorter than {MIN_SECRET_BYTES} bytes")]
    ShortSecret,
    /// The datagram exceeds `MAX_DATAGRAM_BYTES`.
    #[display("datagram is larger than {MAX_DATAGRAM_BYTES} bytes")]
    Oversize,
    /// The datagram is too short to hold the version and the hash.
    #[display("datagram is truncated")]
    Truncated,
    /// The datagram has a version that this release doesn't support.
    #[display("datagram version {_0} is unknown")]
    Version(#[error(not(source))] u8),
    /// The hash doesn't match: the sender doesn't hold the secret, or the datagram is damaged.
    #[display("datagram is forged or damaged")]
    Forged,
    /// The frame can't be encoded or decoded.
    #[display("datagram contains no valid frame")]
    Malformed,
}

/// Encodes and authenticates datagrams with the secret shared by all keepers.
#[derive(Clone)]
pub struct DatagramCodec {
    /// Key derived from the secret.
    key: [u8; blake3::KEY_LEN],
}

impl DatagramCodec {
    /// Creates a codec with a key derived from the secret.
    ///
    /// Fails if the secret is shorter than `MIN_SECRET_BYTES`.
    pub fn new(secret: &[u8]) -> Result<Self> {
        if secret.len() < MIN_SECRET_BYTES {
            return Err(DatagramError::ShortSecret);
        }
        Ok(Self {
            key: blake3::derive_key(KEY_CONTEXT, secret),
        })
    }

    /// Encodes a frame and appends its keyed hash.
    pub fn encode(&self, message: &PeerFrame) -> Result<Bytes> {
        let frame = frame::encode(message).map_err(|_| DatagramError::Malformed)?;
        let mut datagram = Vec::from(frame);
        let hash = blake3::keyed_hash(&self.key, &datagram);
        datagram.extend_from_slice(&hash.as_bytes()[..MAC_BYTES]);
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Oversize);
        }
        Ok(Bytes::from(datagram))
    }

    /// Verifies the keyed hash of a datagram and decodes its frame.
    pub fn decode(&self, datagram: &[u8]) -> Result<PeerFrame> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Oversize);
        }
        let length = datagram.len().checked_sub(MAC_BYTES);
        let (frame, mac) = datagram.split_at(length.ok_or(DatagramError::Truncated)?);
        let version = *frame.first().ok_or(DatagramError::Truncated)?;
        // Check the version before the hash, since another version may compute the hash
        // differently.
        if version != FRAME_VERSION {
            return Err(DatagramError::Version(version));
        }
        let expected = blake3::keyed_hash(&self.key, frame);
        let mut received = *expected.as_bytes();
        received[..MAC_BYTES].copy_from_slice(mac);
        // The comparison of hashes takes constant time.
        if blake3::Hash::from_bytes(received) != expected {
            return Err(DatagramError::Forged);
        }
        frame::decode(frame).map_err(|error| match error {
            FrameError::Version(version) => DatagramError::Version(version),
            _ => DatagramError::Malformed,
        })
    }
}

/// Whether the payload of a datagram may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StampFreshness {
    /// The stamp is newer than all earlier ones from the same sender.
    Fresh,
    /// The stamp is too old, too far ahead or already seen. The payload must be ignored; a ping may
    /// still be acknowledged, so that its sender learns the current time.
    Stale,
}

/// Rejects replayed datagrams by the newest stamp of each sender.
#[derive(Default)]
pub struct ReplayFilter {
    /// Newest fresh stamp of each host.
    newest: HashMap<HostId, ClockStamp>,
}

impl ReplayFilter {
    /// Checks the stamp of a datagram against the local clock and stores it if it is fresh.
    pub fn check(&mut self, from: &HostId, stamp: &ClockStamp, now: &ClockStamp) -> StampFreshness {
        let skew_limit_ms = MAX_CLOCK_SKEW.as_millis() as u64;
        let is_too_old = stamp.wall_ms.saturating_add(REPLAY_WINDOW_MS) < now.wall_ms;
        let is_too_far_ahead = stamp.wall_ms > now.wall_ms.saturating_add(skew_limit_ms);
        let newest = self.newest.get(from);
        let is_replayed = newest.is_some_and(|newest| stamp_order(stamp) <= stamp_order(newest));
        if is_too_old || is_too_far_ahead || is_replayed {
            return StampFreshness::Stale;
        }
        self.newest.insert(from.clone(), stamp.clone());
        StampFreshness::Fresh
    }

    /// Removes the stamp of a host.
    pub fn remove(&mut self, host: &str) {
        self.newest.remove(host);
    }
}

/// Returns a key that orders stamps.
fn stamp_order(stamp: &ClockStamp) -> (u64, u32) {
    (stamp.wall_ms, stamp.counter)
}
