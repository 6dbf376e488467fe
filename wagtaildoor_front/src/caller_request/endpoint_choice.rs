//! Chooses the endpoint for a request's next send, by the newest configuration.

use std::rc::Rc;

use wagtaildoor::boot_clock::BootInstant;

use crate::{
    caller_request::{
        CallerRequest,
        MAX_SENDS, //
    },
    prefix_hash,
    request_placement::{
        self,
        PlacementQuery,
        RequestPlacement, //
    },
    route_table::RouteTable,
    wire_codec::WireCodec,
};

impl<C: WireCodec> CallerRequest<C> {
    /// Chooses an endpoint for the next send.
    pub(super) fn choose_endpoint(&self, now: BootInstant) -> Option<RequestPlacement> {
        if self.sends >= MAX_SENDS {
            return None;
        }
        self.with_query(|query| request_placement::choose_endpoint(&self.front, query, now))
    }

    /// Whether an engine that could take the request is loading weights.
    pub(super) fn is_load_in_progress(&self, now: BootInstant) -> bool {
        self.sends < MAX_SENDS
            && self
                .with_query(|query| request_placement::is_load_in_progress(&self.front, query, now))
    }

    /// Newest configuration. It may be later than the one that admitted the request.
    pub(super) fn newest_table(&self) -> Rc<RouteTable> {
        self.front.routes().unwrap_or_else(|| self.table.clone())
    }

    /// Calls a function with the properties that determine the choice of an endpoint.
    fn with_query<T>(&self, choose: impl FnOnce(&PlacementQuery<'_>) -> T) -> T {
        let table = self.newest_table();
        let account = self.account.as_ref();
        let attempt = self.head.attempt.as_deref().unwrap_or_default();
        let query = PlacementQuery {
            services: &self.target_services(),
            prompt: self.head.prompt.as_ref(),
            group: table.sharing_group(account.map(|account| &account.id)),
            tried: &self.tried,
            draw: prefix_hash::text_hash(attempt),
        };
        choose(&query)
    }
}
