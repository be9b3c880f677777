//! Types of columns and parameters, and their text and binary formats.

use bytes::{BufMut, BytesMut};
use rusqlite::types::Value;

use super::error::SqlError;

/// SQLite declaration of a `BIGSERIAL` column.
///
/// SQLite generates row numbers only for a column of the type `INTEGER`. The constraint name has no effect in
/// SQLite; it distinguishes the 64-bit type from `SERIAL`.
pub(crate) const BIGSERIAL_TYPE: &str = "INTEGER CONSTRAINT bigserial";

/// A PostgreSQL type that the emulator supports. Error messages to clients contain the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PgType {
    Bool,
    Bytea,
    Int2,
    Int4,
    Int8,
    Float4,
    Float8,
    Text,
    Varchar,
}

impl PgType {
    /// Object id of the type in PostgreSQL's catalogue.
    pub(crate) const fn oid(self) -> u32 {
        match self {
            Self::Bool => 16,
            Self::Bytea => 17,
            Self::Int8 => 20,
            Self::Int2 => 21,
            Self::Int4 => 23,
            Self::Text => 25,
            Self::Float4 => 700,
            Self::Float8 => 701,
            Self::Varchar => 1043,
        }
    }

    /// Size of a value in bytes, or -1 when it varies.
    pub(crate) const fn size(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int2 => 2,
            Self::Int4 | Self::Float4 => 4,
            Self::Int8 | Self::Float8 => 8,
            Self::Bytea | Self::Text | Self::Varchar => -1,
        }
    }

    /// Type with the object id `oid`; text for an unknown id.
    pub(crate) const fn from_oid(oid: u32) -> Self {
        match oid {
            16 => Self::Bool,
            17 => Self::Bytea,
            20 => Self::Int8,
            21 => Self::Int2,
            23 => Self::Int4,
            700 => Self::Float4,
            701 => Self::Float8,
            1043 => Self::Varchar,
            _ => Self::Text,
        }
    }

    /// Type with the declared name `name`, which may have arguments in parentheses; text for an unknown name.
    pub(crate) fn from_name(name: &str) -> Self {
        let lower = name.to_ascii_lowercase();
        match lower.split(['(', ' ']).next().unwrap_or_default() {
            "bool" | "boolean" => Self::Bool,
            "bytea" | "blob" => Self::Bytea,
            "int2" | "smallint" => Self::Int2,
            "int" | "int4" | "integer" | "serial" => Self::Int4,
            "int8" | "bigint" | "bigserial" => Self::Int8,
            "float4" | "real" => Self::Float4,
            "float8" | "double" | "float" => Self::Float8,
            "varchar" | "character" => Self::Varchar,
            _ => Self::Text,
        }
    }

    /// Name of the SQLite type that stores the values.
    pub(crate) const fn sqlite_name(self) -> &'static str {
        match self {
            Self::Bool | Self::Int2 | Self::Int4 | Self::Int8 => "INTEGER",
            Self::Float4 | Self::Float8 => "REAL",
            Self::Bytea => "BLOB",
            Self::Text | Self::Varchar => "TEXT",
        }
    }
}

/// Format of a value on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Text,
    Binary,
}

impl Format {
    /// Format with the wire protocol code `code`.
    pub(crate) const fn from_code(code: i16) -> Self {
        if code == 1 { Self::Binary } else { Self::Text }
    }

    /// Code of the format in the wire protocol.
    pub(crate) const fn code(self) -> i16 {
        match self {
            Self::Text => 0,
            Self::Binary => 1,
        }
    }
}

/// Appends the length and the bytes of a value to `buf`; NULL has the length -1 and no bytes.
pub(crate) fn encode(
    value: &Value,
    pg_type: PgType,
    format: Format,
    buf: &mut BytesMut,
) -> Result<(), SqlError> {
    if *value == Value::Null {
        buf.put_i32(-1);
        return Ok(());
    }
    let start = buf.len();
    buf.put_i32(0);
    match format {
        Format::Text => buf.put_slice(&encode_text(value, pg_type)),
        Format::Binary => encode_binary(value, pg_type, buf)?,
    }
    let too_large = |_| SqlError::new("54000", "the value is larger than 2 GiB");
    let len = i32::try_from(buf.len() - start - 4).map_err(too_large)?;
    buf[start..start + 4].copy_from_slice(&len.to_be_bytes());
    Ok(())
}

fn encode_text(value: &Value, pg_type: PgType) -> Vec<u8> {
    match (pg_type, value) {
        (PgType::Bool, _) => if as_bool(value) { b"t" } else { b"f" }.to_vec(),
        (PgType::Bytea, _) => format!("\\x{}", to_hex(&as_bytes(value))).into_bytes(),
        (_, Value::Blob(bytes)) => format!("\\x{}", to_hex(bytes)).into_bytes(),
        _ => as_text(value).into_bytes(),
    }
}

fn encode_binary(value: &Value, pg_type: PgType, buf: &mut BytesMut) -> Result<(), SqlError> {
    let range = |_| SqlError::new("22003", "integer out of range");
    match pg_type {
        PgType::Bool => buf.put_u8(u8::from(as_bool(value))),
        PgType::Bytea => buf.put_slice(&as_bytes(value)),
        PgType::Int2 => buf.put_i16(i16::try_from(as_integer(value)?).map_err(range)?),
        PgType::Int4 => buf.put_i32(i32::try_from(as_integer(value)?).map_err(range)?),
        PgType::Int8 => buf.put_i64(as_integer(value)?),
        #[expect(clippy::cast_possible_truncation, reason = "the client asked for 32 bits")]
        PgType::Float4 => buf.put_f32(as_float(value)? as f32),
        PgType::Float8 => buf.put_f64(as_float(value)?),
        PgType::Text | PgType::Varchar => buf.put_slice(as_text(value).as_bytes()),
    }
    Ok(())
}

