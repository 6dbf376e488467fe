//! Commands and options of `wtd`, for parsing, completions and the manual pages.

use std::path::PathBuf;

use clap::{
    value_parser,
    Arg,
    ArgAction,
    Command, //
};
use clap_complete::Shell;

use crate::exit::ExitKind;

/// Default path of the settings file, relative to the working directory.
pub const DEFAULT_SETTINGS_FILE: &str = "wtd.ini";

/// Default number of events requested from each process.
const DEFAULT_NEWEST_EVENTS: &str = "2000";

/// Returns the command line with all subcommands.
///
/// Man pages and completion scripts are generated from it.
pub fn command() -> Command {
    Command::new("wtd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Publishes templates to wagtaildoor, and tells what happened and why")
        .after_help(exit_codes_help())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(settings_arg())
        .subcommands([
            check_command(),
            publish_command(),
            amend_command(),
            templates_command(),
            status_command(),
        ])
        .subcommands([
            explain_command(),
            timeline_command(),
            unresolved_command(),
            rollout_command(),
        ])
        .subcommands([completions_command(), man_command()])
}

/// Formats the exit codes for the help text.
fn exit_codes_help() -> String {
    let mut text = "Exit codes:\n".to_string();
    for kind in ExitKind::ALL {
        text.push_str(&format!("  {}  {}\n", kind.code(), kind.meaning()));
    }
    text.push_str("  2  The command line is wrong.");
    text
}

/// Option for the settings file, accepted by all subcommands.
fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .global(true)
        .default_value(DEFAULT_SETTINGS_FILE)
        .value_parser(value_parser!(PathBuf))
        .help("INI file with the settings of this tool")
}

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON instead of text")
}

/// Option for the reason of a change, which is stored with it.
fn note_arg() -> Arg {
    Arg::new("note")
        .long("note")
        .value_name("TEXT")
        .default_value("")
        .help("Why, for the record")
}

fn dry_run_arg() -> Arg {
    Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Only show what would be sent")
}

/// Option that takes a text value.
fn text_option(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value_name).help(help)
}

fn check_command() -> Command {
    Command::new("check")
        .about("Checks a folder of templates, or the settings of a program")
        .arg(
            Arg::new("folder")
                .value_name("FOLDER")
                .required_unless_present("program")
                .conflicts_with("program")
                .value_parser(value_parser!(PathBuf))
                .help("Folder with accounts.ini, pools.ini and one file a template"),
        )
        .arg(
            text_option(
                "program",
                "PROGRAM",
                "Check the settings file as this program's",
            )
            .value_parser(["entry", "keeper", "operator"]),
        )
        .arg(json_arg())
}

fn publish_command() -> Command {
    Command::new("publish")
        .about("Publishes what differs between a folder and the configuration in force")
        .arg(
            Arg::new("folder")
                .value_name("FOLDER")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Folder with accounts.ini, pools.ini and one file a template"),
        )
        .arg(note_arg())
        .arg(
            Arg::new("remove-absent")
                .long("remove-absent")
                .action(ArgAction::SetTrue)
                .help("Remove templates in force that the folder does not have"),
        )
        .arg(dry_run_arg())
}

fn amend_command() -> Command {
    Command::new("amend")
        .about("Publishes single files, removes templates, or raises weights")
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .required_unless_present_any(["remove", "raise"])
                .help("Template file, accounts.ini or pools.ini"),
        )
        .arg(text_option("remove", "TEMPLATE", "Remove a template").action(ArgAction::Append))
        .arg(
            text_option(
                "raise",
                "POOL=VERSION",
                "Raise the weights version of a pool",
            )
            .action(ArgAction::Append),
        )
        .arg(note_arg())
        .arg(dry_run_arg())
}

fn templates_command() -> Command {
    Command::new("templates")
        .about("Shows the templates in force, or one with its texts")
        .arg(
            Arg::new("template")
                .value_name("TEMPLATE")
                .help("Name of a template"),
        )
        .arg(json_arg())
}

fn status_command() -> Command {
    Command::new("status")
        .about("Shows what each keeper sees, and endpoints and hosts as the first one sees them")
        .arg(json_arg())
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Says in sentences what happened to a request, why, and whether it ran")
        .arg(
            Arg::new("request")
                .value_name("REQUEST")
                .required(true)
                .help("Request, as the answer's x-request-id gives it"),
        )
        .arg(logs_arg())
        .arg(json_arg())
}

/// Option to read collected logs instead of contacting the processes.
fn logs_arg() -> Arg {
    Arg::new("logs")
        .long("logs")
        .value_name("FILE")
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Read collected JSON logs instead of asking the processes")
}

fn timeline_command() -> Command {
    let time_option = |name, help| text_option(name, "MS", help).value_parser(value_parser!(u64));
    Command::new("timeline")
        .about("Shows the events of all processes, causes before effects")
        .arg(text_option(
            "request",
            "REQUEST",
            "Only events of this request",
        ))
        .arg(text_option(
            "account",
            "ACCOUNT",
            "Only events of this client account",
        ))
        .arg(text_option(
            "endpoint",
            "ENDPOINT",
            "Only events of this endpoint",
        ))
        .arg(text_option("host", "HOST", "Only events of this host"))
        .arg(time_option(
            "from",
            "Only events from this time on, in ms since the Unix epoch",
        ))
        .arg(time_option(
            "to",
            "Only events up to this time, in ms since the Unix epoch",
        ))
        .arg(
            text_option("newest", "COUNT", "Newest events to ask of each process")
                .default_value(DEFAULT_NEWEST_EVENTS)
                .value_parser(value_parser!(usize)),
        )
        .arg(logs_arg())
        .arg(
            Arg::new("html")
                .long("html")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Write one HTML page, with a lane for each process"),
        )
        .arg(json_arg())
}

fn unresolved_command() -> Command {
    Command::new("unresolved")
        .about("Shows orders of which it is not known whether they ran, or settles one")
        .arg(json_arg())
        .arg(
            text_option("settle", "KEY", "Settle the order with this key")
                .requires("as")
                .requires("note")
                .conflicts_with("json"),
        )
        .arg(text_option(
            "account",
            "ACCOUNT",
            "Client account of the order, where a key comes twice",
        ))
        .arg(
            text_option("as", "OUTCOME", "What is found to be so")
                .value_parser(["ran", "not_run"])
                .requires("settle"),
        )
        .arg(text_option("note", "TEXT", "On what grounds").requires("settle"))
}

fn rollout_command() -> Command {
    Command::new("rollout")
        .about("Shows which weights the endpoints serve, or rolls newer ones out")
        .arg(Arg::new("pool").value_name("POOL").help("Name of a pool"))
        .arg(
            text_option(
                "to",
                "VERSION",
                "Bring this weights version into service, replica by replica",
            )
            .value_parser(value_parser!(u64))
            .requires("pool")
            .conflicts_with("json"),
        )
        .arg(note_arg())
        .arg(json_arg())
}

fn completions_command() -> Command {
    Command::new("completions")
        .about("Prints a completion script for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("Shell"),
        )
}

fn man_command() -> Command {
    Command::new("man")
        .about("Prints the man page of the tool, or writes those of all verbs")
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Write the pages of all verbs into this folder"),
        )
}
