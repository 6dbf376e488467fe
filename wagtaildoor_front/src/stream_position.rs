//! Positions in the streams of the platform's store, which may come back from a copy of itself.

use wagtaildoor::ids::LogOffset;

/// Number of times that the store was restored. Each era gives out the offsets after its copy again.
pub type StoreEra = u64;

/// Number of bits for the offset in the frames between hosts; the era takes the others.
const OFFSET_BITS: u32 = 40;
const MAX_OFFSET: LogOffset = (1 << OFFSET_BITS) - 1;
const MAX_ERA: StoreEra = u64::MAX >> OFFSET_BITS;

/// Position in a stream, ordered by era first. The default is the start of a stream that was never read.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamPosition {
    /// Era of the store to which the offset belongs.
    pub era: StoreEra,
    /// Offset in the stream.
    pub offset: LogOffset,
}

impl StreamPosition {
    /// Creates a position.
    pub fn new(era: StoreEra, offset: LogOffset) -> Self {
        Self { era, offset }
    }

    /// Whether something was read up to this position.
    pub fn is_read(self) -> bool {
        self > Self::default()
    }

    /// Converts the position to one number of the same order, as frames carry it. Positions beyond
    /// 2^24 eras or 2^40 records are clamped.
    pub fn to_frame(self) -> u64 {
        self.era.min(MAX_ERA) << OFFSET_BITS | self.offset.min(MAX_OFFSET)
    }

    /// Converts the number that a frame carries.
    pub fn from_frame(number: u64) -> Self {
        Self {
            era: number >> OFFSET_BITS,
            offset: number & MAX_OFFSET,
        }
    }
}
