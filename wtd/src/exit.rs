//! Exit codes and errors of the tool.

use std::process::ExitCode;

use wagtaildoor::settings::fault::SettingsErrors;

/// Result of a subcommand.
pub type Result<T> = std::result::Result<T, ToolError>;

/// Exit kind of the process. Exit code 2 is reserved for command line errors.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitKind {
    /// The subcommand succeeded with complete output.
    Done,
    /// A file is invalid, or reading or writing it failed.
    Faults,
    /// The change was rejected by a keeper or by a check of the tool.
    NotAccepted,
    /// No process responded, or it is unknown whether the change was accepted.
    NoAnswer,
    /// The output is incomplete since some processes did not respond or some log lines are
    /// malformed.
    Partial,
    /// No item matches the given name.
    NotFound,
}

impl ExitKind {
    /// All kinds, sorted by exit code.
    pub const ALL: [ExitKind; 6] = [
        ExitKind::Done,
        ExitKind::Faults,
        ExitKind::NotAccepted,
        ExitKind::NoAnswer,
        ExitKind::Partial,
        ExitKind::NotFound,
    ];

    /// Returns the exit code of the process, from 0 to 6 without 2.
    pub const fn code(self) -> u8 {
        match self {
            ExitKind::Done => 0,
            ExitKind::Faults => 1,
            ExitKind::NotAccepted => 3,
            ExitKind::NoAnswer => 4,
            ExitKind::Partial => 5,
            ExitKind::NotFound => 6,
        }
    }

    /// Returns the description that the help text and the documentation show.
    pub const fn meaning(self) -> &'static str {
        match self {
            ExitKind::Done => "All was done, and all was shown.",
            ExitKind::Faults => "A file has faults; each is named on standard error.",
            ExitKind::NotAccepted => "The change was not accepted; the reason is named.",
            ExitKind::NoAnswer => "No keeper answered, or it did not say what came of the change.",
            ExitKind::Partial => "Some processes did not answer; what others said is shown.",
            ExitKind::NotFound => "Nothing of this name was found.",
        }
    }
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> Self {
        ExitCode::from(kind.code())
    }
}

/// Error of a subcommand.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ToolError {
    /// The settings or templates are invalid.
    #[display("{_0}")]
    Faults(SettingsErrors),
    /// The change was rejected by a keeper or by a check of the tool.
    #[from(skip)]
    #[display("not accepted: {_0}")]
    NotAccepted(#[error(not(source))] Box<str>),
    /// No process responded, or it is unknown whether the change was accepted.
    #[from(skip)]
    #[display("{_0}")]
    NoAnswer(#[error(not(source))] Box<str>),
    /// No item matches the given name.
    #[from(skip)]
    #[display("{_0}")]
    NotFound(#[error(not(source))] Box<str>),
    /// A file could not be read or written.
    #[from(skip)]
    #[display("{path}: {error}")]
    File {
        /// Path of the file.
        path: Box<str>,
        /// Error of the operating system or of the file format.
        #[error(source)]
        error: std::io::Error,
    },
}

impl ToolError {
    /// Exit kind that scripts see for this error.
    pub fn exit_kind(&self) -> ExitKind {
        match self {
            ToolError::Faults(_) | ToolError::File { .. } => ExitKind::Faults,
            ToolError::NotAccepted(_) => ExitKind::NotAccepted,
            ToolError::NoAnswer(_) => ExitKind::NoAnswer,
            ToolError::NotFound(_) => ExitKind::NotFound,
        }
    }
}
