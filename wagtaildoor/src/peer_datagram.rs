//! Datagrams between keepers: version, frame and keyed hash; and which of them are too old.

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

/// Largest datagram, in bytes: below any usual path's limit, so that none is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Bytes of the keyed hash at a datagram's end.
pub const MAC_BYTES: usize = 16;
/// Shortest secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 32;
/// Age at which a datagram counts as replayed, in milliseconds.
pub const REPLAY_WINDOW_MS: u64 = 30_000;

/// What the key is derived for.
const KEY_CONTEXT: &str = "wagtaildoor datagrams between keepers, version 1";

/// Result of sealing or opening a datagram.
pub type Result<T> = std::result::Result<T, DatagramError>;

/// Why a datagram is not sent or not taken.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, derive_more::Display, derive_more::Error)]
pub enum DatagramError {
    /// The shared secret is too short.
    #[display("the secret is shorter than {MIN_SECRET_BYTES} bytes")]
    ShortSecret,
    /// It is larger than the limit.
    #[display("datagram is larger than {MAX_DATAGRAM_BYTES} bytes")]
    Oversize,
    /// It is too short to hold version and hash.
    #[display("datagram is cut short")]
    Truncated,
    /// It has a version that this release does not know.
    #[display("datagram version {_0} is unknown")]
    Version(#[error(not(source))] u8),
    /// Its hash is not that of a holder of the secret.
    #[display("datagram is forged or damaged")]
    Forged,
    /// It holds no frame.
    #[display("datagram holds no frame")]
    Malformed,
}

/// Seals and opens datagrams with the secret that all keepers share.
#[derive(Clone)]
pub struct DatagramCodec {
    /// Key of the hash.
    key: [u8; blake3::KEY_LEN],
}

impl DatagramCodec {
    /// A seal with a key derived from the secret.
    pub fn new(secret: &[u8]) -> Result<Self> {
        if secret.len() < MIN_SECRET_BYTES {
            return Err(DatagramError::ShortSecret);
        }
        Ok(Self {
            key: blake3::derive_key(KEY_CONTEXT, secret),
        })
    }

    /// Writes a frame into a datagram.
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

    /// Reads the frame of a datagram that a holder of the secret sent.
    pub fn decode(&self, datagram: &[u8]) -> Result<PeerFrame> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Oversize);
        }
        let length = datagram.len().checked_sub(MAC_BYTES);
        let (frame, mac) = datagram.split_at(length.ok_or(DatagramError::Truncated)?);
        let version = *frame.first().ok_or(DatagramError::Truncated)?;
        // Before the hash: another version may make it in another way.
        if version != FRAME_VERSION {
            return Err(DatagramError::Version(version));
        }
        let expected = blake3::keyed_hash(&self.key, frame);
        let mut received = *expected.as_bytes();
        received[..MAC_BYTES].copy_from_slice(mac);
        // Hashes are compared in constant time.
        if blake3::Hash::from_bytes(received) != expected {
            return Err(DatagramError::Forged);
        }
        frame::decode(frame).map_err(|error| match error {
            FrameError::Version(version) => DatagramError::Version(version),
            _ => DatagramError::Malformed,
        })
    }
}

/// Whether what a datagram says may be taken in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StampFreshness {
    /// It is newer than all before it from its sender.
    Fresh,
    /// It is old or was seen: only its sender's need to learn the time is met.
    Stale,
}

/// The newest stamp of each sender, against replays.
#[derive(Default)]
pub struct ReplayFilter {
    /// Newest stamp taken from each host.
    newest: HashMap<HostId, ClockStamp>,
}

impl ReplayFilter {
    /// Judges the stamp of a datagram by the own clock, and remembers a fresh one.
    pub fn check(&mut self, from: &HostId, stamp: &ClockStamp, now: &ClockStamp) -> StampFreshness {
        let skew_limit_ms = MAX_CLOCK_SKEW.as_millis() as u64;
        let too_old = stamp.wall_ms.saturating_add(REPLAY_WINDOW_MS) < now.wall_ms;
        let too_new = stamp.wall_ms > now.wall_ms.saturating_add(skew_limit_ms);
        let seen = self.newest.get(from);
        let is_replayed = seen.is_some_and(|seen| stamp_order(stamp) <= stamp_order(seen));
        if too_old || too_new || is_replayed {
            return StampFreshness::Stale;
        }
        self.newest.insert(from.clone(), stamp.clone());
        StampFreshness::Fresh
    }

    /// Forgets a host that is gone.
    pub fn remove(&mut self, host: &str) {
        self.newest.remove(host);
    }
}

/// Stamps in their order.
fn stamp_order(stamp: &ClockStamp) -> (u64, u32) {
    (stamp.wall_ms, stamp.counter)
}
