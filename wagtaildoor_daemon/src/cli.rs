//! Command line that all daemons share.

use std::{
    fmt::Display,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
};

use clap::{
    value_parser,
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};

/// Builds the command line: `--settings FILE`, which is required, and `--check`.
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(about)
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

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct CliOptions {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Whether to exit once the settings have been checked.
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

impl CliOptions {
    /// Reads the settings with `read`.
    ///
    /// The error is the exit code to end with: failure if the settings are invalid, success if
    /// only a check was requested.
    pub fn read_settings<S, E: Display>(
        &self,
        read: impl FnOnce(&Path) -> Result<S, E>,
    ) -> Result<S, ExitCode> {
        let settings = read(&self.settings).map_err(|errors| {
            eprintln!("{errors}");
            ExitCode::FAILURE
        })?;
        if self.check {
            println!("{}: good", self.settings.display());
            return Err(ExitCode::SUCCESS);
        }
        Ok(settings)
    }
}

/// Converts the result of a daemon into an exit code, and prints an error to stderr.
pub fn exit_code<E: Display>(name: &str, result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}
