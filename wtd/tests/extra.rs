//! Files under `extra/` are what the tool generates.

use std::{
    collections::BTreeSet,
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use clap_complete::Shell;
use wtd::verbs::shell;

/// Pages written by hand, of programs that are not this tool.
const OTHER_PAGES: [&str; 1] = ["wagtaildoor-front.1"];

/// A folder under `extra/`.
fn extra(folder: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../extra")
        .join(folder)
}

/// Compares a file with what it should hold.
fn compare(path: &Path, expected: &str) {
    let found = fs::read_to_string(path).unwrap_or_default();
    assert!(
        found == expected,
        "{} is out of date: run scripts/extra",
        path.display()
    );
}

#[test]
fn man_pages_are_up_to_date() {
    let pages = shell::man_pages();
    let folder = extra("man");
    for page in &pages {
        compare(&folder.join(&page.name), &page.text);
    }
    let others = OTHER_PAGES.map(String::from);
    let expected = pages.into_iter().map(|page| page.name).chain(others);
    let expected: BTreeSet<String> = expected.collect();
    let entries = fs::read_dir(folder).expect("a folder");
    let names = entries.map(|entry| entry.expect("an entry").file_name());
    let found: BTreeSet<String> = names.map(|name| name.to_string_lossy().into()).collect();
    assert_eq!(found, expected);
}

#[test]
fn completions_are_up_to_date() {
    let files = [
        (Shell::Bash, "wtd.bash"),
        (Shell::Zsh, "_wtd"),
        (Shell::Fish, "wtd.fish"),
    ];
    for (kind, name) in files {
        compare(
            &extra("completions").join(name),
            &shell::completion_script(kind),
        );
    }
}
