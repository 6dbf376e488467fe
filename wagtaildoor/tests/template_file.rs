//! Tests reading of template files: the example deployments, the faults, and the comparison.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

#[path = "support/folder.rs"]
mod folder;

use folder::TestFolder;
use wagtaildoor::{
    config_change,
    schema::{
        Account,
        ConfigChange,
        Configuration,
        LevelText,
        Pool,
        Template,
        WeightsChange, //
    },
    template_file::{
        self,
        difference, //
    },
};

/// Valid pools; each fault case replaces or extends a file.
const POOLS: &str = "
[pool.drafter]
kind = model
[pool.app]
kind = service
";

/// A valid account.
const ACCOUNTS: &str = "
[account.school]
token = demo-school
parameter.dialect = Johor
";

/// A valid template of a service.
const LOOKUP: &str = "
[template]
id = lookup
pool = app
path = /entries
repeatable = true
urgency = urgent
deadline_ms = 1000
first_token_ms = 500
";

/// Returns the folder of an example deployment.
fn example_path(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    root.join("templates").join(name)
}

/// Applies changes to an empty configuration.
fn configuration(changes: &[ConfigChange]) -> Configuration {
    config_change::apply(&config_change::empty(), changes).expect("changes that fit together")
}

/// Returns the template with the given id.
fn find_template<'a>(config: &'a Configuration, id: &str) -> &'a Template {
    let found = config.templates.iter().find(|template| &*template.id == id);
    found.unwrap_or_else(|| panic!("no template {id}"))
}

/// Returns the account with the given id.
fn find_account<'a>(config: &'a Configuration, id: &str) -> &'a Account {
    let found = config.accounts.iter().find(|account| &*account.id == id);
    found.unwrap_or_else(|| panic!("no account {id}"))
}

#[test]
fn publisher_example_is_read() {
    let changes = template_file::read_folder(&example_path("publisher")).expect("no faults");
    let config = configuration(&changes);
    assert_eq!(config.accounts.len(), 8);
    assert_eq!(config.pools.len(), 2);
    assert_eq!(config.templates.len(), 4);
    assert_eq!(
        config.texts.len(),
        4,
        "the glossary is one text for both templates"
    );
    let draft = find_template(&config, "draft");
    let names: Vec<&str> = draft.levels.iter().map(|level| &*level.name).collect();
    assert_eq!(names, ["glossary", "dialect", "job"]);
    assert_eq!(draft.levels[0], find_template(&config, "tag").levels[0]);
    let order = find_template(&config, "print-order");
    assert!(!order.repeatable);
    assert_eq!((&*order.path, order.max_tokens), ("/orders/print", 0));
    let token = config_change::text_hash("demo-school-board");
    assert_eq!(find_account(&config, "school-board").token_hash, token);
}

#[test]
fn permits_example_is_read() {
    let changes = template_file::read_folder(&example_path("permits")).expect("no faults");
    let config = configuration(&changes);
    assert_eq!(config.accounts.len(), 8);
    assert_eq!(config.templates.len(), 5);
    let app = config
        .pools
        .iter()
        .find(|pool| &*pool.id == "app")
        .expect("an app");
    assert!(app.checks_request_keys);
    for id in ["pitch-allocation", "fee-record"] {
        assert!(!find_template(&config, id).repeatable, "{id}");
    }
}

#[test]
fn texts_carry_the_hash_of_their_content() {
    let changes = template_file::read_folder(&example_path("permits")).expect("no faults");
    for LevelText { hash, text } in configuration(&changes).texts {
        assert_eq!(hash, config_change::text_hash(&text));
    }
}

