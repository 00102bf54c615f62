//! What storage needs of a disk, and the disk that is a folder of files.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// What storage needs of a disk. Only synced bytes in files whose names are synced are sure to
/// last: a loss of power keeps or loses every other write and every other name by itself.
pub trait Disk {
    /// All bytes of a file; none if there is no such file.
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>>;
    /// Makes a file if there is none of this name.
    fn create(&mut self, file: &str) -> io::Result<()>;
    /// Makes the names of all files last.
    fn sync_names(&mut self) -> io::Result<()>;
    /// Overwrites in place; bytes beyond stay as they are.
    fn write(&mut self, file: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file; the space it held or had reserved may go to others.
    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()>;
    /// Makes all writes to a file last.
    fn sync(&mut self, file: &str) -> io::Result<()>;
    /// Takes space for the file's first `bytes` from the disk, for good, and leaves its content and
    /// length as they are.
    fn reserve(&mut self, file: &str, bytes: u64) -> io::Result<()>;
}

/// A disk that is a folder.
pub struct FolderDisk {
    folder: PathBuf,
    open: HashMap<String, File>,
}

impl FolderDisk {
    /// The folder is made if there is none, and its name lasts.
    pub fn new(folder: PathBuf) -> io::Result<Self> {
        let there = folder.is_dir();
        let missing: Vec<&Path> = folder
            .ancestors()
            .take_while(|at| !at.as_os_str().is_empty() && !at.exists())
            .collect();
        std::fs::create_dir_all(&folder)?;
        for made in missing {
            sync_parent(made)?;
        }
        if there {
            // A process that ended between making the folder and syncing its name left this to do.
            match sync_parent(&folder) {
                Err(error) if error.kind() == io::ErrorKind::PermissionDenied => {}
                other => other?,
            }
        }
        Ok(FolderDisk { folder, open: HashMap::new() })
    }

    fn file(&mut self, name: &str) -> io::Result<&File> {
        if !self.open.contains_key(name) {
            let path = self.folder.join(name);
            let file = OpenOptions::new().read(true).write(true).open(path)?;
            self.open.insert(name.to_string(), file);
        }
        Ok(&self.open[name])
    }
}

fn sync_parent(folder: &Path) -> io::Result<()> {
    let parent = match folder.parent() {
        Some(parent) if parent.as_os_str().is_empty() => Path::new("."),
        Some(parent) => parent,
        None => return Ok(()),
    };
    File::open(parent)?.sync_all()
}

impl Disk for FolderDisk {
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        let path = self.folder.join(file);
        match std::fs::read(path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            other => other,
        }
    }

    fn create(&mut self, file: &str) -> io::Result<()> {
        let path = self.folder.join(file);
        let made =
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        self.open.insert(file.to_string(), made);
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn write(&mut self, file: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.file(file)?.write_all_at(bytes, offset)
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        self.file(file)?.set_len(length)
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.file(file)?.sync_data()
    }

    fn reserve(&mut self, file: &str, bytes: u64) -> io::Result<()> {
        let file = self.file(file)?;
        let bytes = libc::off_t::try_from(bytes).map_err(io::Error::other)?;
        let keep_length = libc::FALLOC_FL_KEEP_SIZE;
        // SAFETY: the descriptor belongs to `file`, which outlives the call; no memory is passed.
        if unsafe { libc::fallocate(file.as_raw_fd(), keep_length, 0, bytes) } != 0 {
            return Err(io::Error::last_os_error());
        }
        file.sync_all()
    }
}
