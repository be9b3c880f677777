//! Scripts that drive the coordination components step by step with a manual clock.
//!
//! A script is a text file of commands and their expected output, separated by `---`. With the environment variable
//! `UPDATE_GOLDENFILES=1` the current output is written into the files.
//!
//! | Command | Effect |
//! | --- | --- |
//! | `advance 250ms` | advances the clock |
//! | `members a b c` | creates the quorum view of a group with these members |
//! | `report a role=primary term=1 position="1:7" age=0ms` | records a member's answer to a poll sent `age` ago |
//! | `gate 1` | shows whether acknowledgements under a term may be released |
//! | `term 2 start="1:90"` | records the position at which a term began |
//! | `commit s1 "1:95"` | records a commit of a session at a position |
//! | `check s1` | shows whether the session lost a write, and the session's position |
//! | `queue slots=2 wait=2s` | creates a fair queue |
//! | `push andes r1 weight=2` | queues a request |
//! | `pop` | lists expired requests, then starts requests while slots are free |
//! | `finish r1` | frees the slot of a request |
//! | `bucket rate=10 capacity=5` | creates a full token bucket |
//! | `take 3` | takes tokens, or shows the time until they are available |
//!
//! # Example
//!
//! ```
//! use goldenscript::{Command, Context};
//! use hibiscusladder_testkit::scenario::Scenario;
//!
//! let script = "bucket rate=10 capacity=1\ntake 1\ntake 1\n---\n";
//! let output = goldenscript::generate(&mut Scenario::default(), script)?;
//! assert!(output.ends_with("taken\nrefused, try again in 100 ms\n"));
//! # Ok::<(), std::io::Error>(())
//! ```

mod args;
mod limits;
mod terms;

use std::error::Error;

use goldenscript::{Command, Context, Runner};
use hibiscusladder_core::clock::ManualClock;

use self::{args::parse_duration, limits::Limits, terms::Terms};

/// Output of one command, or the error of an invalid command.
type CommandResult = Result<String, Box<dyn Error>>;

/// Runner of one script, with the clock and the components that its commands drive.
#[derive(Debug, Default)]
pub struct Scenario {
    clock: ManualClock,
    terms: Terms,
    limits: Limits,
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> CommandResult {
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "advance" => {
                self.clock.advance(parse_duration(args.next_pos().ok_or("name a duration")?)?);
                String::new()
            }
            "members" => self.terms.members(&mut args),
            "report" => self.terms.report(&mut args, &self.clock)?,
            "gate" => self.terms.gate(&mut args, &self.clock)?,
            "term" => self.terms.term(&mut args)?,
            "commit" => self.terms.commit(&mut args)?,
            "check" => self.terms.check(&mut args)?,
            "queue" => self.limits.queue(&mut args)?,
            "push" => self.limits.push(&mut args, &self.clock)?,
            "pop" => self.limits.pop(&self.clock)?,
            "finish" => self.limits.finish(&mut args, &self.clock)?,
            "bucket" => self.limits.bucket(&mut args, &self.clock)?,
            "take" => self.limits.take(&mut args, &self.clock)?,
            unknown => return Err(format!("there is no command {unknown}").into()),
        };
        args.reject_next()?;
        Ok(output)
    }
}
