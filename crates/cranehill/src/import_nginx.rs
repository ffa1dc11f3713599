//! `cranehill import-nginx`: converts an nginx configuration to a Web Push file on standard output.

use std::path::PathBuf;

use crate::input::{InputError, read_text};
use crate::nginx::{self, NginxError};

/// The arguments of `import-nginx`.
#[derive(Clone, Debug, clap::Args)]
pub struct ImportNginxArgs {
    /// The nginx configuration.
    #[arg(value_name = "FILE")]
    file: PathBuf,
}

/// The configuration can't be imported.
#[derive(Debug, thiserror::Error)]
pub enum ImportNginxError {
    /// The nginx configuration can't be read.
    #[error(transparent)]
    Input(#[from] InputError),
    /// The nginx configuration is invalid.
    #[error("{path}: {source}")]
    Nginx {
        /// The nginx configuration.
        path: PathBuf,
        /// The cause, with its line.
        source: NginxError,
    },
    /// The Web Push file can't be written as TOML.
    #[error("{path}: {source}")]
    Toml {
        /// The nginx configuration.
        path: PathBuf,
        /// Why serialization failed.
        source: toml::ser::Error,
    },
}

/// Prints the Web Push file; directives without a counterpart in it are listed with their lines on standard error.
pub fn run(args: &ImportNginxArgs) -> Result<(), ImportNginxError> {
    let path = &args.file;
    let text = read_text(path)?;
    let imported = nginx::import(&text).map_err(|source| ImportNginxError::Nginx {
        path: path.clone(),
        source,
    })?;
    for (line, what) in &imported.left_out {
        eprintln!("{}: line {line}: not carried over: {what}", path.display());
    }
    let file = toml::to_string(&imported.file).map_err(|source| ImportNginxError::Toml {
        path: path.clone(),
        source,
    })?;
    print!("{file}");
    Ok(())
}
