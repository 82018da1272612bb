//! In-memory folder that loses unsynced writes in a simulated crash.

use std::{cell::RefCell, collections::BTreeMap, io, rc::Rc};

use figdeal_control::disk::Disk;
use rand::{Rng, rngs::SmallRng};

#[derive(Debug, Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: bool,
}

/// Change of the folder; file contents are named by their index in `contents`.
#[derive(Debug, Clone)]
enum FolderChange {
    Set(String, usize),
    Rename(String, String, usize),
    Remove(String),
}

#[derive(Debug, Clone, Default)]
struct Inner {
    contents: Vec<Content>,
    files: BTreeMap<String, usize>,
    durable_files: BTreeMap<String, usize>,
    /// Changes of the folder since its last sync.
    unsynced: Vec<FolderChange>,
    crash_after: Option<u32>,
}

/// Handle of an in-memory folder. Clones refer to the same folder, so a test can use it after a store has failed.
#[derive(Debug, Clone, Default)]
pub(crate) struct MemDisk(Rc<RefCell<Inner>>);

impl MemDisk {
    /// Lets the next `operations` operations succeed and all later ones fail.
    pub(crate) fn crash_after(&self, operations: u32) {
        self.0.borrow_mut().crash_after = Some(operations);
    }

    /// Returns an independent folder in a state that this one could have after a power failure: each unsynced change
    /// of the folder is kept or lost at random, and unsynced contents are truncated and damaged.
    pub(crate) fn crash(&self, rng: &mut SmallRng) -> MemDisk {
        let mut inner = self.0.borrow().clone();
        let mut names = inner.durable_files;
        for change in &inner.unsynced {
            if rng.random_bool(0.5) {
                change.apply(&mut names);
            }
        }
        for content in &mut inner.contents {
            if !content.synced {
                content
                    .bytes
                    .truncate(rng.random_range(0..=content.bytes.len()));
                if let Some(last) = content.bytes.last_mut() {
                    *last ^= 0x55;
                }
                content.synced = true;
            }
        }
        let contents = names
            .values()
            .map(|id| inner.contents[*id].clone())
            .collect();
        let names: BTreeMap<_, _> = names.into_keys().zip(0..).collect();
        MemDisk(Rc::new(RefCell::new(Inner {
            contents,
            durable_files: names.clone(),
            files: names,
            unsynced: Vec::new(),
            crash_after: None,
        })))
    }
}

impl FolderChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            FolderChange::Set(name, id) => drop(names.insert(name.clone(), *id)),
            FolderChange::Rename(from, to, id) => {
                names.remove(from);
                names.insert(to.clone(), *id);
            }
            FolderChange::Remove(name) => drop(names.remove(name)),
        }
    }
}

impl Inner {
    fn count_operation(&mut self) -> io::Result<()> {
        match &mut self.crash_after {
            Some(0) => return Err(io::Error::other("crash")),
            Some(left) => *left -= 1,
            None => {}
        }
        Ok(())
    }

    fn change(&mut self, change: FolderChange) {
        change.apply(&mut self.files);
        self.unsynced.push(change);
    }

    /// Drops contents that no file refers to any more, to bound memory.
    fn compact(&mut self) {
        if self.contents.len() <= 4 * self.files.len() + 16 || self.durable_files != self.files {
            return;
        }
        let ids = self.files.values();
        self.contents = ids.map(|id| self.contents[*id].clone()).collect();
        let names: Vec<String> = self.files.keys().cloned().collect();
        self.files = names.into_iter().zip(0..).collect();
        self.durable_files = self.files.clone();
    }
}

impl Disk for MemDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let inner = self.0.borrow();
        let id = inner.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(inner.contents[*id].bytes.clone())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.contents.push(Content {
            bytes: bytes.to_vec(),
            synced: false,
        });
        let id = inner.contents.len() - 1;
        inner.change(FolderChange::Set(name.to_owned(), id));
        inner.count_operation()
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.count_operation()?;
        let id = *inner.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        inner.contents[id].synced = true;
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.count_operation()?;
        let id = *inner.files.get(from).ok_or(io::ErrorKind::NotFound)?;
        inner.change(FolderChange::Rename(from.to_owned(), to.to_owned(), id));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.count_operation()?;
        inner.change(FolderChange::Remove(name.to_owned()));
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.count_operation()?;
        let Inner {
            durable_files,
            unsynced,
            ..
        } = &mut *inner;
        for change in unsynced.drain(..) {
            change.apply(durable_files);
        }
        inner.compact();
        Ok(())
    }
}
