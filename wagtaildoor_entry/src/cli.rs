//! Command line of the entry.

use std::path::PathBuf;

use clap::{
    value_parser,
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};

/// The command line.
pub fn command() -> Command {
    Command::new("wagtaildoor-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Answers callers: routes their requests to endpoints")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("INI file with the settings"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit: 0 when they are good, 1 when not"),
        )
}

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct CliOptions {
    /// Settings file.
    pub settings: PathBuf,
    /// Only check the settings.
    pub check: bool,
}

impl From<ArgMatches> for CliOptions {
    fn from(mut matches: ArgMatches) -> Self {
        Self {
            settings: matches.remove_one("settings").expect("clap requires it"),
            check: matches.get_flag("check"),
        }
    }
}
