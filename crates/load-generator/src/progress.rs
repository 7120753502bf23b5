//! What people see while a run goes on: one line on standard error, and nothing where nobody looks.

use indicatif::{ProgressBar, ProgressStyle};

/// A line that changes.
pub struct Progress(ProgressBar);

impl Progress {
    /// One that shows itself on a terminal only.
    pub fn new() -> Progress {
        let bar = ProgressBar::new(1_000);
        let style = ProgressStyle::with_template("{bar:20} {msg}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        Progress(bar)
    }

    /// How far something is, as a share.
    pub fn show(&self, what: &str, share: f64, asked: u64, resident: u64) {
        self.0.set_position((share.clamp(0.0, 1.0) * 1e3) as u64);
        self.0.set_message(format!("{what}: {asked} asked, {} MB", resident >> 20));
    }

    /// Something that takes an unknown time.
    pub fn say(&self, what: &str) {
        self.0.set_message(what.to_owned());
        self.0.tick();
    }

    /// A line that stays.
    pub fn note(&self, line: &str) {
        if self.0.is_hidden() {
            eprintln!("{line}");
        } else {
            self.0.println(line);
        }
    }

    /// Takes the line away.
    pub fn end(&self) {
        self.0.finish_and_clear();
    }
}

impl Default for Progress {
    fn default() -> Progress {
        Progress::new()
    }
}
