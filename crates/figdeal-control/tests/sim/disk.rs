//! Folder in memory that loses unsynced work in a crash.

use std::{cell::RefCell, collections::BTreeMap, io, rc::Rc};

use figdeal_control::disk::Disk;
use rand::{Rng, rngs::SmallRng};

#[derive(Debug, Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: bool,
}

#[derive(Debug, Clone)]
enum Change {
    Set(String, usize),
    Rename(String, String, usize),
    Remove(String),
}

#[derive(Debug, Clone, Default)]
struct Inner {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    durable: BTreeMap<String, usize>,
    /// Changes to the folder since its last sync.
    unsynced: Vec<Change>,
    crash_after: Option<u32>,
}

/// Handle of a folder, which remains usable after the store that owns another handle has failed.
#[derive(Debug, Clone, Default)]
pub(crate) struct MemDisk(Rc<RefCell<Inner>>);

impl MemDisk {
    /// Fails every operation after the next `operations`.
    pub(crate) fn crash_after(&self, operations: u32) {
        self.0.borrow_mut().crash_after = Some(operations);
    }

    /// An independent folder: what a power failure leaves of this one. Each unsynced change of the folder is kept
    /// or lost, and unsynced contents are torn.
    pub(crate) fn crash(&self, rng: &mut SmallRng) -> MemDisk {
        let mut inner = self.0.borrow().clone();
        let mut names = inner.durable;
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
            durable: names.clone(),
            names,
            unsynced: Vec::new(),
            crash_after: None,
        })))
    }
}

impl Change {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            Change::Set(name, id) => drop(names.insert(name.clone(), *id)),
            Change::Rename(from, to, id) => {
                names.remove(from);
                names.insert(to.clone(), *id);
            }
            Change::Remove(name) => drop(names.remove(name)),
        }
    }
}

impl Inner {
    fn step(&mut self) -> io::Result<()> {
        match &mut self.crash_after {
            Some(0) => return Err(io::Error::other("crash")),
            Some(left) => *left -= 1,
            None => {}
        }
        Ok(())
    }

    fn change(&mut self, change: Change) {
        change.apply(&mut self.names);
        self.unsynced.push(change);
    }

    /// Drops contents that no name refers to any more, to bound memory.
    fn compact(&mut self) {
        if self.contents.len() <= 4 * self.names.len() + 16 || self.durable != self.names {
            return;
        }
        let ids = self.names.values();
        self.contents = ids.map(|id| self.contents[*id].clone()).collect();
        let names: Vec<String> = self.names.keys().cloned().collect();
        self.names = names.into_iter().zip(0..).collect();
        self.durable = self.names.clone();
    }
}

impl Disk for MemDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let inner = self.0.borrow();
        let id = inner.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(inner.contents[*id].bytes.clone())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.contents.push(Content {
            bytes: bytes.to_vec(),
            synced: false,
        });
        let id = inner.contents.len() - 1;
        inner.change(Change::Set(name.to_owned(), id));
        inner.step()
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.step()?;
        let id = *inner.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        inner.contents[id].synced = true;
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.step()?;
        let id = *inner.names.get(from).ok_or(io::ErrorKind::NotFound)?;
        inner.change(Change::Rename(from.to_owned(), to.to_owned(), id));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.step()?;
        inner.change(Change::Remove(name.to_owned()));
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.step()?;
        let Inner {
            durable, unsynced, ..
        } = &mut *inner;
        for change in unsynced.drain(..) {
            change.apply(durable);
        }
        inner.compact();
        Ok(())
    }
}
