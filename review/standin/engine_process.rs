//! Engines that are processes of their own: this program with another command.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::SystemTime;

use crate::record::Record;
use crate::store::Store;

/// A running engine process; dropping kills it.
pub struct EngineProcess {
    pub id: String,
    pub address: SocketAddr,
    born: u128,
    child: Child,
}

impl EngineProcess {
    /// Starts a process with a command of this program; it prints its address first.
    pub fn start(id: &str, command: &[&str], record: &Record) -> io::Result<EngineProcess> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(command)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        record.write(&format!("started engine={id} process={}", child.id()));
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(stdout).lines();
        let address = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
        let address = address.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        let (record, server) = (record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.write(&format!("run {line} server={server}"));
            }
        });
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born = born.map_or(0, |born| born.as_millis());
        Ok(EngineProcess { id: id.to_owned(), address, born, child })
    }

    /// Writes this engine's entry; `template` holds an entry with placeholders.
    pub fn register(&self, store: &Store, template: &str, service: &str, zone: &str) {
        let entry = template
            .replace("{service}", service)
            .replace("{address}", &self.address.to_string())
            .replace("{zone}", zone)
            .replace("{born}", &self.born.to_string());
        store.put("servers", &self.id, entry.as_bytes());
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
