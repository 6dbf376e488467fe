//! HTTP and TLS connections to keepers and entries.

use std::{
    fs,
    net::SocketAddr,
    time::Duration, //
};

use reqwest::{
    Certificate,
    Client,
    ClientBuilder,
    Url, //
};
use wagtaildoor::schema::OperatorSection;

use crate::{
    client::QueryParam,
    exit::{
        Result,
        ToolError, //
    },
};

/// Address of a process and the HTTP client that connects to it.
#[derive(Clone, Debug)]
pub struct ProcessTarget {
    /// Address and port that the client connects to.
    pub address: SocketAddr,
    /// HTTP client, which neither retries nor follows redirects.
    pub http: Client,
    /// Scheme, host and port without a trailing slash.
    base_url: String,
}

impl ProcessTarget {
    /// Returns the keepers of the settings, which use plain HTTP.
    pub fn keepers(settings: &OperatorSection) -> Result<Vec<Self>> {
        let http = build_client(client_builder(settings))?;
        let target = |&address| Self::with_http(address, &http);
        Ok(settings.keepers.iter().map(target).collect())
    }

    /// Returns the entries of the settings. They use TLS if `entries_tls_name` is set, else plain
    /// HTTP.
    ///
    /// Fails if the root certificates cannot be read or an HTTP client cannot be built.
    pub fn entries(settings: &OperatorSection) -> Result<Vec<Self>> {
        let Some(name) = &settings.entries_tls_name else {
            let http = build_client(client_builder(settings))?;
            let target = |&address| Self::with_http(address, &http);
            return Ok(settings.entries.iter().map(target).collect());
        };
        let roots = read_root_certificates(settings)?;
        let target = |&address| Self::with_tls(address, name, &roots, settings);
        settings.entries.iter().map(target).collect()
    }

    /// Creates a target that uses plain HTTP.
    fn with_http(address: SocketAddr, http: &Client) -> Self {
        Self {
            address,
            http: http.clone(),
            base_url: format!("http://{address}"),
        }
    }

    /// Creates a target that uses TLS and requires a certificate for `name`.
    fn with_tls(
        address: SocketAddr,
        name: &str,
        roots: &[Certificate],
        settings: &OperatorSection,
    ) -> Result<Self> {
        // All entries share one name, so each needs a client that resolves it to its own address.
        let mut builder = client_builder(settings).resolve(name, address);
        if !roots.is_empty() {
            builder = builder.tls_certs_only(roots.iter().cloned());
        }
        Ok(Self {
            address,
            http: build_client(builder)?,
            base_url: format!("https://{name}:{}", address.port()),
        })
    }

    /// Returns the URL of a path with escaped query parameters. Fails if the URL is invalid.
    pub fn url(&self, path: &str, query: &[QueryParam]) -> std::result::Result<Url, Box<str>> {
        let url = format!("{}{path}", self.base_url);
        let mut url = Url::parse(&url).map_err(|error| format!("{url}: {error}"))?;
        if !query.is_empty() {
            let mut pairs = url.query_pairs_mut();
            for part in query {
                pairs.append_pair(part.name, &part.value);
            }
        }
        Ok(url)
    }
}

/// Returns a builder with the options that all clients share.
///
/// Retries are disabled, because the HTTP library must not send a change twice.
fn client_builder(settings: &OperatorSection) -> ClientBuilder {
    Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(Duration::from_millis(settings.timeout_ms))
}

/// Builds a client and converts the error.
fn build_client(builder: ClientBuilder) -> Result<Client> {
    let client = builder.build();
    client.map_err(|error| ToolError::NoAnswer(error.to_string().into()))
}

/// Reads the root certificates for the entries. If there are none, the roots of the system apply.
fn read_root_certificates(settings: &OperatorSection) -> Result<Vec<Certificate>> {
    let Some(path) = &settings.entries_tls_roots else {
        return Ok(Vec::new());
    };
    let file_error = |error| ToolError::File {
        path: path.clone(),
        error,
    };
    let pem = fs::read(&**path).map_err(file_error)?;
    let roots = Certificate::from_pem_bundle(&pem);
    roots.map_err(|error| file_error(std::io::Error::other(error)))
}
