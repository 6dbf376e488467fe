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

/// Attempts to register before giving up.
const REGISTER_ATTEMPTS: u32 = 50;
/// Interval between two attempts.
const REGISTER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Result of a registration.
pub type Result<T> = std::result::Result<T, RegistrationError>;

/// The list rejected a request or could not be reached.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the list does not take {url}: {detail}")]
pub struct RegistrationError {
    /// URL of the entry in the list.
    pub url: Box<str>,
    /// Error of the last attempt.
    #[error(not(source))]
    pub detail: Box<str>,
}

/// An endpoint's entry in the list.
#[derive(Clone, Debug)]
pub struct ListRegistration {
    url: Box<str>,
    /// Content of the entry.
    endpoint: ListedEndpoint,
    client: Client,
}

impl ListRegistration {
    /// Creates the entry of an endpoint for the platform at a base URL. Sends nothing yet.
    pub fn new(platform_url: &str, endpoint: ListedEndpoint, client: Client) -> Self {
        let base = platform_url.trim_end_matches('/');
        Self {
            url: format!("{base}/list/endpoints/{}", endpoint.id).into(),
            endpoint,
            client,
        }
    }

    /// Writes the entry and retries while the platform starts, up to `REGISTER_ATTEMPTS` attempts.
    pub async fn register(&self) -> Result<()> {
        let mut result = self.put_entry(EndpointState::Live).await;
        for _ in 1..REGISTER_ATTEMPTS {
            if result.is_ok() {
                break;
            }
            time::sleep(REGISTER_RETRY_INTERVAL).await;
            result = self.put_entry(EndpointState::Live).await;
        }
        result
    }

    /// Marks the entry as leaving.
    pub async fn leave(&self) -> Result<()> {
        self.put_entry(EndpointState::Leaving).await
    }

    /// Removes the entry.
    pub async fn remove(&self) -> Result<()> {
        let request = self.client.delete(&*self.url);
        self.send_request(request).await
    }

    /// Writes the entry with the given state.
    async fn put_entry(&self, state: EndpointState) -> Result<()> {
        let endpoint = ListedEndpoint {
            state,
            ..self.endpoint.clone()
        };
        let request = self.client.put(&*self.url).json(&endpoint);
        self.send_request(request).await
    }

    /// Sends a request; an error status counts as a failure.
    async fn send_request(&self, request: reqwest::RequestBuilder) -> Result<()> {
        let response = request.send().await.and_then(|r| r.error_for_status());
        response.map(drop).map_err(|error| RegistrationError {
            url: self.url.clone(),
            detail: error.to_string().into(),
        })
    }
}

/// Returns a list entry for a live endpoint.
pub fn live_endpoint(id: &str, address: SocketAddr, pool: &str, domain: &str) -> ListedEndpoint {
    ListedEndpoint {
        address,
        domain: domain.into(),
        id: id.into(),
        pool: pool.into(),
        state: EndpointState::Live,
    }
}
