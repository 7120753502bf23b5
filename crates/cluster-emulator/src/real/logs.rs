//! Logs of gateways, read line by line while they are written.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

/// Bytes of a log that are read at once; what is behind waits for the next look.
const MOST: usize = 16 * 1024;
/// Bytes of a line without an end: a longer one is dropped, since logs have none.
const MOST_LINE: usize = 16 * 1024;

/// Logs that a scenario has named.
#[derive(Default)]
pub(super) struct Watched(BTreeMap<u32, Option<Log>>);

/// A log of a process, and how far it has been read. A file, and not a pipe: a gateway never waits for who reads.
struct Log {
    file: File,
    read: u64,
    /// The beginning of a line whose end is not there yet.
    begun: Vec<u8>,
}

impl Watched {
    /// Watches this gateway's.
    pub fn add(&mut self, gateway: u32) {
        self.0.entry(gateway).or_default();
    }

    /// Whether this gateway's is watched.
    pub fn has(&self, gateway: u32) -> bool {
        self.0.contains_key(&gateway)
    }

    /// The gateway's process writes to this from now on, if its log is watched.
    pub fn follow(&mut self, gateway: u32, file: &File) -> io::Result<()> {
        if let Some(log) = self.0.get_mut(&gateway) {
            *log = Some(Log { file: file.try_clone()?, read: 0, begun: Vec::new() });
        }
        Ok(())
    }

    /// Whole lines that have been written since this was last asked.
    pub fn lines(&mut self) -> Vec<(u32, String)> {
        let logs = self.0.iter_mut().filter_map(|(gateway, log)| Some((*gateway, log.as_mut()?)));
        logs.flat_map(|(gateway, log)| log.lines().into_iter().map(move |line| (gateway, line))).collect()
    }
}

impl Log {
    fn lines(&mut self) -> Vec<String> {
        let mut bytes = vec![0; MOST];
        // At a place of its own: the file's belongs to who writes. What cannot be read now is read later.
        let count = self.file.read_at(&mut bytes, self.read).unwrap_or(0);
        self.read += count as u64;
        self.begun.extend_from_slice(&bytes[..count]);
        let Some(end) = self.begun.iter().rposition(|byte| *byte == b'\n') else {
            if self.begun.len() >= MOST_LINE {
                self.begun.clear();
            }
            return Vec::new();
        };
        let rest = self.begun.split_off(end + 1);
        let whole = std::mem::replace(&mut self.begun, rest);
        String::from_utf8_lossy(&whole).lines().map(str::to_owned).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;

    #[test]
    fn lines_are_seen_once_they_are_whole_and_only_of_who_is_watched() {
        let mut file = tempfile::tempfile().unwrap();
        let mut watched = Watched::default();
        watched.add(1);
        watched.follow(0, &file).unwrap();
        assert!(watched.lines().is_empty() && !watched.has(0), "nobody watches it");
        watched.follow(1, &file).unwrap();
        let steps =
            [("one\ntw", vec!["one"]), ("o", vec![]), ("\n\n", vec!["two", ""]), ("three\n", vec!["three"])];
        for (written, lines) in steps {
            file.write_all(written.as_bytes()).unwrap();
            let wanted: Vec<_> = lines.into_iter().map(|line| (1, line.to_owned())).collect();
            assert_eq!(watched.lines(), wanted, "after {written:?}");
        }
        file.write_all(&[b'x'; MOST_LINE]).unwrap();
        assert!(watched.lines().is_empty());
        file.write_all(b"y\n").unwrap();
        assert_eq!(watched.lines(), [(1, "y".to_owned())], "a line without an end takes no memory");
    }
}
