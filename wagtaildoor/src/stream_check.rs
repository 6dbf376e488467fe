//! Checks that the chunks of a stream belong to the attempt, are in order and complete.

use crate::{
    ids::{
        AttemptId,
        RequestId, //
    },
    schema::{
        EngineChunk,
        EngineDone, //
    },
};

/// Result of checking a chunk.
pub type Result<T> = std::result::Result<T, StreamError>;

/// What a chunk of a stream turned out to be.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckedChunk {
    /// The next text of the answer.
    Chunk(Box<str>),
    /// The answer is complete.
    Done(EngineDone),
    /// The chunk belongs to another request or attempt; it is dropped.
    Crossed,
    /// The chunk was had before, or came after the end; it is dropped.
    Duplicate,
}

/// Why a stream cannot go on; what was accepted before stays good.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum StreamError {
    /// A chunk is missing.
    #[display("chunk {expected} is missing, chunk {found} came")]
    Gap {
        /// Sequence number that was due.
        expected: u64,
        /// Sequence number that came.
        found: u64,
    },
    /// The stream ended before its last event.
    #[display("stream ended after {received} chunks without its last event")]
    Truncated {
        /// Chunks received in order.
        received: u64,
    },
    /// The last event counts other chunks than came.
    #[display("engine counts {stated} chunks, {received} came")]
    Miscounted {
        /// Chunks that the engine says it sent.
        stated: u64,
        /// Chunks received in order.
        received: u64,
    },
}

/// Follows one stream of one attempt.
#[derive(Debug)]
pub struct StreamCheck {
    /// Request that the chunks must name.
    request: RequestId,
    /// Attempt that the chunks must name.
    attempt: AttemptId,
    /// Chunks received in order, those before a resume too.
    received: u64,
    /// Chunks of other requests or attempts that were dropped.
    crossed: u64,
    /// The last event came and was right.
    complete: bool,
}

impl StreamCheck {
    /// A check for an attempt that goes on after `start` chunks.
    pub fn new(request: impl Into<RequestId>, attempt: impl Into<AttemptId>, start: u64) -> Self {
        Self {
            request: request.into(),
            attempt: attempt.into(),
            received: start,
            crossed: 0,
            complete: false,
        }
    }

    /// Checks the next chunk that came.
    pub fn accept(&mut self, chunk: EngineChunk) -> Result<CheckedChunk> {
        if chunk.request_id != self.request || chunk.attempt_id != self.attempt {
            self.crossed += 1;
            return Ok(CheckedChunk::Crossed);
        }
        if self.complete {
            return Ok(CheckedChunk::Duplicate);
        }
        match chunk.done {
            Some(done) => self.accept_done(chunk.sequence, done),
            None => self.accept_text(chunk.sequence, chunk.text),
        }
    }

    /// Checks that the stream may end here; to be asked when the connection closes.
    pub fn finish(&self) -> Result<()> {
        if self.complete {
            return Ok(());
        }
        Err(StreamError::Truncated {
            received: self.received,
        })
    }

    /// Chunks received in order, which a resumed attempt need not send again.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Chunks of other requests or attempts that were dropped.
    pub fn crossed(&self) -> u64 {
        self.crossed
    }

    /// Whether the last event came and was right.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Takes a chunk of text when it is the next.
    fn accept_text(&mut self, sequence: u64, text: Box<str>) -> Result<CheckedChunk> {
        if sequence < self.received {
            return Ok(CheckedChunk::Duplicate);
        }
        self.check_gap(sequence)?;
        self.received += 1;
        Ok(CheckedChunk::Chunk(text))
    }

    /// Takes the last event when nothing is missing before it.
    fn accept_done(&mut self, sequence: u64, done: EngineDone) -> Result<CheckedChunk> {
        self.check_gap(sequence)?;
        if sequence < self.received || done.chunks != self.received {
            return Err(StreamError::Miscounted {
                stated: done.chunks.min(sequence),
                received: self.received,
            });
        }
        self.complete = true;
        Ok(CheckedChunk::Done(done))
    }

    /// Refuses a chunk that comes before the one that is due.
    fn check_gap(&self, found: u64) -> Result<()> {
        if found > self.received {
            return Err(StreamError::Gap {
                expected: self.received,
                found,
            });
        }
        Ok(())
    }
}
