//! System calls of a program, counted by `strace` where that is installed. Each one stops the program for a while, so a
//! run that counts them is not compared in time with one that does not.

use anyhow::{bail, Context, Result};
use rustix::process::{kill_process, Pid, Signal};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// What was counted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counted {
    /// Calls by name, the most frequent first.
    pub by_name: Vec<(String, u64)>,
}

/// Counts from its start to its end.
pub struct Tracer {
    child: Child,
    summary: PathBuf,
}

impl Tracer {
    /// Begins to count a process's calls.
    pub fn start(pid: u32, folder: &Path) -> Result<Tracer> {
        let summary = folder.join("calls");
        let child = Command::new("strace")
            .args(["-c", "-f", "-q", "-U", "calls,name", "-p", &pid.to_string(), "-o"])
            .arg(&summary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .context("cannot count system calls: `strace` is not to be had")?;
        Ok(Tracer { child, summary })
    }

    /// Lets go of the process, and tells what was counted.
    pub fn end(mut self) -> Result<Counted> {
        kill_process(Pid::from_child(&self.child), Signal::INT).context("the count has ended by itself")?;
        self.child.wait()?;
        let text = fs::read_to_string(&self.summary).context("system calls were not counted")?;
        let counted = read(&text);
        if counted.by_name.is_empty() {
            bail!("system calls were not counted: {}", text.lines().next().unwrap_or("nothing was written"));
        }
        Ok(counted)
    }
}

/// Reads a summary: a number and a name a line, between rules.
fn read(text: &str) -> Counted {
    let line = |line: &str| {
        let mut words = line.split_whitespace();
        let (calls, name) = (words.next()?.parse().ok()?, words.next()?);
        (name != "total" && words.next().is_none()).then(|| (name.to_owned(), calls))
    };
    Counted { by_name: text.lines().filter_map(line).collect() }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_summary_is_read() {
        let text = "    calls syscall\n--------- ----------------\n     1200 recvfrom\n      800 sendto\n\
                    --------- ----------------\n     2000 total\n";
        assert_eq!(read(text).by_name, [("recvfrom".to_owned(), 1200), ("sendto".to_owned(), 800)]);
        assert_eq!(read("strace: attach: Operation not permitted\n"), Counted::default());
    }
}
