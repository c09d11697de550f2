//! The record of a run: what was sent, answered and run, with the milliseconds since its start.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    pub fn write(&self, line: &str) {
        let elapsed = self.started.elapsed().as_millis();
        let mut file = self.file.lock().expect("not poisoned");
        let _ = writeln!(file, "{elapsed:>6} {line}");
    }

    /// Writes a line and shows it, too.
    pub fn say(&self, line: &str) {
        self.write(line);
        println!("{line}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().expect("not poisoned").flush();
    }
}
