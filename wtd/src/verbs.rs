//! The verbs, one module each, and what they share.

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

/// A text that the command line gives.
pub fn text_arg<'matches>(matches: &'matches ArgMatches, name: &str) -> Option<&'matches str> {
    matches.get_one::<String>(name).map(String::as_str)
}

/// A path that the command line gives.
pub fn path_arg<'matches>(matches: &'matches ArgMatches, name: &str) -> Option<&'matches Path> {
    matches.get_one::<PathBuf>(name).map(PathBuf::as_path)
}

/// All paths that the command line gives.
pub fn path_args(matches: &ArgMatches, name: &str) -> Vec<PathBuf> {
    let given = matches.get_many::<PathBuf>(name);
    given.unwrap_or_default().cloned().collect()
}

/// A text as part of a sentence, with a word for none.
pub fn text_or<'text>(text: &'text str, default: &'text str) -> &'text str {
    match text.is_empty() {
        true => default,
        false => text,
    }
}
