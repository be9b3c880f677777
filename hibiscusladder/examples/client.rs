//! Runs statements through the proxy and prints what it answers.
//!
//! Usage: `cargo run --example client -- <connection string> <statement>...`, with a connection string of the demo.

use std::error::Error;

use postgres::{Client, NoTls, SimpleQueryMessage};

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let target = arguments.next().ok_or("name a connection string, such as the demo prints")?;
    let mut client = Client::connect(&target, NoTls)?;
    for statement in arguments {
        println!("> {statement}");
        match client.simple_query(&statement) {
            Ok(messages) => messages.iter().for_each(print),
            Err(error) => println!("{}", described(&error)),
        }
    }
    Ok(())
}

fn print(message: &SimpleQueryMessage) {
    match message {
        SimpleQueryMessage::Row(row) => {
            let values: Vec<&str> =
                (0..row.len()).map(|index| row.get(index).unwrap_or("NULL")).collect();
            println!("{}", values.join(" | "));
        }
        SimpleQueryMessage::CommandComplete(rows) => println!("({rows} rows)"),
        _ => {}
    }
}

fn described(error: &postgres::Error) -> String {
    let Some(error) = error.as_db_error() else { return error.to_string() };
    format!(
        "{}: {}\nhint: {}",
        error.code().code(),
        error.message(),
        error.hint().unwrap_or("none")
    )
}
