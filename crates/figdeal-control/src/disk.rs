//! File operations of the store. They are a trait, so that tests can simulate a crash between any two operations.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Read, Write},
    path::{Path, PathBuf},
};

/// Operations on the files of one folder. File names have no path separator.
pub trait Disk {
    /// Returns the names of all files.
    ///
    /// # Errors
    /// Returns the error of the file system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a file.
    ///
    /// # Errors
    /// Returns the error of the file system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates or truncates a file and writes `bytes`. Does not sync.
    ///
    /// # Errors
    /// Returns the error of the file system.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Syncs the content of a file to disk.
    ///
    /// # Errors
    /// Returns the error of the file system.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing the target if it exists.
    ///
    /// # Errors
    /// Returns the error of the file system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Returns the error of the file system.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Syncs the folder itself, which makes renames and removals durable.
    ///
    /// # Errors
    /// Returns the error of the file system.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system, locked against use by a second process.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    handle: File,
    _lock: File,
}

/// Name of the lock file; it is locked while a replica uses the folder.
pub const LOCK_FILE: &str = "lock";

impl Folder {
    /// Opens and locks the folder, creating it if necessary.
    ///
    /// # Errors
    /// The error of the file system, with the path; [`io::ErrorKind::WouldBlock`] if another process has locked the
    /// folder.
    pub fn open(path: &Path) -> io::Result<Folder> {
        let context = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        fs::create_dir_all(path).map_err(context)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))
            .map_err(context)?;
        lock.try_lock().map_err(|e| context(e.into()))?;
        Ok(Folder {
            path: path.to_owned(),
            handle: File::open(path).map_err(context)?,
            _lock: lock,
        })
    }

    fn context(&self, name: &str, e: io::Error) -> io::Error {
        io::Error::new(e.kind(), format!("{}: {e}", self.path.join(name).display()))
    }
}

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path.join(name))
            .and_then(|mut f| f.read_to_end(&mut bytes))
            .map_err(|e| self.context(name, e))?;
        Ok(bytes)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        File::create(self.path.join(name))
            .and_then(|mut f| f.write_all(bytes))
            .map_err(|e| self.context(name, e))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        OpenOptions::new()
            .write(true)
            .open(self.path.join(name))
            .and_then(|f| f.sync_all())
            .map_err(|e| self.context(name, e))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to)).map_err(|e| self.context(from, e))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name)).map_err(|e| self.context(name, e))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.handle.sync_all().map_err(|e| self.context("", e))
    }
}
