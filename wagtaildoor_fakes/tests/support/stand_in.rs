//! Servers of stand-ins on free ports.

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

/// A server on a free port, with a client.
pub struct StandIn {
    /// The server.
    pub server: ServerHandle,
    /// A client.
    pub client: Client,
}

impl StandIn {
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

    /// URL of a path.
    pub fn url(&self, path: &str) -> String {
        format!("{}{path}", self.server.url())
    }

    /// Reads a path.
    pub async fn get(&self, path: &str) -> Response {
        let call = self.client.get(self.url(path));
        call.send().await.expect("an answer")
    }

    /// Posts a body to a path.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Response {
        let call = self.client.post(self.url(path)).json(body);
        call.send().await.expect("an answer")
    }
}
