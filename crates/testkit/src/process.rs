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
/// Interval between checks of a process that starts or ends.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of one attempt to connect to a process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// A binary under test, with a temporary folder for the settings and logs of its processes.
#[derive(Debug)]
pub struct Binary {
    path: PathBuf,
    folder: TempDir,
}

impl Binary {
    /// Creates the temporary folder, which is removed when this value is dropped.
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

    /// Starts a process with `args` and a settings file, and waits until `ready_address` accepts connections.
    ///
    /// `settings` is the content of the file, whose path is passed with `--config`. `name` is the base name of the
    /// process's files and identifies the process in errors.
    ///
    /// # Errors
    ///
    /// Returns an error with the log when the process ends or does not accept connections within 10 s, and the error
    /// of the operating system when its files cannot be created or it cannot be started.
    pub fn start(
        &self,
        name: &str,
        args: &[&str],
        settings: &str,
        ready_address: SocketAddr,
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
        process.wait_until_ready(ready_address)?;
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
    /// Id of the process in the operating system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Suspends the process with `SIGSTOP`.
    ///
    /// # Errors
    ///
    /// Returns an error when the process no longer exists.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes the suspended process with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Returns an error when the process no longer exists.
    pub fn thaw(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Requests a shutdown of the process with `SIGTERM`.
    ///
    /// # Errors
    ///
    /// Returns an error when the process no longer exists.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills the process with `SIGKILL` and waits until it has ended.
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

    /// Standard output and standard error of the process so far.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the log file cannot be read.
    pub fn log(&self) -> io::Result<String> {
        Ok(String::from_utf8_lossy(&fs::read(&self.log_path)?).into_owned())
    }

    fn wait_until_ready(&mut self, address: SocketAddr) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).is_err() {
            if let Some(status) = self.child.try_wait()? {
                return Err(self.startup_error(&format!("ended with {status}")));
            }
            if Instant::now() >= deadline {
                return Err(
                    self.startup_error(&format!("does not accept connections on {address}"))
                );
            }
            thread::sleep(CHECK_INTERVAL);
        }
        Ok(())
    }

    fn startup_error(&self, reason: &str) -> io::Error {
        let log = self.log().unwrap_or_default();
        io::Error::other(format!("process {} {reason}; its log:\n{log}", self.name))
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("the process has no valid id"))?;
        Ok(kill_process(pid, signal)?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a suspended process. A process that has already ended only has to be reaped.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
