//! Replicated register for the configuration. Its value, [`state::RegisterState`], consists of the configuration files,
//! the owners, a pending change, the members, and the last requests and changes. It is replicated by Paxos: each change
//! runs a prepare and an accept phase over the whole state.
//!
//! The modules [`apply`], [`acceptor`] and [`proposer`] do no I/O: they take messages and the time as input and return
//! what has to be stored and sent. [`node`] combines them with the [`store`] into one replica, and [`driver`] runs that
//! replica over TCP.
//!
//! ```
//! use figdeal_control::{
//!     disk::Folder, node::{Output, Node}, proposer::{ClientId, ClockReading, Reply}, sign::Ed25519Verifier,
//!     state::Member,
//!     types::{Bundle, PublicKey, ReplicaId},
//! };
//! use figdeal_core::time::{Timestamp, UnixMillis};
//!
//! let root = tempfile::tempdir().unwrap();
//! let folder = Folder::open(root.path()).unwrap();
//! let verifier = Box::new(Ed25519Verifier::new(Bundle::check_files));
//! let mut node = Node::open(folder, ReplicaId::random(), verifier, Timestamp::ZERO).unwrap();
//! assert!(!node.is_member());
//!
//! let member = Member { id: node.id(), address: "127.0.0.1:7001".to_owned() };
//! node.init([PublicKey([1; 32]), PublicKey([2; 32])], vec![member]).unwrap();
//! let clock = ClockReading { now: Timestamp::ZERO, wall: UnixMillis::now() };
//! let actions = node.read(ClientId(1), clock).unwrap();
//! let [Output::Reply { reply: Reply::Current(state), .. }] = &actions[..] else {
//!     panic!("one replica is its own majority");
//! };
//! assert_eq!(state.number, 0);
//! assert_eq!(node.poll(0), None);
//! ```

pub mod acceptor;
pub mod apply;
pub mod command;
pub mod delta;
pub mod disk;
pub mod driver;
pub mod message;
pub mod node;
pub mod proposer;
pub mod sign;
pub mod state;
pub mod store;
pub mod types;
