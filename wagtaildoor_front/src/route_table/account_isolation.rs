//! Which client accounts share cached blocks, as the configuration says.

use std::{
    collections::BTreeMap,
    fmt::{
        self,
        Display,
        Formatter, //
    },
};

use blake3::Hasher;
use percent_encoding::{
    utf8_percent_encode,
    AsciiSet,
    NON_ALPHANUMERIC, //
};
use wagtaildoor::ids::{
    AccountId,
    ModelId,
    WeightsVersion, //
};

use crate::service_config::AccountRule;

/// Bytes of a name that are escaped in a salt: a name cannot hold a separator, and a salt is a valid header.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_');
/// Length of the digest of the isolated accounts, in bytes.
const DIGEST_BYTES: usize = 16;

/// Isolation of all accounts of a configuration.
#[derive(Clone, Debug, Default)]
pub struct AccountIsolation {
    /// Accounts, and whether they are isolated.
    accounts: BTreeMap<AccountId, bool>,
    /// Digest of the isolated accounts' names; `None` if no account is isolated.
    digest: Option<Box<str>>,
}

/// Accounts that share cached blocks with one another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SharingGroup<'a> {
    /// An account by itself.
    Single(&'a AccountId),
    /// All accounts that are not isolated, and anonymous callers. Holds the digest of those that are.
    ///
    /// The isolated accounts, whose names make the digest, never write under it. So whatever an account has written
    /// before it became isolated lies under other digests, on all hosts, whichever versions they have missed.
    Common(Option<&'a str>),
}

impl FromIterator<(AccountId, bool)> for AccountIsolation {
    fn from_iter<I: IntoIterator<Item = (AccountId, bool)>>(rules: I) -> Self {
        let mut accounts = BTreeMap::new();
        for (account, isolated) in rules {
            // Of two rules for one account, the stricter one counts.
            *accounts.entry(account).or_default() |= isolated;
        }
        let isolated = accounts.iter().filter(|(_, isolated)| **isolated);
        let digest = digest_names(isolated.map(|(account, _)| account));
        Self { accounts, digest }
    }
}

impl<'a> FromIterator<&'a AccountRule> for AccountIsolation {
    fn from_iter<I: IntoIterator<Item = &'a AccountRule>>(rules: I) -> Self {
        let rules = rules.into_iter();
        rules.map(|rule| (rule.id.clone(), rule.isolated)).collect()
    }
}

impl AccountIsolation {
    /// Group of an account, or of anonymous callers. An account that the configuration does not name any more
    /// shares nothing.
    pub fn group<'a>(&'a self, account: Option<&'a AccountId>) -> SharingGroup<'a> {
        match account {
            Some(account) if self.accounts.get(account) != Some(&false) => {
                SharingGroup::Single(account)
            }
            _ => SharingGroup::Common(self.digest.as_deref()),
        }
    }
}

impl SharingGroup<'_> {
    /// Returns the salt that separates the group's cached blocks from those of other groups, models and weights.
    pub fn cache_salt(&self, model: &ModelId, weights: WeightsVersion) -> Box<str> {
        let model = utf8_percent_encode(model, ESCAPED);
        format!("{model}/{weights}{self}").into()
    }
}

impl Display for SharingGroup<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            SharingGroup::Single(account) => {
                let account = utf8_percent_encode(account, ESCAPED);
                write!(formatter, "/{account}")
            }
            SharingGroup::Common(Some(digest)) => write!(formatter, "//{digest}"),
            SharingGroup::Common(None) => Ok(()),
        }
    }
}

/// Digest of names in a fixed order; `None` if there are none.
fn digest_names<'a>(names: impl Iterator<Item = &'a AccountId>) -> Option<Box<str>> {
    let mut hasher = Hasher::new();
    for name in names {
        // Lengths keep the boundaries of the names apart.
        hasher.update(&(name.len() as u64).to_be_bytes());
        hasher.update(name.as_bytes());
    }
    if hasher.count() == 0 {
        return None;
    }
    let hash = hasher.finalize();
    let bytes = &hash.as_bytes()[..DIGEST_BYTES];
    Some(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
