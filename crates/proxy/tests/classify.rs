//! Classification of statements.

use hibiscusladder_proxy::classify::{Effect, SettingStatement, TransactionEffect, classify};
use test_case::test_case;

/// Guards against a statement that is not known to be a pure read but is classified as a read, which may run on a
/// replica.
#[test_case("SELECT a FROM t", Effect::Read)]
#[test_case("SELECT count(*), lower(a) FROM t JOIN u USING (id)", Effect::Read)]
#[test_case("WITH x AS (SELECT 1) SELECT * FROM x", Effect::Read)]
#[test_case("EXPLAIN SELECT a FROM t", Effect::Read)]
#[test_case("EXPLAIN ANALYZE DELETE FROM t", Effect::Write)]
#[test_case("SELECT a FROM t FOR UPDATE", Effect::Write)]
#[test_case("SELECT a FROM (SELECT a FROM t FOR SHARE) s", Effect::Write)]
#[test_case("SELECT nextval('s')", Effect::Write)]
#[test_case("SELECT a FROM t WHERE b = my_function(a)", Effect::Write)]
#[test_case("SELECT * FROM my_function(3)", Effect::Write)]
#[test_case("SELECT now()", Effect::Write)]
#[test_case("SELECT a INTO b FROM t", Effect::Write)]
#[test_case("WITH x AS (DELETE FROM t RETURNING a) SELECT * FROM x", Effect::Write)]
#[test_case("SELECT 1; INSERT INTO t VALUES (1)", Effect::Write)]
#[test_case("SELECT pg_advisory_xact_lock(1)", Effect::Write)]
#[test_case("SELEC a FROM t", Effect::Write)]
#[test_case("BEGIN", Effect::Write)]
#[test_case("BEGIN READ ONLY", Effect::Read)]
#[test_case("", Effect::Nothing)]
fn classify_effect(text: &str, effect: Effect) {
    assert_eq!(classify(text).effect, effect);
}

/// Guards against a home that closes a transaction which goes on, or keeps a transaction open which has ended.
#[test_case("BEGIN", TransactionEffect::Begin)]
#[test_case("START TRANSACTION", TransactionEffect::Begin)]
#[test_case("BEGIN; COMMIT; BEGIN", TransactionEffect::Begin)]
#[test_case("COMMIT", TransactionEffect::Commit)]
#[test_case("END", TransactionEffect::Commit)]
#[test_case("ROLLBACK", TransactionEffect::Rollback)]
#[test_case("SAVEPOINT a", TransactionEffect::Unchanged)]
#[test_case("ROLLBACK TO SAVEPOINT a", TransactionEffect::Unchanged)]
#[test_case("SELECT 1", TransactionEffect::Unchanged)]
fn classify_transaction_effect(text: &str, transaction_effect: TransactionEffect) {
    assert_eq!(classify(text).transaction_effect, transaction_effect);
}

/// Guards against statements with effects on other clients of an upstream connection, also when the parser rejects
/// them.
#[test_case("LISTEN a")]
#[test_case("NOTIFY a, 'b'")]
#[test_case("COPY t FROM STDIN")]
#[test_case("SELECT pg_advisory_lock(1)")]
#[test_case("SELECT pg_catalog.pg_advisory_lock(1)")]
#[test_case("SELECT a FROM t WHERE pg_try_advisory_lock(1)")]
#[test_case("SELECT * FROM group_status()")]
#[test_case("SELECT pg_terminate_backend(1)")]
#[test_case("SELEC group_raise_term(7, 'x')"; "control function in invalid syntax")]
#[test_case("CREATE TEMP TABLE t (a integer)")]
#[test_case("SET search_path = a")]
#[test_case("SET SESSION statement_timeout = 0")]
#[test_case("SELECT set_config('a.b', 'c', false)")]
#[test_case("RESET ALL")]
#[test_case("PREPARE p AS SELECT 1")]
#[test_case("DISCARD ALL")]
#[test_case("LOCK TABLE t")]
#[test_case("UPDATE hl_requests SET outcome = 'x'")]
#[test_case("SELECT 1; LISTEN a")]
#[test_case("SET hibiscus.position = '1:2'; SELECT 1"; "setting and another statement")]
fn classify_unsupported(text: &str) {
    assert!(classify(text).unsupported.is_some());
}

/// Guards against the refusal of statements that transaction pooling supports.
#[test_case("SET LOCAL statement_timeout = 0")]
#[test_case("SET TRANSACTION ISOLATION LEVEL SERIALIZABLE")]
#[test_case("INSERT INTO t VALUES ('listen to group_status')")]
fn classify_supported(text: &str) {
    assert_eq!(classify(text).unsupported, None);
}

/// Guards against a table that is missing in the classification, so that the routes for it are not applied.
#[test]
fn classify_tables() {
    let classified = classify("SELECT * FROM Public.Horarios h, (SELECT 1 FROM socios) s");
    let tables: Vec<&str> = classified.tables.iter().map(|table| &**table).collect();
    assert_eq!(tables, ["horarios", "socios"]);
    assert!(classified.tables_known);
    assert!(!classify("SELEC * FROM horarios").tables_known);
}

/// Guards against statements for settings of the proxy that are sent to an upstream.
#[test]
fn classify_settings() {
    let position = SettingStatement::SetPosition("3:41".to_owned());
    assert_eq!(classify("SET hibiscus.position = '3:41';").setting, Some(position.clone()));
    assert_eq!(classify(" set HIBISCUS.position to '3:41'").setting, Some(position));
    assert_eq!(classify("SHOW hibiscus.position").setting, Some(SettingStatement::ShowPosition));
    let comment = classify("/* hibiscus.request_id='a-1' */ INSERT INTO t VALUES (1)");
    assert_eq!(comment.request_id.as_deref(), Some("a-1"));
}
