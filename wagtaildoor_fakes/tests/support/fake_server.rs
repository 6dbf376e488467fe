//! Servers of fakes on free ports.

use reqwest::{
    Client,
    Response, //
};
use rocket::{
    Build,
    Rocket, //
};
use serde::Serialize;
use tokio_util::sync::CancellationToken;
use wagtaildoor_fakes::http_server::{
    self,
    ServerHandle, //
};

/// A running server with an HTTP client.
pub struct FakeServer {
    pub server: ServerHandle,
    pub client: Client,
}

impl FakeServer {
    /// Starts a server with the routes that `mount` adds.
    pub async fn start(mount: impl FnOnce(Rocket<Build>) -> Rocket<Build>) -> Self {
        let address = ([127, 0, 0, 1], 0).into();
        let server = mount(http_server::build(address));
        let token = CancellationToken::new();
        let server = http_server::start(server, token)
            .await
            .expect("a free port");
        let client = Client::builder().no_proxy().build().expect("a client");
        Self { server, client }
    }

    /// Returns the server's URL followed by `path`, which starts with a slash.
    pub fn url(&self, path: &str) -> String {
        format!("{}{path}", self.server.url())
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Response {
        let call = self.client.get(self.url(path));
        call.send().await.expect("a response")
    }

    /// Posts a JSON body.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Response {
        let call = self.client.post(self.url(path)).json(body);
        call.send().await.expect("a response")
    }
}
