//! The command line: sound, with JSON on each reading verb, and with documented exit codes.

use std::collections::HashSet;

use wtd::{
    cli,
    exit::ExitKind, //
};

/// Verbs that read and print.
const READING: [&str; 7] = [
    "check",
    "templates",
    "status",
    "explain",
    "timeline",
    "unresolved",
    "rollout",
];

#[test]
fn the_command_line_is_sound() {
    cli::command().debug_assert();
}

#[test]
fn each_reading_verb_prints_json() {
    let command = cli::command();
    for verb in READING {
        let found = command.find_subcommand(verb).expect(verb);
        let has_json = found
            .get_arguments()
            .any(|argument| argument.get_id() == "json");
        assert!(has_json, "{verb}");
    }
}

#[test]
fn every_verb_of_the_documentation_is_there() {
    let command = cli::command();
    let verbs: HashSet<&str> = command
        .get_subcommands()
        .map(|verb| verb.get_name())
        .collect();
    let others = ["publish", "amend", "completions", "man"];
    let expected: HashSet<&str> = READING.into_iter().chain(others).collect();
    assert_eq!(verbs, expected);
}

#[test]
fn exit_codes_are_distinct_and_in_the_help() {
    let help = cli::command().render_help().to_string();
    let mut codes = HashSet::from([2]);
    for kind in ExitKind::ALL {
        assert!(codes.insert(kind.code()), "{kind:?}");
        assert!(
            help.contains(&format!("{}  {}", kind.code(), kind.meaning())),
            "{kind:?}"
        );
    }
}

#[test]
fn wrong_command_lines_are_refused() {
    let cases: [&[&str]; 8] = [
        &["wtd"],
        &["wtd", "explain"],
        &["wtd", "check"],
        &["wtd", "check", "folder", "--program", "entry"],
        &["wtd", "check", "--program", "other"],
        &["wtd", "amend"],
        &[
            "wtd",
            "unresolved",
            "--settle",
            "k",
            "--as",
            "perhaps",
            "--note",
            "n",
        ],
        &["wtd", "rollout", "--to", "3"],
    ];
    for line in cases {
        let error = cli::command()
            .try_get_matches_from(line)
            .expect_err(&line.join(" "));
        assert_eq!(error.exit_code(), 2, "{line:?}");
    }
}

#[test]
fn exit_codes_are_on_the_operators_page() {
    let page = include_str!("../../docs/operators/README.md");
    for kind in ExitKind::ALL {
        let row = format!("| {} | {} |", kind.code(), kind.meaning());
        assert!(page.contains(&row), "{row}");
    }
}
