//! Record of a case: what was sent, run and answered, with times.

use anyhow::{Context, Result};
use std::{cell::RefCell, fs::File, io::Write, path::Path, time::Instant};

/// Record that is being written.
#[derive(Debug)]
pub struct Record {
    file: RefCell<File>,
    started: Instant,
}

impl Record {
    /// Empty record.
    ///
    /// # Errors
    /// The file cannot be created.
    pub fn create(path: &Path) -> Result<Self> {
        let file = File::create(path).with_context(|| format!("creating {}", path.display()))?;
        Ok(Self { file: RefCell::new(file), started: Instant::now() })
    }

    /// Adds a line with the time in milliseconds.
    pub fn write(&self, line: &str) {
        let at = self.started.elapsed().as_millis();
        // The verdict does not depend on the file.
        writeln!(self.file.borrow_mut(), "{at:>7} ms  {line}").ok();
    }
}
