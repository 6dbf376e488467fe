//! Template files: the example deployments, every fault with its place, and what differs.

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

/// Pools of the faulty examples.
const POOLS: &str = "
[pool.drafter]
kind = model
[pool.app]
kind = service
";

/// An account of the faulty examples.
const ACCOUNTS: &str = "
[account.school]
token = demo-school
parameter.dialect = Johor
";

/// A template of the faulty examples, without faults.
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

/// The folder of an example deployment.
fn example(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    root.join("templates").join(name)
}

/// The configuration that changes make out of nothing.
fn configuration(changes: &[ConfigChange]) -> Configuration {
    config_change::apply(&config_change::empty(), changes).expect("changes that fit together")
}

/// The template of a name.
fn template<'a>(made: &'a Configuration, id: &str) -> &'a Template {
    let found = made.templates.iter().find(|template| &*template.id == id);
    found.unwrap_or_else(|| panic!("no template {id}"))
}

/// The account of a name.
fn account<'a>(made: &'a Configuration, id: &str) -> &'a Account {
    let found = made.accounts.iter().find(|account| &*account.id == id);
    found.unwrap_or_else(|| panic!("no account {id}"))
}

#[test]
fn the_publisher_is_read_whole() {
    let changes = template_file::read_folder(&example("publisher")).expect("no faults");
    let made = configuration(&changes);
    assert_eq!(made.accounts.len(), 8);
    assert_eq!(made.pools.len(), 2);
    assert_eq!(made.templates.len(), 4);
    assert_eq!(
        made.texts.len(),
        4,
        "the glossary is one text for both templates"
    );
    let draft = template(&made, "draft");
    let names: Vec<&str> = draft.levels.iter().map(|level| &*level.name).collect();
    assert_eq!(names, ["glossary", "dialect", "job"]);
    assert_eq!(draft.levels[0], template(&made, "tag").levels[0]);
    let order = template(&made, "print-order");
    assert!(!order.repeatable);
    assert_eq!((&*order.path, order.max_tokens), ("/orders/print", 0));
    let token = config_change::text_hash("demo-school-board");
    assert_eq!(account(&made, "school-board").token_hash, token);
}

#[test]
fn the_permits_desk_is_read_whole() {
    let changes = template_file::read_folder(&example("permits")).expect("no faults");
    let made = configuration(&changes);
    assert_eq!(made.accounts.len(), 8);
    assert_eq!(made.templates.len(), 5);
    let app = made
        .pools
        .iter()
        .find(|pool| &*pool.id == "app")
        .expect("an app");
    assert!(app.checks_request_keys);
    for id in ["pitch-allocation", "fee-record"] {
        assert!(!template(&made, id).repeatable, "{id}");
    }
}

#[test]
fn texts_carry_the_hash_of_their_content() {
    let changes = template_file::read_folder(&example("permits")).expect("no faults");
    for LevelText { hash, text } in configuration(&changes).texts {
        assert_eq!(hash, config_change::text_hash(&text));
    }
}

/// Reads the faulty example with one file replaced or added; gives the faults.
fn faults(file: &str, text: &str) -> Vec<String> {
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
fn files_without_faults_give_none() {
    assert_eq!(faults("lookup.ini", LOOKUP), Vec::<String>::new());
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
            "[template] pool = \"ap\" is no known pool; allowed: app, drafter",
        ),
        (
            "lookup.ini",
            format!("{LOOKUP}accounts = school, scool"),
            "accounts = \"scool\" is no known account; allowed: school",
        ),
        (
            "other.ini",
            LOOKUP.to_string(),
            "other.ini: [template] id = \"lookup\" is the id of",
        ),
        (
            "lookup.ini",
            lookup("path = /entries", ""),
            "[template] path is missing",
        ),
        (
            "lookup.ini",
            lookup("/entries", "entries"),
            "path = \"entries\" is no path",
        ),
        (
            "lookup.ini",
            lookup("pool = app", "pool = drafter\nmax_tokens = 5"),
            "path = \"/entries\" does not fit a pool of models",
        ),
        (
            "lookup.ini",
            model.replace("repeatable = true", "repeatable = false"),
            "repeatable = \"false\" does not fit a pool of models",
        ),
        (
            "lookup.ini",
            format!("{LOOKUP}adapter = x"),
            "adapter = \"x\" does not fit a service",
        ),
        (
            "lookup.ini",
            format!("{LOOKUP}max_tokens = 7"),
            "max_tokens = \"7\" does not fit a service",
        ),
        (
            "lookup.ini",
            format!("{LOOKUP}[level.house]\ntext = a"),
            "[level.house] does not fit a service",
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
            "[level.house] text comes beside text_file",
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
            "text_file = \"../a.txt\" leads out of the folder",
        ),
        (
            "lookup.ini",
            level("text_file = a.txt"),
            "text_file = \"a.txt\" cannot be read",
        ),
        (
            "accounts.ini",
            "[account.a b]\n".to_string(),
            "[account.a b] has no proper name",
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
            "token_hash is no hash",
        ),
        (
            "accounts.ini",
            format!("{ACCOUNTS}[account.b]\ntoken = demo-school\n"),
            "[account.b] token is the token of account school too",
        ),
        (
            "pools.ini",
            format!("{POOLS}lookup_path = /keys"),
            "[pool.app] lookup_path = \"/keys\" is no look-up path",
        ),
        (
            "pools.ini",
            POOLS.replace("kind = model", "kind = modl"),
            "[pool.drafter] kind = \"modl\" is none of the choices",
        ),
    ];
    for (file, text, expected) in cases {
        let found = faults(file, &text);
        let hit = found.iter().any(|fault| fault.contains(expected));
        assert!(hit, "{file}: {expected:?} not in {found:#?}");
    }
}

#[test]
fn faults_never_show_a_token() {
    let found = faults("accounts.ini", "[account.a]\ntoken = se cret\nweight = x\n").join("\n");
    assert!(found.contains("weight = \"x\""), "{found}");
    assert!(!found.contains("cret"), "{found}");
}

#[test]
fn a_faulty_pool_is_not_reported_as_unknown_too() {
    let found = faults(
        "pools.ini",
        &POOLS.replace("kind = service", "kind = servce"),
    )
    .join("\n");
    assert!(found.contains("[pool.app] kind"), "{found}");
    assert!(!found.contains("is no known pool"), "{found}");
}

#[test]
fn what_is_in_force_is_not_sent_again() {
    let wanted = template_file::read_folder(&example("publisher")).expect("no faults");
    let in_force = configuration(&wanted);
    let same = difference::compare(&in_force, wanted.clone());
    assert_eq!(same, Default::default());

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
fn weights_only_rise_and_absent_templates_are_named() {
    let mut in_force =
        configuration(&template_file::read_folder(&example("publisher")).expect("no faults"));
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
    let risen = difference::compare(&in_force, newer);
    assert_eq!(risen.changes, [ConfigChange::RaiseWeights(raise)]);
    assert_eq!(risen.unlisted_templates.len(), 4);
    let kept = difference::compare(&in_force, older);
    assert_eq!(kept.changes, []);
    assert_eq!(kept.newer_weights, [Box::from("drafter")]);
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
