//! Figures of the operating system about this machine and its processes.

use std::fs::read_to_string;
use std::time::Duration;

/// Unit of the times in `/proc/PID/stat`: a hundredth of a second.
const CLOCK_TICK: Duration = Duration::from_millis(10);

fn kilobytes(path: &str, name: &str) -> Option<usize> {
    let text = read_to_string(path).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Memory of the machine, in bytes.
pub fn memory() -> usize {
    kilobytes("/proc/meminfo", "MemTotal:").map_or(usize::MAX, |kb| kb << 10)
}

/// Load average of the last minute.
pub fn load_average() -> f64 {
    let text = read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|first| first.parse().ok()).unwrap_or(0.0)
}

/// Resident memory of a process, in bytes.
pub fn resident_bytes(process: u32) -> Option<usize> {
    kilobytes(&format!("/proc/{process}/status"), "VmRSS:").map(|kb| kb << 10)
}

/// Peak resident memory of a process, in bytes.
pub fn peak_resident_bytes(process: u32) -> Option<usize> {
    kilobytes(&format!("/proc/{process}/status"), "VmHWM:").map(|kb| kb << 10)
}

/// Growth of this process's resident memory since `before`, divided by the number of processes.
pub fn growth_per_process(before: usize, processes: usize) -> f64 {
    let now = resident_bytes(std::process::id()).unwrap_or(0);
    now.saturating_sub(before) as f64 / processes.max(1) as f64
}

/// Processor time of a process, from `schedstat` where the system provides it, otherwise from `stat`.
pub fn cpu_time(process: u32) -> Option<Duration> {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).ok()?;
    let times = tasks.flatten().map(|task| run_time(&task.path().join("schedstat").to_string_lossy()));
    match times.collect::<Option<Vec<_>>>() {
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
    let (_, fields_after_name) = text.rsplit_once(") ")?;
    let field = |n: usize| fields_after_name.split(' ').nth(n).and_then(|word| word.parse::<u32>().ok());
    Some(CLOCK_TICK * (field(11)? + field(12)?))
}
