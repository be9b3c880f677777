//! Parses client messages, as far as the entry uses their contents.

use super::frame::{Fields, Frame};

/// A message from a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClientMessage<'a> {
    Query {
        text: &'a str,
    },
    Parse {
        name: &'a str,
        text: &'a str,
    },
    Bind {
        statement: &'a str,
    },
    DescribeStatement {
        name: &'a str,
    },
    DescribePortal,
    Execute,
    CloseStatement {
        name: &'a str,
    },
    ClosePortal,
    Flush,
    Sync,
    Terminate,
    /// `CopyData`, `CopyDone` or `CopyFail`.
    Copy,
    FunctionCall,
    /// A message type that is not allowed after start-up, or is unknown.
    Other,
}

impl<'a> ClientMessage<'a> {
    /// Parses a message; `None` when its body is not valid.
    pub(super) fn parse(frame: &'a Frame) -> Option<Self> {
        let mut fields = Fields::new(frame.body());
        let message = match frame.kind() {
            b'Q' => Self::Query { text: fields.text()? },
            b'P' => Self::Parse { name: fields.text()?, text: fields.text()? },
            b'B' => {
                let _portal = fields.text()?;
                Self::Bind { statement: bind_statement(fields)? }
            }
            b'D' | b'C' => {
                let target = fields.byte()?;
                let name = fields.text()?;
                match (frame.kind(), target) {
                    (b'D', b'S') => Self::DescribeStatement { name },
                    (b'D', b'P') => Self::DescribePortal,
                    (b'C', b'S') => Self::CloseStatement { name },
                    (b'C', b'P') => Self::ClosePortal,
                    _ => return None,
                }
            }
            b'E' => {
                let _portal = fields.text()?;
                let _rows = fields.int32()?;
                Self::Execute
            }
            b'H' => Self::Flush,
            b'S' => Self::Sync,
            b'X' => Self::Terminate,
            b'd' | b'c' | b'f' => Self::Copy,
            b'F' => Self::FunctionCall,
            _ => Self::Other,
        };
        Some(message)
    }
}

/// Returns the statement name of a `Bind` message, given its fields after the portal name; `None` when the message is
/// not valid.
fn bind_statement(mut fields: Fields<'_>) -> Option<&str> {
    let statement = fields.text()?;
    let formats = fields.int16()?;
    fields.bytes(usize::from(formats) * 2)?;
    let parameters = fields.int16()?;
    for _ in 0..parameters {
        if let Ok(length) = usize::try_from(fields.int32()?) {
            fields.bytes(length)?;
        }
    }
    let formats = fields.int16()?;
    fields.bytes(usize::from(formats) * 2)?;
    fields.rest().is_empty().then_some(statement)
}
