//! Temporary folder for a test.

use std::{
    env, fs,
    path::{
        Path,
        PathBuf, //
    },
    process,
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
};

/// Number of folders created by this process, to give each a unique path.
static FOLDERS: AtomicU64 = AtomicU64::new(0);

/// A temporary folder, removed when the value is dropped.
pub struct TestFolder {
    path: PathBuf,
}

impl TestFolder {
    /// Creates an empty folder whose name begins with `name`.
    pub fn new(name: &str) -> Self {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("{name}-{}-{number}", process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Self { path }
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let removed = fs::remove_dir_all(&self.path);
        drop(removed);
    }
}
