//! Checks that the files under `extra/` match what the tool generates.

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

/// Man pages of other programs, which are written by hand.
const HANDWRITTEN_PAGES: [&str; 1] = ["wagtaildoor-front.1"];

/// Returns the path of a folder under `extra/`.
fn extra_folder(folder: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../extra")
        .join(folder)
}

/// Checks the contents of a file. A file that cannot be read counts as empty.
fn assert_contents(path: &Path, expected: &str) {
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
    let folder = extra_folder("man");
    for page in &pages {
        assert_contents(&folder.join(&page.name), &page.text);
    }
    let handwritten = HANDWRITTEN_PAGES.map(String::from);
    let expected = pages.into_iter().map(|page| page.name).chain(handwritten);
    let expected: BTreeSet<String> = expected.collect();
    let entries = fs::read_dir(folder).expect("failed to read the folder");
    let names = entries.map(|entry| entry.expect("failed to read a folder entry").file_name());
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
        assert_contents(
            &extra_folder("completions").join(name),
            &shell::completion_script(kind),
        );
    }
}
