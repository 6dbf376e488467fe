//! Output and exit kind of a subcommand.

use serde::Serialize;

use crate::exit::ExitKind;

/// Output of a subcommand and the exit code that the process returns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommandOutput {
    /// Text for standard output.
    pub text: String,
    /// Warnings for standard error, one line each.
    pub warnings: Vec<String>,
    /// Exit kind of the process.
    pub exit: ExitKind,
}

impl CommandOutput {
    /// Creates output without warnings that exits with [`ExitKind::Done`].
    pub fn from_text(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            warnings: Vec::new(),
            exit: ExitKind::Done,
        }
    }

    /// Renders `value` as pretty-printed JSON if `json` is set, otherwise with `text`.
    pub fn render<T: Serialize>(json: bool, value: &T, text: impl FnOnce(&T) -> String) -> Self {
        if !json {
            return Self::from_text(text(value));
        }
        let printed = serde_json::to_string_pretty(value);
        let mut printed = printed.expect("all maps have string keys");
        printed.push('\n');
        Self::from_text(printed)
    }

    /// Adds a warning for each source whose data is missing or incomplete.
    ///
    /// Unless `missing` is empty, the exit kind becomes [`ExitKind::Partial`].
    pub fn with_missing(mut self, missing: &[String]) -> Self {
        if !missing.is_empty() {
            self.exit = ExitKind::Partial;
        }
        let warnings = missing
            .iter()
            .map(|reason| format!("not complete: {reason}"));
        self.warnings.extend(warnings);
        self
    }

    /// Appends a warning for standard error.
    pub fn with_warning(mut self, warning: impl Into<String>) -> Self {
        self.warnings.push(warning.into());
        self
    }
}
