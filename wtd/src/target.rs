//! Where a process is asked, and how.

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

/// A process with the client that reaches it.
#[derive(Clone, Debug)]
pub struct ProcessTarget {
    /// Address.
    pub address: SocketAddr,
    /// HTTP client.
    pub http: Client,
    /// Start of its routes' URLs.
    base_url: String,
}

impl ProcessTarget {
    /// The keepers of the settings.
    pub fn keepers(settings: &OperatorSection) -> Result<Vec<Self>> {
        let http = build_client(client_builder(settings))?;
        let target = |&address| Self::with_http(address, &http);
        Ok(settings.keepers.iter().map(target).collect())
    }

    /// The entries of the settings, by TLS where callers reach them so.
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

    /// A process that is asked in plain HTTP.
    fn with_http(address: SocketAddr, http: &Client) -> Self {
        Self {
            address,
            http: http.clone(),
            base_url: format!("http://{address}"),
        }
    }

    /// A process that is asked by TLS, and must show a certificate of this name.
    fn with_tls(
        address: SocketAddr,
        name: &str,
        roots: &[Certificate],
        settings: &OperatorSection,
    ) -> Result<Self> {
        // All entries have the same name, so each needs a client that resolves it to one.
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

    /// The address of a route.
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

/// What all clients have in common. A change must not be sent twice by the client library.
fn client_builder(settings: &OperatorSection) -> ClientBuilder {
    Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(Duration::from_millis(settings.timeout_ms))
}

/// The client of a builder.
fn build_client(builder: ClientBuilder) -> Result<Client> {
    let client = builder.build();
    client.map_err(|error| ToolError::NoAnswer(error.to_string().into()))
}

/// The certificates that entries' certificates may come from; none leaves it to the system's.
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
