//! Reads the settings from a parsed file and collects all errors in it.

use std::{
    net::SocketAddr, ops::Range, ops::RangeInclusive, path::PathBuf, sync::Arc, time::Duration,
};

use hibiscusladder_core::name::{DataCentre, InstanceId};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use super::{
    DataCentreSettings, InstanceSettings, LimitPolicy, Limits, LogLevel, PlatformSettings, Policy,
    QueuePolicy, ReadPolicy, Settings, SettingsError, SettingsErrors, Times, TlsSettings,
    UpstreamSettings, duration_text, parse_duration,
};

/// Known sections of a settings file.
const SECTIONS: [&str; 11] = [
    "instance", "platform", "topology", "limits", "times", "policy", "tls", "trace", "metrics",
    "upstream", "log",
];

/// Largest accepted `max_config_age`. Its sum with the 2 s for which an answer is evidence of an outage has to stay
/// below the 8 s of `DIVISION_GRACE`, for which a replaced division of a contract may still be in use.
const MAX_CONFIG_AGE_LIMIT: Duration = Duration::from_millis(5500);

/// Reads the sections of a settings file and collects the errors.
pub(super) struct Reader {
    file: Arc<str>,
    text: Arc<str>,
    errors: Vec<SettingsError>,
}

/// One table of the file, with the keys that it may contain.
struct Section<'a, 'i> {
    name: &'static str,
    table: &'a DeTable<'i>,
    span: Range<usize>,
    known_keys: Vec<&'static str>,
}

impl<'a, 'i> Section<'a, 'i> {
    fn get(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        self.known_keys.push(key);
        self.table.iter().find(|(name, _)| name.get_ref() == key).map(|(_, value)| value)
    }
}

impl Reader {
    pub(super) fn new(file: &str, text: &str) -> Self {
        Self { file: Arc::from(file), text: Arc::from(text), errors: Vec::new() }
    }

    pub(super) fn settings(mut self) -> Result<Settings, SettingsErrors> {
        let text = Arc::clone(&self.text);
        let (root, errors) = DeTable::parse_recoverable(&text);
        for error in errors {
            let span = error.span().unwrap_or(0..0);
            self.add_error(span, error.message(), "correct the TOML syntax at this place");
        }
        let has_syntax_errors = !self.errors.is_empty();
        let settings = self.root(root.get_ref());
        if has_syntax_errors {
            // A syntax error can hide keys, so errors about missing keys would be misleading.
            self.errors.retain(|error| !error.message().contains("is missing"));
        }
        match settings {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(SettingsErrors::new(&self.file, self.errors)),
        }
    }

    fn root(&mut self, root: &DeTable<'_>) -> Option<Settings> {
        for (key, _) in root.iter() {
            if !SECTIONS.contains(&key.get_ref().as_ref()) {
                let message = format!("`{}` is not a known section", key.get_ref());
                let remedy = format!("use one of: {}", SECTIONS.join(", "));
                self.add_error(key.span(), &message, &remedy);
            }
        }
        let topology = self.topology(root);
        let instance = self.instance(root, &topology);
        let platform = self.platform(root);
        let limits = self.limits(root);
        let times = self.times(root);
        let policy = self.policy(root);
        let tls = self.tls(root);
        let otlp = self.trace(root);
        let statsd = self.metrics(root);
        let upstream = self.upstream(root);
        let log = self.log(root);
        Some(Settings {
            instance: instance?,
            platform: platform?,
            topology,
            limits,
            times,
            policy,
            tls,
            otlp,
            statsd,
            upstream: upstream?,
            log,
        })
    }

    fn instance(
        &mut self,
        root: &DeTable<'_>,
        topology: &[DataCentreSettings],
    ) -> Option<InstanceSettings> {
        let mut section = self.required_section(root, "instance")?;
        let id = self.required_text(&mut section, "id");
        let data_centre = self.required_text(&mut section, "data_centre");
        let listen = self.required_address(&mut section, "listen");
        let rpc = self.required_address(&mut section, "rpc");
        let health = self.required_address(&mut section, "health");
        let seeds = self.addresses(&mut section, "seeds");
        if let Some((name, span)) = &data_centre
            && !topology.iter().any(|entry| entry.data_centre.as_str() == name)
        {
            let message = format!("the data centre `{name}` is not in the topology");
            self.add_error(span.clone(), &message, "add it to [[topology]] or correct the name");
        }
        self.reject_unknown_keys(&section);
        Some(InstanceSettings {
            id: InstanceId::from(id?.0),
            data_centre: DataCentre::from(data_centre?.0),
            listen: listen?,
            rpc: rpc?,
            health: health?,
            seeds,
        })
    }

