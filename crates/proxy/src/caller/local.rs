//! Session settings `hibiscus.position` and `hibiscus.request_id`, which the entry answers without an upstream.

use std::sync::Arc;

use bytes::BytesMut;
use hibiscusladder_core::{
    outcome::{Refusal, RefusalKind},
    position::Position,
    session::Session,
};

use super::{answer, frame::Frame, message::ClientMessage, plan::Statements};
use crate::classify::{MAX_REQUEST_ID_BYTES, SettingStatement};

/// Session settings of one client.
#[derive(Debug)]
pub(super) struct LocalSettings {
    pub(super) session: Session,
    /// Request id for the next statement or transaction; `None` when the client set none.
    pub(super) request_id: Option<Arc<str>>,
}

impl LocalSettings {
    /// Applies a `SET` statement; a `SHOW` statement changes nothing.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the value is not a position or is too long for a request id.
    pub(super) fn apply(&mut self, setting: &SettingStatement) -> Result<(), Refusal> {
        let invalid = |detail: String| Refusal::not_run(RefusalKind::Protocol).detail(detail);
        match setting {
            SettingStatement::SetPosition(text) => {
                let position: Position =
                    text.parse().map_err(|error| invalid(format!("{error}")))?;
                self.session.record_client_position(position);
            }
            SettingStatement::SetRequestId(text) if text.len() > MAX_REQUEST_ID_BYTES => {
                let detail = format!("a request id has at most {MAX_REQUEST_ID_BYTES} bytes");
                return Err(invalid(detail));
            }
            SettingStatement::SetRequestId(text) => {
                self.request_id = (!text.is_empty()).then(|| Arc::from(text.as_str()));
            }
            SettingStatement::ShowPosition | SettingStatement::ShowRequestId => {}
        }
        Ok(())
    }

    /// Appends the answer to a simple query, without `ReadyForQuery`.
    pub(super) fn answer_simple(&self, setting: &SettingStatement, buf: &mut BytesMut) {
        if let Some((name, value)) = self.show_result(setting) {
            answer::put_text_column(buf, name);
            answer::put_text_row(buf, &value);
        }
        answer::put_tag(buf, tag(setting));
    }

    /// Appends the answer to a batch of the extended protocol, without `ReadyForQuery`.
    pub(super) fn answer_extended(
        &self,
        frames: &[Frame],
        statements: &Statements,
        buf: &mut BytesMut,
    ) {
        let mut bound_setting = None;
        for frame in frames {
            match ClientMessage::parse(frame) {
                Some(ClientMessage::Parse { .. }) => answer::put_raw(buf, b'1', &[]),
                Some(ClientMessage::Bind { statement }) => {
                    bound_setting = setting(statements, statement);
                    answer::put_raw(buf, b'2', &[]);
                }
                Some(ClientMessage::DescribeStatement { name }) => {
                    answer::put_raw(buf, b't', &[0, 0]);
                    self.describe(setting(statements, name), buf);
                }
                Some(ClientMessage::DescribePortal) => self.describe(bound_setting, buf),
                Some(ClientMessage::Execute) => {
                    let Some(setting) = bound_setting else { continue };
                    if let Some((_, value)) = self.show_result(setting) {
                        answer::put_text_row(buf, &value);
                    }
                    answer::put_tag(buf, tag(setting));
                }
                Some(ClientMessage::CloseStatement { .. } | ClientMessage::ClosePortal) => {
                    answer::put_raw(buf, b'3', &[]);
                }
                _ => {}
            }
        }
    }

    fn describe(&self, setting: Option<&SettingStatement>, buf: &mut BytesMut) {
        match setting.and_then(|setting| self.show_result(setting)) {
            Some((name, _)) => answer::put_text_column(buf, name),
            None => answer::put_raw(buf, b'n', &[]),
        }
    }

    /// Column name and value of the answer to a `SHOW` statement; `None` for `SET`.
    fn show_result(&self, setting: &SettingStatement) -> Option<(&'static str, String)> {
        match setting {
            SettingStatement::ShowPosition => {
                let position = self.session.position();
                let text = position.map(|position| position.to_string()).unwrap_or_default();
                Some(("hibiscus.position", text))
            }
            SettingStatement::ShowRequestId => {
                let text = self.request_id.as_deref().unwrap_or_default().to_owned();
                Some(("hibiscus.request_id", text))
            }
            SettingStatement::SetPosition(_) | SettingStatement::SetRequestId(_) => None,
        }
    }
}

fn setting<'a>(statements: &'a Statements, name: &str) -> Option<&'a SettingStatement> {
    statements.get(name)?.setting.as_ref()
}

const fn tag(setting: &SettingStatement) -> &'static str {
    match setting {
        SettingStatement::SetPosition(_) | SettingStatement::SetRequestId(_) => "SET",
        SettingStatement::ShowPosition | SettingStatement::ShowRequestId => "SHOW",
    }
}
