//! `figdeal keys`: creates the key of a co-owner and shows its public part.

use std::{io::Write, path::PathBuf};

use clap::{Args, Subcommand};
use displaydoc::Display;
use figdeal_config::keys::{KeyError, PrivateKey};

/// Result of the command.
pub type Result<T> = std::result::Result<T, KeysError>;

/// Why the command failed.
#[derive(Debug, Display)]
pub enum KeysError {
    /// {0}
    Key(KeyError),
    /// cannot write the output: {0}
    Output(std::io::Error),
}

impl std::error::Error for KeysError {}

/// Create and show the keys of the co-owners
#[derive(Debug, Args)]
pub struct KeysArgs {
    /// What to do
    #[command(subcommand)]
    pub action: KeysAction,
}

/// Actions on keys.
#[derive(Debug, Subcommand)]
pub enum KeysAction {
    /// Create a private key in a new file and print the public key
    New {
        /// File to create, readable by its owner only
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Print the public key of a private key
    Show {
        /// File with the private key
        file: PathBuf,
    },
}

/// Creates or reads a key file and prints the public key to standard output.
///
/// # Errors
/// See [`write()`].
pub fn run(args: &KeysArgs) -> Result<()> {
    write(args, &mut std::io::stdout().lock())
}

/// Creates or reads a key file and prints the public key to `out`.
///
/// # Errors
/// Fails when the file exists (`new`), cannot be read or written, or is accessible by others than its owner.
pub fn write(args: &KeysArgs, out: &mut impl Write) -> Result<()> {
    let public = match &args.action {
        KeysAction::New { out } => create(out),
        KeysAction::Show { file } => PrivateKey::read(file).map(|key| key.public()),
    };
    let public = public.map_err(KeysError::Key)?;
    writeln!(out, "{public}").map_err(KeysError::Output)
}

fn create(path: &PathBuf) -> figdeal_config::keys::Result<figdeal_config::keys::PublicKey> {
    let key = PrivateKey::generate()?;
    key.write(path)?;
    Ok(key.public())
}
