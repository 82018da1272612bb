//! Control replica of the demo; the demo also signs for both co-owners.

use std::{net::SocketAddr, path::Path};

use figdeal_config::{Bundle, keys::PrivateKey};
use figdeal_control::{
    command::{Action, Answer, Command},
    driver::{ReplicaHandle, serve},
    sign::change_message,
    state::Member,
    types::RequestId,
};

use crate::{
    cli::Result,
    command::control::COMMAND_TIMEOUT,
    control_client::{Client, open_replica, public_key, sign, to_control_bundle},
};

/// Starts a control replica with a configuration that both co-owners have signed.
///
/// # Errors
/// Fails when the replica cannot be started or refuses the change.
pub(super) async fn start(
    folder: &Path,
    listen: SocketAddr,
    bundle: &Bundle,
) -> Result<ReplicaHandle> {
    let owners = [PrivateKey::generate()?, PrivateKey::generate()?];
    let keys = [0, 1].map(|i| public_key(&owners[i].public()));
    // The address in the member list is not used, because a single replica sends nothing to others.
    let mut node = open_replica(folder)?;
    let member = Member {
        id: node.id(),
        address: listen.to_string(),
    };
    node.init(keys, vec![member])?;
    let control = serve(node, listen).await?;
    let client = Client::new(vec![control.address], COMMAND_TIMEOUT);
    let bundle = to_control_bundle(bundle);
    let message = change_message(1, &bundle, &None);
    let propose = Action::Propose {
        number: 1,
        bundle,
        author: keys[0],
        new_keys: None,
        signature: Some(sign(&owners[0], &message)),
    };
    let answer = client.command(command(propose)).await?;
    let Answer::Pending { number, digest, .. } = answer else {
        return Err(format!("step propose: unexpected answer {answer:?}").into());
    };
    let signature = sign(&owners[1], &message);
    let second = Action::Sign {
        number,
        digest,
        signer: keys[1],
        signature,
    };
    match client.command(command(second)).await? {
        Answer::Accepted { .. } => Ok(control),
        answer => Err(format!("step sign: unexpected answer {answer:?}").into()),
    }
}

fn command(action: Action) -> Command {
    Command {
        request: RequestId(rand::random()),
        action,
    }
}
