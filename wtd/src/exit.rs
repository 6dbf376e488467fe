//! Exit codes, and the errors behind them.

use std::process::ExitCode;

use wagtaildoor::settings::fault::SettingsErrors;

/// Result of a verb.
pub type Result<T> = std::result::Result<T, ToolError>;

/// How the tool ends. The command line's own errors end with 2.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitKind {
    /// All was done, and all was shown.
    Done,
    /// A file has faults.
    Faults,
    /// Keepers did not accept the change.
    NotAccepted,
    /// No keeper answered, or it did not say what came of the change.
    NoAnswer,
    /// What is shown lacks the word of some processes.
    Partial,
    /// Nothing of this name was found.
    NotFound,
}

impl ExitKind {
    /// Every kind, in the order of the codes.
    pub const ALL: [ExitKind; 6] = [
        ExitKind::Done,
        ExitKind::Faults,
        ExitKind::NotAccepted,
        ExitKind::NoAnswer,
        ExitKind::Partial,
        ExitKind::NotFound,
    ];

    /// The code.
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

    /// What the code means.
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

/// Why a verb did not do what it was asked to.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ToolError {
    /// A file has faults.
    #[display("{_0}")]
    Faults(SettingsErrors),
    /// Keepers did not accept the change.
    #[from(skip)]
    #[display("not accepted: {_0}")]
    NotAccepted(#[error(not(source))] Box<str>),
    /// No keeper answered, or it did not say what came of the change.
    #[from(skip)]
    #[display("{_0}")]
    NoAnswer(#[error(not(source))] Box<str>),
    /// Nothing of this name was found.
    #[from(skip)]
    #[display("{_0}")]
    NotFound(#[error(not(source))] Box<str>),
    /// A file could not be read or written.
    #[from(skip)]
    #[display("{path}: {error}")]
    File {
        /// File.
        path: Box<str>,
        /// What the system says.
        #[error(source)]
        error: std::io::Error,
    },
}

impl ToolError {
    /// How the tool ends.
    pub fn exit_kind(&self) -> ExitKind {
        match self {
            ToolError::Faults(_) | ToolError::File { .. } => ExitKind::Faults,
            ToolError::NotAccepted(_) => ExitKind::NotAccepted,
            ToolError::NoAnswer(_) => ExitKind::NoAnswer,
            ToolError::NotFound(_) => ExitKind::NotFound,
        }
    }
}
