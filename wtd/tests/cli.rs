//! Tests of the command line definition, its `--json` options and exit codes.

use std::collections::HashSet;

use wtd::{
    cli,
    exit::ExitKind, //
};

/// Subcommands that print data and support `--json`.
const JSON_SUBCOMMANDS: [&str; 7] = [
    "check",
    "templates",
    "status",
    "explain",
    "timeline",
    "unresolved",
    "rollout",
];

#[test]
fn command_line_definition_is_valid() {
    cli::command().debug_assert();
}

#[test]
fn read_subcommands_have_json_option() {
    let command = cli::command();
    for name in JSON_SUBCOMMANDS {
        let subcommand = command.find_subcommand(name).expect(name);
        let has_json = subcommand
            .get_arguments()
            .any(|argument| argument.get_id() == "json");
        assert!(has_json, "{name}");
    }
}

#[test]
fn documented_subcommands_exist() {
    let command = cli::command();
    let subcommands: HashSet<&str> = command
        .get_subcommands()
        .map(|subcommand| subcommand.get_name())
        .collect();
    let other_subcommands = ["publish", "amend", "completions", "man"];
    let expected: HashSet<&str> = JSON_SUBCOMMANDS
        .into_iter()
        .chain(other_subcommands)
        .collect();
    assert_eq!(subcommands, expected);
}

#[test]
fn exit_codes_are_distinct_and_listed_in_help() {
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
fn invalid_command_lines_are_rejected() {
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
    for arguments in cases {
        let error = cli::command()
            .try_get_matches_from(arguments)
            .expect_err(&arguments.join(" "));
        assert_eq!(error.exit_code(), 2, "{arguments:?}");
    }
}

#[test]
fn exit_codes_are_documented() {
    let page = include_str!("../../docs/operators/README.md");
    for kind in ExitKind::ALL {
        let row = format!("| {} | {} |", kind.code(), kind.meaning());
        assert!(page.contains(&row), "{row}");
    }
}
