//! A folder of its own for a test, removed at the test's end.

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

/// Folders made so far by this process.
static FOLDERS: AtomicU64 = AtomicU64::new(0);

/// A folder that goes with its value.
pub struct TestFolder {
    /// Path.
    path: PathBuf,
}

impl TestFolder {
    /// An empty folder.
    pub fn new(name: &str) -> Self {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("{name}-{}-{number}", process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Self { path }
    }

    /// Its path.
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
