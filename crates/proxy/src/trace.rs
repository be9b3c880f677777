//! Traces with one span for each hop of a request, sent as OTLP over HTTP from a separate thread.
//!
//! Spans hold the names of workspace, database and member, never a key or a statement.

use std::{fmt, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, header};
use opentelemetry::{
    Context, KeyValue,
    trace::{
        SpanContext, SpanId, SpanKind, Status, TraceContextExt, TraceFlags, TraceId, TraceState,
        Tracer as _, TracerProvider as _,
    },
};
use opentelemetry_http::{HttpClient as OtlpClient, HttpError as OtlpError};
use opentelemetry_otlp::{SpanExporter, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::{
    Resource,
    trace::{SdkTracer, SdkTracerProvider, Span as SdkSpan},
};
use thiserror::Error;

use hibiscusladder_io::http::HttpClient;

/// Longest time of one export of spans.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Stage of a request that gets a span.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hop {
    /// From the authorisation of a batch to the last byte of its answer.
    Caller,
    /// Execution of a batch at the entry instance.
    Entry,
    /// Call from the entry to the home, up to the first part of the answer; each attempt has its own span.
    Forward,
    /// Wait for the lease, for admission and for a slot at the home.
    Queue,
    /// Execution by the upstream.
    Upstream,
}

impl Hop {
    /// Name of the span.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Entry => "entry",
            Self::Forward => "forward",
            Self::Queue => "queue",
            Self::Upstream => "upstream",
        }
    }

    const fn kind(self) -> SpanKind {
        match self {
            Self::Caller => SpanKind::Server,
            Self::Entry | Self::Queue => SpanKind::Internal,
            Self::Forward | Self::Upstream => SpanKind::Client,
        }
    }
}

/// Starts spans; a disabled tracer does nothing. Clones share the exporter.
#[derive(Clone, Default)]
pub struct Tracer {
    inner: Option<Arc<Inner>>,
}

struct Inner {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

impl fmt::Debug for Tracer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tracer").field("enabled", &self.inner.is_some()).finish()
    }
}

/// The exporter of traces cannot be built.
#[derive(Debug, Error)]
#[error("traces cannot be sent to {url} ({reason}); check [trace] otlp")]
pub struct TraceError {
    url: String,
    reason: String,
}

impl Tracer {
    /// Creates a tracer that records no spans.
    pub const fn disabled() -> Self {
        Self { inner: None }
    }

    /// Creates a tracer that sends spans to the collector at `url`, such as `http://127.0.0.1:4318/v1/traces`.
    ///
    /// The names of instance and data centre become resource attributes of the spans.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter cannot be built.
    pub fn to_otlp(url: &str, instance: &str, data_centre: &str) -> Result<Self, TraceError> {
        let authority = url.trim_start_matches("http://").split('/').next().unwrap_or_default();
        let client = ExportClient { http: HttpClient::new(authority) };
        let exporter = SpanExporter::builder()
            .with_http()
            .with_http_client(client)
            .with_endpoint(url)
            .with_timeout(EXPORT_TIMEOUT)
            .build()
            .map_err(|error| TraceError { url: url.to_owned(), reason: error.to_string() })?;
        let resource = Resource::builder()
            .with_service_name("hibiscusladder")
            .with_attribute(KeyValue::new("service.instance.id", instance.to_owned()))
            .with_attribute(KeyValue::new("data_centre", data_centre.to_owned()))
            .build();
        let provider = SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_resource(resource)
            .build();
        let tracer = provider.tracer("hibiscusladder");
        Ok(Self { inner: Some(Arc::new(Inner { provider, tracer })) })
    }

    /// Starts the span of `hop` under the W3C trace context `parent`; an empty or invalid one starts a new trace.
    pub fn span(&self, hop: Hop, parent: &str) -> Span {
        let Some(inner) = &self.inner else {
            return Span { span: None };
        };
        let context = parse_trace_parent(parent)
            .map_or_else(Context::new, |parent| Context::new().with_remote_span_context(parent));
        let builder = inner.tracer.span_builder(hop.name()).with_kind(hop.kind());
        let span = builder.start_with_context(&inner.tracer, &context);
        Span { span: Some(span) }
    }

    /// Sends the spans that are still queued and stops the exporter.
    pub fn shutdown(&self) {
        if let Some(inner) = &self.inner
            && let Err(error) = inner.provider.shutdown()
        {
            spdlog::warn!("entry: could not send the last spans: {error}");
        }
    }
}

/// A span that ends when it is dropped.
#[derive(Debug)]
pub struct Span {
    span: Option<SdkSpan>,
}

impl Span {
    /// W3C trace context for the next hop; empty when the request is not traced.
    pub fn trace_parent(&self) -> Arc<str> {
        use opentelemetry::trace::Span as _;
        let Some(span) = &self.span else {
            return Arc::from("");
        };
        let context = span.span_context();
        let flags = context.trace_flags().to_u8();
        let text = format!("00-{}-{}-{flags:02x}", context.trace_id(), context.span_id());
        Arc::from(text)
    }

    /// Sets the attribute `key`; `value` must not contain a secret.
    pub fn attribute(&mut self, key: &'static str, value: &str) {
        use opentelemetry::trace::Span as _;
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new(key, value.to_owned()));
        }
    }

    /// Marks the span as failed; `reason` must not contain a secret.
    pub fn fail(&mut self, reason: &str) {
        use opentelemetry::trace::Span as _;
        if let Some(span) = &mut self.span {
            span.set_status(Status::error(reason.to_owned()));
        }
    }
}

/// Parses a `traceparent` value, `<version>-<trace id>-<span id>-<flags>`.
fn parse_trace_parent(text: &str) -> Option<SpanContext> {
    let mut parts = text.split('-');
    let _version = parts.next().filter(|version| version.len() == 2)?;
    let trace = TraceId::from_hex(parts.next()?).ok()?;
    let span = SpanId::from_hex(parts.next()?).ok()?;
    let flags = u8::from_str_radix(parts.next()?, 16).ok()?;
    let context =
        SpanContext::new(trace, span, TraceFlags::new(flags), true, TraceState::default());
    context.is_valid().then_some(context)
}

/// HTTP client of the exporter, which runs on the exporter's own thread.
#[derive(Debug)]
struct ExportClient {
    http: HttpClient,
}

#[async_trait]
impl OtlpClient for ExportClient {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, OtlpError> {
        let (mut parts, body) = request.into_parts();
        let host = self.http.address().parse()?;
        parts.headers.insert(header::HOST, host);
        if let Some(path) = parts.uri.path_and_query() {
            parts.uri = path.as_str().parse()?;
        }
        let request = Request::from_parts(parts, Full::new(body));
        let answer = self.http.send(request, EXPORT_TIMEOUT).await;
        answer.map_err(|error| error.into_io().into())
    }
}
