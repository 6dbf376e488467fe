//! Registration of an endpoint at the platform's list.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use reqwest::Client;
use tokio::time;
use wagtaildoor::schema::{
    EndpointState,
    ListedEndpoint, //
};

/// Tries to register before giving up.
const REGISTER_TRIES: u32 = 50;
/// Wait between two tries.
const REGISTER_PAUSE: Duration = Duration::from_millis(100);

/// Result of a registration.
pub type Result<T> = std::result::Result<T, RegistrationError>;

/// The list did not take the registration.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the list does not take {url}: {detail}")]
pub struct RegistrationError {
    /// URL of the entry in the list.
    pub url: Box<str>,
    /// What went wrong last.
    #[error(not(source))]
    pub detail: Box<str>,
}

/// An endpoint's entry in the list.
#[derive(Clone, Debug)]
pub struct ListRegistration {
    /// URL of the entry.
    url: Box<str>,
    /// What the entry says.
    endpoint: ListedEndpoint,
    /// HTTP client.
    client: Client,
}

impl ListRegistration {
    /// The entry of an endpoint in the list of the platform at a base URL.
    pub fn new(platform_url: &str, endpoint: ListedEndpoint, client: Client) -> Self {
        let base = platform_url.trim_end_matches('/');
        Self {
            url: format!("{base}/list/endpoints/{}", endpoint.id).into(),
            endpoint,
            client,
        }
    }

    /// Writes the entry, with some tries while the platform starts.
    pub async fn register(&self) -> Result<()> {
        let mut result = self.put(EndpointState::Live).await;
        for _ in 1..REGISTER_TRIES {
            if result.is_ok() {
                break;
            }
            time::sleep(REGISTER_PAUSE).await;
            result = self.put(EndpointState::Live).await;
        }
        result
    }

    /// Marks the entry as leaving.
    pub async fn leave(&self) -> Result<()> {
        self.put(EndpointState::Leaving).await
    }

    /// Takes the entry out.
    pub async fn remove(&self) -> Result<()> {
        let call = self.client.delete(&*self.url);
        self.send(call).await
    }

    /// Writes the entry with a state.
    async fn put(&self, state: EndpointState) -> Result<()> {
        let endpoint = ListedEndpoint {
            state,
            ..self.endpoint.clone()
        };
        let call = self.client.put(&*self.url).json(&endpoint);
        self.send(call).await
    }

    /// Sends a call and checks its status.
    async fn send(&self, call: reqwest::RequestBuilder) -> Result<()> {
        let response = call.send().await.and_then(|r| r.error_for_status());
        response.map(drop).map_err(|error| RegistrationError {
            url: self.url.clone(),
            detail: error.to_string().into(),
        })
    }
}

/// An entry for an endpoint that is live.
pub fn live_endpoint(id: &str, address: SocketAddr, pool: &str, domain: &str) -> ListedEndpoint {
    ListedEndpoint {
        address,
        domain: domain.into(),
        id: id.into(),
        pool: pool.into(),
        state: EndpointState::Live,
    }
}
