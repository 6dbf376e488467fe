//! Remembers when connections to each failure domain last broke.

use std::collections::HashMap;

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::DomainId, //
};

/// Times of the last broken connections.
///
/// Where one connection breaks, those to other endpoints of the domain may be dead as well, and only
/// a request on them would show it. A connection that was used since then has proved itself.
#[derive(Debug, Default)]
pub struct BrokenLinks {
    broken_at: HashMap<DomainId, BootInstant>,
}

impl BrokenLinks {
    /// Records that a connection to an endpoint of the domain broke or could not be opened.
    pub fn record(&mut self, domain: &DomainId, now: BootInstant) {
        self.broken_at.insert(domain.clone(), now);
    }

    /// Time since which a connection to the domain must have been used to be trusted.
    pub fn trusted_since(&self, domain: &str) -> BootInstant {
        let broken_at = self.broken_at.get(domain);
        broken_at.copied().unwrap_or(BootInstant::ZERO)
    }
}
