//! `check`: lists every problem of settings and record files.

use std::fmt;
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use serde::Serialize;

use super::wants_json;
use crate::context::Context;
use crate::documents::{self, Document};
use crate::error::{CliError, ExitStatus};
use crate::record_check::check_record;

/// Problem of a file, as printed.
#[derive(Debug, Serialize)]
struct FileProblem {
    file: PathBuf,
    /// Position of the document in the file, from 1; `None` for settings and for files whose
    /// documents cannot be read.
    document: Option<usize>,
    message: String,
}

pub(super) fn run(matches: &ArgMatches, context: &mut Context<'_>) -> Result<ExitStatus, CliError> {
    let files: Vec<&PathBuf> = matches.get_many("file").into_iter().flatten().collect();
    let mut problems = Vec::new();
    for file in &files {
        problems.extend(check_file(file)?);
    }
    if wants_json(matches) {
        context.result(&serde_json::to_string_pretty(&problems)?)?;
    } else {
        for problem in &problems {
            context.result(&problem.to_string())?;
        }
    }
    context.message(&summary(files.len(), problems.len()))?;
    Ok(if problems.is_empty() { ExitStatus::Done } else { ExitStatus::Refused })
}

fn check_file(file: &Path) -> Result<Vec<FileProblem>, CliError> {
    let documents = match documents::read(file) {
        Ok(documents) => documents,
        // A readable file with invalid content is a result of the check, not an error.
        Err(CliError::InvalidFile { path, problem }) => {
            return Ok(vec![FileProblem { file: path, document: None, message: problem }]);
        }
        Err(error) => return Err(error),
    };
    if documents.iter().all(|document| !document.is_record()) {
        return Ok(check_settings(file));
    }
    Ok(documents.iter().flat_map(check_document).collect())
}

fn check_settings(file: &Path) -> Vec<FileProblem> {
    let problems = yuccatack_settings::check(file);
    let without_file = |mut problem: yuccatack_settings::Problem| {
        problem.file = None;
        FileProblem { file: file.to_path_buf(), document: None, message: problem.to_string() }
    };
    problems.into_iter().map(without_file).collect()
}

fn check_document(document: &Document) -> Vec<FileProblem> {
    let messages = if document.is_record() {
        check_record(&document.content)
    } else {
        vec![
            "settings cannot share a file with records; move them to a file of their own"
                .to_owned(),
        ]
    };
    let problem = |message| FileProblem {
        file: document.file.clone(),
        document: Some(document.number),
        message,
    };
    messages.into_iter().map(problem).collect()
}

fn summary(file_count: usize, problem_count: usize) -> String {
    let files = plural(file_count, "file");
    match problem_count {
        0 => format!("{files} checked, no problem found"),
        count => format!("{files} checked, {} found", plural(count, "problem")),
    }
}

fn plural(count: usize, noun: &str) -> String {
    match count {
        1 => format!("1 {noun}"),
        _ => format!("{count} {noun}s"),
    }
}

impl fmt::Display for FileProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.file.display())?;
        if let Some(number) = self.document {
            write!(formatter, "document {number}: ")?;
        }
        formatter.write_str(&self.message)
    }
}
