//! The HTTP log client distinguishes refusals from lost responses, and never retries.

use std::time::Duration;

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener,
};
use wagtaildoor::{
    log_http::HttpLog,
    log_store::{
        LogError,
        LogStore, //
    },
};

/// Response timeout of the client under test.
const TIMEOUT: Duration = Duration::from_millis(200);

/// Serves the same response to every connection, or closes it without one, and counts connections.
async fn serve(answer: Option<&'static str>) -> (HttpLog, tokio::task::JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let task = tokio::spawn(async move {
        let mut calls = 0;
        while let Ok(Ok((mut stream, _))) =
            tokio::time::timeout(TIMEOUT * 3, listener.accept()).await
        {
            calls += 1;
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            if let Some(answer) = answer {
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
        calls
    });
    let log = HttpLog::new(&format!("http://{address}/"), TIMEOUT).expect("a client");
    (log, task)
}

/// An HTTP response with a body.
macro_rules! http {
    ($status:literal, $body:literal) => {
        concat!("HTTP/1.1 ", $status, "\r\nconnection: close\r\n\r\n", $body)
    };
}

#[tokio::test]
async fn responses_map_to_errors() {
    let unavailable: fn(&LogError) -> bool = |e| matches!(e, LogError::Unavailable(_));
    let uncertain: fn(&LogError) -> bool = |e| matches!(e, LogError::Uncertain(_));
    let malformed: fn(&LogError) -> bool = |e| matches!(e, LogError::Malformed(_));
    let cases = [
        (Some(http!("503 Busy", "")), unavailable),
        (Some(http!("500 Fault", "")), uncertain),
        (Some("HTTP/1.1 307 Moved\r\nlocation: /\r\n\r\n"), uncertain),
        (Some(http!("200 OK", "{}")), malformed),
        (None, uncertain),
    ];
    for (answer, expected) in cases {
        let (log, calls) = serve(answer).await;
        let error = log.append("s", "a".into()).await.expect_err("a fault");
        assert!(expected(&error), "{answer:?}: {error:?}");
        assert_eq!(calls.await.expect("no panic"), 1, "{answer:?} was repeated");
    }
}

#[tokio::test]
async fn an_append_returns_its_offset() {
    let (log, _) = serve(Some(http!("200 OK", r#"{"offset":7,"time_ms":9}"#))).await;
    let appended = log.append("s", "a".into()).await.expect("no fault");
    assert_eq!((appended.offset, appended.time_ms), (7, 9));
}

#[tokio::test]
async fn a_refused_connection_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let log = HttpLog::new(&format!("http://{address}"), TIMEOUT).expect("a client");
    let error = log.append("s", "a".into()).await.expect_err("no server");
    assert!(matches!(error, LogError::Unavailable(_)), "{error:?}");
}

#[tokio::test]
async fn a_missing_response_is_uncertain() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let log = HttpLog::new(&format!("http://{address}"), TIMEOUT).expect("a client");
    let error = log.append("s", "a".into()).await.expect_err("no answer");
    assert!(matches!(error, LogError::Uncertain(_)), "{error:?}");
}
