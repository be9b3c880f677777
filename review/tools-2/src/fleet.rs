//! Gateway processes of a case, with settings like those of a small deployment, and the platform's part in running them.

#![allow(dead_code, reason = "each case uses a part")]

use std::{
    fs, io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::Duration,
};

use hibiscusladder_platform_standin::{NodeAddresses, Standin, node_file};

/// `limits.memory_mb` of the sites coleccion-hub and oelwerk-pool.
pub const MEMORY_MB: usize = 260;
/// `limits.max_fds` of the same sites.
const MAX_FDS: usize = 4200;

/// Attempts to start a process.
const START_ATTEMPTS: usize = 5;
/// Time in which a process that cannot listen has ended.
const START_TIME: Duration = Duration::from_millis(300);

/// The root of the repository, two folders above that of the case.
pub fn repository(case: &Path) -> PathBuf {
    case.parent().and_then(Path::parent).map(Path::to_owned).unwrap_or_default()
}

/// A machine with one gateway process, which is started again when it ends.
pub struct Machine {
    pub name: String,
    pub callers: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
}

impl Machine {
    /// Starts the process of the deploy file: `target/release/hibiscusladder gateway`. If it ends at once, because another process
    /// has taken one of its ports meanwhile, it is started at other ports.
    pub fn start(number: usize, standin: &Standin, root: &Path, folder: &Path) -> io::Result<Self> {
        for _ in 0..START_ATTEMPTS {
            let machine = Self::try_start(number, standin, root, folder)?;
            thread::sleep(START_TIME);
            let ended = machine.child.lock().expect("no panic").try_wait()?;
            if ended.is_none() {
                return Ok(machine);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn try_start(number: usize, standin: &Standin, root: &Path, folder: &Path) -> io::Result<Self> {
        let name = format!("frontend-{number}");
        let callers = free_address()?;
        let store = standin.store_address();
        let addresses = NodeAddresses {
            callers,
            readiness: free_address()?,
            first_port: free_ports()?,
            store,
            promotions: store,
        };
        let zone = if number % 2 == 0 { "north" } else { "south" };
        let text = node_file(&name, zone, false, addresses)
            + &format!("limits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n");
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let program = root.join("target/release/hibiscusladder");
        let child = Mutex::new(run(&program, &settings, &log)?);
        Ok(Self { name, callers, program, settings, log, child })
    }

    /// Largest memory that the present process has used, in MiB; `None` when it has ended.
    pub fn peak_mb(&self) -> Option<usize> {
        let id = self.child.lock().expect("no panic").id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kb: usize = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kb / 1024)
    }

    /// Ends the process as the platform does with one that exceeds its memory, or notices that it has ended, and starts it
    /// again.
    pub fn end_and_restart(&self) -> io::Result<()> {
        let mut child = self.child.lock().expect("no panic");
        child.kill().ok();
        child.wait()?;
        *child = run(&self.program, &self.settings, &self.log)?;
        Ok(())
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let mut child = self.child.lock().expect("no panic");
        child.kill().ok();
        child.wait().ok();
    }
}

fn run(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = fs::File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .arg("gateway")
        .env("HIBISCUSLADDER_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// An address on loopback with a free port.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// First of three consecutive free ports.
fn free_ports() -> io::Result<u16> {
    loop {
        let first = free_address()?.port();
        let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if first < u16::MAX - 2 && (first + 1..first + 3).all(is_free) {
            return Ok(first);
        }
    }
}
