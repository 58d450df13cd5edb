//! The few file operations that storage rests on, behind a trait so that
//! tests can fail them at any point.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// File operations within one data folder.
///
/// What [`Disk::append`] wrote survives a crash only after [`Disk::sync`].
pub trait Disk: Send {
    /// The whole content of `file`, `None` when there is no such file.
    ///
    /// # Errors
    /// Passes on read errors.
    fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>>;

    /// Adds `bytes` at the end of `file`, which is created if needed.
    ///
    /// # Errors
    /// Passes on write errors, among them a full disk.
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes all that was appended to `file`, and the file's name, durable.
    ///
    /// # Errors
    /// Passes on sync errors.
    fn sync(&mut self, file: &str) -> io::Result<()>;

    /// Replaces `file` by `bytes` durably: after a crash it holds the old or
    /// the new content whole.
    ///
    /// # Errors
    /// Passes on write and sync errors.
    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// Removes `file` if it exists.
    ///
    /// # Errors
    /// Passes on errors other than that the file does not exist.
    fn remove(&mut self, file: &str) -> io::Result<()>;
}

/// A [`Disk`] in a folder of the file system.
#[derive(Debug)]
pub struct FolderDisk {
    folder: PathBuf,
    open: Option<(String, File)>,
}

impl FolderDisk {
    /// Uses `folder`, which is created if needed.
    ///
    /// # Errors
    /// Passes on errors of creating or syncing the folder.
    pub fn open(folder: impl Into<PathBuf>) -> io::Result<Self> {
        let folder = folder.into();
        fs::create_dir_all(&folder)?;
        let disk = Self { folder, open: None };
        disk.sync_folder()?;
        Ok(disk)
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    /// The handle of `file`, kept open between appends to the same file.
    fn handle(&mut self, file: &str) -> io::Result<&mut File> {
        let is_open = self.open.as_ref().is_some_and(|(name, _)| name == file);
        if !is_open {
            let path = self.folder.join(file);
            let existed = path.exists();
            let handle = OpenOptions::new().append(true).create(true).open(path)?;
            if !existed {
                self.sync_folder()?;
            }
            self.open = Some((file.to_string(), handle));
        }
        let (_, handle) = self.open.as_mut().ok_or_else(|| io::Error::other("file is not open"))?;
        Ok(handle)
    }
}

impl Disk for FolderDisk {
    fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.folder.join(file)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.handle(file)?.write_all(bytes)
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.handle(file)?.sync_data()
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.open = None;
        let staged = self.folder.join(format!("{file}.new"));
        let mut handle = File::create(&staged)?;
        handle.write_all(bytes)?;
        handle.sync_all()?;
        fs::rename(staged, self.folder.join(file))?;
        self.sync_folder()
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.open = None;
        match fs::remove_file(self.folder.join(file)) {
            Ok(()) => self.sync_folder(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            Err(error) => Err(error),
        }
    }
}
