//! What a verb prints.

use serde::Serialize;

use crate::exit::ExitKind;

/// What a verb prints, and how the tool ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommandOutput {
    /// Standard output.
    pub text: String,
    /// Lines for standard error.
    pub warnings: Vec<String>,
    /// How the tool ends.
    pub exit: ExitKind,
}

impl CommandOutput {
    /// A text, and a good end.
    pub fn from_text(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            warnings: Vec::new(),
            exit: ExitKind::Done,
        }
    }

    /// A value as JSON when that is wanted, else a text made of it.
    pub fn render<T: Serialize>(json: bool, value: &T, text: impl FnOnce(&T) -> String) -> Self {
        if !json {
            return Self::from_text(text(value));
        }
        let printed = serde_json::to_string_pretty(value);
        let mut printed = printed.expect("all values have texts as keys");
        printed.push('\n');
        Self::from_text(printed)
    }

    /// The answer, with processes that did not speak.
    pub fn with_missing(mut self, missing: &[String]) -> Self {
        if !missing.is_empty() {
            self.exit = ExitKind::Partial;
        }
        let warnings = missing.iter().map(|one| format!("not complete: {one}"));
        self.warnings.extend(warnings);
        self
    }

    /// The answer, with a warning.
    pub fn with_warning(mut self, warning: impl Into<String>) -> Self {
        self.warnings.push(warning.into());
        self
    }
}
