//! Access to the replicated configuration: opening a control replica, and a client for operator commands.

use std::{
    fmt,
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

use displaydoc::Display;
use figdeal_config::keys;
use figdeal_control::{
    command::Command,
    disk::Folder,
    driver::{ControlRpcClient, connect},
    node::Node,
    proposer::{REQUEST_TIMEOUT, Reply},
    sign::Ed25519Verifier,
    state::{Member, RegisterState},
    types::{Bundle, PublicKey, ReplicaId, Signature},
};
use figdeal_core::time::Timestamp;
use tarpc::context;

/// Timeout of one call to one replica.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
// An isolated replica must have time to answer "unavailable" before the call times out.
const _: () = assert!(REQUEST_TIMEOUT.as_millis() + 500 <= CALL_TIMEOUT.as_millis());
/// Delay before all replicas are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Step of a call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Step {
    /// connecting
    Connect,
    /// waiting for the reply
    Call,
    /// reaching a majority
    Quorum,
}

/// {step} failed for control replica {peer}: {cause}
#[derive(Debug, Display)]
pub struct Error {
    /// Step that failed.
    pub step: Step,
    /// Address of the replica.
    pub peer: SocketAddr,
    /// Text of the error.
    pub cause: String,
}

impl std::error::Error for Error {}

/// Opens the control replica in the data folder of a process; creates one if there is none.
///
/// # Errors
/// Returns the error of the storage.
pub fn open_replica(folder: &Path) -> figdeal_control::node::Result<Node<Folder>> {
    let open_error = |cause| figdeal_control::store::Error::Io {
        step: "open the folder",
        cause,
    };
    let disk = Folder::open(&folder.join("control")).map_err(open_error)?;
    let verifier = Box::new(Ed25519Verifier::new(check));
    Node::open(disk, ReplicaId::random(), verifier, Timestamp::ZERO)
}

/// Checks a proposed configuration like `figdeal check`.
fn check(bundle: &Bundle) -> std::result::Result<(), String> {
    bundle.check_files()?;
    to_config_bundle(bundle)
        .and_then(|b| b.check())
        .map_err(|problems| problems.to_string())
}

/// Converts a bundle of the control replicas to the type of the configuration crate.
///
/// # Errors
/// Returns the problems of the file names.
pub fn to_config_bundle(bundle: &Bundle) -> figdeal_config::Result<figdeal_config::Bundle> {
    let files = bundle
        .files
        .iter()
        .map(|f| (f.name.clone(), f.bytes.clone()));
    figdeal_config::Bundle::new(files.collect())
}

/// Converts a bundle of the configuration crate to the type of the control replicas.
pub fn to_control_bundle(bundle: &figdeal_config::Bundle) -> Bundle {
    Bundle::new(
        bundle
            .files()
            .iter()
            .map(|(name, bytes)| (name.clone(), bytes.clone())),
    )
}

/// Converts a public key to the type of the control replicas.
pub fn public_key(key: &keys::PublicKey) -> PublicKey {
    PublicKey(key.to_bytes())
}

/// Signs a message and returns the signature in the type of the control replicas.
pub fn sign(key: &keys::PrivateKey, message: &[u8]) -> Signature {
    Signature(key.sign(message).to_bytes().to_vec())
}

/// Client of the control replicas; tries them in turn.
#[derive(Debug)]
pub struct Client {
    replicas: Vec<SocketAddr>,
    timeout: Duration,
}

impl Client {
    /// Creates a client that starts no further round of attempts after `timeout`.
    ///
    /// # Panics
    /// Panics if `replicas` is empty.
    pub fn new(replicas: Vec<SocketAddr>, timeout: Duration) -> Client {
        assert!(!replicas.is_empty(), "a client needs at least one replica");
        Client { replicas, timeout }
    }

    /// Runs a command. A retry after a lost answer has the same request id and gets the original answer.
    ///
    /// # Errors
    /// Returns the last error of a replica if none reaches a quorum in time.
    pub async fn command(&self, command: Command) -> Result<figdeal_control::command::Answer> {
        let reply = self
            .call_any(|rpc| {
                let command = command.clone();
                async move { rpc.command(call_context(), command).await }
            })
            .await?;
        match reply {
            Reply::Answer(answer) => Ok(answer),
            other => Err(self.unexpected(&other)),
        }
    }

    /// Reads the state through a quorum.
    ///
    /// # Errors
    /// Returns the last error of a replica if none reaches a quorum in time.
    pub async fn read(&self) -> Result<RegisterState> {
        let reply = self
            .call_any(|rpc| async move { rpc.read(call_context()).await })
            .await?;
        match reply {
            Reply::Current(state) => Ok((*state).clone()),
            other => Err(self.unexpected(&other)),
        }
    }

    async fn call_any<F>(&self, call: impl Fn(ControlRpcClient) -> F) -> Result<Reply>
    where
        F: Future<Output = std::result::Result<Reply, tarpc::client::RpcError>>,
    {
        let start = Instant::now();
        loop {
            let mut last = None;
            for &peer in &self.replicas {
                match self.call_replica(peer, &call).await {
                    Ok(reply) => return Ok(reply),
                    Err(e) => last = Some(e),
                }
            }
            let last = last.expect("there is at least one replica");
            if start.elapsed() >= self.timeout {
                return Err(last);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn call_replica<F>(
        &self,
        peer: SocketAddr,
        call: impl Fn(ControlRpcClient) -> F,
    ) -> Result<Reply>
    where
        F: Future<Output = std::result::Result<Reply, tarpc::client::RpcError>>,
    {
        let error = |step, cause: &dyn fmt::Display| Error {
            step,
            peer,
            cause: cause.to_string(),
        };
        let rpc = connect(peer).await.map_err(|e| error(Step::Connect, &e))?;
        match call(rpc).await.map_err(|e| error(Step::Call, &e))? {
            Reply::Unavailable => Err(error(Step::Quorum, &"no majority answered in time")),
            Reply::Busy => Err(error(Step::Call, &"too many requests are waiting")),
            Reply::NotMember => Err(error(Step::Call, &"the replica is not a member")),
            reply => Ok(reply),
        }
    }

    fn unexpected(&self, reply: &Reply) -> Error {
        let cause = format!("unexpected reply {reply:?}");
        Error {
            step: Step::Call,
            peer: self.replicas[0],
            cause,
        }
    }
}

/// Parses `ID@ADDRESS`, as `figdeal control id` prints it.
///
/// # Errors
/// Returns a description of the problem.
pub fn parse_member(text: &str) -> std::result::Result<Member, String> {
    let (id, address) = text
        .split_once('@')
        .ok_or("must have the form ID@IP:PORT")?;
    let id = u64::from_str_radix(id, 16).map_err(|e| format!("ID {id:?}: {e}"))?;
    let address: SocketAddr = address
        .parse()
        .map_err(|e| format!("address {address:?}: {e}"))?;
    Ok(Member {
        id: ReplicaId(id),
        address: address.to_string(),
    })
}

fn call_context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}
