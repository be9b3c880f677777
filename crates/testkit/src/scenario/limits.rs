//! Commands that drive the fair queue and the token bucket.

use std::{collections::HashMap, error::Error, fmt::Write, time::Duration};

use goldenscript::ArgumentConsumer;
use hibiscusladder_core::{
    bucket::TokenBucket,
    clock::{Clock, ManualClock},
    name::Workspace,
    queue::{FairQueue, Ticket},
};

use super::{
    CommandResult,
    args::{keyed, keyed_duration, positional},
};

/// Longest wait in a queue when the script sets none.
const DEFAULT_QUEUE_WAIT: Duration = Duration::from_secs(2);
/// Time until the deadline of a request when the script sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Queue, running requests and bucket of one script.
#[derive(Debug, Default)]
pub(super) struct Limits {
    queue: Option<FairQueue<String>>,
    running: HashMap<String, Ticket>,
    bucket: Option<TokenBucket>,
}

impl Limits {
    pub(super) fn queue(&mut self, args: &mut ArgumentConsumer<'_>) -> CommandResult {
        let wait = keyed_duration(args, "wait", DEFAULT_QUEUE_WAIT)?;
        self.queue = Some(FairQueue::new(keyed(args, "slots", Some(2))?).max_wait(wait));
        Ok(String::new())
    }

    pub(super) fn push(
        &mut self,
        args: &mut ArgumentConsumer<'_>,
        clock: &ManualClock,
    ) -> CommandResult {
        let now = clock.now();
        let weight = keyed(args, "weight", Some(1))?;
        let deadline = now.plus(keyed_duration(args, "deadline", DEFAULT_DEADLINE)?);
        let workspace = Workspace::new(positional(args, "workspace")?);
        let item = positional(args, "request")?.to_owned();
        match self.fair_queue()?.push(&workspace, weight, item, deadline, now) {
            Ok(()) => Ok(String::new()),
            Err(rejected) => Ok(format!("{} rejected: {rejected}\n", rejected.item)),
        }
    }

    pub(super) fn pop(&mut self, clock: &ManualClock) -> CommandResult {
        let now = clock.now();
        let mut output = String::new();
        for expired in self.fair_queue()?.take_expired(now) {
            writeln!(output, "{expired} expired")?;
        }
        while let Some(started) = self.fair_queue()?.pop(now) {
            let waited = started.waited.as_millis();
            writeln!(
                output,
                "{} of {} started after {waited} ms",
                started.item, started.workspace
            )?;
            self.running.insert(started.item, started.ticket);
        }
        Ok(output)
    }

    pub(super) fn finish(
        &mut self,
        args: &mut ArgumentConsumer<'_>,
        clock: &ManualClock,
    ) -> CommandResult {
        let item = positional(args, "request")?;
        let ticket = self.running.remove(item).ok_or("the request holds no slot")?;
        self.fair_queue()?.finish(ticket, clock.now());
        Ok(String::new())
    }

    pub(super) fn bucket(
        &mut self,
        args: &mut ArgumentConsumer<'_>,
        clock: &ManualClock,
    ) -> CommandResult {
        let (rate, capacity) = (keyed(args, "rate", None)?, keyed(args, "capacity", None)?);
        self.bucket = Some(TokenBucket::filled(rate, capacity, clock.now()));
        Ok(String::new())
    }

    pub(super) fn take(
        &mut self,
        args: &mut ArgumentConsumer<'_>,
        clock: &ManualClock,
    ) -> CommandResult {
        let tokens = positional(args, "tokens")?.parse()?;
        let bucket = self.bucket.as_mut().ok_or("start a bucket first")?;
        Ok(match bucket.try_take(tokens, clock.now()) {
            Ok(()) => "taken\n".to_owned(),
            Err(retry_after) => format!("refused, try again in {} ms\n", retry_after.as_millis()),
        })
    }

    fn fair_queue(&mut self) -> Result<&mut FairQueue<String>, Box<dyn Error>> {
        self.queue.as_mut().ok_or_else(|| "start a queue first".into())
    }
}
