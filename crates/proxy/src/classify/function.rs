//! SQL functions that reads may call, and functions that clients may not call.

/// Functions without side effects, which may run on a replica. A call of any other function counts as a write.
const READ_FUNCTIONS: &[&str] = &[
    "abs",
    "age",
    "array_agg",
    "array_length",
    "array_to_string",
    "avg",
    "bit_and",
    "bit_or",
    "bool_and",
    "bool_or",
    "btrim",
    "cast",
    "ceil",
    "ceiling",
    "char_length",
    "character_length",
    "coalesce",
    "concat",
    "concat_ws",
    "corr",
    "count",
    "cume_dist",
    "current_database",
    "current_schema",
    "date_part",
    "date_trunc",
    "decode",
    "dense_rank",
    "encode",
    "every",
    "exp",
    "extract",
    "first_value",
    "floor",
    "format",
    "greatest",
    "initcap",
    "json_agg",
    "json_build_object",
    "jsonb_agg",
    "jsonb_build_object",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "ln",
    "log",
    "lower",
    "lpad",
    "ltrim",
    "make_date",
    "max",
    "md5",
    "min",
    "mod",
    "nth_value",
    "ntile",
    "nullif",
    "octet_length",
    "percent_rank",
    "position",
    "power",
    "rank",
    "regexp_replace",
    "repeat",
    "replace",
    "reverse",
    "right",
    "round",
    "row_number",
    "row_to_json",
    "rpad",
    "rtrim",
    "sign",
    "split_part",
    "sqrt",
    "stddev",
    "string_agg",
    "strpos",
    "substr",
    "substring",
    "sum",
    "to_char",
    "to_date",
    "to_json",
    "to_jsonb",
    "to_number",
    "to_timestamp",
    "total",
    "translate",
    "trim",
    "trunc",
    "unnest",
    "upper",
    "variance",
    "version",
    "width_bucket",
    "generate_series",
];

/// Prefixes of functions with which a client could control the group, act on other clients or set session state, each
/// with the feature that a refusal names.
const FORBIDDEN_PREFIXES: &[(&str, &str)] = &[
    ("group_", "functions that control the group"),
    ("pg_terminate_backend", "functions that act on other connections"),
    ("pg_cancel_backend", "functions that act on other connections"),
    ("pg_advisory_lock", "session-level advisory locks"),
    ("pg_advisory_unlock", "session-level advisory locks"),
    ("pg_try_advisory_lock", "session-level advisory locks"),
    ("pg_notify", "NOTIFY"),
    ("set_config", "session settings"),
];

/// Whether a statement that calls the function `name` can count as a read.
pub(super) fn is_read(name: &str) -> bool {
    READ_FUNCTIONS.contains(&name)
}

/// The feature that the function `name` belongs to, when clients may not call it.
pub(super) fn forbidden_feature(name: &str) -> Option<&'static str> {
    FORBIDDEN_PREFIXES
        .iter()
        .find(|(prefix, _)| name.starts_with(prefix))
        .map(|(_, feature)| *feature)
}

/// The feature of the first entry of [`FORBIDDEN_PREFIXES`] that occurs anywhere in `text`.
pub(super) fn forbidden_feature_in(text: &str) -> Option<&'static str> {
    let lower = text.to_ascii_lowercase();
    FORBIDDEN_PREFIXES
        .iter()
        .find(|(prefix, _)| lower.contains(prefix))
        .map(|(_, feature)| *feature)
}
