//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::time;

use eyre::OptionExt as _;
use eyre::WrapErr as _;

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`); fixed on Linux.
const TICKS_PER_S: f64 = 100.0;
/// Index of the user time among the fields after the process name.
const USER_TIME: usize = 11;
/// Index of the system time among these fields.
const SYSTEM_TIME: usize = 12;
/// Name of the thread that runs the control logic.
const CONTROL_THREAD: &str = "control";

/// Processor time of a process since its start, and its memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct Used {
    at: time::Instant,
    cpu_s: f64,
    control_cpu_s: f64,
    resident_bytes: u64,
}

/// Processor time and memory of a process during an interval.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    /// Processor time as a percentage of one core.
    pub(super) cpu_percent: f64,
    /// The part of it used by the control thread.
    pub(super) control_cpu_percent: f64,
    /// Resident memory at the end of the interval.
    pub(super) resident_mb: f64,
}

impl Used {
    /// Reads the usage of a process.
    pub(super) fn by(pid: u32) -> eyre::Result<Self> {
        Ok(Self {
            at: time::Instant::now(),
            cpu_s: cpu_s(&format!("/proc/{pid}/stat"))?.seconds,
            control_cpu_s: control_cpu_s(pid)?,
            resident_bytes: resident_bytes(pid)?,
        })
    }

    /// The usage since an earlier sample.
    pub(super) fn since(&self, earlier: &Self) -> Share {
        let passed_s = self.at.duration_since(earlier.at).as_secs_f64();
        let percent = |later: f64, earlier: f64| (later - earlier) / passed_s * 100.0;
        Share {
            cpu_percent: percent(self.cpu_s, earlier.cpu_s),
            control_cpu_percent: percent(self.control_cpu_s, earlier.control_cpu_s),
            resident_mb: self.resident_bytes as f64 / 1e6,
        }
    }
}

struct ThreadTime {
    name: String,
    seconds: f64,
}

fn cpu_s(file: &str) -> eyre::Result<ThreadTime> {
    let text = fs::read_to_string(file).wrap_err_with(|| file.to_owned())?;
    // The name is enclosed in parentheses and may contain any character.
    let (head, rest) = text
        .rsplit_once(')')
        .ok_or_eyre("no process name in /proc stat")?;
    let name = head.split_once('(').map_or("", |(_, name)| name);
    let fields: Vec<_> = rest.split_whitespace().collect();
    let ticks = |position: usize| -> eyre::Result<f64> {
        let field = fields
            .get(position)
            .ok_or_eyre("too few fields in /proc stat")?;
        Ok(field.parse()?)
    };
    Ok(ThreadTime {
        name: name.to_owned(),
        seconds: (ticks(USER_TIME)? + ticks(SYSTEM_TIME)?) / TICKS_PER_S,
    })
}

fn control_cpu_s(pid: u32) -> eyre::Result<f64> {
    let mut sum = 0.0;
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        let file = thread?.path().join("stat");
        // A thread may exit between the listing and the read.
        if let Ok(time) = cpu_s(&file.to_string_lossy())
            && time.name == CONTROL_THREAD
        {
            sum += time.seconds;
        }
    }
    Ok(sum)
}

fn resident_bytes(pid: u32) -> eyre::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number
        .ok_or_eyre("no VmRSS in /proc status")?
        .parse::<u64>()?
        * 1_024)
}

/// The load average of the machine over the last minute.
pub(super) fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or(f64::NAN)
}
