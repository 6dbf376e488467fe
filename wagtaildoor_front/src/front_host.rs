//! Starts the servers and background tasks of a host.

use std::{
    io,
    rc::Rc, //
};

use tokio::task;

use crate::{
    block_store, caller_server, control_follower,
    control_store::{
        ControlStore,
        ControlStream, //
    },
    crash_reports, endpoint_monitor, era_watch,
    front::Front,
    peer_link, peer_records,
    shard_leases::{
        lease_records,
        lease_renewal,
        ShardLeases, //
    },
    weights_rollout,
    wire_codec::WireCodec,
};

/// Runs the host until shutdown has completed; fails if a listening address cannot be bound.
pub async fn serve<C: WireCodec, S: ControlStore>(front: Rc<Front>, store: S) -> io::Result<()> {
    let settings = &front.settings;
    let callers = caller_server::listen(settings.callers)?;
    let readiness = caller_server::listen(settings.readiness)?;
    let metrics = caller_server::listen(settings.metrics)?;
    let records = caller_server::listen(settings.peers)?;
    let hints = Rc::new(peer_link::bind_socket(settings.peers).await?);
    slog::info!(front.log, "started"; "domain" => &*settings.domain,
        "callers" => %settings.callers, "peers" => %settings.peers,
        "version" => env!("CARGO_PKG_VERSION"));
    let leases = Rc::new(ShardLeases::new(store.shard_count()));
    let tasks = [
        task::spawn_local(control_follower::follow_stream::<C, S>(
            front.clone(),
            store.clone(),
            ControlStream::Operator,
        )),
        task::spawn_local(control_follower::follow_stream::<C, S>(
            front.clone(),
            store.clone(),
            ControlStream::Endpoints,
        )),
        task::spawn_local(control_follower::follow_stream::<C, S>(
            front.clone(),
            store.clone(),
            ControlStream::CrashReports,
        )),
        task::spawn_local(era_watch::record_settled_eras(front.clone(), store.clone())),
        task::spawn_local(crash_reports::publish_reports(front.clone(), store.clone())),
        task::spawn_local(caller_server::serve_readiness::<C>(
            front.clone(),
            readiness,
        )),
        task::spawn_local(caller_server::serve_metrics(front.clone(), metrics)),
        task::spawn_local(peer_records::serve_records(front.clone(), records)),
        task::spawn_local(peer_link::send_hints(front.clone(), hints.clone())),
        task::spawn_local(peer_link::receive_hints::<C>(front.clone(), hints)),
        task::spawn_local(endpoint_monitor::monitor_endpoints(front.clone())),
        task::spawn_local(block_store::monitor_stores(front.clone())),
        task::spawn_local(lease_records::record_leases(
            front.clone(),
            store.clone(),
            leases.clone(),
        )),
        task::spawn_local(lease_renewal::renew_leases(
            front.clone(),
            store,
            leases.clone(),
        )),
        task::spawn_local(weights_rollout::run_rollout::<C>(front.clone(), leases)),
    ];
    caller_server::serve_callers::<C>(front.clone(), callers).await;
    for task in tasks {
        task.abort();
    }
    Ok(())
}