    fn platform(&mut self, root: &DeTable<'_>) -> Option<PlatformSettings> {
        let mut section = self.required_section(root, "platform")?;
        let url = self.required_text(&mut section, "url");
        self.reject_unknown_keys(&section);
        let (url, span) = url?;
        let address = self.http_address(&url, span)?;
        Some(PlatformSettings { address })
    }

    fn topology(&mut self, root: &DeTable<'_>) -> Vec<DataCentreSettings> {
        let Some((key, value)) = root.iter().find(|(key, _)| key.get_ref() == "topology") else {
            let remedy =
                "add one [[topology]] table with `data_centre` and `region` for each data centre";
            self.add_error(0..0, "the section `topology` is missing", remedy);
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.add_error(
                key.span(),
                "`topology` is not a list",
                "write it as [[topology]] tables",
            );
            return Vec::new();
        };
        let mut data_centres: Vec<DataCentreSettings> = Vec::new();
        for item in array.iter() {
            let Some(table) = item.get_ref().as_table() else {
                let remedy = "write it as { data_centre = \"…\", region = \"…\" }";
                self.add_error(item.span(), "an entry of `topology` is not a table", remedy);
                continue;
            };
            let mut section =
                Section { name: "topology", table, span: item.span(), known_keys: Vec::new() };
            let data_centre = self.required_text(&mut section, "data_centre");
            let region = self.required_text(&mut section, "region");
            self.reject_unknown_keys(&section);
            let (Some((data_centre, span)), Some((region, _))) = (data_centre, region) else {
                continue;
            };
            if data_centres.iter().any(|entry| entry.data_centre.as_str() == data_centre) {
                let message = format!("the data centre `{data_centre}` is listed twice");
                self.add_error(span, &message, "remove one of the two entries");
                continue;
            }
            data_centres
                .push(DataCentreSettings { data_centre: DataCentre::from(data_centre), region });
        }
        data_centres
    }

    fn limits(&mut self, root: &DeTable<'_>) -> Limits {
        let mut limits = Limits::default();
        let Some(mut section) = self.section(root, "limits") else {
            return limits;
        };
        self.count(&mut section, "client_connections", 1..=100_000, &mut limits.client_connections);
        self.count(&mut section, "memory_mb", 16..=1 << 20, &mut limits.memory_mb);
        self.count(&mut section, "batch_bytes", 1024..=64 << 20, &mut limits.batch_bytes);
        self.count(&mut section, "queue_length", 1..=100_000, &mut limits.queue_length);
        self.reject_unknown_keys(&section);
        limits
    }

    fn times(&mut self, root: &DeTable<'_>) -> Times {
        let mut times = Times::default();
        let Some(mut section) = self.section(root, "times") else {
            return times;
        };
        let minute = Duration::from_secs(60);
        let at_least = |millis| Duration::from_millis(millis)..=minute;
        let config_age = Duration::from_secs(1)..=MAX_CONFIG_AGE_LIMIT;
        let up_to_one_hour = Duration::from_millis(100)..=minute * 60;
        self.time(&mut section, "max_config_age", config_age, &mut times.max_config_age);
        self.time(&mut section, "queue_wait", at_least(1), &mut times.queue_wait);
        self.time(&mut section, "admit_wait", at_least(0), &mut times.admit_wait);
        self.time(&mut section, "replica_wait", at_least(0), &mut times.replica_wait);
        self.time(
            &mut section,
            "idle_in_transaction",
            at_least(10),
            &mut times.idle_in_transaction,
        );
        self.time(&mut section, "silence_bound", at_least(100), &mut times.silence_bound);
        self.time(&mut section, "gate_wait", at_least(0), &mut times.gate_wait);
        self.time(&mut section, "statement", up_to_one_hour.clone(), &mut times.statement);
        self.time(
            &mut section,
            "client_message",
            up_to_one_hour.clone(),
            &mut times.client_message,
        );
        self.time(&mut section, "client_answer", up_to_one_hour.clone(), &mut times.client_answer);
        self.time(&mut section, "drain_time", up_to_one_hour, &mut times.drain_time);
        self.time(&mut section, "platform_call", at_least(50), &mut times.platform_call);
        self.reject_unknown_keys(&section);
        times
    }

