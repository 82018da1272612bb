//! Tests of the storage in the data folder: restarts, torn records, snapshots and node ids.

use std::{fs, path::Path};

use figdeal_node::store::{Store, StoredState};
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

fn open(folder: &Path) -> (Store, StoredState) {
    Store::open(folder, NodeId(7)).unwrap()
}

fn newest_file(folder: &Path) -> std::path::PathBuf {
    let files = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path());
    files
        .filter(|p| p.to_string_lossy().contains("log-"))
        .max()
        .unwrap()
}

/// Guards against a restart that loses the term, the vote, log entries or the node id.
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
    // A later leader overwrites an entry.
    store.write(&[entry(2, 4)]).unwrap();
    drop(store);
    let (store, stored) = Store::open(folder.path(), NodeId(8)).unwrap();
    assert_eq!(store.id(), NodeId(7), "the node id is that of the store");
    assert_eq!(stored.hard_state, hard);
    assert_eq!(stored.log.last(), Position { term: 4, index: 2 });
}

/// Guards against a node with a wiped disk that keeps its node id and votes as if it still had its log.
#[test]
fn empty_folder_gets_a_new_node_id() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _) = open(folder.path());
    drop(store);
    fs::remove_file(newest_file(folder.path())).unwrap();
    let (store, _) = Store::open(folder.path(), NodeId(8)).unwrap();
    assert_eq!(store.id(), NodeId(8));
}

/// Guards against a torn record at the end of the file that hides records written later. Tries every length of the torn
/// record.
#[test]
fn torn_end_is_cut_off() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    store.write(&[entry(1, 1)]).unwrap();
    let length_before = fs::metadata(newest_file(folder.path())).unwrap().len();
    store.write(&[entry(2, 1)]).unwrap();
    drop(store);
    let path = newest_file(folder.path());
    let bytes = fs::read(&path).unwrap();
    for length in length_before as usize..bytes.len() {
        let mut torn = bytes[..length].to_vec();
        // Pads the torn record with zeros to the former length of the file. What follows must be ignored.
        torn.resize(bytes.len(), 0);
        fs::write(&path, &torn).unwrap();
        let (mut store, stored) = open(folder.path());
        assert_eq!(stored.log.last_index(), 1, "cut at {length}");
        store.write(&[entry(2, 2)]).unwrap();
        drop(store);
        let (_, stored) = open(folder.path());
        assert_eq!(
            stored.log.last(),
            Position { term: 2, index: 2 },
            "cut at {length}"
        );
    }
}

/// Guards against a snapshot that loses the term or later log entries, or keeps the old file.
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
    let (_, stored) = open(folder.path());
    assert_eq!((stored.hard_state, stored.snapshot), (hard, Some(snapshot)));
    assert_eq!(stored.log.base().index, 2);
    assert_eq!(stored.log.last_index(), 4);
}

/// Guards against an incomplete temporary file, left by a crash, that replaces the log.
#[test]
fn temporary_file_is_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    store.write(&[entry(1, 1)]).unwrap();
    drop(store);
    fs::write(folder.path().join("draft"), b"half a file").unwrap();
    let (_, stored) = open(folder.path());
    assert_eq!(stored.log.last_index(), 1);
}
