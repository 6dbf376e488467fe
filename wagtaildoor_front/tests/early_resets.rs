//! Tests of connections that an endpoint resets while a request is still written.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    thread,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use http_body_util::{
    BodyExt,
    Full, //
};
use socket2::SockRef;
use tokio::{
    runtime,
    task::LocalSet,
    time, //
};
use wagtaildoor_front::endpoint_connection::ConnectionPool;

/// Size of a request's body, beyond what sockets hold, in bytes.
const BODY_BYTES: usize = 24 << 20;
/// Sizes that the endpoint reads before the reset, in bytes.
const READ_SIZES: [usize; 2] = [0, 1 << 20];
/// Head and first part of an answer whose end is that of its connection.
const ANSWER: &str = "HTTP/1.1 200 OK\r\n\r\npart";
/// Time between the answer and the reset.
const RESET_DELAY: Duration = Duration::from_millis(60);

/// Starts an endpoint on a thread of its own, so that it goes on while the test's thread stands still.
fn start_endpoint(read_size: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = [0; 1_024];
        let _ = stream.read(&mut head).expect("a request");
        stream.write_all(ANSWER.as_bytes()).expect("it is sent");
        thread::sleep(RESET_DELAY);
        let mut read = vec![0; read_size];
        stream.read_exact(&mut read).expect("a part of the body");
        let linger = Some(Duration::ZERO);
        let socket = SockRef::from(&stream);
        socket.set_linger(linger).expect("the option is known");
    });
    address
}

/// Guards against MIXED: a reset fails a write, and the read that follows takes the connection for closed in an
/// orderly way. The write comes first if nobody reads the answer meanwhile.
#[test]
fn a_reset_ends_the_answer_with_an_error_whether_a_read_or_a_write_sees_it() {
    let mut builder = runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().expect("a runtime");
    for read_size in READ_SIZES {
        for stands_still in [false, true] {
            LocalSet::new().block_on(&runtime, async {
                let pool = ConnectionPool::new(start_endpoint(read_size));
                let mut connection = pool.connect().await.expect("a connection");
                let body = Bytes::from(vec![b'u'; BODY_BYTES]);
                let answer = connection.exchange(Request::new(Full::new(body))).await;
                let mut body = answer.expect("a head").into_body();
                match stands_still {
                    true => thread::sleep(RESET_DELAY * 4),
                    false => time::sleep(RESET_DELAY * 4).await,
                }
                let mut has_failed = false;
                while let Some(part) = body.frame().await {
                    has_failed |= part.is_err();
                }
                assert!(has_failed, "{read_size} bytes read, {stands_still}");
                assert!(!connection.has_written_request());
            });
        }
    }
}
