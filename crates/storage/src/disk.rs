use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

/// What storage needs of a disk; only synced writes are sure to last.
pub trait Disk {
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>>;
    fn write(&mut self, file: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()>;
    fn sync(&mut self, file: &str) -> io::Result<()>;
}

pub struct FolderDisk {
    folder: PathBuf,
    open: HashMap<String, File>,
}

impl FolderDisk {
    pub fn new(folder: PathBuf) -> io::Result<Self> {
        std::fs::create_dir_all(&folder)?;
        Ok(FolderDisk { folder, open: HashMap::new() })
    }

    fn file(&mut self, name: &str) -> io::Result<&File> {
        if !self.open.contains_key(name) {
            let path = self.folder.join(name);
            let made = !path.exists();
            let file = OpenOptions::new()
                .read(true)
                .write(true)
                .create(true)
                .truncate(false)
                .open(path)?;
            if made {
                file.sync_all()?;
                File::open(&self.folder)?.sync_all()?;
            }
            self.open.insert(name.to_string(), file);
        }
        Ok(&self.open[name])
    }
}

impl Disk for FolderDisk {
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        let path = self.folder.join(file);
        match std::fs::read(path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            other => other,
        }
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
}
