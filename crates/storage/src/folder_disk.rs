//! A disk whose files are stored in one folder of a file system.

use crate::Disk;
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A disk whose files are stored in one folder of a file system.
pub struct FolderDisk {
    folder: PathBuf,
    open_files: HashMap<String, File>,
}

impl FolderDisk {
    /// Opens the disk in this folder. The folder and its parents are created if they do not exist,
    /// and the names of the created folders are synced.
    ///
    /// # Errors
    ///
    /// Errors of the file system.
    pub fn new(folder: PathBuf) -> io::Result<Self> {
        let existed = folder.is_dir();
        let missing: Vec<&Path> = folder
            .ancestors()
            .take_while(|ancestor| !ancestor.as_os_str().is_empty() && !ancestor.exists())
            .collect();
        std::fs::create_dir_all(&folder)?;
        for created in missing {
            sync_parent(created)?;
        }
        if existed {
            // An earlier process may have ended after creating the folder and before this sync.
            match sync_parent(&folder) {
                Err(error) if error.kind() == io::ErrorKind::PermissionDenied => {}
                other => other?,
            }
        }
        Ok(FolderDisk { folder, open_files: HashMap::new() })
    }

    fn file(&mut self, name: &str) -> io::Result<&File> {
        if !self.open_files.contains_key(name) {
            let path = self.folder.join(name);
            let file = OpenOptions::new().read(true).write(true).open(path)?;
            self.open_files.insert(name.to_string(), file);
        }
        Ok(&self.open_files[name])
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
        let created =
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        self.open_files.insert(file.to_string(), created);
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
        let mode = libc::FALLOC_FL_KEEP_SIZE;
        // SAFETY: the descriptor belongs to `file`, which outlives the call; no memory is passed.
        if unsafe { libc::fallocate(file.as_raw_fd(), mode, 0, bytes) } != 0 {
            return Err(io::Error::last_os_error());
        }
        file.sync_all()
    }
}
