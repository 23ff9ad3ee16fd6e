//! What the operating system says of this machine and of processes.

use std::fs::read_to_string;
use std::time::Duration;

/// Hundredths of a second, in which `/proc/PID/stat` counts.
const TICK: Duration = Duration::from_millis(10);

fn kilobytes(path: &str, name: &str) -> Option<usize> {
    let text = read_to_string(path).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Memory of the machine, in bytes.
pub fn memory() -> usize {
    kilobytes("/proc/meminfo", "MemTotal:").map_or(usize::MAX, |kb| kb << 10)
}

/// Processes that wanted a processor, on average over the last minute.
pub fn load() -> f64 {
    let text = read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|first| first.parse().ok()).unwrap_or(0.0)
}

/// Resident memory of a process, in bytes.
pub fn resident(process: u32) -> Option<usize> {
    kilobytes(&format!("/proc/{process}/status"), "VmRSS:").map(|kb| kb << 10)
}

/// The most resident memory that a process has had, in bytes.
pub fn most_resident(process: u32) -> Option<usize> {
    kilobytes(&format!("/proc/{process}/status"), "VmHWM:").map(|kb| kb << 10)
}

/// The growth of this process's resident memory since `before`, divided by so many.
pub fn growth_each(before: usize, processes: usize) -> f64 {
    let now = resident(std::process::id()).unwrap_or(0);
    now.saturating_sub(before) as f64 / processes.max(1) as f64
}

/// Processor time that a process has taken, by the scheduler's own count where the system keeps one.
pub fn processor_time(process: u32) -> Option<Duration> {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).ok()?;
    let each = tasks.flatten().map(|task| run_time(&task.path().join("schedstat").to_string_lossy()));
    match each.collect::<Option<Vec<_>>>() {
        Some(all) if !all.is_empty() => Some(all.into_iter().sum()),
        _ => ticks(process),
    }
}

/// Processor time of the calling thread.
pub fn thread_time() -> Option<Duration> {
    run_time("/proc/thread-self/schedstat")
}

fn run_time(path: &str) -> Option<Duration> {
    let text = read_to_string(path).ok()?;
    text.split(' ').next()?.parse().ok().map(Duration::from_nanos)
}

fn ticks(process: u32) -> Option<Duration> {
    let text = read_to_string(format!("/proc/{process}/stat")).ok()?;
    let (_, after) = text.rsplit_once(") ")?;
    let field = |n: usize| after.split(' ').nth(n).and_then(|word| word.parse::<u32>().ok());
    Some(TICK * (field(11)? + field(12)?))
}
