//! Reads the cache events of one endpoint, and notices those that were missed.

use std::net::SocketAddr;

use crate::{
    endpoint_probe::EndpointProbe,
    ids::{
        BootId,
        EndpointId, //
    },
    schema::{
        CacheEvent,
        CacheEventPage,
        LoadReport,
        PrefixNews, //
    },
};

/// First sequence number of each start.
const FIRST_SEQUENCE: u64 = 1;

/// Place in the cache events of one endpoint.
pub struct EndpointPoll {
    /// Endpoint.
    endpoint: EndpointId,
    /// Its address.
    address: SocketAddr,
    /// Start whose events are read; empty before the first.
    boot_id: BootId,
    /// Sequence number to read next.
    next: u64,
}

impl EndpointPoll {
    /// A place before all events.
    pub fn new(endpoint: EndpointId, address: SocketAddr) -> Self {
        Self {
            endpoint,
            address,
            boot_id: "".into(),
            next: FIRST_SEQUENCE,
        }
    }

    /// Reads the events that a report says there are.
    pub async fn read_events<P: EndpointProbe>(
        &mut self,
        probe: &P,
        report: &LoadReport,
    ) -> Vec<PrefixNews> {
        if report.boot_id != self.boot_id {
            self.boot_id = report.boot_id.clone();
            self.next = FIRST_SEQUENCE;
        }
        if report.events_next <= self.next {
            return Vec::new();
        }
        match probe.events(self.address, self.next).await {
            Ok(page) if page.boot_id == self.boot_id => self.take(page),
            // It started anew in between, or failed: the next report tells.
            Ok(_) | Err(_) => Vec::new(),
        }
    }

    /// Takes a page; events of one kind that follow each other become one piece of news.
    fn take(&mut self, page: CacheEventPage) -> Vec<PrefixNews> {
        let mut news: Vec<PrefixNews> = Vec::new();
        for event in page.events {
            if event.sequence < self.next {
                continue;
            }
            let gap = event.sequence > self.next;
            self.next = event.sequence + 1;
            match news.last_mut() {
                Some(last) if !gap && last.kind == event.kind => last.blocks.extend(event.blocks),
                _ => news.push(self.news(event, gap)),
            }
        }
        self.next = self.next.max(page.next);
        news
    }

    /// News of one event.
    fn news(&self, event: CacheEvent, gap: bool) -> PrefixNews {
        PrefixNews {
            blocks: event.blocks,
            boot_id: self.boot_id.clone(),
            endpoint: self.endpoint.clone(),
            gap,
            kind: event.kind,
        }
    }
}
