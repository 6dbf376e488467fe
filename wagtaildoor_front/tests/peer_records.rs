//! Exchange of records between hosts over slow links.

use std::{
    future::{
        self,
        Future, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    runtime,
    task::{
        self,
        LocalSet, //
    },
    time,
};
use wagtaildoor::{
    frame,
    schema::{
        FrontAsk,
        FrontStream, //
    },
};
use wagtaildoor_front::{
    control_store::{
        ControlRecord,
        ControlStream, //
    },
    front::Front,
    peer_records,
    stream_position::StreamPosition,
};

#[path = "support/test_host.rs"]
mod test_host;

use test_host::{
    new_host,
    TextCodec, //
};

/// Size of a large configuration.
const CONFIG_BYTES: usize = 400_000;
/// Size of a configuration that the buffers of a connection do not hold.
const UNBUFFERED_BYTES: usize = 24 << 20;
/// Bytes that a slow link passes on at once, and the pause after them.
const LINK_PART: (usize, Duration) = (8_000, Duration::from_millis(20));
/// Time for a small exchange on a link that is free.
const EXCHANGE_TIME: Duration = Duration::from_millis(300);
const STREAM: ControlStream = ControlStream::Operator;

/// Runs a test on one thread.
fn run_test<F: Future<Output = ()>>(test: F) {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Puts a large configuration into what a host has read.
fn hold_large_config(front: &Front, bytes: usize) {
    let version = "0".repeat(bytes) + "7";
    let record = ControlRecord {
        position: StreamPosition::new(0, 4),
        key: "config".into(),
        value: Some(Bytes::from(version)),
    };
    let mut mirror = front.mirror.borrow_mut();
    mirror.insert(STREAM, &record, Some((7, 0)));
    mirror.advance(STREAM, StreamPosition::new(0, 5));
}

/// A host that has read a large configuration, and the address at which others ask it.
async fn serve_large_config(bytes: usize) -> (Rc<Front>, SocketAddr) {
    let front = new_host();
    hold_large_config(&front, bytes);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    task::spawn_local(peer_records::serve_records(front.clone(), listener));
    (front, address)
}

/// Starts a relay to a host, whose responses pass a slow link. With `stall_after`, nothing comes after that
/// many bytes.
async fn start_slow_link(host: SocketAddr, stall_after: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    task::spawn_local(async move {
        while let Ok((asker, _)) = listener.accept().await {
            let host = TcpStream::connect(host).await.expect("a connection");
            task::spawn_local(relay_slowly(asker, host, stall_after));
        }
    });
    address
}

async fn relay_slowly(asker: TcpStream, host: TcpStream, stall_after: usize) {
    let (mut from_asker, mut to_asker) = asker.into_split();
    let (mut from_host, mut to_host) = host.into_split();
    let forth = async { tokio::io::copy(&mut from_asker, &mut to_host).await };
    let back = async {
        let (part, pause) = LINK_PART;
        let mut buffer = vec![0; part];
        let mut passed = 0;
        while let Ok(length @ 1..) = from_host.read(&mut buffer).await {
            time::sleep(pause).await;
            if passed >= stall_after || to_asker.write_all(&buffer[..length]).await.is_err() {
                return future::pending().await;
            }
            passed += length;
        }
    };
    tokio::select! {
        _ = forth => {}
        () = back => {}
    }
}

/// Version of the configuration that a host has in force.
fn version(front: &Front) -> Option<u64> {
    front.routes().map(|table| table.version())
}

/// Guards against CONFIG: hosts that the store turns away give up on each other's large configurations,
/// since an exchange had a fixed time.
#[test]
fn a_large_configuration_comes_from_a_host_over_a_slow_link() {
    run_test(async {
        let (_host, address) = serve_large_config(CONFIG_BYTES).await;
        let link = start_slow_link(address, usize::MAX).await;
        let behind = new_host();
        peer_records::fetch_records_from::<TextCodec>(&behind, STREAM, link).await;
        assert_eq!(version(&behind), Some(7));
    });
}

/// Guards against a fetch that is never given up.
#[test]
fn a_host_that_sends_no_more_of_its_response_is_given_up() {
    run_test(async {
        let (_host, address) = serve_large_config(CONFIG_BYTES).await;
        let link = start_slow_link(address, CONFIG_BYTES / 2).await;
        let behind = new_host();
        let began_at = time::Instant::now();
        peer_records::fetch_records_from::<TextCodec>(&behind, STREAM, link).await;
        assert_eq!(version(&behind), None);
        assert!(began_at.elapsed() < Duration::from_secs(3));
    });
}

/// Guards against CONFIG: many hosts ask the first that announces a version, and share its link, so that it
/// reaches all of them late.
#[test]
fn a_host_sends_one_large_configuration_at_a_time() {
    run_test(async {
        let (_host, address) = serve_large_config(UNBUFFERED_BYTES).await;
        // An asker that does not read occupies the host.
        let mut first = TcpStream::connect(address).await.expect("a connection");
        let ask = frame::encode(&FrontAsk {
            stream: FrontStream::Operator,
            from: 0,
        });
        let ask = ask.expect("a frame");
        let length = (ask.len() as u32).to_be_bytes();
        first.write_all(&length).await.expect("written");
        first.write_all(&ask).await.expect("written");
        let mut begin = [0; 4];
        first.read_exact(&mut begin).await.expect("a response");
        let behind = new_host();
        let began_at = time::Instant::now();
        peer_records::fetch_records_from::<TextCodec>(&behind, STREAM, address).await;
        assert!(began_at.elapsed() < EXCHANGE_TIME);
        assert_eq!(version(&behind), None, "it is to ask another host");
    });
}
