//! Tests of the salts under which accounts write and read cached blocks.

use std::collections::{
    BTreeMap,
    HashSet, //
};

use quickcheck::{
    Gen,
    QuickCheck, //
};
use wagtaildoor::ids::{
    AccountId,
    ModelId, //
};
use wagtaildoor_front::route_table::account_isolation::{
    AccountIsolation,
    SharingGroup, //
};

/// Accounts of the random configurations; each may be missing, shared or isolated.
const ACCOUNTS: [&str; 4] = ["a", "b", "c", "d"];
/// Number of random histories, and the most steps of one.
const HISTORIES: u64 = 2_000;
const HISTORY_STEPS: usize = 40;
const SEED: u64 = 0x15_0a7e;

/// Rules of one version: whether each of its accounts is isolated.
type Version = BTreeMap<&'static str, bool>;

fn isolation(rules: &[(&str, bool)]) -> AccountIsolation {
    let rules = rules.iter();
    rules
        .map(|&(account, isolated)| (account.into(), isolated))
        .collect()
}

fn salt(isolation: &AccountIsolation, account: &str) -> Box<str> {
    let account: AccountId = account.into();
    isolation.group(Some(&account)).cache_salt(&"m".into(), 1)
}

/// Guards against WALL: parts that an account wrote before it became isolated stay under the salt of the others.
#[test]
fn an_account_that_becomes_isolated_leaves_nothing_under_the_salt_of_the_others() {
    let before = isolation(&[("hotel", false), ("school", false), ("bank", true)]);
    let after = isolation(&[("hotel", true), ("school", false), ("bank", true)]);
    assert_eq!(salt(&before, "hotel"), salt(&before, "school"));
    assert_ne!(salt(&before, "school"), salt(&after, "school"));
    assert_ne!(salt(&after, "hotel"), salt(&after, "school"));
    assert_eq!(salt(&before, "bank"), salt(&after, "bank"));
}

/// Guards against WALL over any history: accounts that become isolated, stop being it, are removed and come back, in
/// versions of which each host misses some. No account reads what one wrote that is isolated now, and none that is
/// isolated reads what another wrote.
#[test]
fn no_history_of_versions_lets_an_isolated_account_share_a_part() {
    fn holds(seed: Vec<(u8, u8, bool)>) -> bool {
        let mut version = Version::new();
        // Under which salts each account has written.
        let mut written: BTreeMap<Box<str>, HashSet<&str>> = BTreeMap::new();
        let mut old_versions = vec![version.clone()];
        for (account, change, is_read) in seed {
            let account = ACCOUNTS[usize::from(account) % ACCOUNTS.len()];
            match change % 3 {
                0 => version.remove(account),
                change => version.insert(account, change == 1),
            };
            old_versions.push(version.clone());
            // One host has the newest version, another one any older one.
            let behind = &old_versions[usize::from(change) % old_versions.len()];
            for held in [&version, behind] {
                let rules: Vec<_> = held.iter().map(|(&id, &own)| (id, own)).collect();
                let isolation = isolation(&rules);
                for account in held.keys() {
                    let writers = written.entry(salt(&isolation, account)).or_default();
                    writers.insert(account);
                }
            }
            if !is_read {
                continue;
            }
            let rules: Vec<_> = version.iter().map(|(&id, &own)| (id, own)).collect();
            let isolation = isolation(&rules);
            for (reader, reader_isolated) in &version {
                let writers = &written[&salt(&isolation, reader)];
                let mut others = writers.iter().filter(|writer| *writer != reader);
                let crosses =
                    |writer: &&str| *reader_isolated || version.get(*writer) == Some(&true);
                if others.any(crosses) {
                    return false;
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(HISTORY_STEPS, SEED))
        .tests(HISTORIES)
        .quickcheck(holds as fn(Vec<(u8, u8, bool)>) -> bool);
}

/// A version that changes no isolation leaves cached parts in use: new and removed accounts, keys, any order.
#[test]
fn a_version_that_changes_no_isolation_changes_no_salt() {
    let first = isolation(&[("school", false), ("bank", true), ("hotel", false)]);
    let second = isolation(&[
        ("hotel", false),
        ("library", false),
        ("bank", true),
        ("school", false),
    ]);
    let third = isolation(&[("bank", true), ("school", false)]);
    for account in ["school", "bank"] {
        assert_eq!(salt(&first, account), salt(&second, account));
        assert_eq!(salt(&first, account), salt(&third, account));
    }
    let free = isolation(&[("school", false)]);
    assert_eq!(&*salt(&free, "school"), "m/1");
}

/// Accounts that share, and anonymous callers, go on sharing.
#[test]
fn accounts_that_are_not_isolated_have_one_salt() {
    let isolation = isolation(&[("school", false), ("bank", true), ("hotel", false)]);
    let anonymous = isolation.group(None).cache_salt(&"m".into(), 1);
    assert_eq!(salt(&isolation, "school"), salt(&isolation, "hotel"));
    assert_eq!(salt(&isolation, "school"), anonymous);
}

/// Guards against WALL: an account that a version removes while its requests wait is taken for one that shares.
#[test]
fn an_account_that_is_not_named_any_more_shares_nothing() {
    let isolation = isolation(&[("school", false)]);
    assert_ne!(salt(&isolation, "hotel"), salt(&isolation, "school"));
}

/// Guards against WALL: of two entries for one account, the one that lets it share counts.
#[test]
fn an_account_with_two_rules_is_isolated_if_one_says_so() {
    for rules in [
        [("hotel", true), ("hotel", false), ("school", false)],
        [("school", false), ("hotel", false), ("hotel", true)],
    ] {
        let isolation = isolation(&rules);
        assert_ne!(salt(&isolation, "hotel"), salt(&isolation, "school"));
    }
}

/// Guards against WALL: two salts are the same text, as names hold separators, numbers or no ASCII, which also makes no
/// valid header.
#[test]
fn different_groups_models_and_weights_have_different_salts() {
    let accounts = [
        "", "2", "2/3", "/", "//", "%2F", "hotel", "Hotel", "zo\u{eb}", "a b", "a\nb",
    ];
    let models: [ModelId; 6] = ["m", "m/1", "m/1/2", "m/", "%", "m%2F1"].map(Into::into);
    let sets = [
        isolation(&[]),
        isolation(&[("a", true), ("b", true)]),
        isolation(&[("ab", true)]),
        isolation(&[("a", true)]),
        isolation(&[("", true)]),
    ];
    let mut salts = HashSet::new();
    for model in &models {
        for weights in [1, 2, 12] {
            let own = accounts.map(AccountId::from);
            let own = own.iter().map(SharingGroup::Single);
            let shared = sets.iter().map(|set| set.group(None));
            for group in own.chain(shared) {
                let salt = group.cache_salt(model, weights);
                assert!(salt.bytes().all(|byte| byte.is_ascii_graphic()), "{salt}");
                assert!(salts.insert(salt.clone()), "{salt} stands for two groups");
            }
        }
    }
}

/// Hosts of different builds derive the same salts, without a word to each other.
#[test]
fn salts_are_fixed() {
    let rules = [("one", false), ("two", true), ("three", false)];
    assert_eq!(
        &*salt(&isolation(&rules), "one"),
        "m/1//493d2ecf1dbe5f6e54ae87284465a67b"
    );
    assert_eq!(&*salt(&isolation(&rules), "two"), "m/1/two");
    let odd = isolation(&[("zo\u{eb}/1", true)]);
    assert_eq!(&*salt(&odd, "zo\u{eb}/1"), "m/1/zo%C3%AB%2F1");
}
