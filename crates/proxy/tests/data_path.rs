//! Requests from a client through an entry and a home to an emulated member and back.

mod support;

use support::Cluster;

/// Guards against a broken path through entry, RPC, home and member.
#[test]
fn simple_query_both_entries() {
    let cluster = Cluster::start();
    let mut first = cluster.client(0);
    first.batch_execute("CREATE TABLE clubs (id integer PRIMARY KEY, name text)").unwrap();
    first.batch_execute("INSERT INTO clubs VALUES (1, 'andino')").unwrap();
    for number in 0..2 {
        let mut client = cluster.client(number);
        let rows = client.simple_query("SELECT name FROM clubs WHERE id = 1").unwrap();
        let names: Vec<_> = rows
            .iter()
            .filter_map(|message| match message {
                postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
                _ => None,
            })
            .collect();
        assert_eq!(names, ["andino"], "entry {number}");
    }
}
