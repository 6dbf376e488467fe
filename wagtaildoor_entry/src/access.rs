//! Authenticates callers and checks that their account may use a template.

use wagtaildoor::{
    error::{
        ErrorKind,
        RequestError,
        Result, //
    },
    schema::{
        Account,
        Configuration,
        Pool,
        PoolKind,
        Template, //
    },
};

/// Account, template and pool of an authorized request, from the configuration in force.
#[derive(Clone, Copy, Debug)]
pub struct AccessGrant<'a> {
    /// Account that the bearer token belongs to.
    pub account: &'a Account,
    /// Template that the request names.
    pub template: &'a Template,
    /// Pool that serves the template.
    pub pool: &'a Pool,
}

/// Authenticates the token and checks that its account may use the template.
///
/// Fails if the token or the template is unknown, if the template excludes the account, if its pool
/// is not configured, or if the pool is not of `kind`.
pub fn authorize<'a>(
    configuration: &'a Configuration,
    token: Option<&str>,
    template: &str,
    kind: PoolKind,
) -> Result<AccessGrant<'a>> {
    let account = authenticate(configuration, token)?;
    let template = find_template(configuration, template)?;
    let allowed = template.accounts.is_empty() || template.accounts.contains(&account.id);
    if !allowed {
        let detail = format!(
            "account {} may not use template {}",
            account.id, template.id
        );
        return Err(RequestError::new(ErrorKind::Forbidden, detail));
    }
    let pool = find_pool(configuration, template)?;
    if pool.kind != kind {
        let detail = format!("template {} is called by another route", template.id);
        return Err(RequestError::new(ErrorKind::UnknownTemplate, detail));
    }
    Ok(AccessGrant {
        account,
        template,
        pool,
    })
}

/// Returns the account whose token hash matches, or an `Unauthorized` error.
pub fn authenticate<'a>(
    configuration: &'a Configuration,
    token: Option<&str>,
) -> Result<&'a Account> {
    let token = token.ok_or_else(|| {
        RequestError::new(
            ErrorKind::Unauthorized,
            "the request carries no bearer token",
        )
    })?;
    let hash = blake3::hash(token.as_bytes()).to_hex();
    configuration
        .accounts
        .iter()
        .find(|account| *account.token_hash == *hash.as_str())
        .ok_or_else(|| {
            RequestError::new(
                ErrorKind::Unauthorized,
                "the bearer token belongs to no account",
            )
        })
}

fn find_template<'a>(configuration: &'a Configuration, id: &str) -> Result<&'a Template> {
    configuration
        .templates
        .iter()
        .find(|template| &*template.id == id)
        .ok_or_else(|| {
            let detail = format!("no template is named \"{id}\"");
            RequestError::new(ErrorKind::UnknownTemplate, detail)
        })
}

fn find_pool<'a>(configuration: &'a Configuration, template: &Template) -> Result<&'a Pool> {
    configuration
        .pools
        .iter()
        .find(|pool| pool.id == template.pool)
        .ok_or_else(|| {
            let detail = format!("pool {} is not configured", template.pool);
            RequestError::new(ErrorKind::NotConfigured, detail)
        })
}
