//! What a second connection shows about the end of an answer without length.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    task::{
        self,
        LocalSet, //
    },
    time,
};
use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::{
    end_witness::{
        CheckProgress,
        EndFinding,
        EndWitness, //
    },
    endpoint::{
        Endpoint,
        EndpointRecord,
        EndpointState, //
    },
    front::Front,
    route_table::RouteTable,
    service_config::{
        CallerLimits,
        ServiceConfig,
        ServiceKind,
        ServiceRule, //
    },
};

#[path = "support/test_host.rs"]
mod test_host;

use test_host::{
    new_host,
    TextCodec, //
};

/// Time that the endpoint takes for a health check.
const ANSWER_TIME: Duration = Duration::from_millis(60);
/// Time left to the request.
const TIME_LEFT: Duration = Duration::from_secs(2);

/// An endpoint that answers health checks until it ends.
#[derive(Default)]
struct HealthServer {
    /// Number of health checks that it has begun.
    checks: Cell<u32>,
}

impl HealthServer {
    /// Serves one connection after the other under an id.
    async fn serve(self: Rc<Self>, listener: TcpListener, id: &'static str) {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            // A connection that the host drops is followed by the next one.
            let _ = self.serve_connection(stream, id).await;
        }
    }

    async fn serve_connection(&self, mut stream: TcpStream, id: &str) -> std::io::Result<()> {
        let mut request = [0; 1_024];
        while stream.read(&mut request).await? > 0 {
            self.checks.set(self.checks.get() + 1);
            time::sleep(ANSWER_TIME).await;
            let answer = format!("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await?;
        }
        Ok(())
    }
}

/// Creates a host that has the configuration of one plain service.
fn configured_host() -> Rc<Front> {
    let front = new_host();
    let service = ServiceRule {
        id: "s".into(),
        connection_limit: 9,
        health_path: "/health".into(),
        kind: ServiceKind::Plain,
    };
    front.install_routes(RouteTable::from(ServiceConfig {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        accounts: None,
        limits: CallerLimits::default(),
    }));
    front
}

/// Creates an endpoint of the service, `e`.
fn endpoint(address: SocketAddr) -> Rc<Endpoint> {
    let record = EndpointRecord {
        id: "e".into(),
        service: "s".into(),
        address,
        domain: "a".into(),
        state: EndpointState::Ready,
        slots: 8,
        warm_up: Duration::ZERO,
        weights: Vec::new(),
        started_ms: 1,
        revision: 1,
    };
    Rc::new(Endpoint::new(record, BootInstant::now()))
}

/// Runs a test with a listener at a free port.
fn run_test(test: impl AsyncFnOnce(TcpListener, Rc<Endpoint>)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        test(listener, endpoint(address)).await;
    });
}

/// Checks an answer that has just ended.
async fn check(front: &Front, witness: &EndWitness) -> EndFinding {
    let ended_at = BootInstant::now();
    witness
        .check_end::<TextCodec>(front, ended_at, TIME_LEFT, &CheckProgress::default())
        .await
}

/// Guards against half an answer that looks whole because an earlier answer was found whole just before
/// the endpoint crashed, and the host read that finding late.
#[test]
fn a_check_confirms_no_answer_that_ended_after_it_was_sent() {
    run_test(async |listener, endpoint| {
        let front = configured_host();
        let server = Rc::new(HealthServer::default());
        let serving = task::spawn_local(server.clone().serve(listener, "e"));
        let witness = EndWitness::attach(&endpoint);
        time::sleep(ANSWER_TIME).await;
        let first = {
            let (front, witness) = (front.clone(), witness.clone());
            task::spawn_local(async move { check(&front, &witness).await })
        };
        while server.checks.get() == 0 {
            time::sleep(Duration::from_millis(1)).await;
        }
        let ended_at = BootInstant::now();
        assert_eq!(first.await.expect("a finding"), EndFinding::Confirmed);
        serving.abort();
        let progress = CheckProgress::default();
        let second = witness.check_end::<TextCodec>(&front, ended_at, TIME_LEFT, &progress);
        assert_eq!(second.await, EndFinding::ProcessEnded);
    });
}

/// Guards against half an answer that looks whole because the host stood still while the endpoint crashed
/// and started again, and then opened the second connection to its next start.
#[test]
fn another_start_confirms_nothing() {
    run_test(async |listener, endpoint| {
        let front = configured_host();
        let server = Rc::new(HealthServer::default());
        task::spawn_local(server.clone().serve(listener, "another"));
        let witness = EndWitness::attach(&endpoint);
        time::sleep(ANSWER_TIME).await;
        assert_eq!(check(&front, &witness).await, EndFinding::ProcessEnded);
    });
}

/// Answers that end together take one check.
#[test]
fn one_check_confirms_all_answers_that_ended_before_it() {
    run_test(async |listener, endpoint| {
        let front = configured_host();
        let server = Rc::new(HealthServer::default());
        task::spawn_local(server.clone().serve(listener, "e"));
        let witness = EndWitness::attach(&endpoint);
        time::sleep(ANSWER_TIME).await;
        let checks: Vec<_> = (0..5)
            .map(|_| {
                let (front, witness) = (front.clone(), witness.clone());
                task::spawn_local(async move { check(&front, &witness).await })
            })
            .collect();
        for check in checks {
            assert_eq!(check.await.expect("a finding"), EndFinding::Confirmed);
        }
        assert!(server.checks.get() <= 2, "{}", server.checks.get());
    });
}
