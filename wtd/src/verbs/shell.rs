//! `wtd completions` and `wtd man`: generates completion scripts and man pages.

use std::{
    fs,
    path::Path, //
};

use clap::{
    ArgMatches,
    Command, //
};
use clap_complete::Shell;
use clap_mangen::Man;

use crate::{
    cli,
    exit::{
        Result,
        ToolError, //
    },
    output::CommandOutput,
    verbs,
};

/// Generated man page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ManPage {
    /// File name with the section, for example `wtd.1`.
    pub name: String,
    /// Contents in roff format.
    pub text: String,
}

/// Runs `wtd completions`, which prints the completion script of a shell.
pub fn run_completions(matches: &ArgMatches) -> CommandOutput {
    let shell = *matches
        .get_one::<Shell>("shell")
        .expect("clap requires the argument");
    CommandOutput::from_text(completion_script(shell))
}

/// Generates the completion script of a shell.
pub fn completion_script(shell: Shell) -> String {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut cli::command(), "wtd", &mut script);
    String::from_utf8_lossy(&script).into_owned()
}

/// Runs `wtd man`, which prints the main page or writes all pages to a folder.
///
/// Fails if a page cannot be written. The folder must exist.
pub fn run_man(matches: &ArgMatches) -> Result<CommandOutput> {
    let mut pages = man_pages();
    let Some(folder) = verbs::path_arg(matches, "folder") else {
        return Ok(CommandOutput::from_text(pages.swap_remove(0).text));
    };
    for page in &pages {
        write_file(&folder.join(&page.name), &page.text)?;
    }
    let text = format!("{} pages are in {}.\n", pages.len(), folder.display());
    Ok(CommandOutput::from_text(text))
}

/// Generates the man page of the tool, followed by one for each subcommand.
pub fn man_pages() -> Vec<ManPage> {
    let mut command = cli::command().disable_help_subcommand(true);
    command.build();
    let mut pages = vec![build_man_page(&command)];
    pages.extend(command.get_subcommands().map(build_man_page));
    pages
}

/// Generates the man page of one command, under its full name such as `wtd-check`.
fn build_man_page(command: &Command) -> ManPage {
    let name = command
        .get_display_name()
        .unwrap_or_else(|| command.get_name());
    let renamed = command.clone().name(name.to_string());
    let man = Man::new(renamed);
    let mut text = Vec::new();
    man.render(&mut text)
        .expect("writing to a `Vec` cannot fail");
    ManPage {
        name: man.get_filename(),
        text: String::from_utf8_lossy(&text).into_owned(),
    }
}

fn write_file(path: &Path, text: &str) -> Result<()> {
    fs::write(path, text).map_err(|error| ToolError::File {
        path: path.display().to_string().into(),
        error,
    })
}
