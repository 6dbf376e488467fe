//! Prefix ids and cache salts.

use std::collections::HashSet;

use wagtaildoor::prefix;

#[test]
fn every_part_of_the_root_and_every_level_changes_the_id() {
    let cases = [
        ("plain", "acct", "pool", "", 1, ["glossary", "dialect"]),
        ("account", "acct2", "pool", "", 1, ["glossary", "dialect"]),
        ("pool", "acct", "pool2", "", 1, ["glossary", "dialect"]),
        (
            "adapter",
            "acct",
            "pool",
            "lora",
            1,
            ["glossary", "dialect"],
        ),
        ("weights", "acct", "pool", "", 2, ["glossary", "dialect"]),
        (
            "outer level",
            "acct",
            "pool",
            "",
            1,
            ["glossary2", "dialect"],
        ),
        (
            "parts run together",
            "acctp",
            "ool",
            "",
            1,
            ["glossary", "dialect"],
        ),
        (
            "levels run together",
            "acct",
            "pool",
            "",
            1,
            ["glossaryd", "ialect"],
        ),
    ];
    let mut seen = HashSet::new();
    for (name, account, pool, adapter, weights, texts) in cases {
        let levels = prefix::level_prefixes(account, pool, adapter, weights, &texts);
        assert!(seen.insert(levels[1].id), "{name}");
    }
}

#[test]
fn shared_outer_levels_have_the_same_id() {
    let first = prefix::level_prefixes("acct", "pool", "", 1, &["glossary", "johor"]);
    let second = prefix::level_prefixes("acct", "pool", "", 1, &["glossary", "penang"]);
    assert_eq!(first[0], second[0]);
    assert_ne!(first[1].id, second[1].id);
    assert_eq!(first[0].tokens, 2);
    assert_eq!(first[1].tokens, 4);
}

#[test]
fn salts_differ_between_accounts() {
    assert_ne!(prefix::cache_salt("acct"), prefix::cache_salt("acct2"));
    assert_eq!(prefix::cache_salt("acct"), prefix::cache_salt("acct"));
}
