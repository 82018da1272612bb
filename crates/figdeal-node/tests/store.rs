//! The log in the data folder: restarts, torn ends, snapshots, identities.

use std::{fs, path::Path};

use figdeal_node::store::{Content, Store};
use figdeal_queue::raft::{
    Entry, HardState, NodeId, Payload, StorageWrite,
    log::{Position, Snapshot},
};

fn entry(index: u64, term: u64) -> StorageWrite {
    StorageWrite::Entry(Entry {
        index,
        term,
        payload: Payload::Data(vec![index as u8; 100]),
    })
}

fn open(folder: &Path) -> (Store, Content) {
    Store::open(folder, NodeId(7)).unwrap()
}

fn newest(folder: &Path) -> std::path::PathBuf {
    let files = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path());
    files
        .filter(|p| p.to_string_lossy().contains("log-"))
        .max()
        .unwrap()
}

/// Guards against a restart that forgets term, vote, entries or identity.
#[test]
fn restart_keeps_everything() {
    let folder = tempfile::tempdir().unwrap();
    let hard = HardState {
        term: 3,
        vote: Some(NodeId(9)),
    };
    let (mut store, empty) = open(folder.path());
    assert_eq!(empty.log.last_index(), 0);
    store
        .write(&[StorageWrite::HardState(hard), entry(1, 1), entry(2, 3)])
        .unwrap();
    // A later leader replaces an entry.
    store.write(&[entry(2, 4)]).unwrap();
    drop(store);
    let (store, content) = Store::open(folder.path(), NodeId(8)).unwrap();
    assert_eq!(store.id(), NodeId(7), "the identity is that of the store");
    assert_eq!(content.hard, hard);
    assert_eq!(content.log.last(), Position { term: 4, index: 2 });
}

/// Guards against a wiped disk whose node votes as if it remembered.
#[test]
fn empty_folder_takes_a_new_identity() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _) = open(folder.path());
    drop(store);
    fs::remove_file(newest(folder.path())).unwrap();
    let (store, _) = Store::open(folder.path(), NodeId(8)).unwrap();
    assert_eq!(store.id(), NodeId(8));
}

/// Guards against a torn or damaged end that hides entries written after it, at every length of the file.
#[test]
fn torn_end_is_cut_off() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    store.write(&[entry(1, 1)]).unwrap();
    let whole = fs::metadata(newest(folder.path())).unwrap().len();
    store.write(&[entry(2, 1)]).unwrap();
    drop(store);
    let path = newest(folder.path());
    let bytes = fs::read(&path).unwrap();
    for length in whole as usize..bytes.len() {
        let mut torn = bytes[..length].to_vec();
        // What follows a hole was written later and must not count.
        torn.resize(bytes.len(), 0);
        fs::write(&path, &torn).unwrap();
        let (mut store, content) = open(folder.path());
        assert_eq!(content.log.last_index(), 1, "cut at {length}");
        store.write(&[entry(2, 2)]).unwrap();
        drop(store);
        let (_, content) = open(folder.path());
        assert_eq!(
            content.log.last(),
            Position { term: 2, index: 2 },
            "cut at {length}"
        );
    }
}

/// Guards against a snapshot that loses the term, the entries after it, or space on the disk.
#[test]
fn snapshot_replaces_the_file() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    let hard = HardState {
        term: 2,
        vote: None,
    };
    store
        .write(&[
            StorageWrite::HardState(hard),
            entry(1, 1),
            entry(2, 2),
            entry(3, 2),
        ])
        .unwrap();
    let snapshot = Snapshot {
        last: Position { term: 2, index: 2 },
        members: Vec::new(),
        data: vec![5; 10],
    };
    store
        .write(&[StorageWrite::Snapshot(snapshot.clone()), entry(3, 2)])
        .unwrap();
    store.write(&[entry(4, 2)]).unwrap();
    drop(store);
    assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 1);
    let (_, content) = open(folder.path());
    assert_eq!((content.hard, content.snapshot), (hard, Some(snapshot)));
    assert_eq!(content.log.base().index, 2);
    assert_eq!(content.log.last_index(), 4);
}

/// Guards against a draft of a new file, left by a crash, that replaces the log.
#[test]
fn draft_is_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    store.write(&[entry(1, 1)]).unwrap();
    drop(store);
    fs::write(folder.path().join("draft"), b"half a file").unwrap();
    let (_, content) = open(folder.path());
    assert_eq!(content.log.last_index(), 1);
}
