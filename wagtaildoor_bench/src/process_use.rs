//! Memory and CPU time of a process, read from `/proc`.

use std::{
    fs,
    time::Duration, //
};

use crate::cli::{
    BenchError,
    Result, //
};

/// Length of a kernel clock tick as reported to user space (`USER_HZ` of 100), in milliseconds.
const CLOCK_TICK_MS: u64 = 10;
/// Index of the user time in `/proc/PID/stat`, counted from the field after the process name.
const USER_TIME_FIELD: usize = 11;

/// A process whose memory and CPU time are sampled.
#[derive(Clone, Debug)]
pub struct WatchedProcess {
    /// Label in the printed table.
    pub name: Box<str>,
    /// Process id (PID).
    pub id: u32,
}

/// Memory and CPU time of a process at the time of a sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUse {
    /// Resident memory (`VmRSS`), in KiB.
    pub memory_kib: u64,
    /// Peak resident memory (`VmHWM`), in KiB.
    pub peak_kib: u64,
    /// User and system CPU time since the process started.
    pub cpu_time: Duration,
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
    /// Samples the process; fails when it has ended or its files in `/proc` are unreadable.
    pub fn read(&self) -> Result<ProcessUse> {
        let status = self.read_proc_file("status")?;
        let stat = self.read_proc_file("stat")?;
        Ok(ProcessUse {
            memory_kib: parse_kib(&status, "VmRSS:"),
            peak_kib: parse_kib(&status, "VmHWM:"),
            cpu_time: parse_cpu_time(&stat),
        })
    }

    /// Reads `/proc/PID/file`.
    fn read_proc_file(&self, file: &str) -> Result<String> {
        let path = format!("/proc/{}/{file}", self.id);
        fs::read_to_string(&path)
            .map_err(|error| BenchError::Setup(format!("{} ({path}): {error}", self.name).into()))
    }
}

/// Parses a size in KiB from the status file; 0 when the field is missing.
fn parse_kib(status: &str, field: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Parses the sum of user and system CPU time from the stat file.
fn parse_cpu_time(stat: &str) -> Duration {
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: u64 = after_name
        .split_whitespace()
        .skip(USER_TIME_FIELD)
        .take(2)
        .filter_map(|text| text.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * CLOCK_TICK_MS)
}
