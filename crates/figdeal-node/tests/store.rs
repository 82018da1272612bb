//! Tests of the storage in the data folder: restarts, torn records, snapshots and node ids.

use std::{fs, path::Path};

use figdeal_node::store::{Error, Store, StoredState};
use figdeal_queue::raft::{
    Entry, HardState, NodeId, Payload, StorageWrite,
    log::{Position, Snapshot},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

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
        data: vec![5; 10].into(),
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

/// Writes a file with a snapshot and four entries, the last two in one record. Returns its bytes.
fn write_small_file(folder: &Path) -> Vec<u8> {
    let (mut store, _) = open(folder);
    store.write(&[entry(1, 1), entry(2, 1)]).unwrap();
    let snapshot = Snapshot {
        last: Position { term: 1, index: 1 },
        members: Vec::new(),
        data: vec![5; 200].into(),
    };
    store
        .write(&[StorageWrite::Snapshot(snapshot), entry(2, 1)])
        .unwrap();
    store.write(&[entry(3, 1)]).unwrap();
    store.write(&[entry(4, 2), entry(5, 2)]).unwrap();
    drop(store);
    fs::read(newest_file(folder)).unwrap()
}

/// Replaces the file by `bytes` and opens the store. Checks that a file which cannot be read stays as it is.
fn reopen(folder: &Path, bytes: &[u8]) -> Option<StoredState> {
    let path = newest_file(folder);
    fs::write(&path, bytes).unwrap();
    match Store::open(folder, NodeId(8)) {
        Ok((store, stored)) => {
            assert_eq!(store.id(), NodeId(7));
            Some(stored)
        }
        Err(Error::Damaged { path: named, .. } | Error::Format(named)) => {
            assert_eq!(named, path);
            assert_eq!(fs::read(&path).unwrap(), bytes, "the file was changed");
            None
        }
        Err(e) => panic!("{e}"),
    }
}

/// Guards against a snapshot that is written, synced and reported as durable, and taken for a torn record by the next
/// start because of its size.
#[test]
fn a_large_snapshot_survives_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    store.write(&[entry(1, 1)]).unwrap();
    let snapshot = Snapshot {
        last: Position { term: 1, index: 1 },
        members: Vec::new(),
        data: vec![5; 70 << 20].into(),
    };
    store
        .write(&[StorageWrite::Snapshot(snapshot.clone()), entry(2, 1)])
        .unwrap();
    drop(store);
    let (_, stored) = open(folder.path());
    assert_eq!(stored.log.last_index(), 2);
    assert!(stored.snapshot == Some(snapshot), "the snapshot is lost");
}

/// Guards against damage that is taken for a torn end, so that durable records after it are dropped and the node votes
/// without them. Flips each byte in several ways.
#[test]
fn a_flipped_byte_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    let whole = write_small_file(folder.path());
    for offset in 0..whole.len() {
        for flip in [0x01, 0x80, 0xff, whole[offset]]
            .into_iter()
            .filter(|f| *f != 0)
        {
            let mut damaged = whole.clone();
            damaged[offset] ^= flip;
            let opened = reopen(folder.path(), &damaged);
            // A zero in place of the last byte is also what a torn write leaves.
            let torn = offset + 1 == whole.len() && damaged[offset] == 0;
            assert_eq!(opened.is_some(), torn, "byte {offset} ^ {flip:#x}");
        }
    }
    assert!(reopen(folder.path(), &whole).is_some());
}

/// Guards against a cut file that hides whole records, or that is opened without its snapshot.
#[test]
fn a_cut_file_keeps_its_whole_records() {
    let folder = tempfile::tempdir().unwrap();
    let whole = write_small_file(folder.path());
    let mut last_indexes = Vec::new();
    for length in 0..whole.len() {
        let stored = reopen(folder.path(), &whole[..length]);
        if let Some(stored) = stored {
            let snapshot = stored.snapshot.expect("the snapshot is synced first");
            assert_eq!(snapshot.data.len(), 200);
            last_indexes.push(stored.log.last_index());
        }
    }
    assert!(last_indexes.is_sorted(), "{last_indexes:?}");
    last_indexes.dedup();
    // Entries 4 and 5 are in one record.
    assert_eq!(last_indexes, [2, 3]);
}

/// Guards against damage of any kind that is opened with other records than a prefix of those written.
#[test]
fn random_damage_is_reported_or_cuts_the_end() {
    let folder = tempfile::tempdir().unwrap();
    let whole = write_small_file(folder.path());
    let complete = reopen(folder.path(), &whole).unwrap();
    let mut rng = SmallRng::seed_from_u64(43);
    for case in 0..3_000 {
        let mut bytes = whole.clone();
        for _ in 0..rng.random_range(1..4) {
            damage(&mut rng, &mut bytes);
        }
        let Some(stored) = reopen(folder.path(), &bytes) else {
            continue;
        };
        assert_eq!(stored.snapshot, complete.snapshot, "case {case}");
        let last = stored.log.last_index();
        assert!((2..=5).contains(&last), "case {case}");
        for index in 2..=last {
            assert_eq!(
                stored.log.get(index),
                complete.log.get(index),
                "case {case}"
            );
        }
    }
}

fn damage(rng: &mut SmallRng, bytes: &mut Vec<u8>) {
    let start = rng.random_range(0..bytes.len());
    let end = rng.random_range(start..bytes.len()) + 1;
    match rng.random_range(0..5) {
        0 => bytes[start..end].fill(0),
        1 => rng.fill(&mut bytes[start..end]),
        2 if start > 0 => bytes.truncate(start),
        3 if end - start < bytes.len() => drop(bytes.drain(start..end)),
        _ => {
            let copied = bytes[start..end].to_vec();
            let at = rng.random_range(0..=bytes.len());
            drop(bytes.splice(at..at, copied));
        }
    }
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