/// Decodes a parameter; `None` is NULL.
pub(crate) fn decode(
    bytes: Option<&[u8]>,
    pg_type: PgType,
    format: Format,
) -> Result<Value, SqlError> {
    match (bytes, format) {
        (None, _) => Ok(Value::Null),
        (Some(bytes), Format::Text) => decode_text(bytes, pg_type),
        (Some(bytes), Format::Binary) => decode_binary(bytes, pg_type),
    }
}

fn decode_text(bytes: &[u8], pg_type: PgType) -> Result<Value, SqlError> {
    let text = utf8(bytes)?;
    let invalid =
        || SqlError::new("22P02", format!("invalid input syntax for {pg_type:?}: \"{text}\""));
    match pg_type {
        PgType::Bool => match text.to_ascii_lowercase().as_str() {
            "t" | "true" | "1" | "on" | "yes" => Ok(Value::Integer(1)),
            "f" | "false" | "0" | "off" | "no" => Ok(Value::Integer(0)),
            _ => Err(invalid()),
        },
        PgType::Int2 | PgType::Int4 | PgType::Int8 => {
            text.trim().parse().map(Value::Integer).map_err(|_| invalid())
        }
        PgType::Float4 | PgType::Float8 => {
            text.trim().parse().map(Value::Real).map_err(|_| invalid())
        }
        PgType::Bytea => from_hex(text).map(Value::Blob).ok_or_else(invalid),
        PgType::Text | PgType::Varchar => Ok(Value::Text(text.to_owned())),
    }
}

fn decode_binary(bytes: &[u8], pg_type: PgType) -> Result<Value, SqlError> {
    let invalid = |_| SqlError::new("22P03", "incorrect binary data format in a parameter");
    Ok(match pg_type {
        PgType::Bool => Value::Integer(i64::from(bytes.first().is_some_and(|byte| *byte != 0))),
        PgType::Bytea => Value::Blob(bytes.to_vec()),
        PgType::Int2 => {
            Value::Integer(i16::from_be_bytes(bytes.try_into().map_err(invalid)?).into())
        }
        PgType::Int4 => {
            Value::Integer(i32::from_be_bytes(bytes.try_into().map_err(invalid)?).into())
        }
        PgType::Int8 => Value::Integer(i64::from_be_bytes(bytes.try_into().map_err(invalid)?)),
        PgType::Float4 => {
            Value::Real(f32::from_be_bytes(bytes.try_into().map_err(invalid)?).into())
        }
        PgType::Float8 => Value::Real(f64::from_be_bytes(bytes.try_into().map_err(invalid)?)),
        PgType::Text | PgType::Varchar => Value::Text(utf8(bytes)?.to_owned()),
    })
}

fn utf8(bytes: &[u8]) -> Result<&str, SqlError> {
    std::str::from_utf8(bytes)
        .map_err(|_| SqlError::new("22021", "invalid byte sequence for encoding \"UTF8\""))
}

/// Text of a value; empty for NULL.
pub(crate) fn as_text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::Integer(number) => number.to_string(),
        Value::Real(number) => number.to_string(),
        Value::Text(text) => text.clone(),
        Value::Blob(bytes) => String::from_utf8_lossy(bytes).into_owned(),
    }
}

fn as_bool(value: &Value) -> bool {
    match value {
        Value::Integer(number) => *number != 0,
        Value::Real(number) => *number != 0.0,
        Value::Text(text) => matches!(text.as_str(), "t" | "true" | "1"),
        Value::Null | Value::Blob(_) => false,
    }
}

fn as_bytes(value: &Value) -> Vec<u8> {
    match value {
        Value::Blob(bytes) => bytes.clone(),
        Value::Text(text) => from_hex(text).unwrap_or_else(|| text.clone().into_bytes()),
        other => as_text(other).into_bytes(),
    }
}

/// Integer of a value; a float is rounded and a text parsed.
pub(crate) fn as_integer(value: &Value) -> Result<i64, SqlError> {
    match value {
        Value::Integer(number) => Ok(*number),
        #[expect(clippy::cast_possible_truncation, reason = "PostgreSQL casts round as well")]
        Value::Real(number) => Ok(number.round() as i64),
        other => as_text(other).trim().parse().map_err(|_| {
            SqlError::new(
                "22P02",
                format!("invalid input syntax for integer: \"{}\"", as_text(other)),
            )
        }),
    }
}

fn as_float(value: &Value) -> Result<f64, SqlError> {
    match value {
        Value::Real(number) => Ok(*number),
        #[expect(clippy::cast_precision_loss, reason = "the column's type is a float")]
        Value::Integer(number) => Ok(*number as f64),
        other => as_text(other).trim().parse().map_err(|_| {
            SqlError::new(
                "22P02",
                format!("invalid input syntax for float: \"{}\"", as_text(other)),
            )
        }),
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.strip_prefix("\\x")?.as_bytes();
    let (pairs, []) = digits.as_chunks::<2>() else { return None };
    pairs.iter().map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}
