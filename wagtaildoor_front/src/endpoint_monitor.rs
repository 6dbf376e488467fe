//! Checks endpoints that owe a sign of life, and takes off those that did not return to the list.

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
    endpoint::Endpoint,
    front::Front, //
};

/// Pause between two looks at all endpoints.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Watches all endpoints until the process ends.
pub async fn monitor_endpoints(front: Rc<Front>) {
    loop {
        time::sleep(LOOK_PAUSE).await;
        let now = BootInstant::now();
        for id in front.endpoints.borrow_mut().expire_missing(now) {
            slog::info!(front.log, "endpoint gone"; "endpoint" => &*id, "by" => "outage");
        }
        let endpoints = front.endpoints.borrow();
        for endpoint in endpoints.all() {
            if endpoint.health.borrow_mut().begin_due_check(now) {
                task::spawn_local(check(front.clone(), endpoint.clone()));
            }
        }
    }
}

/// Tries to connect to an endpoint; one that is frozen or cut off does not accept.
async fn check(front: Rc<Front>, endpoint: Rc<Endpoint>) {
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
            endpoint.connections.close_idle();
            if !was_down {
                slog::warn!(front.log, "endpoint silent"; "endpoint" => &*endpoint.id,
                    "error" => %error);
            }
        }
    }
}
