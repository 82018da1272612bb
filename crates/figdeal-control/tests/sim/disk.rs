//! Folder in memory that loses unsynced work in a crash.

use std::{collections::BTreeMap, io};

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

/// The folder; changes to it since the last sync may be lost, one by one.
#[derive(Debug, Clone, Default)]
pub(crate) struct MemDisk {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    durable: BTreeMap<String, usize>,
    unsynced: Vec<Change>,
    /// Operations until the crash.
    pub crash_after: Option<u32>,
}

impl MemDisk {
    fn step(&mut self) -> io::Result<()> {
        if let Some(left) = &mut self.crash_after {
            if *left == 0 {
                return Err(io::Error::other("crash"));
            }
            *left -= 1;
        }
        Ok(())
    }

    fn apply(names: &mut BTreeMap<String, usize>, change: &Change) {
        match change {
            Change::Set(name, id) => drop(names.insert(name.clone(), *id)),
            Change::Rename(from, to, id) => {
                names.remove(from);
                names.insert(to.clone(), *id);
            }
            Change::Remove(name) => drop(names.remove(name)),
        }
    }

    fn change(&mut self, change: Change) {
        MemDisk::apply(&mut self.names, &change);
        self.unsynced.push(change);
    }

    /// What a power failure leaves: a subset of the unsynced changes, and torn contents.
    pub(crate) fn crash(mut self, rng: &mut SmallRng) -> MemDisk {
        let mut names = self.durable;
        for change in &self.unsynced {
            if rng.random_bool(0.5) {
                MemDisk::apply(&mut names, change);
            }
        }
        for content in &mut self.contents {
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
            .map(|id| self.contents[*id].clone())
            .collect();
        let names: BTreeMap<_, _> = names.into_keys().zip(0..).collect();
        MemDisk {
            contents,
            durable: names.clone(),
            names,
            unsynced: Vec::new(),
            crash_after: None,
        }
    }
}

impl Disk for MemDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let id = self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(self.contents[*id].bytes.clone())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.contents.push(Content {
            bytes: bytes.to_vec(),
            synced: false,
        });
        self.change(Change::Set(name.to_owned(), self.contents.len() - 1));
        self.step()
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let id = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        self.contents[id].synced = true;
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let id = *self.names.get(from).ok_or(io::ErrorKind::NotFound)?;
        self.change(Change::Rename(from.to_owned(), to.to_owned(), id));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.change(Change::Remove(name.to_owned()));
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        for change in std::mem::take(&mut self.unsynced) {
            MemDisk::apply(&mut self.durable, &change);
        }
        // Contents that no name refers to any more are dropped to bound memory.
        let ids: Vec<usize> = self.names.values().copied().collect();
        if self.contents.len() > 4 * ids.len() + 16 && self.durable == self.names {
            let kept = ids.iter().map(|id| self.contents[*id].clone()).collect();
            self.contents = kept;
            let names: Vec<String> = self.names.keys().cloned().collect();
            self.names = names.into_iter().zip(0..).collect();
            self.durable = self.names.clone();
        }
        Ok(())
    }
}
