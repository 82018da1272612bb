//! `figdeal completions` and `figdeal man`: files generated from the command line definition.

use std::{fs, io::Write, path::PathBuf};

use clap::{Args as ClapArgs, Command, CommandFactory};
use clap_complete::Shell;

use crate::cli;

/// Options of `figdeal completions`.
#[derive(Debug, ClapArgs)]
pub struct CompletionArgs {
    /// Shell for which the script is generated
    shell: Shell,
    /// Completions of figdeal-agent instead of figdeal
    #[arg(long)]
    agent: bool,
}

/// Options of `figdeal man`.
#[derive(Debug, ClapArgs)]
pub struct ManArgs {
    /// Folder for the pages of figdeal and figdeal-agent
    #[arg(value_name = "DIR")]
    folder: PathBuf,
}

/// Prints a completion script.
///
/// # Errors
/// Fails when the output cannot be written.
pub fn completions(args: &CompletionArgs, out: &mut dyn Write) -> cli::Result<u8> {
    let (mut command, name) = match args.agent {
        true => (figdeal_agent::cli::Cli::command(), "figdeal-agent"),
        false => (cli::Cli::command(), "figdeal"),
    };
    clap_complete::generate(args.shell, &mut command, name, &mut &mut *out);
    Ok(0)
}

/// Writes the man pages.
///
/// # Errors
/// Fails when the folder cannot be written.
pub fn man(args: &ManArgs) -> cli::Result<u8> {
    let error = |e| format!("step man, folder {}: {e}", args.folder.display());
    fs::create_dir_all(&args.folder).map_err(error)?;
    let commands: [Command; 2] = [cli::Cli::command(), figdeal_agent::cli::Cli::command()];
    for command in commands {
        clap_mangen::generate_to(command, &args.folder).map_err(error)?;
    }
    Ok(0)
}
