//! `wtd check`: validates a folder of templates or a settings file.

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

/// Result of a check, as JSON prints it.
#[derive(Debug, Serialize)]
struct CheckReport {
    /// Checked folder or file.
    path: String,
    /// Whether no fault was found.
    good: bool,
    /// Description of the contents, empty if there are faults.
    holds: String,
    faults: Vec<SettingsFault>,
}

/// Checks a folder of templates or a settings file.
///
/// With `--json`, faults are part of the output instead of an error.
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
    fn new(path: &Path, holds: String, faults: Vec<SettingsFault>) -> Self {
        Self {
            path: path.display().to_string(),
            good: faults.is_empty(),
            holds,
            faults,
        }
    }
}

/// Checks the settings file of a program and describes it.
fn check_settings(path: &Path, program: &str) -> std::result::Result<String, SettingsErrors> {
    match program {
        "entry" => settings::read_entry(path).map(drop)?,
        "keeper" => settings::read_keeper(path).map(drop)?,
        _ => settings::read_operator(path).map(drop)?,
    }
    Ok(format!("settings of the {program}"))
}

/// Counts the changes of each kind, for example `1 account, 2 pools, 3 templates, 3 texts`.
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
