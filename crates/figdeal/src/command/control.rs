//! `figdeal control`: initialises, shows and replaces control replicas.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use clap::{Args as ClapArgs, Subcommand};
use figdeal_config::keys::{PrivateKey, PublicKey};
use figdeal_control::{
    command::{Action, Answer, Command},
    sign::replace_message,
    state::Member,
    types::{ReplicaId, RequestId},
};
use serde_json::json;

use crate::{
    cli::Result,
    control_client::{Client, open_replica, parse_member, public_key, sign},
    settings::Settings,
};

/// Time after which a command that reaches no quorum is given up.
pub const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of `figdeal control`.
#[derive(Debug, ClapArgs)]
pub struct Args {
    #[command(subcommand)]
    action: ControlAction,
}

#[derive(Debug, Subcommand)]
enum ControlAction {
    /// Prints the id and address of the replica in the data folder; creates a replica in an empty folder
    Id {
        /// Settings of the process
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Initialises a founding replica; run it once on each founding VM, with the same owners and members
    Init {
        /// Settings of the process
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Public keys of the two co-owners
        #[arg(long = "owner", value_name = "KEY", num_args = 1, required = true)]
        owners: Vec<PublicKey>,
        /// All founding members as ID@IP:PORT
        #[arg(long = "member", value_name = "MEMBER", required = true, value_parser = parse_member)]
        members: Vec<Member>,
    },
    /// Shows the members and the active configuration number, read through a quorum
    Status {
        /// Addresses of control replicas
        #[arg(long = "control", value_name = "ADDRESS", required = true)]
        control: Vec<SocketAddr>,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Replaces a lost member
    Replace {
        /// Addresses of control replicas
        #[arg(long = "control", value_name = "ADDRESS", required = true)]
        control: Vec<SocketAddr>,
        /// Private key of a co-owner
        #[arg(long, value_name = "FILE")]
        key: PathBuf,
        /// Id of the lost member
        #[arg(long, value_name = "ID", value_parser = parse_id)]
        old: ReplicaId,
        /// The new member as ID@IP:PORT
        #[arg(long, value_name = "MEMBER", value_parser = parse_member)]
        new: Member,
    },
}

/// Runs a control command.
///
/// # Errors
/// Returns the error of the failed step; it names the step and the replica.
pub fn run(args: &Args) -> Result<ExitCode> {
    match &args.action {
        ControlAction::Id { settings } => {
            let settings = Settings::read(settings)?;
            let node = open_replica(&data_folder(&settings)?)?;
            println!("{}@{}", node.id(), settings.control.listen);
            Ok(ExitCode::SUCCESS)
        }
        ControlAction::Init {
            settings,
            owners,
            members,
        } => {
            let settings = Settings::read(settings)?;
            let [first, second] = owners.as_slice() else {
                return Err("--owner must be given twice".into());
            };
            let mut node = open_replica(&data_folder(&settings)?)?;
            node.init([public_key(first), public_key(second)], members.clone())?;
            println!("replica {} is a founding member", node.id());
            Ok(ExitCode::SUCCESS)
        }
        ControlAction::Status { control, json } => status(control, *json),
        ControlAction::Replace {
            control,
            key,
            old,
            new,
        } => replace(control, &PrivateKey::read(key)?, *old, new),
    }
}

/// Returns the data folder, in which the control replica has a subfolder.
///
/// # Errors
/// Fails when the settings name no data folder.
pub fn data_folder(settings: &Settings) -> Result<PathBuf> {
    Ok(settings
        .data_folder
        .clone()
        .ok_or("the settings have no data_folder, which the control role needs")?)
}

/// Runs the future of an operator command on a new single-threaded runtime.
///
/// # Errors
/// Fails when the runtime cannot be started.
pub fn block_on<T>(future: impl Future<Output = T>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(future))
}

fn status(control: &[SocketAddr], is_json: bool) -> Result<ExitCode> {
    let client = Client::new(control.to_vec(), COMMAND_TIMEOUT);
    let state = block_on(client.read())??;
    let members = state.members.newest();
    if is_json {
        let list: Vec<_> = members
            .iter()
            .map(|m| json!({ "id": m.id.to_string(), "address": m.address }))
            .collect();
        let pending = state
            .pending
            .as_ref()
            .map(|p| json!({ "number": p.number, "digest": p.digest.to_string() }));
        println!(
            "{}",
            json!({ "number": state.number, "epoch": state.members.epoch, "members": list,
                "replacing": state.members.is_joint(), "pending": pending })
        );
        return Ok(ExitCode::SUCCESS);
    }
    println!("number in force  {}", state.number);
    println!(
        "member epoch     {}{}",
        state.members.epoch,
        if state.members.is_joint() {
            " (replacement unfinished)"
        } else {
            ""
        }
    );
    for member in members {
        println!("member           {}@{}", member.id, member.address);
    }
    if let Some(pending) = &state.pending {
        println!(
            "pending          number {} digest {}",
            pending.number, pending.digest
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn replace(
    control: &[SocketAddr],
    key: &PrivateKey,
    old: ReplicaId,
    new: &Member,
) -> Result<ExitCode> {
    let client = Client::new(control.to_vec(), COMMAND_TIMEOUT);
    let answer = block_on(async {
        let epoch = client.read().await?.members.epoch;
        let signature = sign(key, &replace_message(epoch, old, new));
        let signer = public_key(&key.public());
        let action = Action::Replace {
            epoch,
            old,
            new: new.clone(),
            signer,
            signature,
        };
        client
            .command(Command {
                request: RequestId(rand::random()),
                action,
            })
            .await
    })??;
    match answer {
        Answer::Replaced { epoch } => {
            println!("member {old} is replaced by {} in epoch {epoch}", new.id);
            Ok(ExitCode::SUCCESS)
        }
        Answer::Refused(refusal) => Err(format!("refused: {refusal}").into()),
        other => Err(format!("unexpected answer {other:?}").into()),
    }
}

fn parse_id(text: &str) -> std::result::Result<ReplicaId, String> {
    u64::from_str_radix(text, 16)
        .map(ReplicaId)
        .map_err(|e| e.to_string())
}
