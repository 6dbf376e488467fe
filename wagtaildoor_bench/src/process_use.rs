//! Memory and processor time of a process, as the kernel tells them.

use std::{
    fs,
    time::Duration, //
};

use crate::cli::{
    BenchError,
    Result, //
};

/// Length of the kernel's clock tick towards programs, in milliseconds.
const TICK_MS: u64 = 10;
/// Place of the user time among the fields after the program's name.
const USER_FIELD: usize = 11;

/// A process to watch.
#[derive(Clone, Debug)]
pub struct WatchedProcess {
    /// Name for the table.
    pub name: Box<str>,
    /// Process id.
    pub id: u32,
}

/// What a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUse {
    /// Memory now, in KiB.
    pub memory_kib: u64,
    /// Most memory so far, in KiB.
    pub peak_kib: u64,
    /// Processor time so far.
    pub processor: Duration,
}

impl TryFrom<&str> for WatchedProcess {
    type Error = BenchError;

    fn try_from(text: &str) -> Result<Self> {
        let malformed = || BenchError::Setup(format!("{text}: expected NAME=PID").into());
        let (name, id) = text.split_once('=').ok_or_else(malformed)?;
        Ok(Self {
            name: name.into(),
            id: id.parse().map_err(|_| malformed())?,
        })
    }
}

impl WatchedProcess {
    /// What the process uses now.
    pub fn read(&self) -> Result<ProcessUse> {
        let status = self.file("status")?;
        let stat = self.file("stat")?;
        Ok(ProcessUse {
            memory_kib: kib_of(&status, "VmRSS:"),
            peak_kib: kib_of(&status, "VmHWM:"),
            processor: processor_time(&stat),
        })
    }

    /// Reads one of the kernel's files on the process.
    fn file(&self, file: &str) -> Result<String> {
        let path = format!("/proc/{}/{file}", self.id);
        fs::read_to_string(&path)
            .map_err(|error| BenchError::Setup(format!("{} ({path}): {error}", self.name).into()))
    }
}

/// A size in the status file, in KiB.
fn kib_of(status: &str, field: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// User and system time in the stat file.
fn processor_time(stat: &str) -> Duration {
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: u64 = after_name
        .split_whitespace()
        .skip(USER_FIELD)
        .take(2)
        .filter_map(|text| text.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * TICK_MS)
}
