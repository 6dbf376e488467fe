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
        end_check::{
            EndCheck,
            EndFinding,
            EndedAnswer, //
        },
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

/// An endpoint that answers health checks until it ends. It does not tell calls that are addressed to others.
#[derive(Default)]
struct HealthServer {
    /// Number of calls that it has begun.
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

/// Configuration of one plain service.
fn plain_service() -> RouteTable {
    let service = ServiceRule {
        id: "s".into(),
        connection_limit: 9,
        health_path: "/health".into(),
        kind: ServiceKind::Plain,
    };
    RouteTable::from(ServiceConfig {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        accounts: None,
        limits: CallerLimits::default(),
    })
}

/// Creates a host that has the configuration of one plain service.
fn configured_host() -> Rc<Front> {
    let front = new_host();
    front.install_routes(plain_service());
    front
}

/// Witness of an endpoint that got a request under that configuration.
fn attach(endpoint: &Rc<Endpoint>) -> Rc<EndWitness> {
    EndWitness::attach(endpoint, Rc::new(plain_service()))
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

/// Begins to check an answer that has just ended.
fn begin_check(front: &Rc<Front>, witness: &Rc<EndWitness>, begun_at: BootInstant) -> EndCheck {
    let ended_at = BootInstant::now();
    let answer = EndedAnswer { begun_at, ended_at };
    witness.check_end::<TextCodec>(front, answer)
}

/// Checks an answer that has just ended.
async fn check(front: &Rc<Front>, witness: &Rc<EndWitness>) -> EndFinding {
    let begun_at = BootInstant::now();
    let mut check = begin_check(front, witness, begun_at);
    let finding = time::timeout(TIME_LEFT, check.finding()).await;
    finding.unwrap_or(EndFinding::Unanswered)
}

/// Guards against half an answer that looks whole because an earlier answer was found whole just before
/// the endpoint crashed, and the host read that finding late.
#[test]
fn a_check_confirms_no_answer_that_ended_after_it_was_sent() {
    run_test(async |listener, endpoint| {
        let front = configured_host();
        let server = Rc::new(HealthServer::default());
        let serving = task::spawn_local(server.clone().serve(listener, "e"));
        let witness = attach(&endpoint);
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
        let begun_at = BootInstant::ZERO;
        let second = EndedAnswer { begun_at, ended_at };
        let mut second = witness.check_end::<TextCodec>(&front, second);
        assert_eq!(second.finding().await, EndFinding::ProcessEnded);
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
        let witness = attach(&endpoint);
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
        let witness = attach(&endpoint);
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

/// What a busy endpoint answers to a call.
type Reply = fn(is_stray: bool) -> Option<&'static str>;

/// Answers calls as `reply` says, and leaves the others without an answer. Returns the number of connections.
async fn serve_busy(listener: TcpListener, reply: Reply) -> u32 {
    let mut connections = 0;
    while let Ok(accepted) = time::timeout(TIME_LEFT, listener.accept()).await {
        let (mut stream, _) = accepted.expect("a connection");
        connections += 1;
        task::spawn_local(async move {
            let mut request = vec![0; 1_024];
            while let Ok(length @ 1..) = stream.read(&mut request).await {
                let is_stray = String::from_utf8_lossy(&request[..length]).contains("stray");
                if let Some(answer) = reply(is_stray) {
                    let written = stream.write_all(answer.as_bytes()).await;
                    written.expect("the host reads its answer");
                }
            }
        });
    }
    connections
}

/// Guards against LOST: an answer is broken off as a full endpoint does not vouch for its end in the way that a
/// free one does.
#[test]
fn a_full_endpoint_vouches_for_its_answers() {
    let replies: [Reply; 5] = [
        // A health check waits for a slot without end, and the refusal of a stray call names the endpoint.
        |is_stray| is_stray.then_some("HTTP/1.1 421 Other\r\nid: e\r\ncontent-length: 0\r\n\r\n"),
        // It is turned away, without a name.
        |is_stray| {
            Some(match is_stray {
                true => "HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n",
                false => "HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
            })
        },
        // Stray calls are treated like any other.
        |_| Some("HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"),
        // It is unwell, and names itself in that.
        |_| Some("HTTP/1.1 503 Unwell\r\nid: e\r\ncontent-length: 0\r\n\r\n"),
        // A connection is closed behind each answer.
        |_| Some("HTTP/1.1 421 Other\r\nid: e\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"),
    ];
    for reply in replies {
        run_test(async move |listener, endpoint| {
            let front = configured_host();
            task::spawn_local(serve_busy(listener, reply));
            let witness = attach(&endpoint);
            // The first check comes before the witness is open, the others use it again.
            for _ in 0..3 {
                assert_eq!(check(&front, &witness).await, EndFinding::Confirmed);
            }
        });
    }
}

/// Guards against LOST: a caller that leaves takes the witness with it, so that the answers behind it are checked on
/// a new connection, which cannot vouch for them.
#[test]
fn a_caller_that_leaves_breaks_off_no_check() {
    run_test(async |listener, endpoint| {
        let front = configured_host();
        let server = Rc::new(HealthServer::default());
        task::spawn_local(server.clone().serve(listener, "e"));
        let witness = attach(&endpoint);
        time::sleep(ANSWER_TIME).await;
        let begun_at = BootInstant::now();
        let first = begin_check(&front, &witness, begun_at);
        let mut second = begin_check(&front, &witness, begun_at);
        while server.checks.get() == 0 {
            time::sleep(Duration::from_millis(1)).await;
        }
        drop(first);
        assert_eq!(second.finding().await, EndFinding::Confirmed);
        assert_eq!(server.checks.get(), 1);
    });
}

/// Guards against LOST: a version of the configuration removes a service while its endpoints finish their answers.
#[test]
fn an_answer_of_a_removed_service_is_confirmed() {
    run_test(async |listener, endpoint| {
        let front = new_host();
        let server = Rc::new(HealthServer::default());
        task::spawn_local(server.clone().serve(listener, "e"));
        let witness = attach(&endpoint);
        assert_eq!(check(&front, &witness).await, EndFinding::Confirmed);
    });
}

/// Guards against half an answer that looks whole because the endpoint crashed in it, was back under its id, and
/// another check had opened a connection to that start meanwhile.
#[test]
fn a_start_under_the_same_id_confirms_no_answer_that_began_before_it() {
    run_test(async |listener, endpoint| {
        let front = configured_host();
        let address = listener.local_addr().expect("an address");
        let server = Rc::new(HealthServer::default());
        let serving = task::spawn_local(server.clone().serve(listener, "e"));
        let witness = attach(&endpoint);
        time::sleep(ANSWER_TIME).await;
        let begun_at = BootInstant::now();
        serving.abort();
        assert!(serving.await.is_err());
        let listener = TcpListener::bind(address).await.expect("the same port");
        task::spawn_local(server.clone().serve(listener, "e"));
        for _ in 0..2 {
            let mut check = begin_check(&front, &witness, begun_at);
            assert_eq!(check.finding().await, EndFinding::Unconfirmed);
        }
        assert_eq!(check(&front, &witness).await, EndFinding::Confirmed);
    });
}

/// Guards against LOST: an answer on the witness is lost, and nothing is asked again. And against half an answer that
/// looks whole, as the end of the witness is lost: another connection shows no more than the id.
#[test]
fn another_connection_vouches_for_an_answer_by_the_start_alone() {
    let named: Reply = |_| Some("HTTP/1.1 200 OK\r\nid: e\r\ncontent-length: 0\r\n\r\n");
    let dated: Reply =
        |_| Some("HTTP/1.1 200 OK\r\nid: e\r\nstarted: 1\r\ncontent-length: 0\r\n\r\n");
    let expectations = [
        (named, EndFinding::Unanswered),
        (dated, EndFinding::Confirmed),
    ];
    for (reply, expected) in expectations {
        run_test(async move |listener, endpoint| {
            let front = configured_host();
            task::spawn_local(async move {
                let (_silent, _) = listener.accept().await.expect("a connection");
                serve_busy(listener, reply).await;
            });
            let witness = attach(&endpoint);
            time::sleep(ANSWER_TIME).await;
            assert_eq!(check(&front, &witness).await, expected);
        });
    }
}
