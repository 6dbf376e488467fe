//! `wtd check`: are these files without faults?

use std::path::Path;

use clap::ArgMatches;
use serde::Serialize;
use wagtaildoor::{
    schema::ConfigChange,
    settings::{
        self,
        fault::{
            SettingsErrors,
            SettingsFault, //
        },
    },
    template_file,
};

use crate::{
    exit::{
        ExitKind,
        Result, //
    },
    output::CommandOutput,
    table, verbs,
};

/// What was checked, and what was found.
#[derive(Debug, Serialize)]
struct CheckReport {
    /// Folder or file.
    path: String,
    /// Nothing is wrong.
    good: bool,
    /// What it holds, in words.
    holds: String,
    /// Every fault.
    faults: Vec<SettingsFault>,
}

/// Checks a folder or a settings file.
pub fn run(matches: &ArgMatches) -> Result<CommandOutput> {
    let settings = verbs::path_arg(matches, "settings")
        .unwrap_or(Path::new(crate::cli::DEFAULT_SETTINGS_FILE));
    let folder = verbs::path_arg(matches, "folder");
    let path = folder.unwrap_or(settings);
    let checked = match (verbs::text_arg(matches, "program"), folder) {
        (None, Some(folder)) => {
            template_file::read_folder(folder).map(|all| describe_changes(&all))
        }
        (program, _) => check_settings(settings, program.unwrap_or("operator")),
    };
    let json = matches.get_flag("json");
    let report = match checked {
        Ok(holds) => CheckReport::new(path, holds, Vec::new()),
        Err(errors) if json => CheckReport::new(path, String::new(), errors.faults),
        Err(errors) => return Err(errors.into()),
    };
    let mut output = CommandOutput::render(json, &report, |report| {
        format!("{}: good: {}\n", report.path, report.holds)
    });
    if !report.good {
        output.exit = ExitKind::Faults;
    }
    Ok(output)
}

impl CheckReport {
    /// A report on a path.
    fn new(path: &Path, holds: String, faults: Vec<SettingsFault>) -> Self {
        Self {
            path: path.display().to_string(),
            good: faults.is_empty(),
            holds,
            faults,
        }
    }
}

/// Checks the settings of a program.
fn check_settings(path: &Path, program: &str) -> std::result::Result<String, SettingsErrors> {
    match program {
        "entry" => settings::read_entry(path).map(drop)?,
        "keeper" => settings::read_keeper(path).map(drop)?,
        _ => settings::read_operator(path).map(drop)?,
    }
    Ok(format!("settings of the {program}"))
}

/// What changes hold, in words.
fn describe_changes(changes: &[ConfigChange]) -> String {
    let count = |noun: &str, is_kind: fn(&ConfigChange) -> bool| {
        let matching = changes.iter().filter(|change| is_kind(change)).count();
        table::format_count(matching, noun)
    };
    let accounts = count("account", |change| {
        matches!(change, ConfigChange::PutAccount(_))
    });
    let pools = count("pool", |change| matches!(change, ConfigChange::PutPool(_)));
    let templates = count("template", |change| {
        matches!(change, ConfigChange::PutTemplate(_))
    });
    let texts = count("text", |change| matches!(change, ConfigChange::PutText(_)));
    format!("{accounts}, {pools}, {templates}, {texts}")
}