    fn policy(&mut self, root: &DeTable<'_>) -> Policy {
        let Some(mut section) = self.section(root, "policy") else {
            return Policy::default();
        };
        let reads = [("replicas", ReadPolicy::Replicas), ("primary", ReadPolicy::Primary)];
        let queue = [("fair", QueuePolicy::Fair), ("fifo", QueuePolicy::Fifo)];
        let limits = [("loans", LimitPolicy::Loans), ("equal_split", LimitPolicy::EqualSplit)];
        let policy = Policy {
            reads: self.choice(&mut section, "reads", reads),
            queue: self.choice(&mut section, "queue", queue),
            limits: self.choice(&mut section, "limits", limits),
        };
        self.reject_unknown_keys(&section);
        policy
    }

    /// Reads one of two named values; the first one is the default.
    fn choice<T>(
        &mut self,
        section: &mut Section<'_, '_>,
        key: &'static str,
        choices: [(&str, T); 2],
    ) -> T
    where
        T: Copy,
    {
        let default = choices[0].1;
        let Some(value) = section.get(key) else { return default };
        let text = value.get_ref().as_str();
        let chosen = choices.iter().find(|(name, _)| text == Some(*name));
        if chosen.is_none() {
            let names = choices.map(|(name, _)| format!("\"{name}\"")).join(" or ");
            let message = format!("`{key}` has an unknown value");
            self.add_error(value.span(), &message, &format!("use {names}"));
        }
        chosen.map_or(default, |(_, choice)| *choice)
    }

    fn tls(&mut self, root: &DeTable<'_>) -> Option<TlsSettings> {
        let mut section = self.section(root, "tls")?;
        let cert = self.required_text(&mut section, "cert");
        let key = self.required_text(&mut section, "key");
        self.reject_unknown_keys(&section);
        Some(TlsSettings { cert: PathBuf::from(cert?.0), key: PathBuf::from(key?.0) })
    }

    fn trace(&mut self, root: &DeTable<'_>) -> Option<String> {
        let mut section = self.section(root, "trace")?;
        let otlp = self.required_text(&mut section, "otlp");
        self.reject_unknown_keys(&section);
        let (url, span) = otlp?;
        self.http_address(&url, span)?;
        Some(url)
    }

    fn metrics(&mut self, root: &DeTable<'_>) -> Option<SocketAddr> {
        let mut section = self.section(root, "metrics")?;
        let statsd = self.required_address(&mut section, "statsd");
        self.reject_unknown_keys(&section);
        statsd
    }

    fn upstream(&mut self, root: &DeTable<'_>) -> Option<UpstreamSettings> {
        let mut section = self.required_section(root, "upstream")?;
        let user = self.required_text(&mut section, "user");
        let password = self.required_text(&mut section, "password");
        self.reject_unknown_keys(&section);
        Some(UpstreamSettings { user: user?.0, password: password?.0 })
    }

    fn log(&mut self, root: &DeTable<'_>) -> LogLevel {
        let Some(mut section) = self.section(root, "log") else {
            return LogLevel::default();
        };
        let level = self.required_text(&mut section, "level");
        self.reject_unknown_keys(&section);
        match level.as_ref().map(|(text, span)| (text.as_str(), span)) {
            Some(("error", _)) => LogLevel::Error,
            Some(("warn", _)) => LogLevel::Warn,
            Some(("debug", _)) => LogLevel::Debug,
            Some(("info", _)) | None => LogLevel::Info,
            Some((other, span)) => {
                let message = format!("`{other}` is not a log level");
                self.add_error(span.clone(), &message, "use one of: error, warn, info, debug");
                LogLevel::default()
            }
        }
    }

    fn section<'a, 'i>(
        &mut self,
        root: &'a DeTable<'i>,
        name: &'static str,
    ) -> Option<Section<'a, 'i>> {
        let (key, value) = root.iter().find(|(key, _)| key.get_ref() == name)?;
        let Some(table) = value.get_ref().as_table() else {
            let message = format!("`{name}` is not a section");
            self.add_error(key.span(), &message, &format!("write it as [{name}]"));
            return None;
        };
        Some(Section { name, table, span: value.span(), known_keys: Vec::new() })
    }

    fn required_section<'a, 'i>(
        &mut self,
        root: &'a DeTable<'i>,
        name: &'static str,
    ) -> Option<Section<'a, 'i>> {
        if !root.iter().any(|(key, _)| key.get_ref() == name) {
            let message = format!("the section `{name}` is missing");
            self.add_error(0..0, &message, &format!("add a section [{name}]"));
        }
        self.section(root, name)
    }

