//! Tests reading of settings files: defaults, and the text of each fault.

use std::{
    fs,
    path::Path, //
};

use wagtaildoor::{
    schema::{
        EntrySettings,
        KeeperSettings,
        LoggingSectionLevel,
        OperatorSettings, //
    },
    settings::{
        self,
        fault::SettingsErrors, //
    },
};

/// Minimal settings of an entry: only the required keys.
const MINIMAL_ENTRY: &str = "
[host]
name = north-1
domain = north
region = peninsula
[listen]
address = 127.0.0.1:0
[keepers]
addresses = 127.0.0.1:7100, 127.0.0.2:7100
";

/// Settings of an entry with five faults.
const FIVE_FAULTS: &str = "
[host]
name = north-1
domain = north
[listen]
address = localhost
body_limit_bytes = 12
[keepers]
addresses = 127.0.0.1:7100
retries = 3
[logging]
level = loud
";

fn parse_entry(text: &str) -> Result<EntrySettings, SettingsErrors> {
    settings::parse_text("entry.ini", text, "EntrySettings")
}

/// Returns one line per fault, without the count.
fn fault_lines(errors: &SettingsErrors) -> Vec<String> {
    errors.faults.iter().map(ToString::to_string).collect()
}

#[test]
fn defaults_fill_keys_and_whole_sections() {
    let settings = parse_entry(MINIMAL_ENTRY).expect("settings without faults");
    assert_eq!(&*settings.host.name, "north-1");
    assert_eq!(settings.keepers.addresses.len(), 2);
    assert_eq!(settings.keepers.retry_ms, 200);
    assert_eq!(settings.limits.in_flight, 2000);
    assert_eq!(settings.logging.level, LoggingSectionLevel::Info);
    assert_eq!(settings.listen.tls_key, None);
}

#[test]
fn five_faults_are_shown_at_once() {
    let errors = parse_entry(FIVE_FAULTS).expect_err("five faults");
    let expected = [
        "entry.ini: [host] region is missing; allowed: 1 to 64 letters, digits, dots, hyphens \
         and underscores, the first a letter or digit",
        "entry.ini: [listen] address = \"localhost\" has the wrong format; allowed: an \
         address and port, such as 127.0.0.1:7100",
        "entry.ini: [listen] body_limit_bytes = \"12\" is too small; allowed: a whole number from \
         1024 to 67108864",
        "entry.ini: [keepers] retries is not a key of this section; allowed: addresses, retry_ms",
        "entry.ini: [logging] level = \"loud\" is not one of the choices; allowed: one of error, \
         warning, info, debug",
    ];
    let mut found = fault_lines(&errors);
    found.sort_unstable();
    let mut wanted = expected.to_vec();
    wanted.sort_unstable();
    assert_eq!(found, wanted);
    assert!(errors.to_string().starts_with("5 faults:\n"));
}

#[test]
fn each_fault_names_its_place_and_problem() {
    let cases = [
        (
            "unknown section",
            "[hots]\nname = a",
            "[hots] is not a section",
        ),
        (
            "key before sections",
            "level = info",
            "level is set before the first section",
        ),
        (
            "section twice",
            "[logging]\n[logging]",
            "[logging] appears more than once",
        ),
        (
            "key twice",
            "[logging]\nlevel = info\nlevel = debug",
            "level = \"debug\" appears more than once",
        ),
        ("no key", "[logging]\n= 3\n", "malformed"),
        (
            "unclosed section",
            "[logging\nlevel = info\n",
            "\"[logging\" is malformed",
        ),
        (
            "no value sign",
            "[logging]\nlevel\n",
            "\"level\" is malformed",
        ),
        (
            "sign",
            "[limits]\nin_flight = -1",
            "\"-1\" is not a whole number",
        ),
        (
            "fraction",
            "[limits]\nin_flight = 1.5",
            "\"1.5\" is not a whole number",
        ),
        (
            "empty number",
            "[limits]\nin_flight =",
            "\"\" is not a whole number",
        ),
        (
            "too large",
            "[limits]\nin_flight = 99999999999999999999",
            "is too large",
        ),
        (
            "empty text",
            "[listen]\ntls_key =",
            "tls_key = \"\" is too short",
        ),
        (
            "half a pair",
            "[listen]\ntls_key = a.key",
            "[listen] tls_certificate is required when tls_key is set",
        ),
        (
            "long value",
            &format!("[logging]\nlevel = {}", "x".repeat(500)),
            "x…\" is not one of the choices",
        ),
    ];
    for (name, text, expected) in cases {
        let errors = parse_entry(text).expect_err(name);
        let found = fault_lines(&errors);
        let is_found = found.iter().any(|line| line.contains(expected));
        assert!(is_found, "{name}: {expected:?} not in {found:#?}");
    }
}

#[test]
fn values_of_keepers_and_operators_are_checked() {
    let keeper = "[platform]\nlog_url = ftp://log\nlist_url = http://127.0.0.1:1/list\n";
    let errors = settings::parse_text::<KeeperSettings>("keeper.ini", keeper, "KeeperSettings")
        .expect_err("faults");
    let found = fault_lines(&errors).join("\n");
    assert!(found.contains("log_url = \"ftp://log\" has the wrong format"));
    assert!(!found.contains("list_url"), "{found}");

    let operator = "[operator]\nname = Mei\nkeepers =\nlog_url = http://127.0.0.1:1\n\
                    entries = 127.0.0.1:1, 127.0.0.1\nentries_tls_roots = a.pem\n";
    let errors =
        settings::parse_text::<OperatorSettings>("operator.ini", operator, "OperatorSettings")
            .expect_err("faults");
    let found = fault_lines(&errors).join("\n");
    assert!(
        found.contains("keepers = \"\" has too few items"),
        "{found}"
    );
    assert!(
        found.contains("entries_tls_name is required when entries_tls_roots is set"),
        "{found}"
    );
    assert!(
        found.contains("has an item, \"127.0.0.1\", that has the wrong format"),
        "{found}"
    );
}

#[test]
fn missing_file_is_reported_by_name() {
    let errors = settings::read_entry(Path::new("no-such-file.ini")).expect_err("no file");
    assert_eq!(errors.faults.len(), 1);
    assert!(errors
        .to_string()
        .contains("no-such-file.ini: cannot be read"));
}

#[test]
fn files_are_read_by_path() {
    let name = format!("wagtaildoor-settings-{}.ini", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, MINIMAL_ENTRY).expect("a file");
    let read = settings::read_entry(&path);
    fs::remove_file(&path).expect("the file goes");
    assert_eq!(read, parse_entry(MINIMAL_ENTRY));
}
