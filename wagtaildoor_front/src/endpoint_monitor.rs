//! Checks silent endpoints, and removes those that did not register again after a store outage.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::{
    task,
    time, //
};
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    control_store::ControlStream,
    endpoint::Endpoint,
    front::Front, //
};

const SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// Checks all endpoints at a fixed interval until the process ends.
pub async fn monitor_endpoints(front: Rc<Front>) {
    loop {
        time::sleep(SCAN_INTERVAL).await;
        let now = BootInstant::now();
        front.pauses.tick(now);
        let expired = front.endpoints.borrow_mut().expire_missing(now);
        for id in expired {
            let mut mirror = front.mirror.borrow_mut();
            mirror.mark_deleted(ControlStream::Endpoints, &id);
            slog::info!(front.log, "endpoint gone"; "endpoint" => &*id, "by" => "outage");
        }
        let endpoints = front.endpoints.borrow();
        for endpoint in endpoints.all() {
            if endpoint.health.borrow_mut().begin_due_check(now) {
                task::spawn_local(check_connection(front.clone(), endpoint.clone()));
            }
        }
    }
}

/// Checks an endpoint by opening a connection, which a frozen or unreachable endpoint does not
/// accept.
async fn check_connection(front: Rc<Front>, endpoint: Rc<Endpoint>) {
    let was_down = endpoint.health.borrow().is_down();
    let connected = endpoint.connections.connect().await;
    let now = BootInstant::now();
    match connected {
        Ok(connection) => {
            endpoint.health.borrow_mut().mark_reachable();
            endpoint.connections.put_idle(connection, None, now);
            if was_down {
                slog::info!(front.log, "endpoint reachable again"; "endpoint" => &*endpoint.id);
            }
        }
        Err(error) => {
            endpoint.health.borrow_mut().mark_unreachable(now);
            let mut links = front.broken_links.borrow_mut();
            links.record(&endpoint.domain, now);
            endpoint.connections.close_idle();
            if !was_down {
                slog::warn!(front.log, "endpoint silent"; "endpoint" => &*endpoint.id,
                    "error" => %error);
            }
        }
    }
}
