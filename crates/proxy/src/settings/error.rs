//! Errors in a settings file.

use std::{fmt, io, ops::Range, sync::Arc};

use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

/// One error in a settings file, with its location in the file and a remedy.
#[derive(Debug, Clone, Error, Diagnostic)]
#[error("{file}:{line}: {message}")]
pub struct SettingsError {
    file: Arc<str>,
    line: usize,
    message: String,
    #[help]
    remedy: String,
    #[source_code]
    source_code: NamedSource<Arc<str>>,
    #[label("here")]
    span: SourceSpan,
}

impl SettingsError {
    pub(crate) fn new(
        file: &Arc<str>,
        text: &Arc<str>,
        span: Range<usize>,
        message: String,
        remedy: String,
    ) -> Self {
        let start = span.start.min(text.len());
        let before = &text.as_bytes()[..start];
        let line = 1 + before.split(|byte| *byte == b'\n').count() - 1;
        Self {
            file: Arc::clone(file),
            line,
            message,
            remedy,
            source_code: NamedSource::new(&**file, Arc::clone(text)),
            span: SourceSpan::from(start..span.end.min(text.len()).max(start)),
        }
    }

    /// Line of the error, counted from 1.
    pub const fn line(&self) -> usize {
        self.line
    }

    /// Description of the error, without file and line.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// How to correct the error.
    pub fn remedy(&self) -> &str {
        &self.remedy
    }
}

/// All errors in a settings file, in the order of their lines.
#[derive(Debug, Clone, Diagnostic)]
pub struct SettingsErrors {
    file: Arc<str>,
    #[related]
    errors: Vec<SettingsError>,
}

impl SettingsErrors {
    pub(crate) fn new(file: &Arc<str>, mut errors: Vec<SettingsError>) -> Self {
        errors.sort_by_key(|error| error.line);
        Self { file: Arc::clone(file), errors }
    }

    pub(crate) fn unreadable(file: &str, error: &io::Error) -> Self {
        let file: Arc<str> = Arc::from(file);
        let text: Arc<str> = Arc::from("");
        let message = format!("the file cannot be read: {error}");
        let remedy = "give the path of a readable settings file with --config".to_owned();
        let error = SettingsError::new(&file, &text, 0..0, message, remedy);
        Self::new(&file, vec![error])
    }

    /// The errors in the order of their lines; at least one.
    pub fn errors(&self) -> &[SettingsError] {
        &self.errors
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} has {} error(s)", self.file, self.errors.len())
    }
}

impl std::error::Error for SettingsErrors {}
