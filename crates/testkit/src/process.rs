//! Child processes of a binary under test.
//!
//! # Example
//!
//! ```no_run
//! use std::time::Duration;
//!
//! use hibiscusladder_testkit::process::Binary;
//!
//! let binary = Binary::new("target/debug/hibiscusladder")?;
//! let settings = "[instance]\nid = \"i1\"\n";
//! let instance = binary.start("i1", &["serve"], settings, "127.0.0.1:7301".parse()?)?;
//! instance.freeze()?;
//! instance.thaw()?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::{
    fs, io,
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

/// Longest wait until a process accepts connections.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two looks at a process.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for one connection to a process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// A binary under test, and a temporary folder for the settings and logs of its processes.
#[derive(Debug)]
pub struct Binary {
    path: PathBuf,
    folder: TempDir,
}

impl Binary {
    /// Creates the temporary folder, which is removed together with this value.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the folder cannot be created.
    pub fn new<P>(path: P) -> io::Result<Self>
    where
        P: Into<PathBuf>,
    {
        Ok(Self { path: path.into(), folder: tempfile::tempdir()? })
    }

    /// Starts a process with `args` and a settings file, and waits until `ready` accepts connections.
    ///
    /// # Errors
    ///
    /// Returns an error with the end of the log when the process ends or does not get ready in time.
    pub fn start(
        &self,
        name: &str,
        args: &[&str],
        settings: &str,
        ready: SocketAddr,
    ) -> io::Result<Process> {
        let settings_path = self.folder.path().join(format!("{name}.toml"));
        let log_path = self.folder.path().join(format!("{name}.log"));
        fs::write(&settings_path, settings)?;
        let log = fs::File::create(&log_path)?;
        let child = Command::new(&self.path)
            .args(args)
            .arg("--config")
            .arg(&settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut process = Process { name: name.to_owned(), child, log_path };
        process.wait_until_ready(ready)?;
        Ok(process)
    }
}

/// A child process; it ends when this value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log_path: PathBuf,
}

impl Process {
    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Suspends the process.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not exist any more.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes the process.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not exist any more.
    pub fn thaw(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to shut down.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not exist any more.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Ends the process at once and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the process cannot be waited for.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Waits for the end of the process; `None` when it is still running after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the process cannot be waited for.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// What the process has written so far.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the file cannot be read.
    pub fn log(&self) -> io::Result<String> {
        Ok(String::from_utf8_lossy(&fs::read(&self.log_path)?).into_owned())
    }

    fn wait_until_ready(&mut self, address: SocketAddr) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).is_err() {
            if let Some(status) = self.child.try_wait()? {
                return Err(self.failure(&format!("ended with {status}")));
            }
            if Instant::now() >= deadline {
                return Err(self.failure(&format!("does not accept connections on {address}")));
            }
            thread::sleep(CHECK_INTERVAL);
        }
        Ok(())
    }

    fn failure(&self, what: &str) -> io::Error {
        let log = self.log().unwrap_or_default();
        io::Error::other(format!("process {} {what}; its log:\n{log}", self.name))
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("the process has no valid id"))?;
        Ok(kill_process(pid, signal)?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a suspended process; one that has ended already needs only to be waited for.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
