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
pub struct CacheEventCursor {
    /// Endpoint.
    endpoint: EndpointId,
    /// Its address.
    address: SocketAddr,
    /// Start whose events are read; empty before the first.
    boot_id: BootId,
    /// Sequence number to read next.
    next_sequence: u64,
}

impl CacheEventCursor {
    /// A place before all events.
    pub fn new(endpoint: EndpointId, address: SocketAddr) -> Self {
        Self {
            endpoint,
            address,
            boot_id: "".into(),
            next_sequence: FIRST_SEQUENCE,
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
            self.next_sequence = FIRST_SEQUENCE;
        }
        if report.events_next <= self.next_sequence {
            return Vec::new();
        }
        match probe.events(self.address, self.next_sequence).await {
            Ok(page) if page.boot_id == self.boot_id => self.merge_page(page),
            // It started anew in between, or failed: the next report tells.
            Ok(_) | Err(_) => Vec::new(),
        }
    }

    /// Takes a page; events of one kind that follow each other become one piece of news.
    fn merge_page(&mut self, page: CacheEventPage) -> Vec<PrefixNews> {
        let mut news: Vec<PrefixNews> = Vec::new();
        for event in page.events {
            if event.sequence < self.next_sequence {
                continue;
            }
            let gap = event.sequence > self.next_sequence;
            self.next_sequence = event.sequence + 1;
            match news.last_mut() {
                Some(last) if !gap && last.kind == event.kind => last.blocks.extend(event.blocks),
                _ => news.push(self.build_news(event, gap)),
            }
        }
        self.next_sequence = self.next_sequence.max(page.next);
        news
    }

    /// News of one event.
    fn build_news(&self, event: CacheEvent, gap: bool) -> PrefixNews {
        PrefixNews {
            blocks: event.blocks,
            boot_id: self.boot_id.clone(),
            endpoint: self.endpoint.clone(),
            gap,
            kind: event.kind,
        }
    }
}
