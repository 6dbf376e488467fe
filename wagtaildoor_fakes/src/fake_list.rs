//! Stand-in, to be filled.
