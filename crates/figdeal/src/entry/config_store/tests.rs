//! Tests of storing and activating configuration versions.

use std::path::Path;

use figdeal_config::Bundle;
use figdeal_control::types::{Digest, PublicKey};

use super::*;
use crate::control_client::to_control_bundle;

fn shared() -> Arc<SharedState> {
    Arc::new(SharedState::new(Rules::default(), false))
}

fn version(number: u64) -> Version {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kuorotee");
    Version {
        number,
        digest: Digest::of(&number.to_le_bytes()),
        bundle: to_control_bundle(&Bundle::read(&folder).unwrap()),
        signers: [1, 2].map(|n| PublicKey([n; 32])),
        time: UnixMillis(1),
    }
}

/// After a restart the age of the configuration must count from the last confirmation, not from the time of the change.
#[test]
fn a_restart_keeps_the_last_confirmation() {
    let folder = tempfile::tempdir().unwrap();
    let first = ConfigStore::open("hervanta", Some(folder.path()), shared()).unwrap();
    assert!(first.install_if_newer(version(1)).unwrap());
    let later = UnixMillis(UnixMillis::now().0 + 3_600_000);
    first.confirm_at(later);
    drop(first);
    let shared = shared();
    let second = ConfigStore::open("hervanta", Some(folder.path()), Arc::clone(&shared)).unwrap();
    assert_eq!(shared.active_config().unwrap().confirmed_at, later);
    // The confirmation of an older version does not apply to a newer one.
    assert!(second.install_if_newer(version(2)).unwrap());
    assert!(shared.active_config().unwrap().confirmed_at < later);
}

/// An entry that is not ready must state the reason.
#[test]
fn an_entry_without_a_version_names_the_reason() {
    let shared = shared();
    let reason = shared.unready_reason().unwrap();
    assert!(reason.contains("configuration"), "{reason}");
    let config_store = ConfigStore::open("hervanta", None, Arc::clone(&shared)).unwrap();
    assert!(config_store.install_if_newer(version(1)).unwrap());
    assert_ne!(shared.unready_reason(), Some(reason));
}
