//! Reads the cache events of one endpoint in order and detects missed ones.

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

/// Sequence number of the first cache event after a start of an endpoint.
const FIRST_SEQUENCE: u64 = 1;

/// Position in the cache events of one endpoint.
pub struct CacheEventCursor {
    endpoint: EndpointId,
    address: SocketAddr,
    /// Start of the endpoint whose events are read; empty before the first report.
    boot_id: BootId,
    next_sequence: u64,
}

impl CacheEventCursor {
    /// Creates a cursor at the first event.
    pub fn new(endpoint: EndpointId, address: SocketAddr) -> Self {
        Self {
            endpoint,
            address,
            boot_id: "".into(),
            next_sequence: FIRST_SEQUENCE,
        }
    }

    /// Reads the new events that `report` announces.
    ///
    /// Returns nothing if the read fails; the next report repeats the announcement.
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
            // The endpoint restarted since the report, or the read failed. The next report retries.
            Ok(_) | Err(_) => Vec::new(),
        }
    }

    /// Advances over a page and merges consecutive events of one kind, except across a gap.
    fn merge_page(&mut self, page: CacheEventPage) -> Vec<PrefixNews> {
        let mut events: Vec<PrefixNews> = Vec::new();
        for event in page.events {
            if event.sequence < self.next_sequence {
                continue;
            }
            let gap = event.sequence > self.next_sequence;
            self.next_sequence = event.sequence + 1;
            match events.last_mut() {
                Some(last) if !gap && last.kind == event.kind => last.blocks.extend(event.blocks),
                _ => events.push(self.convert_event(event, gap)),
            }
        }
        self.next_sequence = self.next_sequence.max(page.next);
        events
    }

    /// Converts one event; `gap` means that events before it were missed.
    fn convert_event(&self, event: CacheEvent, gap: bool) -> PrefixNews {
        PrefixNews {
            blocks: event.blocks,
            boot_id: self.boot_id.clone(),
            endpoint: self.endpoint.clone(),
            gap,
            kind: event.kind,
        }
    }
}