    fn required_text(
        &mut self,
        section: &mut Section<'_, '_>,
        key: &'static str,
    ) -> Option<(String, Range<usize>)> {
        let Some(value) = section.get(key) else {
            let message = format!("the key `{key}` is missing in [{}]", section.name);
            self.add_error(section.span.clone(), &message, &format!("add {key} = \"…\""));
            return None;
        };
        match value.get_ref().as_str() {
            Some("") => {
                let message = format!("`{key}` is empty");
                self.add_error(value.span(), &message, "give a value that is not empty");
                None
            }
            Some(text) => Some((text.to_owned(), value.span())),
            None => {
                let message = format!("`{key}` is not a text");
                self.add_error(
                    value.span(),
                    &message,
                    &format!("write it in quotes: {key} = \"…\""),
                );
                None
            }
        }
    }

    fn required_address(
        &mut self,
        section: &mut Section<'_, '_>,
        key: &'static str,
    ) -> Option<SocketAddr> {
        let (text, span) = self.required_text(section, key)?;
        let address = text.parse().ok();
        if address.is_none() {
            let message = format!("`{text}` is not an IP address with a port");
            self.add_error(span, &message, &format!("write it like {key} = \"127.0.0.1:5432\""));
        }
        address
    }

    fn addresses(&mut self, section: &mut Section<'_, '_>, key: &'static str) -> Vec<SocketAddr> {
        let Some(value) = section.get(key) else {
            return Vec::new();
        };
        let remedy = format!("write it like {key} = [\"127.0.0.1:7301\"]");
        let Some(items) = value.get_ref().as_array() else {
            self.add_error(value.span(), &format!("`{key}` is not a list of addresses"), &remedy);
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for item in items.iter() {
            match item.get_ref().as_str().map(str::parse) {
                Some(Ok(address)) => addresses.push(address),
                _ => self.add_error(
                    item.span(),
                    "an entry is not an IP address with a port",
                    &remedy,
                ),
            }
        }
        addresses
    }

    fn http_address(&mut self, url: &str, span: Range<usize>) -> Option<String> {
        let authority = url.strip_prefix("http://").map(|rest| rest.split('/').next());
        let address = authority.flatten().filter(|address| {
            address
                .rsplit_once(':')
                .is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok())
        });
        if address.is_none() {
            let message = format!("`{url}` is not a URL that can be used here");
            self.add_error(
                span,
                &message,
                "write it like \"http://127.0.0.1:7300\", with the port",
            );
        }
        address.map(str::to_owned)
    }

    fn count(
        &mut self,
        section: &mut Section<'_, '_>,
        key: &'static str,
        range: RangeInclusive<u32>,
        target: &mut u32,
    ) {
        let Some(value) = section.get(key) else {
            return;
        };
        let number = value
            .get_ref()
            .as_integer()
            .and_then(|number| u32::from_str_radix(number.as_str(), number.radix()).ok())
            .filter(|number| range.contains(number));
        let Some(number) = number else {
            let message = format!("`{key}` is not a whole number in its range");
            let remedy = format!("use a number from {} to {}", range.start(), range.end());
            self.add_error(value.span(), &message, &remedy);
            return;
        };
        *target = number;
    }

    fn time(
        &mut self,
        section: &mut Section<'_, '_>,
        key: &'static str,
        range: RangeInclusive<Duration>,
        target: &mut Duration,
    ) {
        let Some(value) = section.get(key) else {
            return;
        };
        let remedy = "write a whole number with one of the units ms, s, min, h, such as \"250ms\"";
        let Some(text) = value.get_ref().as_str() else {
            self.add_error(value.span(), &format!("`{key}` is not a duration text"), remedy);
            return;
        };
        match parse_duration(text) {
            Ok(duration) if range.contains(&duration) => *target = duration,
            Ok(_) => {
                let bounds =
                    format!("{} to {}", duration_text(*range.start()), duration_text(*range.end()));
                let message = format!("`{key}` is outside its range");
                self.add_error(value.span(), &message, &format!("use a duration from {bounds}"));
            }
            Err(error) => self.add_error(value.span(), &format!("`{key}`: {error}"), remedy),
        }
    }

    fn reject_unknown_keys(&mut self, section: &Section<'_, '_>) {
        for (key, _) in section.table.iter() {
            if section.known_keys.iter().any(|known| key.get_ref() == known) {
                continue;
            }
            let message = format!("`{}` is not a known key of [{}]", key.get_ref(), section.name);
            let remedy = format!("remove it or use one of: {}", section.known_keys.join(", "));
            self.add_error(key.span(), &message, &remedy);
        }
    }

    fn add_error(&mut self, span: Range<usize>, message: &str, remedy: &str) {
        let error =
            SettingsError::new(&self.file, &self.text, span, message.to_owned(), remedy.to_owned());
        self.errors.push(error);
    }
}
