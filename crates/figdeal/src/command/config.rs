//! `figdeal config`: proposes, signs and shows changes of the configuration.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use clap::{Args as ClapArgs, Subcommand};
use figdeal_config::{
    Bundle,
    keys::{PrivateKey, PublicKey},
};
use figdeal_control::{
    command::{Action, Answer, Command},
    sign::{change_digest, change_message, reject_message},
    state::{PendingChange, RegisterState},
    types::RequestId,
};
use serde_json::{Value, json};

use super::control::{COMMAND_TIMEOUT, block_on};
use crate::{
    cli::Result,
    control_client::{Client, public_key, sign, to_config_bundle, to_control_bundle},
};

/// Minimum number of hex digits of a digest that identify a proposal.
const MIN_DIGEST_DIGITS: usize = 8;

/// Options of `figdeal config`.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// Addresses of control replicas
    #[arg(
        long = "control",
        value_name = "ADDRESS",
        required = true,
        global = false
    )]
    control: Vec<SocketAddr>,
    /// Print JSON
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    action: ConfigAction,
}

#[derive(Debug, Subcommand)]
enum ConfigAction {
    /// Proposes the configuration in a folder and signs the proposal
    Propose {
        /// Folder with base.toml and sites/NAME.toml
        folder: PathBuf,
        /// Private key of the proposing co-owner
        #[arg(long, value_name = "FILE")]
        key: PathBuf,
        /// Number of the change; defaults to the one after the active number
        #[arg(long)]
        number: Option<u64>,
        /// Public keys that replace the keys of both owners; given twice or not at all
        #[arg(long = "new-owner", value_name = "KEY")]
        new_owners: Vec<PublicKey>,
        /// Request id of an earlier attempt whose answer was lost
        #[arg(long, value_name = "ID", value_parser = parse_request)]
        request: Option<RequestId>,
    },
    /// Signs the pending proposal; the second signature accepts it
    Sign {
        /// Private key of the signing co-owner
        #[arg(long, value_name = "FILE")]
        key: PathBuf,
        /// Digest that the owner reviewed, or at least its first 8 digits
        #[arg(long)]
        digest: String,
    },
    /// Rejects the pending proposal
    Reject {
        /// Private key of the rejecting co-owner
        #[arg(long, value_name = "FILE")]
        key: PathBuf,
        /// Digest of the proposal, or at least its first 8 digits
        #[arg(long)]
        digest: String,
    },
    /// Shows the active configuration, or the pending proposal
    Show {
        /// Show the pending proposal
        #[arg(long)]
        pending: bool,
        /// Show the configuration that this site gets, with the origin of each value
        #[arg(long, value_name = "NAME")]
        site: Option<String>,
    },
    /// Lists the accepted changes
    History,
    /// Compares the active configuration with the pending proposal or with a folder
    Diff {
        /// Folder to compare with
        folder: Option<PathBuf>,
    },
}

/// Runs a configuration command.
///
/// # Errors
/// Returns the failed step and the replica, or the reason for a refusal.
pub fn run(args: &Args) -> Result<ExitCode> {
    let client = Client::new(args.control.clone(), COMMAND_TIMEOUT);
    let state = block_on(client.read())??;
    match &args.action {
        ConfigAction::Propose {
            folder,
            key,
            number,
            new_owners,
            request,
        } => {
            let bundle = Bundle::read(folder)?;
            bundle.check()?;
            let key = PrivateKey::read(key)?;
            let command = propose(&state, &bundle, &key, *number, new_owners, *request)?;
            if !args.json {
                println!("request {:032x}", command.request.0);
            }
            let answer = block_on(client.command(command))??;
            print_answer(&answer, args.json)
        }
        ConfigAction::Sign { key, digest } => {
            let pending = find_pending(&state, digest)?;
            let key = PrivateKey::read(key)?;
            let message = change_message(pending.number, &pending.bundle, &pending.new_keys);
            let action = Action::Sign {
                number: pending.number,
                digest: pending.digest,
                signer: public_key(&key.public()),
                signature: sign(&key, &message),
            };
            print_answer(&block_on(client.command(new_command(action)))??, args.json)
        }
        ConfigAction::Reject { key, digest } => {
            let pending = find_pending(&state, digest)?;
            let key = PrivateKey::read(key)?;
            let message = reject_message(pending.number, &pending.digest, pending.request);
            let action = Action::Reject {
                number: pending.number,
                digest: pending.digest,
                signer: public_key(&key.public()),
                signature: sign(&key, &message),
            };
            print_answer(&block_on(client.command(new_command(action)))??, args.json)
        }
        ConfigAction::Show { pending, site } => show(&state, *pending, site.as_deref(), args.json),
        ConfigAction::History => history(&state, args.json),
        ConfigAction::Diff { folder } => diff(&state, folder.as_ref(), args.json),
    }
}

fn new_command(action: Action) -> Command {
    Command {
        request: RequestId(rand::random()),
        action,
    }
}

