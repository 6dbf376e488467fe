//! Subcommands, one module each, and shared helpers.

use std::path::{
    Path,
    PathBuf, //
};

use clap::ArgMatches;

pub mod amend;
pub mod check;
pub mod explain;
pub mod publish;
pub mod rollout;
pub mod shell;
pub mod status;
pub mod templates;
pub mod timeline;
pub mod unresolved;

/// Returns the value of a text argument, if given.
pub fn text_arg<'matches>(matches: &'matches ArgMatches, name: &str) -> Option<&'matches str> {
    matches.get_one::<String>(name).map(String::as_str)
}

/// Returns the value of a path argument, if given.
pub fn path_arg<'matches>(matches: &'matches ArgMatches, name: &str) -> Option<&'matches Path> {
    matches.get_one::<PathBuf>(name).map(PathBuf::as_path)
}

/// Returns all values of a path argument. The result is empty if the argument is absent.
pub fn path_args(matches: &ArgMatches, name: &str) -> Vec<PathBuf> {
    let given = matches.get_many::<PathBuf>(name);
    given.unwrap_or_default().cloned().collect()
}

/// Returns `text`, or `default` if `text` is empty.
pub fn text_or<'text>(text: &'text str, default: &'text str) -> &'text str {
    match text.is_empty() {
        true => default,
        false => text,
    }
}
