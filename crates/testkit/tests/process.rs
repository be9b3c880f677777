//! Child processes, with a shell in place of the binary under test.

use std::{fs, io, net::TcpListener, path::Path, thread, time::Duration};

use hibiscusladder_testkit::process::{Binary, Process};

/// Arguments of a shell that prints the settings file, whose path is `$2` after `--config`, and waits.
const PRINT_AND_WAIT: [&str; 3] = ["-c", "cat \"$2\"; exec sleep 60", "sh"];

/// State letter of a process in its `/proc/<pid>/stat`: `T` is suspended, `S` is sleeping.
fn state(process: &Process) -> io::Result<Option<char>> {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id()))?;
    Ok(stat.rsplit_once(')').and_then(|(_, rest)| rest.trim_start().chars().next()))
}

fn wait_for<F>(mut condition: F) -> bool
where
    F: FnMut() -> bool,
{
    (0..200).any(|_| {
        thread::sleep(Duration::from_millis(10));
        condition()
    })
}

/// Guards against a process that outlives its test, even when suspended, and disturbs the next one.
#[test]
fn process_is_suspended_and_ends_when_dropped() -> io::Result<()> {
    let ready = TcpListener::bind("127.0.0.1:0")?;
    let binary = Binary::new("/bin/sh")?;
    let process = binary.start("i1", &PRINT_AND_WAIT, "id = \"i1\"\n", ready.local_addr()?)?;
    assert!(wait_for(|| process.log().is_ok_and(|log| log == "id = \"i1\"\n")));
    process.freeze()?;
    assert!(wait_for(|| state(&process).is_ok_and(|state| state == Some('T'))));
    process.thaw()?;
    assert!(wait_for(|| state(&process).is_ok_and(|state| state == Some('S'))));
    process.freeze()?;
    let proc_path = format!("/proc/{}", process.id());
    drop(process);
    assert!(!Path::new(&proc_path).exists());
    Ok(())
}

/// Guards against a failed start that is reported without the log of the process, and against waiting for a process
/// that has already ended.
#[test]
fn start_fails_with_the_log() -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let unused = listener.local_addr()?;
    drop(listener);
    let binary = Binary::new("/bin/sh")?;
    let args = ["-c", "echo unknown key; exit 3", "sh"];
    let error = binary.start("i1", &args, "", unused).expect_err("the process ends");
    assert!(error.to_string().contains("unknown key"), "{error}");
    Ok(())
}

/// Guards against a shutdown request that does not reach the process, and an end of the process that is not noticed.
#[test]
fn terminate_and_kill_end_the_process() -> io::Result<()> {
    let ready = TcpListener::bind("127.0.0.1:0")?;
    let binary = Binary::new("/bin/sh")?;
    let mut process = binary.start("i1", &PRINT_AND_WAIT, "", ready.local_addr()?)?;
    assert_eq!(process.wait(Duration::from_millis(30))?, None);
    process.terminate()?;
    assert!(process.wait(Duration::from_secs(5))?.is_some());
    let mut second = binary.start("i2", &PRINT_AND_WAIT, "", ready.local_addr()?)?;
    assert!(!second.kill()?.success());
    Ok(())
}
