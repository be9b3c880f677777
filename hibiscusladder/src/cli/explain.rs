//! `explain`: the story of one request, from the logs of the instances.

use std::{fs, io, path::Path};

use serde_json::{Map, Value};

use super::{args::Explain, error::CliError, output};

/// Time before the first line of a request for which changed beliefs are shown, in milliseconds.
const LEAD_MS: u64 = 5_000;
/// Time after its last line, in milliseconds.
const TRAIL_MS: u64 = 1_000;
/// Events that change what an instance believes.
const BELIEFS: [&str; 16] = [
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

/// One line of a log.
#[derive(Debug)]
struct Line {
    time_ms: u64,
    source: String,
    event: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; what stands before the JSON object names the instance, as some collectors write it.
    fn parse(text: &str, file: &str) -> Option<Self> {
        let start = text.find('{')?;
        let Value::Object(mut fields) = serde_json::from_str(text.get(start..)?).ok()? else {
            return None;
        };
        let time_ms = fields.remove("time_ms")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        let before = text.get(..start).unwrap_or_default().split_whitespace().next_back();
        let source = before.unwrap_or(file).to_owned();
        Some(Self { time_ms, source, event, fields })
    }

    /// Whether the line is about the request. The begin and the commit of a transaction have ids of their own.
    fn concerns(&self, request: &str) -> bool {
        self.fields.get("request").and_then(Value::as_str) == Some(request)
    }

    fn show(&self, origin_ms: u64) -> String {
        let offset = self.time_ms as f64 - origin_ms as f64;
        let fields = self.fields.iter().map(|(name, value)| format!("{name}={value}"));
        let fields: Vec<String> = fields.collect();
        format!("{:+9.3} s  {}  {}  {}", offset / 1000.0, self.source, self.event, fields.join(" "))
    }
}

/// Prints the lines of a request in order of time, and the beliefs that changed meanwhile.
pub(crate) fn run(args: &Explain) -> Result<(), CliError> {
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for path in &args.files {
        let text = read(path)?;
        let file = path.file_stem().map(|name| name.to_string_lossy().into_owned());
        let file = file.unwrap_or_default();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match Line::parse(line, &file) {
                Some(line) => lines.push(line),
                None => unreadable += 1,
            }
        }
    }
    lines.sort_by_key(|line| line.time_ms);
    let of_request: Vec<&Line> = lines.iter().filter(|line| line.concerns(&args.request)).collect();
    let (Some(first), Some(last)) = (of_request.first(), of_request.last()) else {
        return Err(CliError::NotFound {
            object: format!("line about request {}", args.request),
            remedy: "check the id, and name the logs of all instances; a request served at once \
                     leaves no line"
                .to_owned(),
        });
    };
    let origin_ms = first.time_ms;
    let span = origin_ms.saturating_sub(LEAD_MS)..=last.time_ms + TRAIL_MS;
    let shown = lines.iter().filter(|line| {
        line.concerns(&args.request)
            || (span.contains(&line.time_ms) && BELIEFS.contains(&line.event.as_str()))
    });
    for line in shown {
        let mark = if line.concerns(&args.request) { '>' } else { ' ' };
        output::line(&format!("{mark} {}", line.show(origin_ms)))?;
    }
    if unreadable > 0 {
        output::line(&format!("{unreadable} lines could not be read"))?;
    }
    Ok(())
}

fn read(path: &Path) -> Result<String, CliError> {
    let bytes = fs::read(path).map_err(|source| {
        io::Error::new(
            source.kind(),
            format!("the log {} cannot be read: {source}", path.display()),
        )
    })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
