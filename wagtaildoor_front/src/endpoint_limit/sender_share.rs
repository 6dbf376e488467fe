//! Which hosts send to an endpoint that names a limit.

use crate::{
    endpoint::EndpointKey,
    prefix_hash, //
};

/// Hosts that send to one limited endpoint. Each may have a request saved up, and the limits leave room
/// for some more hosts, which may take themselves for senders while the list of hosts changes.
const MAX_SENDERS: usize = 4;

/// One host's part of an endpoint's limit.
///
/// A few hosts, others for each endpoint, share its limit in equal parts without a word to each other;
/// their callers' requests, and those of all other hosts, go to other endpoints beyond that.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SenderShare {
    part: f64,
    hosts: usize,
    position: f64,
}

impl SenderShare {
    /// Computes the part of the host `own`; the names of the other known hosts may contain it, too.
    pub fn of_host<'a>(
        endpoint: EndpointKey,
        own: &str,
        hosts: impl Iterator<Item = &'a str>,
    ) -> Self {
        let rank = |host: &str| prefix_hash::combine_hashes(endpoint, prefix_hash::text_hash(host));
        let own_rank = rank(own);
        let mut others = 0;
        let mut before = 0;
        for host in hosts.filter(|&host| host != own) {
            others += 1;
            before += usize::from(rank(host) < own_rank);
        }
        let hosts = others + 1;
        let senders = hosts.min(MAX_SENDERS);
        Self {
            part: match before < senders {
                true => 1.0 / senders as f64,
                false => 0.0,
            },
            hosts,
            position: before as f64 / hosts as f64,
        }
    }

    /// Part of the limit, from 0 to 1.
    pub fn part(&self) -> f64 {
        self.part
    }

    /// Number of known hosts, at least 1 once the share was computed.
    pub fn hosts(&self) -> usize {
        self.hosts.max(1)
    }

    /// Position among the known hosts, from 0 to below 1, which differs between hosts.
    pub fn position(&self) -> f64 {
        self.position
    }
}
