//! Who waits for an engine, and who is refused, while there is too little room.

pub mod admission_queue;
pub mod request_ranking;
