//! Settings of the session that the entry answers itself.

use std::sync::Arc;

use bytes::BytesMut;
use hibiscusladder_core::{
    outcome::{Refusal, RefusalKind},
    position::Position,
    session::Session,
};

use super::{answer, frame::Frame, message::ClientMessage, plan::Statements};
use crate::classify::{MAX_REQUEST_ID_BYTES, SessionControl};

/// Settings of one client.
#[derive(Debug)]
pub(super) struct LocalSettings {
    pub(super) session: Session,
    /// Request id for the next statement or transaction.
    pub(super) request_id: Option<Arc<str>>,
}

impl LocalSettings {
    /// Applies a setting.
    pub(super) fn apply(&mut self, control: &SessionControl) -> Result<(), Refusal> {
        let invalid = |detail: String| Refusal::not_run(RefusalKind::Protocol).detail(detail);
        match control {
            SessionControl::SetPosition(text) => {
                let position: Position =
                    text.parse().map_err(|error| invalid(format!("{error}")))?;
                self.session.record_client_position(position);
            }
            SessionControl::SetRequestId(text) if text.len() > MAX_REQUEST_ID_BYTES => {
                let detail = format!("a request id has at most {MAX_REQUEST_ID_BYTES} bytes");
                return Err(invalid(detail));
            }
            SessionControl::SetRequestId(text) => {
                self.request_id = (!text.is_empty()).then(|| Arc::from(text.as_str()));
            }
            SessionControl::ShowPosition | SessionControl::ShowRequestId => {}
        }
        Ok(())
    }

    /// Answers a simple query.
    pub(super) fn answer_simple(&self, control: &SessionControl, buf: &mut BytesMut) {
        if let Some((name, value)) = self.shown(control) {
            answer::put_text_column(buf, name);
            answer::put_text_row(buf, &value);
        }
        answer::put_tag(buf, tag(control));
    }

    /// Answers a batch of the extended protocol.
    pub(super) fn answer_extended(
        &self,
        frames: &[Frame],
        statements: &Statements,
        buf: &mut BytesMut,
    ) {
        let mut bound = None;
        for frame in frames {
            match ClientMessage::parse(frame) {
                Some(ClientMessage::Parse { .. }) => answer::put_raw(buf, b'1', &[]),
                Some(ClientMessage::Bind { statement }) => {
                    bound = control(statements, statement);
                    answer::put_raw(buf, b'2', &[]);
                }
                Some(ClientMessage::DescribeStatement { name }) => {
                    answer::put_raw(buf, b't', &[0, 0]);
                    self.describe(control(statements, name), buf);
                }
                Some(ClientMessage::DescribePortal) => self.describe(bound, buf),
                Some(ClientMessage::Execute) => {
                    let Some(control) = bound else { continue };
                    if let Some((_, value)) = self.shown(control) {
                        answer::put_text_row(buf, &value);
                    }
                    answer::put_tag(buf, tag(control));
                }
                Some(ClientMessage::CloseStatement { .. } | ClientMessage::ClosePortal) => {
                    answer::put_raw(buf, b'3', &[]);
                }
                _ => {}
            }
        }
    }

    fn describe(&self, control: Option<&SessionControl>, buf: &mut BytesMut) {
        match control.and_then(|control| self.shown(control)) {
            Some((name, _)) => answer::put_text_column(buf, name),
            None => answer::put_raw(buf, b'n', &[]),
        }
    }

    /// Name and value of a setting that is asked for.
    fn shown(&self, control: &SessionControl) -> Option<(&'static str, String)> {
        match control {
            SessionControl::ShowPosition => {
                let position = self.session.position();
                let text = position.map(|position| position.to_string()).unwrap_or_default();
                Some(("hibiscus.position", text))
            }
            SessionControl::ShowRequestId => {
                let text = self.request_id.as_deref().unwrap_or_default().to_owned();
                Some(("hibiscus.request_id", text))
            }
            SessionControl::SetPosition(_) | SessionControl::SetRequestId(_) => None,
        }
    }
}

fn control<'a>(statements: &'a Statements, name: &str) -> Option<&'a SessionControl> {
    statements.get(name)?.control.as_ref()
}

const fn tag(control: &SessionControl) -> &'static str {
    match control {
        SessionControl::SetPosition(_) | SessionControl::SetRequestId(_) => "SET",
        SessionControl::ShowPosition | SessionControl::ShowRequestId => "SHOW",
    }
}
