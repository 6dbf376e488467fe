//! Tests that an entry with a certificate in its settings serves callers only over TLS.

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    time::Duration, //
};

use reqwest::{
    Certificate,
    Client, //
};
use serde_json::json;
use tokio::time;
use wagtaildoor_entry::server;

/// Timeout for everything that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Folder with a self-signed certificate for `router.test`.
const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../wtd/tests/tls");

/// Starts an entry with the certificate and no reachable keeper. Returns its address.
async fn start(address_file: &Path) -> SocketAddr {
    let settings = json!({
        "host": { "name": "kl-a-1", "domain": "kl-a", "region": "my-west" },
        "listen": {
            "address": "127.0.0.1:0",
            "address_file": address_file,
            "tls_certificate": format!("{FOLDER}/router.pem"),
            "tls_key": format!("{FOLDER}/router.key"),
        },
        "keepers": { "addresses": ["127.0.0.1:1"] },
        "limits": {},
        "shutdown": {},
        "logging": { "level": "error" },
    });
    let settings = serde_json::from_value(settings).expect("settings");
    tokio::spawn(server::run(settings));
    let read = async {
        loop {
            let text = fs::read_to_string(address_file).unwrap_or_default();
            match text.parse() {
                Ok(address) => return address,
                Err(_) => time::sleep(Duration::from_millis(5)).await,
            }
        }
    };
    time::timeout(WAIT_TIMEOUT, read)
        .await
        .expect("the entry listens")
}

/// Builds a client that resolves `router.test` to an address and may trust its certificate.
fn client(address: SocketAddr, trusts_certificate: bool) -> Client {
    let pem = fs::read(format!("{FOLDER}/router.pem")).expect("a certificate");
    let certificate = Certificate::from_pem(&pem).expect("a certificate");
    let builder = Client::builder()
        .no_proxy()
        .resolve("router.test", address)
        .timeout(WAIT_TIMEOUT);
    let builder = if trusts_certificate {
        builder.tls_certs_only([certificate])
    } else {
        builder
    };
    builder.build().expect("a client")
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_by_tls_only() {
    let name = format!("wagtaildoor-entry-tls-{}", std::process::id());
    let address_file = std::env::temp_dir().join(name);
    let address = start(&address_file).await;
    let _ = fs::remove_file(&address_file);
    let port = address.port();
    let get = |scheme: &str, trusts_certificate| {
        let url = format!("{scheme}://router.test:{port}/health");
        client(address, trusts_certificate).get(url).send()
    };
    let answer = get("https", true).await.expect("an answer over TLS");
    assert!(answer.status().is_success(), "{answer:?}");
    let untrusted = get("https", false).await;
    assert!(untrusted.is_err(), "{untrusted:?}");
    let plain = get("http", true).await;
    assert!(plain.is_err(), "{plain:?}");
}