/// Reads the valid files with one file replaced or added, and returns the faults.
fn read_faults(file: &str, text: &str) -> Vec<String> {
    let folder = TestFolder::new("template-file");
    let files = [
        ("pools.ini", POOLS),
        ("accounts.ini", ACCOUNTS),
        ("lookup.ini", LOOKUP),
    ];
    for (name, text) in files.into_iter().chain([(file, text)]) {
        fs::write(folder.path().join(name), text).expect("a file");
    }
    match template_file::read_folder(folder.path()) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.faults.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn valid_files_have_no_faults() {
    assert_eq!(read_faults("lookup.ini", LOOKUP), Vec::<String>::new());
}

#[test]
fn each_fault_names_file_section_and_key() {
    let model = LOOKUP
        .replace("pool = app", "pool = drafter")
        .replace("path = /entries\n", "");
    let level = |lines: &str| format!("{model}max_tokens = 9\n[level.house]\n{lines}\n");
    let lookup = |from: &str, to: &str| LOOKUP.replace(from, to);
    let cases: [(&str, String, &str); 24] = [
        (
            "lookup.ini",
            lookup("app", "ap"),
            "[template] pool = \"ap\" is not a known pool; allowed: app, drafter",
        ),
        (
            "lookup.ini",
            format!("{LOOKUP}accounts = school, scool"),
            "accounts = \"scool\" is not a known account; allowed: school",
        ),
        (
            "other.ini",
            LOOKUP.to_string(),
            "other.ini: [template] id = \"lookup\" is also the id of",
        ),
        (
            "lookup.ini",
            lookup("path = /entries", ""),
            "[template] path is missing",
        ),
        (
            "lookup.ini",
            lookup("/entries", "entries"),
            "path = \"entries\" is not a valid path",
        ),
        (
            "lookup.ini",
            lookup("pool = app", "pool = drafter\nmax_tokens = 5"),
            "path = \"/entries\" is not allowed for a model pool",
        ),
        (
            "lookup.ini",
            model.replace("repeatable = true", "repeatable = false"),
            "repeatable = \"false\" is not allowed for a model pool",
        ),
        (
            "lookup.ini",
            format!("{LOOKUP}adapter = x"),
            "adapter = \"x\" is not allowed for a service",
        ),
        (
            "lookup.ini",
            format!("{LOOKUP}max_tokens = 7"),
            "max_tokens = \"7\" is not allowed for a service",
        ),
        (
            "lookup.ini",
            format!("{LOOKUP}[level.house]\ntext = a"),
            "[level.house] is not allowed for a service",
        ),
        (
            "lookup.ini",
            lookup("first_token_ms = 500", "first_token_ms = 5000"),
            "first_token_ms = \"5000\" is after the deadline",
        ),
        (
            "lookup.ini",
            "[other]\n".to_string(),
            "lookup.ini: [template] is missing",
        ),
        (
            "lookup.ini",
            level("text = a\ntext_file = b"),
            "[level.house] text is set together with text_file",
        ),
        ("lookup.ini", level(""), "[level.house] text is missing"),
        (
            "lookup.ini",
            level("text = \" \""),
            "[level.house] text gives a text of 1 bytes",
        ),
        (
            "lookup.ini",
            level("text_file = ../a.txt"),
            "text_file = \"../a.txt\" points outside the folder",
        ),
        (
            "lookup.ini",
            level("text_file = a.txt"),
            "text_file = \"a.txt\" cannot be read",
        ),
        (
            "accounts.ini",
            "[account.a b]\n".to_string(),
            "[account.a b] has an invalid name",
        ),
        (
            "accounts.ini",
            "[acount.a]\n".to_string(),
            "[acount.a] is not a section of this file",
        ),
        (
            "accounts.ini",
            "[account.a]\n".to_string(),
            "[account.a] token is missing",
        ),
        (
            "accounts.ini",
            "[account.a]\ntoken_hash = 12\n".to_string(),
            "token_hash is not a valid hash",
        ),
        (
            "accounts.ini",
            format!("{ACCOUNTS}[account.b]\ntoken = demo-school\n"),
            "[account.b] token is also the token of account school",
        ),
        (
            "pools.ini",
            format!("{POOLS}lookup_path = /keys"),
            "[pool.app] lookup_path = \"/keys\" is not a valid lookup path",
        ),
        (
            "pools.ini",
            POOLS.replace("kind = model", "kind = modl"),
            "[pool.drafter] kind = \"modl\" is not one of the choices",
        ),
    ];
    for (file, text, expected) in cases {
        let found = read_faults(file, &text);
        let is_found = found.iter().any(|fault| fault.contains(expected));
        assert!(is_found, "{file}: {expected:?} not in {found:#?}");
    }
}

#[test]
fn faults_never_show_a_token() {
    let found =
        read_faults("accounts.ini", "[account.a]\ntoken = se cret\nweight = x\n").join("\n");
    assert!(found.contains("weight = \"x\""), "{found}");
    assert!(!found.contains("cret"), "{found}");
}

#[test]
fn a_faulty_pool_is_not_reported_as_unknown_too() {
    let found = read_faults(
        "pools.ini",
        &POOLS.replace("kind = service", "kind = servce"),
    )
    .join("\n");
    assert!(found.contains("[pool.app] kind"), "{found}");
    assert!(!found.contains("is not a known pool"), "{found}");
}

#[test]
fn changes_in_force_are_not_sent_again() {
    let wanted = template_file::read_folder(&example_path("publisher")).expect("no faults");
    let in_force = configuration(&wanted);
    let unchanged = difference::compare(&in_force, wanted.clone());
    assert_eq!(unchanged, Default::default());

    let mut changed = in_force.clone();
    changed.texts.remove(0);
    changed.templates[1].deadline_ms += 1;
    let difference = difference::compare(&changed, wanted);
    let expected = [
        ConfigChange::PutText(in_force.texts[0].clone()),
        ConfigChange::PutTemplate(in_force.templates[1].clone()),
    ];
    assert_eq!(difference.changes, expected);
}

#[test]
fn weights_are_only_raised_and_absent_templates_are_listed() {
    let mut in_force =
        configuration(&template_file::read_folder(&example_path("publisher")).expect("no faults"));
    let drafter = in_force
        .pools
        .iter()
        .find(|pool| &*pool.id == "drafter")
        .expect("a pool");
    let wanted = |version| {
        let pool = Pool {
            weights_version: version,
            ..drafter.clone()
        };
        vec![ConfigChange::PutPool(pool)]
    };
    let (older, newer) = (wanted(1), wanted(3));
    let pool = in_force
        .pools
        .iter_mut()
        .find(|pool| &*pool.id == "drafter")
        .expect("a pool");
    pool.weights_version = 2;
    let raise = WeightsChange {
        pool: "drafter".into(),
        version: 3,
    };
    let raised = difference::compare(&in_force, newer);
    assert_eq!(raised.changes, [ConfigChange::RaiseWeights(raise)]);
    assert_eq!(raised.unlisted_templates.len(), 4);
    let not_raised = difference::compare(&in_force, older);
    assert_eq!(not_raised.changes, []);
    assert_eq!(not_raised.newer_weights, [Box::from("drafter")]);
}

#[test]
fn the_operators_page_lists_every_key() {
    let schema = include_str!("../../schema/configuration.json");
    let page = include_str!("../../docs/operators/templates.md");
    let schema: serde_json::Value = serde_json::from_str(schema).expect("the schema is JSON");
    let cases = [
        ("Account", ["id", "parameters"].as_slice()),
        ("Pool", &["id"]),
        ("Template", &["levels"]),
    ];
    for (definition, set_elsewhere) in cases {
        let properties = &schema["definitions"][definition]["properties"];
        for (key, property) in properties.as_object().expect("an object") {
            let description = property["description"].as_str().expect("a description");
            let row = format!("| `{key}` | {description} |");
            let listed = set_elsewhere.contains(&key.as_str()) || page.contains(&row);
            assert!(listed, "{definition} {key} is not on the page");
        }
    }
}
