//! What was sent, answered and run, in the order in which it happened.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }
}
