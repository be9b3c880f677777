//! `explain`: shows the history of one request from the logs of the instances.

use std::{fs, io, path::Path};

use serde_json::{Map, Value};

use super::{args::Explain, error::CliError, output};

/// State changes are shown from this time before the first line of the request, in milliseconds.
const CONTEXT_BEFORE_MS: u64 = 5_000;
/// State changes are shown up to this time after the last line of the request, in milliseconds.
const CONTEXT_AFTER_MS: u64 = 1_000;
/// Events that report a change of an instance's state or of its view of members, leader and configuration.
const STATE_EVENTS: [&str; 16] = [
    "started",
    "stopping",
    "stopped",
    "reloaded",
    "configuration_applied",
    "object_unreadable",
    "store_lost",
    "store_regained",
    "member_changed",
    "member_gone",
    "member_lost",
    "member_regained",
    "leader_changed",
    "failover_started",
    "failover_step",
    "failover_ended",
];

#[derive(Debug)]
struct LogLine {
    time_ms: u64,
    source: String,
    event: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; `None` without a JSON object that has a time and an event.
    ///
    /// Some log collectors write the name of the instance before the JSON object; without that name, `file` is the
    /// source.
    fn parse(text: &str, file: &str) -> Option<Self> {
        let start = text.find('{')?;
        let Value::Object(mut fields) = serde_json::from_str(text.get(start..)?).ok()? else {
            return None;
        };
        let time_ms = fields.remove("time_ms")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        let prefix = text.get(..start).unwrap_or_default().split_whitespace().next_back();
        let source = prefix.unwrap_or(file).to_owned();
        Some(Self { time_ms, source, event, fields })
    }

    /// Whether the line is about `request`. BEGIN and COMMIT of a transaction have request ids of their own.
    fn is_about(&self, request: &str) -> bool {
        self.fields.get("request").and_then(Value::as_str) == Some(request)
    }

    fn format(&self, origin_ms: u64) -> String {
        let offset = self.time_ms as f64 - origin_ms as f64;
        let fields = self.fields.iter().map(|(name, value)| format!("{name}={value}"));
        let fields: Vec<String> = fields.collect();
        format!("{:+9.3} s  {}  {}  {}", offset / 1000.0, self.source, self.event, fields.join(" "))
    }
}

/// Prints the lines of a request, marked with `>`, and the state changes around them, in order of time.
pub(crate) fn run(args: &Explain) -> Result<(), CliError> {
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for path in &args.files {
        let text = read_log(path)?;
        let file = path.file_stem().map(|name| name.to_string_lossy().into_owned());
        let file = file.unwrap_or_default();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::parse(line, &file) {
                Some(line) => lines.push(line),
                None => unreadable += 1,
            }
        }
    }
    lines.sort_by_key(|line| line.time_ms);
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| line.is_about(&args.request)).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Err(CliError::NotFound {
            object: format!("line about request {}", args.request),
            remedy:
                "check the id, and pass the logs of all instances; a request that is served at \
                     once is not logged"
                    .to_owned(),
        });
    };
    let origin_ms = first.time_ms;
    let span = origin_ms.saturating_sub(CONTEXT_BEFORE_MS)..=last.time_ms + CONTEXT_AFTER_MS;
    let shown = lines.iter().filter(|line| {
        line.is_about(&args.request)
            || (span.contains(&line.time_ms) && STATE_EVENTS.contains(&line.event.as_str()))
    });
    for line in shown {
        let mark = if line.is_about(&args.request) { '>' } else { ' ' };
        output::line(&format!("{mark} {}", line.format(origin_ms)))?;
    }
    if unreadable > 0 {
        output::line(&format!("{unreadable} lines could not be read"))?;
    }
    Ok(())
}

fn read_log(path: &Path) -> Result<String, CliError> {
    let bytes = fs::read(path).map_err(|source| {
        io::Error::new(
            source.kind(),
            format!("the log {} cannot be read: {source}", path.display()),
        )
    })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
