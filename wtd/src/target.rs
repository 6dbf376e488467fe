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
    client::QueryPart,
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
    base: String,
}

impl ProcessTarget {
    /// The keepers of the settings.
    pub fn keepers(settings: &OperatorSection) -> Result<Vec<Self>> {
        let http = built(builder(settings))?;
        let plain = |&address| Self::plain(address, &http);
        Ok(settings.keepers.iter().map(plain).collect())
    }

    /// The entries of the settings, by TLS where callers reach them so.
    pub fn entries(settings: &OperatorSection) -> Result<Vec<Self>> {
        let Some(name) = &settings.entries_tls_name else {
            let http = built(builder(settings))?;
            let plain = |&address| Self::plain(address, &http);
            return Ok(settings.entries.iter().map(plain).collect());
        };
        let roots = roots(settings)?;
        let secure = |&address| Self::secure(address, name, &roots, settings);
        settings.entries.iter().map(secure).collect()
    }

    /// A process that is asked in plain HTTP.
    fn plain(address: SocketAddr, http: &Client) -> Self {
        Self {
            address,
            http: http.clone(),
            base: format!("http://{address}"),
        }
    }

    /// A process that is asked by TLS, and must show a certificate of this name.
    fn secure(
        address: SocketAddr,
        name: &str,
        roots: &[Certificate],
        settings: &OperatorSection,
    ) -> Result<Self> {
        // All entries have the same name, so each needs a client that resolves it to one.
        let mut builder = builder(settings).resolve(name, address);
        if !roots.is_empty() {
            builder = builder.tls_certs_only(roots.iter().cloned());
        }
        Ok(Self {
            address,
            http: built(builder)?,
            base: format!("https://{name}:{}", address.port()),
        })
    }

    /// The address of a route.
    pub fn url(&self, path: &str, query: &[QueryPart]) -> std::result::Result<Url, Box<str>> {
        let url = format!("{}{path}", self.base);
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
fn builder(settings: &OperatorSection) -> ClientBuilder {
    Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(Duration::from_millis(settings.timeout_ms))
}

/// The client of a builder.
fn built(builder: ClientBuilder) -> Result<Client> {
    let client = builder.build();
    client.map_err(|error| ToolError::NoAnswer(error.to_string().into()))
}

/// The certificates that entries' certificates may come from; none leaves it to the system's.
fn roots(settings: &OperatorSection) -> Result<Vec<Certificate>> {
    let Some(path) = &settings.entries_tls_roots else {
        return Ok(Vec::new());
    };
    let fault = |error| ToolError::File {
        path: path.clone(),
        error,
    };
    let text = fs::read(&**path).map_err(fault)?;
    let roots = Certificate::from_pem_bundle(&text);
    roots.map_err(|error| fault(std::io::Error::other(error)))
}