fn propose(
    state: &RegisterState,
    bundle: &Bundle,
    key: &PrivateKey,
    number: Option<u64>,
    new_owners: &[PublicKey],
    request: Option<RequestId>,
) -> Result<Command> {
    let new_keys = match new_owners {
        [] => None,
        [first, second] => Some([public_key(first), public_key(second)]),
        _ => return Err("--new-owner must be given twice or not at all".into()),
    };
    let number = number.unwrap_or(state.number + 1);
    let bundle = to_control_bundle(bundle);
    let signature = Some(sign(key, &change_message(number, &bundle, &new_keys)));
    let author = public_key(&key.public());
    let action = Action::Propose {
        number,
        bundle,
        author,
        new_keys,
        signature,
    };
    let request = request.unwrap_or_else(|| RequestId(rand::random()));
    Ok(Command { request, action })
}

/// Returns the pending proposal. Fails if its digest does not start with `digest`, the digits that the owner gives, or
/// is not the digest of its content.
fn find_pending<'a>(state: &'a RegisterState, digest: &str) -> Result<&'a PendingChange> {
    if digest.len() < MIN_DIGEST_DIGITS {
        return Err(format!("--digest needs at least {MIN_DIGEST_DIGITS} digits").into());
    }
    let pending = state
        .pending
        .as_ref()
        .ok_or("there is no pending proposal")?;
    let found = pending.digest.to_string();
    if !found.starts_with(&digest.to_lowercase()) {
        return Err(format!("the pending proposal has digest {found}").into());
    }
    if change_digest(pending.number, &pending.bundle, &pending.new_keys) != pending.digest {
        return Err("the digest of the proposal does not match its files".into());
    }
    Ok(pending)
}

fn print_answer(answer: &Answer, is_json: bool) -> Result<ExitCode> {
    let (outcome, number, digest, rest) = match answer {
        Answer::Pending {
            number,
            digest,
            missing,
        } => {
            let missing: Vec<String> = missing.iter().map(|k| k.to_string()).collect();
            ("pending", number, digest, json!({ "missing": missing }))
        }
        Answer::Accepted { number, digest } => ("accepted", number, digest, json!({})),
        Answer::Rejected { number, digest } => ("rejected", number, digest, json!({})),
        Answer::Replaced { .. } => return Err("unexpected answer of the control replicas".into()),
        Answer::Refused(refusal) => return Err(format!("refused: {refusal}").into()),
    };
    if is_json {
        let mut body =
            json!({ "outcome": outcome, "number": number, "digest": digest.to_string() });
        if let (Some(body), Value::Object(rest)) = (body.as_object_mut(), rest) {
            body.extend(rest);
        }
        println!("{body}");
    } else {
        println!("number {number} is {outcome}");
        println!("digest {digest}");
        for key in rest["missing"].as_array().into_iter().flatten() {
            println!(
                "needs the signature of {}",
                key.as_str().unwrap_or_default()
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn show(
    state: &RegisterState,
    is_pending: bool,
    site: Option<&str>,
    is_json: bool,
) -> Result<ExitCode> {
    let (number, bundle) = if is_pending {
        let pending = state
            .pending
            .as_ref()
            .ok_or("there is no pending proposal")?;
        (pending.number, &pending.bundle)
    } else {
        (state.number, &state.bundle)
    };
    if bundle.files.is_empty() {
        return Err("there is no active configuration yet".into());
    }
    let config = to_config_bundle(bundle)?;
    if let Some(site) = site {
        print!("{}", config.settings(site)?);
        return Ok(ExitCode::SUCCESS);
    }
    if is_json {
        let files: Vec<Value> = bundle
            .files
            .iter()
            .map(|f| json!({ "name": f.name, "text": String::from_utf8_lossy(&f.bytes) }))
            .collect();
        println!("{}", json!({ "number": number, "files": files }));
        return Ok(ExitCode::SUCCESS);
    }
    for file in &bundle.files {
        println!("# ---- {} of number {number}", file.name);
        println!("{}", String::from_utf8_lossy(&file.bytes));
    }
    Ok(ExitCode::SUCCESS)
}

fn history(state: &RegisterState, is_json: bool) -> Result<ExitCode> {
    for change in &state.history {
        let signers: Vec<String> = change.signers.iter().map(|k| k.to_string()).collect();
        if is_json {
            println!(
                "{}",
                json!({ "number": change.number, "digest": change.digest.to_string(),
                    "author": change.author.to_string(), "signers": signers, "time_ms": change.time.0 })
            );
        } else {
            println!("{:6}  {}  {}", change.number, change.time, change.digest);
            println!("        signed by {}", signers.join(" and "));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn diff(state: &RegisterState, folder: Option<&PathBuf>, is_json: bool) -> Result<ExitCode> {
    let next = match folder {
        Some(folder) => Bundle::read(folder)?,
        None => to_config_bundle(
            &state
                .pending
                .as_ref()
                .ok_or("there is no pending proposal")?
                .bundle,
        )?,
    };
    let diff = to_config_bundle(&state.bundle)?.diff(&next);
    if is_json {
        println!("{}", serde_json::to_string(&diff)?);
    } else {
        print!("{diff}");
    }
    Ok(ExitCode::SUCCESS)
}

fn parse_request(text: &str) -> std::result::Result<RequestId, String> {
    u128::from_str_radix(text, 16)
        .map(RequestId)
        .map_err(|e| e.to_string())
}
