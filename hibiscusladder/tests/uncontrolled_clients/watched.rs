//! An instance with lowered limits whose memory and descriptors are watched.

use std::{
    fs,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{PRIMARY_DATABASE, Scale, WORKSPACES};

use crate::fleet::{Fleet, process_log, query_once, save_logs};

/// Memory that the instance may use, in MiB (`limits.memory_mb`).
const MEMORY_MB: usize = 64;
/// Descriptors that the instance may have open (`limits.max_fds`).
const MAX_FDS: usize = 400;
const SETTINGS: &str = "limits.memory_mb=64\nlimits.max_fds=400\nhibiscusladder.first_message_ms=2000\n\
    hibiscusladder.message_ms=3000\nhibiscusladder.answer_ms=3000\n";
/// Longest message that the protocol permits, without its line end.
const LONGEST_MESSAGE: usize = 1 << 20;
/// Time within which a request has to be answered, with tries in new sessions.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of the counts of open descriptors.
const COUNT_INTERVAL: Duration = Duration::from_millis(20);

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::new(());

/// Waits until no other test runs.
pub(crate) fn lock() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running instance, alone in its fleet.
pub(crate) struct Watched {
    pub(crate) fleet: Fleet,
    most_descriptors: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    _alone: MutexGuard<'static, ()>,
}

impl Watched {
    /// Starts an instance once no other test runs.
    pub(crate) fn start() -> Self {
        let alone = lock();
        let fleet = Fleet::start_configured(1, false, Scale::default(), |_| SETTINGS);
        // The limits of the workspaces are not what is tested.
        fleet.standin.configure(3, [100_000.0; 2], &[]);
        let until = Instant::now() + ANSWER_TIMEOUT;
        while !process_log(&fleet.gateways[0]).contains(r#""version":3"#) {
            assert!(Instant::now() < until, "the configuration is not applied");
            thread::sleep(COUNT_INTERVAL);
        }
        let (most_descriptors, ended) = (Arc::default(), Arc::default());
        count_descriptors(fleet.gateways[0].process.id(), &most_descriptors, &ended);
        Self { fleet, most_descriptors, ended, _alone: alone }
    }

    /// Checks that an ordinary request is answered; one that is refused is sent again.
    pub(crate) fn check_serves(&self, id: &str) {
        self.check_answer(id, "READ ordinary");
    }

    /// Checks memory, descriptors and, without other clients, a message of the greatest legal size.
    pub(crate) fn check_limits(&mut self, test: &str) {
        let frame = "QUERY longest-00 ".len();
        let item = "WRITE longest ";
        let data = "x".repeat(LONGEST_MESSAGE - frame - item.len());
        self.check_answer("longest", &format!("{item}{data}"));
        let ended = self.fleet.gateways[0].process.wait(Duration::ZERO).expect("a status");
        assert_eq!(ended, None, "{test}: the process has ended");
        let process = self.fleet.gateways[0].process.id();
        let descriptors = self.most_descriptors.load(Ordering::Relaxed);
        check_use(process, descriptors, test, &save_logs(&self.fleet, test));
    }

    fn check_answer(&self, id: &str, text: &str) {
        let until = Instant::now() + ANSWER_TIMEOUT;
        let address = self.fleet.gateways[0].callers;
        for number in 10..100 {
            let id = format!("{id}-{number}");
            let reply = query_once(address, PRIMARY_DATABASE, WORKSPACES[1], &id, text);
            if reply.as_ref().is_ok_and(|reply| reply.outcome.is_ok()) {
                return;
            }
            let log = || save_logs(&self.fleet, &id);
            assert!(Instant::now() < until, "no answer to {id}: {reply:?}, log: {}", log());
            thread::sleep(Duration::from_millis(100));
        }
        panic!("no answer to {id}, log: {}", save_logs(&self.fleet, id));
    }
}

/// Checks the most memory that a process has used, and the most descriptors that it had open.
pub(crate) fn check_use(process: u32, descriptors: usize, test: &str, log: &str) {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a figure");
    let memory_kb: usize = line.trim().trim_end_matches(" kB").parse().expect("a number");
    let used = format!("{test}: memory at most {memory_kb} kB, descriptors at most {descriptors}");
    println!("{used}");
    assert!(memory_kb <= MEMORY_MB * 1024 && descriptors <= MAX_FDS, "{used}, log: {log}");
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Counts the open descriptors of a process until `ended` is set.
pub(crate) fn count_descriptors(process: u32, most: &Arc<AtomicUsize>, ended: &Arc<AtomicBool>) {
    let (most, ended) = (most.clone(), ended.clone());
    thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) {
            let count = fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
            most.fetch_max(count, Ordering::Relaxed);
            thread::sleep(COUNT_INTERVAL);
        }
    });
}
