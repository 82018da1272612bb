//! The configuration register as this program uses it: starting a replica, and calls of operators to the replicas.

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

/// Time limit of one call to one replica.
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// An isolated replica has to answer "unavailable" before the call ends.
const _: () = assert!(REQUEST_TIMEOUT.as_millis() + 500 <= CALL_LIMIT.as_millis());
/// Pause before the replicas are asked again.
const PAUSE: Duration = Duration::from_millis(200);

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// What failed in a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Step {
    /// connecting
    Connect,
    /// waiting for the reply
    Call,
    /// reaching a majority
    Majority,
}

/// {step} failed for control replica {peer}: {cause}
#[derive(Debug, Display)]
pub struct Error {
    /// What failed.
    pub step: Step,
    /// The replica.
    pub peer: SocketAddr,
    /// The cause in words.
    pub cause: String,
}

impl std::error::Error for Error {}

/// Opens the replica of the data folder of a process.
///
/// # Errors
/// The error of the storage.
pub fn open(folder: &Path) -> figdeal_control::node::Result<Node<Folder>> {
    let open_error = |cause| figdeal_control::store::Error::Io {
        step: "open the folder",
        cause,
    };
    let disk = Folder::open(&folder.join("control")).map_err(open_error)?;
    let verifier = Box::new(Ed25519Verifier::new(check));
    Node::open(disk, ReplicaId::random(), verifier, Timestamp::ZERO)
}

/// Checks a proposed configuration as `figdeal check` does.
fn check(bundle: &Bundle) -> std::result::Result<(), String> {
    bundle.check_files()?;
    to_config(bundle)
        .and_then(|b| b.check())
        .map_err(|problems| problems.to_string())
}

/// The bundle in the form of the configuration crate.
///
/// # Errors
/// The problems of the file names.
pub fn to_config(bundle: &Bundle) -> figdeal_config::Result<figdeal_config::Bundle> {
    let files = bundle
        .files
        .iter()
        .map(|f| (f.name.clone(), f.bytes.clone()));
    figdeal_config::Bundle::new(files.collect())
}

/// The bundle in the form of the register.
pub fn to_register(bundle: &figdeal_config::Bundle) -> Bundle {
    Bundle::new(
        bundle
            .files()
            .iter()
            .map(|(name, bytes)| (name.clone(), bytes.clone())),
    )
}

/// The public key in the form of the register.
pub fn public_key(key: &keys::PublicKey) -> PublicKey {
    PublicKey(key.to_bytes())
}

/// Signs a message in the form of the register.
pub fn sign(key: &keys::PrivateKey, message: &[u8]) -> Signature {
    Signature(key.sign(message).to_bytes().to_vec())
}

/// Calls to the replicas, each tried in turn.
#[derive(Debug)]
pub struct Client {
    replicas: Vec<SocketAddr>,
    limit: Duration,
}

impl Client {
    /// Creates a client that tries for at most `limit`.
    ///
    /// # Panics
    /// Panics without replicas.
    pub fn new(replicas: Vec<SocketAddr>, limit: Duration) -> Client {
        assert!(!replicas.is_empty(), "a client has replicas");
        Client { replicas, limit }
    }

    /// Runs a command. A resend after a lost answer carries the same request id and gets the first answer.
    ///
    /// # Errors
    /// The last error of a replica, when no replica reaches a majority in time.
    pub async fn command(&self, command: Command) -> Result<figdeal_control::command::Answer> {
        let reply = self
            .ask(|rpc| {
                let command = command.clone();
                async move { rpc.command(context(), command).await }
            })
            .await?;
        match reply {
            Reply::Answer(answer) => Ok(answer),
            other => Err(self.unexpected(&other)),
        }
    }

    /// Reads the state through a majority.
    ///
    /// # Errors
    /// The last error of a replica, when no replica reaches a majority in time.
    pub async fn read(&self) -> Result<RegisterState> {
        let reply = self
            .ask(|rpc| async move { rpc.read(context()).await })
            .await?;
        match reply {
            Reply::Current(state) => Ok((*state).clone()),
            other => Err(self.unexpected(&other)),
        }
    }

    async fn ask<F>(&self, call: impl Fn(ControlRpcClient) -> F) -> Result<Reply>
    where
        F: Future<Output = std::result::Result<Reply, tarpc::client::RpcError>>,
    {
        let start = Instant::now();
        loop {
            let mut last = None;
            for &peer in &self.replicas {
                match self.ask_one(peer, &call).await {
                    Ok(reply) => return Ok(reply),
                    Err(e) => last = Some(e),
                }
            }
            let last = last.expect("there is at least one replica");
            if start.elapsed() >= self.limit {
                return Err(last);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn ask_one<F>(
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
            Reply::Unavailable => Err(error(Step::Majority, &"no majority answered in time")),
            Reply::Busy => Err(error(Step::Call, &"too many requests wait")),
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
/// Says what is wrong with the text.
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

fn context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_LIMIT;
    context
}
