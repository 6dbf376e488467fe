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

/// Result of checking a chunk or the end of a stream.
pub type Result<T> = std::result::Result<T, StreamError>;

/// Classification of a received chunk.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckedChunk {
    /// The next text of the response.
    Chunk(Box<str>),
    /// The last event; the response is complete.
    Done(EngineDone),
    /// The chunk belongs to another request or attempt and is dropped.
    Crossed,
    /// The chunk was received before, or came after the last event, and is dropped.
    Duplicate,
}

/// Error after which a stream cannot continue; the chunks before it are valid.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum StreamError {
    /// A chunk is missing.
    #[display("chunk {expected} is missing, chunk {found} came")]
    Gap {
        /// Sequence number of the missing chunk.
        expected: u64,
        /// Sequence number of the received chunk.
        found: u64,
    },
    /// The stream ended without its last event.
    #[display("stream ended after {received} chunks without its last event")]
    Truncated {
        /// Chunks received in order.
        received: u64,
    },
    /// The chunk count in the last event differs from the chunks received.
    #[display("engine counts {stated} chunks, {received} came")]
    Miscounted {
        /// Chunk count according to the engine.
        stated: u64,
        /// Chunks received in order.
        received: u64,
    },
}

/// Validates the stream of one attempt.
#[derive(Debug)]
pub struct StreamCheck {
    /// Request id expected in each chunk.
    request: RequestId,
    /// Attempt id expected in each chunk.
    attempt: AttemptId,
    /// Chunks received in order, including those before a resume.
    received: u64,
    /// Dropped chunks of other requests or attempts.
    crossed: u64,
    /// Whether the last event was received and valid.
    complete: bool,
}

impl StreamCheck {
    /// Creates a check for an attempt that resumes after `start` chunks; 0 for a new stream.
    pub fn new(request: impl Into<RequestId>, attempt: impl Into<AttemptId>, start: u64) -> Self {
        Self {
            request: request.into(),
            attempt: attempt.into(),
            received: start,
            crossed: 0,
            complete: false,
        }
    }

    /// Checks the next received chunk.
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

    /// Checks that the stream is complete. To be called when the connection closes.
    pub fn finish(&self) -> Result<()> {
        if self.complete {
            return Ok(());
        }
        Err(StreamError::Truncated {
            received: self.received,
        })
    }

    /// Returns the number of chunks received in order, from which an attempt can be resumed.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns the number of dropped chunks of other requests or attempts.
    pub fn crossed(&self) -> u64 {
        self.crossed
    }

    /// Whether the last event was received and valid.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Accepts a text chunk if it is the next one.
    fn accept_text(&mut self, sequence: u64, text: Box<str>) -> Result<CheckedChunk> {
        if sequence < self.received {
            return Ok(CheckedChunk::Duplicate);
        }
        self.check_gap(sequence)?;
        self.received += 1;
        Ok(CheckedChunk::Chunk(text))
    }

    /// Accepts the last event if no chunk before it is missing.
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

    /// Returns an error if chunks before `found` are missing.
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
