//! Reads the logs of gateways line by line while they are written.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

/// Most bytes of a log per read; the next poll reads the rest.
const READ_BYTES: usize = 16 * 1024;
/// Most bytes of an incomplete line; a longer one is dropped, since logs have no such lines.
const MAX_LINE_BYTES: usize = 16 * 1024;

/// Logs of the gateways that the scenario watches.
#[derive(Default)]
pub(super) struct Watched(BTreeMap<u32, Option<Log>>);

/// A log of a process and its read position. It is a file and not a pipe, so that a gateway never waits for the reader.
struct Log {
    file: File,
    offset: u64,
    /// The start of an incomplete line.
    partial_line: Vec<u8>,
}

impl Watched {
    /// Watches this gateway's log.
    pub fn add(&mut self, gateway: u32) {
        self.0.entry(gateway).or_default();
    }

    /// Whether this gateway's log is watched.
    pub fn has(&self, gateway: u32) -> bool {
        self.0.contains_key(&gateway)
    }

    /// Reads from this file, which a new process of the gateway writes, if the log is watched.
    pub fn follow(&mut self, gateway: u32, file: &File) -> io::Result<()> {
        if let Some(log) = self.0.get_mut(&gateway) {
            *log = Some(Log { file: file.try_clone()?, offset: 0, partial_line: Vec::new() });
        }
        Ok(())
    }

    /// Returns the complete lines that were written since the last call.
    pub fn take_lines(&mut self) -> Vec<(u32, String)> {
        let logs = self.0.iter_mut().filter_map(|(gateway, log)| Some((*gateway, log.as_mut()?)));
        logs.flat_map(|(gateway, log)| log.take_lines().into_iter().map(move |line| (gateway, line)))
            .collect()
    }
}

impl Log {
    fn take_lines(&mut self) -> Vec<String> {
        let mut bytes = vec![0; READ_BYTES];
        // Reads at a separate offset, since the writer uses the file position. A failed read is repeated at the next poll.
        let count = self.file.read_at(&mut bytes, self.offset).unwrap_or(0);
        self.offset += count as u64;
        self.partial_line.extend_from_slice(&bytes[..count]);
        let Some(end) = self.partial_line.iter().rposition(|byte| *byte == b'\n') else {
            if self.partial_line.len() >= MAX_LINE_BYTES {
                self.partial_line.clear();
            }
            return Vec::new();
        };
        let rest = self.partial_line.split_off(end + 1);
        let complete = std::mem::replace(&mut self.partial_line, rest);
        String::from_utf8_lossy(&complete).lines().map(str::to_owned).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;

    #[test]
    fn returns_complete_lines_of_watched_gateways_only() {
        let mut file = tempfile::tempfile().unwrap();
        let mut watched = Watched::default();
        watched.add(1);
        watched.follow(0, &file).unwrap();
        assert!(watched.take_lines().is_empty() && !watched.has(0), "unwatched log is not read");
        watched.follow(1, &file).unwrap();
        let steps =
            [("one\ntw", vec!["one"]), ("o", vec![]), ("\n\n", vec!["two", ""]), ("three\n", vec!["three"])];
        for (written, lines) in steps {
            file.write_all(written.as_bytes()).unwrap();
            let wanted: Vec<_> = lines.into_iter().map(|line| (1, line.to_owned())).collect();
            assert_eq!(watched.take_lines(), wanted, "after {written:?}");
        }
        file.write_all(&[b'x'; MAX_LINE_BYTES]).unwrap();
        assert!(watched.take_lines().is_empty());
        file.write_all(b"y\n").unwrap();
        assert_eq!(watched.take_lines(), [(1, "y".to_owned())], "an overlong line is dropped");
    }
}
